/**
 * Calls with an idempotency key: each key runs at most once, and repeated calls get the recorded answer.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World, waitFor } from './support/World.js'

const KEY_HEADERS = { 'idempotency-key': 'order-1' }
let world: World

function readReason (body: string): string {
  return (JSON.parse(body) as { reason: string }).reason
}

function respondWith (text: string, delayMs = 0): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    request.resume()
    request.on('end', () => setTimeout(() => response.end(text), delayMs))
  }
}

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry(DESK)
})

afterEach(async () => { await world.stop() })

test('missing key is refused with a remedy', async () => {
  const reply = await world.call('n1', 'POST', '/order')
  expect(reply.status).toBe(428)
  expect(reply.body).toMatch(/Idempotency-Key/)
})

test('repeated call with the same key gets the recorded answer', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('done'))
  expect((await world.call('n1', 'POST', '/order', KEY_HEADERS, 'chair')).body).toBe('done')
  await waitFor('the record', async () => (await world.call('n2', 'POST', '/order', KEY_HEADERS, 'chair')).status === 200)
  const again = await world.call('n2', 'POST', '/order', KEY_HEADERS, 'chair')
  expect(again.body).toBe('done')
  expect(again.headers['lagoon-repeated']).toBe('true')
  expect(target.requests.length).toBe(1)
})

test('concurrent calls with the same key through two VMs run once', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('done', 100))
  const replies = await Promise.all(['n1', 'n2', 'n1', 'n2'].map(async node =>
    await world.call(node, 'POST', '/order', KEY_HEADERS, 'chair')))
  expect(target.requests.length).toBe(1)
  expect(replies.filter(reply => reply.status === 200).length).toBe(1)
  for (const reply of replies) if (reply.status !== 200) expect(readReason(reply.body)).toBe('key-in-progress')
})

test('same key with another request is refused', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('done'))
  await world.call('n1', 'POST', '/order', KEY_HEADERS, 'chair')
  const other = await world.call('n1', 'POST', '/order', KEY_HEADERS, 'table')
  expect(readReason(other.body)).toBe('key-mismatch')
  expect(target.requests.length).toBe(1)
})

test('target that dies during the call leaves the outcome unknown', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', request => request.socket.destroy())
  expect(readReason((await world.call('n1', 'POST', '/order', KEY_HEADERS)).body)).toBe('broken')
  await world.addTarget('n2', 't2', 'v1', respondWith('again'))
  await sleep(100)
  expect(readReason((await world.call('n1', 'POST', '/order', KEY_HEADERS)).body)).toBe('key-unknown')
  expect(target.requests.length).toBe(1)
})

test('call that was not run releases its key', async () => {
  expect(readReason((await world.call('n1', 'POST', '/order', KEY_HEADERS)).body)).toBe('no-target')
  await world.addTarget('n2', 't1', 'v1', respondWith('done'))
  await waitFor('a run', async () => (await world.call('n1', 'POST', '/order', KEY_HEADERS)).body === 'done')
})

test('call without a quorum is refused as not run', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('done'))
  world.stopControl()
  const reply = await world.call('n1', 'POST', '/order', { ...KEY_HEADERS, 'lagoon-deadline-ms': '500' })
  expect(readReason(reply.body)).toMatch(/^(no-quorum|deadline)$/)
  expect(reply.body).toMatch(/"run":"not-run"/)
  expect(target.requests.length).toBe(0)
  await world.startControl()
})

test('reads succeed without the control VMs', async () => {
  await world.addTarget('n2', 't1', 'v1', respondWith('read'))
  world.stopControl()
  expect((await world.call('n1', 'GET', '/read')).body).toBe('read')
  await world.startControl()
})

test('claim survives a restart of the control VMs', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('done'))
  expect((await world.call('n1', 'POST', '/order', KEY_HEADERS)).status).toBe(200)
  await sleep(100)
  world.stopControl()
  await world.startControl()
  let reply = ''
  await waitFor('the recorded answer', async () => {
    reply = (await world.call('n2', 'POST', '/order', KEY_HEADERS)).body
    return reply === 'done'
  })
  expect(target.requests.length).toBe(1)
})

test('answer is recorded for a caller that disconnected', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('done', 200))
  const abandonedCall = world.call('n1', 'POST', '/order', { ...KEY_HEADERS, 'x-leave': '1' })
  await waitFor('the call at the target', () => target.requests.length === 1)
  void abandonedCall.catch(() => undefined)
  await waitFor('the recorded answer', async () => (await world.call('n2', 'POST', '/order', KEY_HEADERS)).body === 'done')
  expect(target.requests.length).toBe(1)
})
