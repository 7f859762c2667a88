/**
 * Calls on a route with large request bodies: a slot of the target is taken only when the body has arrived, and a body that breaks off,
 * is too long or comes slowly costs the target nothing.
 */
import { request, type ClientRequest, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { PlatformDialect } from '@lagoonswitch/platform'
import { onRequestHead } from './support/Flood.js'
import { DESK, World, waitFor, type IResponse } from './support/World.js'

const BODY_BYTES = 360_000
const BODY = Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => index % 251))
/** More than the part after which the slot is taken. */
const LONG_BYTES = 3_000_000
const MAX_BODY_BYTES = 400_000
const NODES = ['n1', 'n2']
/** Latency objective of small calls in the largest site with uploads. */
const OBJECTIVE_MS = 533

let world: World
let calls = 0
let received: Array<{ bytes: number, isAborted: boolean, isEqual: boolean }>

beforeEach(async () => {
  received = []
  world = await World.start(NODES, '', new PlatformDialect())
  await world.putEntry({
    ...DESK,
    limits: { ...DESK.limits, queue: 40, deadline: '5s' },
    routes: [
      { name: 'read', path: '/read', methods: ['GET'], idempotency: 'safe' },
      { name: 'upload', path: '/upload', methods: ['POST'], idempotency: 'single-try', bulk_body: true }
    ]
  })
})

afterEach(async () => {
  vi.restoreAllMocks()
  await world.stop()
})

/** Reads bodies whole and answers with their length. */
function answer (incoming: IncomingMessage, response: ServerResponse): void {
  const chunks: Buffer[] = []
  const record = { bytes: 0, isAborted: false, isEqual: false }
  received.push(record)
  incoming.on('data', (chunk: Buffer) => {
    chunks.push(chunk)
    record.bytes += chunk.length
  })
  incoming.on('error', () => { record.isAborted = true })
  incoming.on('end', () => {
    record.isEqual = Buffer.concat(chunks).equals(BODY.subarray(0, record.bytes))
    response.setHeader('x-attempt-id', incoming.headers['x-attempt-id'] ?? '')
    response.end(String(record.bytes))
  })
}

function open (headers: Record<string, string | number>): { outgoing: ClientRequest, response: Promise<IResponse> } {
  const { port } = world.getNode('n1')
  const outgoing = request({
    host: '127.0.0.1',
    port,
    path: '/upload',
    method: 'POST',
    headers: { 'x-attempt-id': `u${calls++}`, 'x-request-deadline': '5000', ...headers },
    agent: false
  })
  const response = new Promise<IResponse>((resolve, reject) => {
    outgoing.on('error', reject)
    outgoing.on('response', incoming => {
      let body = ''
      incoming.on('data', chunk => { body += String(chunk) })
      incoming.on('end', () => resolve({ status: incoming.statusCode ?? 0, headers: incoming.headers, body }))
      incoming.on('error', reject)
    })
  })
  return { outgoing, response }
}

async function upload (body: Buffer, isChunked = false): Promise<IResponse> {
  const { outgoing, response } = open(isChunked ? {} : { 'content-length': body.length })
  if (isChunked) outgoing.write(body.subarray(0, 1_000))
  outgoing.end(isChunked ? body.subarray(1_000) : body)
  return await response
}

function countInFlight (node: string): number {
  return world.getNode(node).role.targets.listTargets()[0]?.inFlight ?? -1
}

function countWaitingBytes (node: string): number {
  const { waitingBytes, transitBytes } = world.getNode(node).role.targets.bodyCredit
  return waitingBytes + transitBytes
}

function limitBodies (): void {
  const { store } = world.getNode('n1').role
  const { view } = store
  const callerLimits = { bodyBytes: MAX_BODY_BYTES, headerBytes: 16_384, headerTimeoutMs: 5_000, idleTimeoutMs: 60_000 }
  vi.spyOn(store, 'view', 'get').mockReturnValue({ ...view, publication: { callerLimits } } as unknown as typeof view)
}

