/**
 * Withdrawals of targets that were acknowledged hold after restarts, also of all processes at once.
 */
// @ts-expect-error the simulated platform is plain JavaScript, shared with the benchmarks
import { HOST, PlatformWorld, createConfiguration } from '../bench/platform-world.mjs'
// @ts-expect-error the benchmark harness is plain JavaScript
import { waitUntil } from '../bench/harness.mjs'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'

const CONTROL_VMS = ['c1', 'c2', 'c3']
const NODES = ['n1', 'n2']
/** Time in which an accepted announcement reaches all nodes. */
const ANNOUNCED_MS = 1_000
const DRAIN_MS = 2_000
let world: PlatformWorld
let nextClient = 0

beforeEach(async () => {
  world = new PlatformWorld()
  await world.start(CONTROL_VMS.length, NODES.length, createConfiguration(1, 0, ['desk']))
}, 30_000)

afterEach(async () => { await world.stop() }, 30_000)

async function restart (names: readonly string[]): Promise<void> {
  await Promise.all(names.map(async name => await world.stopProcess(name)))
  await Promise.all(names.map(async name => name.startsWith('c') ? await world.startControl(name) : await world.startNode(name)))
  await waitUntil('all nodes ready', () => NODES.every(name => world.processes.get(name).node.isReady))
}

/** Sends calls through the node beside the target that leaves, which prefers its own targets to others. */
async function callMany (count: number): Promise<string[]> {
  const client = world.createClient('n1', `client-${nextClient++}`)
  const outcomes = []
  for (let index = 0; index < count; index++) {
    outcomes.push((await client.call({ host: HOST, path: '/desk/safe/x', method: 'GET', isSafe: true })).outcome)
  }
  return outcomes
}

// A withdrawal was kept in memory only, so once all processes had been restarted a late announcement restored the target.
test.each([
  ['withdrawn', 'the node', ['n1']],
  ['withdrawn', 'all processes', [...CONTROL_VMS, ...NODES]],
  ['draining', 'all processes', [...CONTROL_VMS, ...NODES]]
])('target that was %s gets no calls by a late announcement after a restart of %s', async (state, _label, names) => {
  const leaving = await world.addTarget('n1', { id: 't1', service: 'desk', workMs: 5 })
  await world.addTarget('n2', { id: 't2', service: 'desk', workMs: 5 })
  if (state === 'draining') await leaving.leave()
  expect(await leaving.withdraw()).toBe(200)
  await restart(names)
  await sleep(DRAIN_MS)
  const runs = leaving.runs.size
  expect(await leaving.beat(1, 'ready')).toBe(200)
  await sleep(ANNOUNCED_MS)
  const outcomes = await callMany(60)
  expect(outcomes.filter(outcome => outcome === 'served').length).toBeGreaterThan(50)
  expect(leaving.runs.size).toBe(runs)
}, 60_000)

test('target that starts again under its id after a restart of all processes gets calls', async () => {
  const first = await world.addTarget('n1', { id: 't1', service: 'desk', workMs: 5 })
  expect(await first.withdraw()).toBe(200)
  await restart([...CONTROL_VMS, ...NODES])
  const second = await world.addTarget('n1', { id: 't1', service: 'desk', workMs: 5 })
  await waitUntil('a served call', async () => (await callMany(1))[0] === 'served')
  expect(second.runs.size).toBeGreaterThan(0)
}, 60_000)

test('withdrawal is acknowledged only once a quorum has recorded it, but ends new calls at once', async () => {
  const leaving = await world.addTarget('n1', { id: 't1', service: 'desk', workMs: 5 })
  await world.addTarget('n2', { id: 't2', service: 'desk', workMs: 5 })
  await Promise.all(['c2', 'c3'].map(async name => await world.stopProcess(name)))
  expect(await leaving.withdraw()).toBe(503)
  const runs = leaving.runs.size
  await callMany(40)
  expect(leaving.runs.size).toBe(runs)
  await Promise.all(['c2', 'c3'].map(async name => await world.startControl(name)))
  await waitUntil('the acknowledgement', async () => await leaving.withdraw() === 200)
}, 60_000)
