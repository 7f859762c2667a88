import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, SeededRandom } from '@lagoonswitch/common'
import { EndpointView } from '@lagoonswitch/feed'
import { CallClass, EndpointState, type EndpointRecord, type IEntry } from '@lagoonswitch/schema'
import { TargetPool, BalancedDraws } from '@lagoonswitch/traffic'
import type { ICompiledRoute } from '../routing/RouteTable.js'
import { TargetPicker, type IPickerContext } from './TargetPicker.js'

const SHARE_PPM = 80_000
let endpoints: EndpointView
let context: IPickerContext
let isVersionCut: boolean

function addTarget (targetId: string, version: string): void {
  endpoints.merge([{
    targetId,
    incarnation: 1,
    sequence: 1,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 's',
    version,
    linkAddress: targetId,
    region: 'r1',
    availabilityZone: 'z1',
    slots: 4,
    node: targetId
  } as EndpointRecord])
}

function createPicker (): TargetPicker {
  const split = { from: 'v1', to: 'v2', sharePpm: SHARE_PPM, excluded: 'v2' }
  const parts = [{ service: 's', weight: 1, serviceEntry: {} as IEntry, split }]
  const route = { key: 'r', parts, totalWeight: 1 } as unknown as ICompiledRoute
  return new TargetPicker(context, { route, callClass: CallClass.CALL_CLASS_NORMAL })
}

beforeEach(() => {
  endpoints = new EndpointView()
  isVersionCut = false
  const pool = new TargetPool({
    region: 'r1',
    availabilityZone: 'z1',
    linkAddress: 'own',
    clock: new ManualClock(),
    random: new SeededRandom(1),
    metrics: new Metrics(),
    endpoints
  })
  context = { pool, draws: new BalancedDraws(new SeededRandom(3)), evidence: { isVersionCut: () => isVersionCut } as unknown as IPickerContext['evidence'] }
})

/** Counts attempts by version over 1,000 calls that each try targets until none is left. */
function countTriedVersions (): Map<string, number> {
  const counts = new Map<string, number>()
  for (let call = 0; call < 1_000; call++) {
    const picker = createPicker()
    for (let target = picker.pickTarget(0, undefined); target !== undefined; target = picker.pickTarget(0, 'queue-full')) {
      picker.markTried(target)
      counts.set(target.record.version, (counts.get(target.record.version) ?? 0) + 1)
    }
  }
  return counts
}

test('full targets of the old version do not raise the share of the new one', () => {
  for (const id of ['a', 'b']) addTarget(id, 'v1')
  addTarget('c', 'v2')
  const counts = countTriedVersions()
  expect(counts.get('v2')).toBeGreaterThan(1_000 * SHARE_PPM / 1e6 / 2)
  expect(counts.get('v2')).toBeLessThan(1_000 * SHARE_PPM / 1e6 * 1.5)
})

test('calls of a version without targets go to the other version unless that is cut', () => {
  addTarget('c', 'v2')
  expect(countTriedVersions().get('v2')).toBe(1_000)
  isVersionCut = true
  expect(countTriedVersions().size).toBe(0)
})

function createWeightedPicker (weights: Readonly<Record<string, number>>): TargetPicker {
  const split = { from: '', to: '', sharePpm: 0, excluded: '' }
  const parts = Object.entries(weights)
    .map(([service, weight]) => ({ service, weight, serviceEntry: {} as IEntry, move: undefined, split }))
  const totalWeight = parts.reduce((sum, { weight }) => sum + weight, 0)
  const route = { key: 'r', parts, totalWeight } as unknown as ICompiledRoute
  return new TargetPicker(context, { route, callClass: CallClass.CALL_CLASS_NORMAL })
}

function countParts (weights: Readonly<Record<string, number>>, calls: number): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let call = 0; call < calls; call++) {
    const { service } = createWeightedPicker(weights).part
    counts[service] = (counts[service] ?? 0) + 1
  }
  return counts
}

test('parts of a route get their weights, also after these change between calls', () => {
  const calls = 300
  for (const weights of [{ s: 90, t: 10 }, { s: 20, t: 80 }, { s: 0.5, t: 0.5 }, { s: 1, t: 2, u: 3 }]) {
    const total = Object.values(weights).reduce((sum, weight) => sum + weight, 0)
    const counts = countParts(weights, calls)
    for (const [service, weight] of Object.entries(weights)) {
      expect(Math.abs((counts[service] ?? 0) / calls - weight / total)).toBeLessThan(0.03)
    }
  }
})

test('calls of a part without targets are not moved to another part', () => {
  addTarget('a', 'v1')
  let missed = 0
  for (let call = 0; call < 300; call++) {
    const picker = createWeightedPicker({ s: 1, t: 1 })
    const target = picker.pickTarget(0, undefined)
    expect(target === undefined).toBe(picker.part.service === 't')
    missed += target === undefined ? 1 : 0
  }
  expect(missed).toBeGreaterThan(140)
})