// The target is on another VM, or on the same one without a link between.
test.each(NODES)('uploads of any length arrive whole, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer)
  for (const bytes of [1, 16_384, 16_385, 65_537, BODY_BYTES]) {
    for (const isChunked of [false, true]) {
      const { status, body } = await upload(BODY.subarray(0, bytes), isChunked && bytes > 1_000)
      expect([status, body]).toEqual([200, String(bytes)])
    }
  }
  expect(received.every(({ isEqual }) => isEqual)).toBe(true)
  expect(await upload(Buffer.alloc(LONG_BYTES))).toMatchObject({ status: 200, body: String(LONG_BYTES) })
  expect(countWaitingBytes(node)).toBe(0)
})

// Guards against an upload that never reaches its target: it waits behind an earlier call, and its body has arrived before it is read.
test.each(NODES)('uploads behind an earlier call of their connection arrive whole, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', (incoming, response) => {
    if (incoming.method === 'POST') return answer(incoming, response)
    setTimeout(() => {
      response.setHeader('x-attempt-id', incoming.headers['x-attempt-id'] ?? '')
      response.end()
    }, 50)
  })
  const lengths = [17_000, 40_000, 63_000]
  for (const bytes of lengths) {
    const socket = connect(world.getNode('n1').port, '127.0.0.1')
    let text = ''
    socket.on('data', chunk => { text += String(chunk) })
    const head = (): string => `host: x\r\nx-attempt-id: u${calls++}\r\nx-request-deadline: 2000\r\n`
    socket.write(`GET /read HTTP/1.1\r\n${head()}\r\nPOST /upload HTTP/1.1\r\n${head()}content-length: ${bytes}\r\n\r\n`)
    socket.write(BODY.subarray(0, bytes))
    await waitFor('both responses', () => text.split('HTTP/1.1 ').length === 3)
    expect(text.split('HTTP/1.1 ').slice(1).map(part => part.slice(0, 3))).toEqual(['200', '200'])
    socket.destroy()
  }
  expect(received.map(({ bytes, isEqual }) => [bytes, isEqual])).toEqual(lengths.map(bytes => [bytes, true]))
})

test('body in chunks of a byte is held without overhead and arrives whole', async () => {
  await world.addTarget('n2', 't1', 'v1', answer)
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  let text = ''
  socket.on('data', chunk => { text += String(chunk) })
  socket.write('POST /upload HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: tiny\r\nTransfer-Encoding: chunked\r\n\r\n')
  socket.write('1\r\na\r\n'.repeat(100_000) + '0\r\n\r\n')
  await waitFor('the response', () => text.endsWith('100000'))
  socket.destroy()
})

test.each(NODES)('caller that leaves before its body has arrived runs nothing and holds nothing, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer)
  const { outgoing, response } = open({ 'content-length': BODY_BYTES })
  response.catch(() => undefined)
  outgoing.write(BODY.subarray(0, 200_000))
  await waitFor('the first part', () => countWaitingBytes(node) >= 200_000)
  expect(countInFlight(node)).toBe(0)
  outgoing.destroy()
  await waitFor('the release', () => countWaitingBytes(node) === 0)
  expect(received).toEqual([])
  expect((await upload(BODY)).status).toBe(200)
})

test.each(NODES)('caller that leaves after the slot was taken closes the connection of the target, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer, 1)
  const { outgoing, response } = open({ 'content-length': LONG_BYTES })
  response.catch(() => undefined)
  outgoing.write(Buffer.alloc(1_000_000))
  await waitFor('the start of the run', () => (received[0]?.bytes ?? 0) > 500_000)
  expect(countInFlight(node)).toBe(1)
  outgoing.destroy()
  await waitFor('the abort', () => received[0]?.isAborted === true)
  await waitFor('the release', () => countInFlight(node) === 0 && countWaitingBytes(node) === 0)
  expect((await upload(BODY)).status).toBe(200)
})

