/**
 * During a graceful stop of a node every caller gets a response, and a call that is refused as not run has not run.
 */
import type { IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World, type IResponse } from './support/World.js'

const STOP_MS = 3_000
/** Time from the beginning of a stop until which calls that can end in time are admitted. */
const ADMISSION_MS = 0.7 * STOP_MS
const SERVICE_MS = 600
const PATH = '/once'
let world: World
/** Paths of the calls that the target has started. */
let startedPaths: string[]

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, slots: 1, queue: 16, deadline: '10s' } })
  startedPaths = []
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    startedPaths.push(request.url ?? '')
    setTimeout(() => response.end('done'), readWorkMs(request))
  }, 1)
  // The node learns how long calls of the route usually take.
  for (let index = 0; index < 3; index++) await world.call('n1', 'POST', PATH)
  startedPaths.length = 0
})

afterEach(async () => { await world.stop() })

function readWorkMs (request: IncomingMessage): number {
  return Number(request.headers['x-work-ms'] ?? SERVICE_MS)
}

/** @returns the reply, or `cut` if the connection ended without one */
async function callThrough (node: string, name: string, headers: Record<string, string> = {}): Promise<IResponse | 'cut'> {
  return await world.call(node, 'POST', `${PATH}?${name}`, headers).catch(() => 'cut')
}

function expectRefusedNotRun (reply: IResponse | 'cut', name: string): void {
  expect(reply).not.toBe('cut')
  if (reply === 'cut') return
  expect([reply.status, JSON.parse(reply.body).run]).toEqual([503, 'not-run'])
  expect(reply.headers['retry-after']).toBeDefined()
  expect(startedPaths).not.toContain(`${PATH}?${name}`)
}

test('call that would get its slot too late in a graceful stop is refused as not run', async () => {
  const startMs = performance.now()
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(1_500)
  // These calls occupy the slot until 2.7 s after the beginning of the stop.
  const others = [callThrough('n2', 'a'), callThrough('n2', 'b')]
  await sleep(100)
  expect(performance.now() - startMs).toBeLessThan(ADMISSION_MS)
  expectRefusedNotRun(await callThrough('n1', 'late'), 'late')
  await Promise.all([stopping, ...others])
}, 20_000)

test('call that waits for a slot when a graceful stop begins is withdrawn before it runs', async () => {
  const others = Array.from({ length: 4 }, async (_, index) => await callThrough('n2', `n${index}`))
  await sleep(50)
  const waiting = callThrough('n1', 'waiting')
  await sleep(50)
  await world.getNode('n1').role.stop(STOP_MS / 2)
  expectRefusedNotRun(await waiting, 'waiting')
  await Promise.all(others)
}, 20_000)

test('call that runs through most of a graceful stop gets its response', async () => {
  const running = callThrough('n1', 'long', { 'x-work-ms': String(0.85 * STOP_MS) })
  await sleep(50)
  await world.getNode('n1').role.stop(STOP_MS)
  expect(await running).toMatchObject({ status: 200, body: 'done' })
}, 20_000)

test('graceful stop ends within its timeout although a call does not end', async () => {
  const hanging = callThrough('n1', 'hanging', { 'x-work-ms': '9000' })
  await sleep(50)
  const startMs = performance.now()
  await world.getNode('n1').role.stop(STOP_MS)
  expect(performance.now() - startMs).toBeLessThan(STOP_MS)
  const reply = await hanging
  if (reply === 'cut') throw new Error('the connection was closed without a response')
  expect([reply.status, JSON.parse(reply.body).run]).toEqual([502, 'unknown'])
}, 20_000)

test('caller that connects while the last calls of a graceful stop run is told when to repeat its call', async () => {
  const running = callThrough('n1', 'long', { 'x-work-ms': String(0.85 * STOP_MS) })
  await sleep(50)
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  // New calls are refused from 0.7 of the timeout on.
  await sleep(ADMISSION_MS + 150)
  expectRefusedNotRun(await callThrough('n1', 'new'), 'new')
  expect(await running).toMatchObject({ status: 200 })
  await stopping
}, 20_000)
