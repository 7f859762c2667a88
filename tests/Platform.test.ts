/**
 * End-to-end tests on a simulated platform, with targets that fail by seeded random faults.
 */
// @ts-expect-error the simulated platform is plain JavaScript, shared with the benchmarks
import { HOST, PlatformWorld, createConfiguration } from '../bench/platform-world.mjs'
import { Agent, request } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'

const DRAIN_MS = 2_000
const FAULTS = ['short', 'unframed', 'extra', 'rubbish', 'lost']
let world: PlatformWorld

beforeEach(async () => {
  world = new PlatformWorld()
  await world.start(3, 2, createConfiguration(1, 0, ['desk']))
}, 30_000)

afterEach(async () => { await world.stop() }, 30_000)

async function callMany (count: number, isSafe: boolean, pauseMs = 5): Promise<Array<{ outcome: string, tries: number }>> {
  const client = world.createClient('n1', `n1-${isSafe}`)
  const path = `/desk/${isSafe ? 'safe' : 'unsafe'}/x`
  const results = []
  for (let index = 0; index < count; index++) {
    results.push(client.call({ host: HOST, path, method: isSafe ? 'GET' : 'POST', isSafe }))
    await sleep(pauseMs)
  }
  const all = await Promise.all(results)
  expect(client.broken).toEqual([])
  return all
}

test('targets that violate the protocol cause neither wrong answers nor second runs', async () => {
  const random = new SeededRandom(5)
  for (const [index, fault] of FAULTS.entries()) {
    const node = index % 2 === 0 ? 'n1' : 'n2'
    await world.addTarget(node, { id: `t${index}`, service: 'desk', slots: 4, workMs: 15, fault, share: 0.2, draw: () => random.draw() })
  }
  const [safe, unsafe] = await Promise.all([callMany(150, true), callMany(150, false)])
  expect(safe.filter(({ outcome }) => outcome === 'served').length).toBeGreaterThan(140)
  expect(unsafe.filter(({ outcome }) => outcome === 'served').length).toBeGreaterThan(90)
  for (const target of world.targets) {
    expect([...target.runs.values()].every(runs => runs === 1)).toBe(true)
    expect(target.maxConcurrency).toBeLessThanOrEqual(4)
    expect(target.refusals).toBe(0)
  }
}, 60_000)

test('unsafe call that was answered with 503 did not run', async () => {
  const target = await world.addTarget('n2', { id: 't1', service: 'desk', slots: 2, workMs: 40 })
  const all = await callMany(200, false, 1)
  const refused = all.filter(({ outcome }) => outcome === 'refused').length
  const served = all.filter(({ outcome }) => outcome === 'served').length
  expect(refused).toBeGreaterThan(0)
  expect(served + refused).toBe(200)
  expect(target.runs.size).toBe(served)
}, 60_000)

test('leaving target gets no calls after its announcement was acknowledged', async () => {
  const leaving = await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 10 })
  await world.addTarget('n1', { id: 't2', service: 'desk', workMs: 10 })
  const calls = callMany(200, true, 4)
  await sleep(200)
  await leaving.leave()
  expect(await leaving.beat(1, 'ready')).toBe(200)
  // Requests that were already under way may still arrive during this time.
  await sleep(DRAIN_MS)
  const runs = leaving.runs.size
  const later = await callMany(50, true, 4)
  expect(leaving.runs.size).toBe(runs)
  expect([...await calls, ...later].filter(({ outcome }) => outcome !== 'served')).toEqual([])
}, 60_000)

test('order is acknowledged and takes effect although its control VM is lost', async () => {
  await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 5 })
  const first = createConfiguration(4, 1, ['desk', 'press'])
  const sent = world.operator.order('PUT', '/-/config', first)
  await world.stopProcess('c2')
  expect((await sent).status).toBe(200)
  expect((await world.operator.order('PUT', '/-/config', first)).status).toBe(200)
  expect((await world.operator.order('PUT', '/-/config', createConfiguration(5, 1, ['desk']))).status).toBe(412)
  expect(JSON.parse((await world.operator.order('GET', '/-/config')).text)).toEqual(first)
  await world.startControl('c2')
  const next = createConfiguration(6, 4, ['desk'])
  expect((await world.operator.order('PUT', '/-/config', next)).status).toBe(200)
  const client = world.createClient('n1', 'probe')
  await sleep(300)
  expect(await client.call({ host: HOST, path: '/press/safe/x', retries: 0 })).toMatchObject({ outcome: 'failed' })
  expect(await client.call({ host: HOST, path: '/desk/safe/x' })).toMatchObject({ outcome: 'served' })
}, 60_000)

test('stopping node serves its callers until they have left', async () => {
  await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 10 })
  const stopping = world.stopProcess('n1')
  const all = await callMany(60, false, 10)
  expect(all.every(({ outcome }) => outcome === 'served')).toBe(true)
  await stopping
}, 60_000)

test('stopping node continues to serve callers that keep sending calls', async () => {
  await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 10 })
  await world.startNode('n3', '6s')
  const client = world.createClient('n3', 'late')
  await client.call({ host: HOST, path: '/desk/safe/x' })
  const stopping = world.stopProcess('n3')
  const outcomes = []
  // Two thirds of the stop timeout; no call is refused before seven tenths of it.
  for (const startMs = Date.now(); Date.now() - startMs < 4_000; await sleep(100)) {
    outcomes.push((await client.call({ host: HOST, path: '/desk/safe/x', retries: 0 })).outcome)
  }
  expect(outcomes.filter(outcome => outcome !== 'served')).toEqual([])
  await stopping
}, 60_000)

test('changed limits apply to an open keep-alive connection', async () => {
  await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 10 })
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const sockets = new Set<Socket>()
  const send = async (id: string, bytes: number): Promise<number> => await new Promise((resolve, reject) => {
    const outgoing = request({
      agent,
      host: '127.0.2.1',
      port: world.ports[2],
      method: 'POST',
      path: '/desk/unsafe/x',
      headers: { host: HOST, 'x-attempt-id': id, 'content-length': bytes }
    }, response => {
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? 0))
    })
    outgoing.on('socket', socket => sockets.add(socket))
    outgoing.on('error', reject)
    outgoing.end('a'.repeat(bytes))
  })
  expect(await send('k-1', 2_000)).toBe(200)
  const next = createConfiguration(2, 1, ['desk'])
  next.limits['max-body-bytes'] = 1_000
  expect((await world.operator.order('PUT', '/-/config', next)).status).toBe(200)
  await sleep(300)
  expect([await send('k-2', 500), await send('k-3', 2_000)]).toEqual([200, 413])
  expect(sockets.size).toBe(1)
  agent.destroy()
}, 60_000)