// The rest of the body must not be taken for the next request.
test.each(NODES)('target that answers before it has read the body: answer at once, next call in order, target on %s', async node => {
  await world.addRawTarget(node, 't1', 'v1', one => onRequestHead(one, id => {
    one.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`)
  }))
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  let text = ''
  socket.on('data', chunk => { text += String(chunk) })
  socket.on('error', () => undefined)
  socket.write(`POST /upload HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: early\r\nContent-Length: ${LONG_BYTES}\r\n\r\n`)
  socket.write(Buffer.alloc(LONG_BYTES - 500_000, 'a'))
  await waitFor('the early response', () => text.endsWith('ok'))
  socket.write(Buffer.alloc(500_000, 'a'))
  socket.write('GET /read HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: next\r\n\r\n')
  await waitFor('the next response', () => text.split('HTTP/1.1 200').length === 3)
  expect(text).not.toContain(' 400 ')
  await waitFor('the release', () => countWaitingBytes(node) === 0)
  socket.destroy()
})

test.each(NODES)('body over the limit is refused as not run, with a length and in chunks, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer)
  limitBodies()
  for (const isChunked of [false, true]) {
    const { status, headers } = await upload(Buffer.alloc(MAX_BODY_BYTES + 1), isChunked)
    expect([status, headers['lagoon-run'], headers.connection]).toEqual([413, 'not-run', 'close'])
  }
  expect((await upload(BODY, true)).status).toBe(200)
  expect(received).toHaveLength(1)
  expect(countWaitingBytes(node)).toBe(0)
})

test.each(NODES)('body shorter than its length does not reach the target, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer)
  const socket: Socket = connect(world.getNode('n1').port, '127.0.0.1')
  socket.on('error', () => undefined)
  socket.resume()
  socket.write(`POST /upload HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: short\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`)
  socket.write(BODY.subarray(0, BODY_BYTES - 1))
  await waitFor('the body', () => countWaitingBytes(node) >= BODY_BYTES - 1)
  socket.end()
  await waitFor('the release', () => countWaitingBytes(node) === 0)
  expect(received).toEqual([])
  expect(countInFlight(node)).toBe(0)
})

test.each(NODES)('senders of 1 kB a second hold no slot, and small calls keep their latency, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer, 1)
  const senders = Array.from({ length: 12 }, () => {
    const { outgoing, response } = open({ 'content-length': BODY_BYTES })
    const timer = setInterval(() => outgoing.write(BODY.subarray(0, 1_000)), 1_000)
    response.catch(() => undefined)
    outgoing.write(BODY.subarray(0, 20_000))
    return { stop: () => { clearInterval(timer); outgoing.destroy() } }
  })
  await sleep(300)
  const tookMs: number[] = []
  for (let index = 0; index < 60; index++) {
    const startedMs = performance.now()
    expect((await world.call('n1', 'GET', '/read', { 'x-attempt-id': `r${index}` })).status).toBe(200)
    tookMs.push(performance.now() - startedMs)
    expect(countInFlight(node)).toBeLessThanOrEqual(1)
    await sleep(20)
  }
  // Their credit does not stop other uploads either.
  expect((await upload(BODY)).status).toBe(200)
  expect(Math.max(...tookMs)).toBeLessThan(OBJECTIVE_MS)
  for (const { stop } of senders) stop()
})

test.each(NODES)('upload whose target withdraws while its body arrives is refused as not run, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer)
  const { outgoing, response } = open({ 'content-length': BODY_BYTES })
  outgoing.write(BODY.subarray(0, 100_000))
  await waitFor('the first part', () => countWaitingBytes(node) >= 100_000)
  world.getNode(node).role.targets.withdraw('t1')
  expect(await response).toMatchObject({ status: 503, headers: { 'lagoon-run': 'not-run' } })
  expect(countWaitingBytes(node)).toBe(0)
  expect(received).toEqual([])
})

// Targets would be ejected, and new versions taken back, because of callers with slow links.
test.each(NODES)('senders that miss their deadline are no evidence against the target, target on %s', async node => {
  await world.addTarget(node, 't1', 'v1', answer)
  const late = Array.from({ length: 12 }, async () => {
    const { outgoing, response } = open({ 'content-length': BODY_BYTES, 'x-request-deadline': '400' })
    outgoing.write(BODY.subarray(0, 20_000))
    return await response
  })
  const responses = await Promise.all(late)
  expect(responses.map(({ headers }) => headers['lagoon-run'])).toEqual(late.map(() => 'not-run'))
  const { metrics } = world.getNode('n1')
  expect([metrics.readCount('attempts_total', 'neutral'), metrics.readCount('attempts_total', 'failed')]).toEqual([12, 0])
  expect((await upload(BODY)).status).toBe(200)
})
