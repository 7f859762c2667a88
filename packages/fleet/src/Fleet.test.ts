/**
 * The model itself: that its runs repeat, and that a calm fleet is in time.
 */
import { expect, test } from 'vitest'
import { Fleet } from './Fleet.js'
import { LARGE_SITE } from './FleetSite.js'

const SITE = { ...LARGE_SITE, nodes: 30, routes: 20 }
const MAX_CALM_PROPAGATION_MS = 300

/** Plays a publication in a calm fleet; returns when each node had it, in milliseconds after its acknowledgement. */
async function playPublication (seed: number): Promise<number[]> {
  const fleet = new Fleet(SITE, seed)
  await fleet.start()
  await fleet.runWhile(fleet.operator.publish())
  const [number, acknowledgedMs] = [...fleet.operator.acknowledgedMs].at(-1) ?? [0, 0]
  await fleet.time.runUntil(acknowledgedMs + 1_000)
  const delaysMs = fleet.nodes.map(node => (node.appliedMs.get(number) ?? Infinity) - acknowledgedMs)
  fleet.dispose()
  return delaysMs
}

test('same seed gives the same run', async () => {
  expect(await playPublication(3)).toEqual(await playPublication(3))
}, 60_000)

test('change is in force at all nodes of a calm fleet within a few round trips', async () => {
  expect(Math.max(...await playPublication(4))).toBeLessThan(MAX_CALM_PROPAGATION_MS)
}, 60_000)
