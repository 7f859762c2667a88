/**
 * Which calls a node still admits during a graceful stop.
 */
import { request as openRequest, type IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World, type IResponse } from './support/World.js'

const STOP_MS = 3_000
/** After 1.5 s, until which a stop admits any call, and before 2.1 s, when it admits no more calls. */
const LATE_CALL_DELAY_MS = 1_650
let world: World
let startedPaths: string[]

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, deadline: '10s' } })
  startedPaths = []
})

afterEach(async () => { await world.stop() })

function readMs (request: IncomingMessage, name: string): number {
  return Number(request.headers[name] ?? 0)
}

/** Adds a target that sends the head after `x-work-ms`, and the rest of the response `x-tail-ms` later. */
async function addTarget (id: string): Promise<void> {
  await world.addTarget('n2', id, 'v1', (request, response) => {
    startedPaths.push(request.url ?? '')
    setTimeout(() => {
      response.writeHead(200, { 'content-length': 8 })
      response.write('half')
      setTimeout(() => response.end('done'), readMs(request, 'x-tail-ms'))
    }, readMs(request, 'x-work-ms'))
  })
}

/** Makes calls from which the node learns how long calls of the route usually take. */
async function recordUsualTime (headers: Record<string, string>): Promise<void> {
  for (let index = 0; index < 3; index++) await world.call('n1', 'POST', '/once', headers)
  startedPaths.length = 0
}

async function callThrough (headers: Record<string, string>): Promise<IResponse | 'cut'> {
  return await world.call('n1', 'POST', '/once?late', headers).catch(() => 'cut')
}

test('call whose response ends long after its head is not admitted so late that a graceful stop cuts it off', async () => {
  await addTarget('t1')
  await recordUsualTime({ 'x-tail-ms': '1500' })
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(LATE_CALL_DELAY_MS)
  const reply = await callThrough({ 'x-tail-ms': '1500' })
  expect(reply).not.toBe('cut')
  expect(reply).toMatchObject({ status: 503 })
  expect(startedPaths).toEqual([])
  await stopping
}, 20_000)

test('call whose failures take far longer than its successes is not admitted so late that a graceful stop cuts it off', async () => {
  let count = 0
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    startedPaths.push(request.url ?? '')
    const isFailing = count++ % 2 === 1
    setTimeout(() => response.writeHead(isFailing ? 504 : 200).end('own'), isFailing ? 1_400 : 20)
  })
  for (let index = 0; index < 9; index++) await world.call('n1', 'POST', '/once')
  startedPaths.length = 0
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(LATE_CALL_DELAY_MS)
  expect(await callThrough({})).toMatchObject({ status: 503 })
  expect(startedPaths).toEqual([])
  await stopping
}, 30_000)

test('call whose own deadline ends before a graceful stop cuts it off is served', async () => {
  await addTarget('t1')
  await recordUsualTime({ 'x-work-ms': '400' })
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(LATE_CALL_DELAY_MS)
  expect(await callThrough({ 'x-work-ms': '400', 'lagoon-deadline-ms': '700' })).toMatchObject({ status: 200, body: 'halfdone' })
  await stopping
}, 20_000)

test('short call whose body ends in the second half of a graceful stop is served', async () => {
  await addTarget('t1')
  await recordUsualTime({ 'x-work-ms': '20' })
  const { port } = world.getNode('n1')
  const outgoing = openRequest({ host: '127.0.0.1', port, method: 'POST', path: '/once?late', agent: false, headers: { 'x-work-ms': '20' } })
  const status = new Promise<number>((resolve, reject) => {
    outgoing.on('response', response => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    outgoing.on('error', reject)
  })
  outgoing.write('first')
  await sleep(50)
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(LATE_CALL_DELAY_MS)
  outgoing.end('last')
  expect(await status).toBe(200)
  await stopping
}, 20_000)

test('error response of a target in a graceful stop reaches the caller when no other target may start the call', async () => {
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    const isFailing = request.url === '/read?late'
    setTimeout(() => response.writeHead(isFailing ? 500 : 200).end('own'), 10)
  })
  await world.addTarget('n2', 't2', 'v1', (_request, response) => { setTimeout(() => response.end('own'), 1_500) })
  await Promise.all(Array.from({ length: 8 }, async () => await world.call('n1', 'GET', '/read')))
  await Promise.all(Array.from({ length: 8 }, async () => await world.call('n1', 'GET', '/read')))
  for (let index = 0; index < 60; index++) await world.call('n1', 'GET', '/read')
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(LATE_CALL_DELAY_MS)
  const reply = await world.call('n1', 'GET', '/read?late')
  expect(reply).toMatchObject({ status: 500, body: 'own' })
  await stopping
}, 30_000)

test('call that took long at another target is not admitted so late that a graceful stop cuts it off', async () => {
  for (const id of ['t1', 't2']) await addTarget(id)
  for (let index = 0; index < 12; index++) await world.call('n1', 'POST', '/once', { 'x-work-ms': '20' })
  await world.call('n1', 'POST', '/once', { 'x-work-ms': '1400' })
  startedPaths.length = 0
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(LATE_CALL_DELAY_MS)
  const reply = await callThrough({ 'x-work-ms': '1400' })
  expect(reply).not.toBe('cut')
  expect(reply).toMatchObject({ status: 503 })
  expect(startedPaths).toEqual([])
  await stopping
}, 20_000)
