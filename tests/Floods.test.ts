/**
 * Targets that send endless data, either instead of a response or as part of one.
 */
import { request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeAll, beforeEach, expect, test } from 'vitest'
import { FLOW_WINDOW_BYTES } from '@lagoonswitch/node'
import { PlatformDialect } from '@lagoonswitch/platform'
import { Flood, onRequestHead } from './support/Flood.js'
import { measureHeldBytes } from './support/Memory.js'
import { DESK, World, waitFor, type IResponse } from './support/World.js'

const DEADLINE_MS = 2_000
/** Bound for failures that are detected before the deadline; well below it even on a busy machine. */
const MAX_EARLY_MS = 1_200
/** Upper bound for what the socket buffers of a loopback connection hold (tcp_wmem and tcp_rmem), and for the limits of the process. */
const MAX_FLOOD_BYTES = 16_777_216
/** One flow control window each at the target, on the link and at the caller, and a margin for the memory of the test itself. */
const MAX_HELD_BYTES = 3 * FLOW_WINDOW_BYTES + 4_194_304
const MAX_CLOSE_MS = 500

let world: World
let floods: Flood[] = []
let requests = 0
let calls = 0

async function startWorld (): Promise<void> {
  floods = []
  requests = 0
  world = await World.start(['n1', 'n2'], '', new PlatformDialect())
  await world.putEntry(DESK)
}

// Runs an unmeasured flood first, since just-in-time compilation in a new process would count as CPU time in the first test.
beforeAll(async () => {
  await startWorld()
  await addTarget('t0', (socket, id) => flood(socket, formatResponse(id).slice(0, 1), 'a'))
  for (let index = 0; index < 2; index++) await call('POST', '/once')
  await world.stop()
})

beforeEach(startWorld)

afterEach(async () => { await world.stop() })

function formatResponse (id: string, body = 'ok'): string {
  return `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

type SocketAction = (socket: Socket, id: string) => void

/** Adds a target with one slot that runs an action for its first request and responds to all others. */
async function addTarget (id: string, action: SocketAction): Promise<void> {
  let isFirst = true
  await world.addRawTarget('n2', id, 'v1', socket => onRequestHead(socket, callId => {
    requests++
    if (isFirst) action(socket, callId)
    else socket.write(formatResponse(callId))
    isFirst = false
  }), 1)
}

function flood (socket: Socket, start: string, pattern: string): void {
  floods.push(new Flood(socket, start, pattern))
}

async function call (method: string, path: string, body = ''): Promise<IResponse | 'cut'> {
  try {
    return await world.call('n1', method, path, {
      'x-attempt-id': `f${calls++}`, 'x-request-deadline': String(DEADLINE_MS), 'content-length': String(body.length)
    }, body)
  } catch {
    return 'cut'
  }
}

async function measureMs (run: () => Promise<void>): Promise<number> {
  const startMs = Date.now()
  await run()
  return Date.now() - startMs
}

/** Checks that the floods end promptly and that few bytes were accepted. */
async function expectFloodEnds (maxBytes = MAX_FLOOD_BYTES): Promise<void> {
  const startMs = Date.now()
  await waitFor('the end of the flood', () => floods.length > 0 && floods.every(({ closedMs }) => closedMs !== undefined))
  expect(Date.now() - startMs).toBeLessThan(MAX_CLOSE_MS)
  for (const { bytes } of floods) expect(bytes).toBeLessThan(maxBytes)
}

/** Checks that the only slot is free again and that the process uses little CPU time. */
async function expectServing (): Promise<void> {
  expect(await call('POST', '/once')).toMatchObject({ status: 200, body: 'ok' })
  const before = process.cpuUsage()
  await sleep(300)
  const { user, system } = process.cpuUsage(before)
  expect((user + system) / 1_000).toBeLessThan(150)
}

/** Start of a response head; ID stands for the call ID. */
const OK_HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n'
const CHUNKED = `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`

const HEADS = [
  ['status line', 'HTTP/1.1 200 ', 'O'],
  ['status line without a code', 'HTTP/1.1', ' '],
  ['header name', OK_HEAD, 'x'],
  ['header value', `${OK_HEAD}X-A: `, 'a'],
  ['header of spaces', `${OK_HEAD}X-A:`, ' '],
  ['headers', OK_HEAD, 'X-A: a\r\n'],
  ['informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['informational responses with headers', '', `HTTP/1.1 103 Early Hints\r\nLink: ${'a'.repeat(900)}\r\n\r\n`],
  ['informational head', 'HTTP/1.1 103 Early Hints\r\nLink: ', 'a'],
  ['empty lines', '', '\r\n'],
  ['rubbish', '', 'rubbish ']
] as const

test.each(HEADS)('endless response head is rejected before the deadline: %s', async (_name, start, pattern) => {
  await addTarget('t1', (socket, id) => flood(socket, start.replace('ID', id), pattern))
  let reply: IResponse | 'cut' = 'cut'
  const tookMs = await measureMs(async () => { reply = await call('POST', '/once') })
  expect(reply).toMatchObject({ status: 502 })
  expect(JSON.parse((reply as unknown as IResponse).body).run).toBe('unknown')
  expect(tookMs).toBeLessThan(MAX_EARLY_MS)
  expect(requests).toBe(1)
  await expectFloodEnds()
  await expectServing()
})

test.each(HEADS)('read is retried at another target after an endless response head: %s', async (_name, start, pattern) => {
  const action: SocketAction = (socket, id) => {
    if (floods.length === 0) flood(socket, start.replace('ID', id), pattern)
    else socket.write(formatResponse(id))
  }
  await addTarget('t1', action)
  await addTarget('t2', action)
  expect(await call('GET', '/read')).toMatchObject({ status: 200, body: 'ok' })
  expect(requests).toBe(2)
  await expectFloodEnds()
})

const FRAMINGS = [
  ['chunk size of zeros', CHUNKED, '0'],
  ['chunk extension', `${CHUNKED}6;x=`, 'a'],
  ['extension of a later chunk', `${CHUNKED}6\r\na part\r\n6;x=`, 'a'],
  ['extensions of small chunks', CHUNKED, `1;x=${'a'.repeat(16_000)}\r\nx\r\n`],
  ['trailer', `${CHUNKED}6\r\na part\r\n0\r\n`, 'X-A: a\r\n'],
  ['trailer line', `${CHUNKED}6\r\na part\r\n0\r\nX-A: `, 'a'],
  ['trailer line of spaces', `${CHUNKED}6\r\na part\r\n0\r\nX-A:`, ' ']
] as const

test.each(FRAMINGS)('endless body framing is cut before the deadline: %s', async (_name, start, pattern) => {
  await addTarget('t1', (socket, id) => flood(socket, start.replace('ID', id), pattern))
  const tookMs = await measureMs(async () => { expect(await call('POST', '/once')).toBe('cut') })
  expect(tookMs).toBeLessThan(MAX_EARLY_MS)
  expect(requests).toBe(1)
  await expectFloodEnds()
  await expectServing()
})

const EXTRA_DATA = [
  ['more body', 'x'],
  ['empty lines', '\r\n'],
  ['informational responses', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['whole responses', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno']
] as const

test.each(EXTRA_DATA)('data after a complete response is discarded with its connection: %s', async (_name, pattern) => {
  await addTarget('t1', (socket, id) => flood(socket, formatResponse(id), pattern))
  expect(await call('POST', '/once')).toMatchObject({ status: 200, body: 'ok' })
  await expectFloodEnds()
  await expectServing()
})

test.each(EXTRA_DATA)('data on an idle connection closes it: %s', async (_name, pattern) => {
  await addTarget('t1', (socket, id) => {
    socket.write(formatResponse(id))
    setTimeout(() => flood(socket, '', pattern), 100)
  })
  expect(await call('POST', '/once')).toMatchObject({ status: 200, body: 'ok' })
  await waitFor('the flood', () => floods.length > 0)
  await expectFloodEnds()
  await expectServing()
})

test('overruns are counted by when they occurred', async () => {
  const { metrics } = world.getNode('n2')
  await addTarget('t1', (socket, id) => {
    socket.write(formatResponse(id))
    setTimeout(() => flood(socket, '', '\r\n'), 100)
  })
  await call('POST', '/once')
  await waitFor('the count', () => metrics.readCount('target_overruns_total', 'idle') === 1)
  await addTarget('t2', socket => flood(socket, `${OK_HEAD}X-A:`, ' '))
  await waitFor('the count', async () => {
    await call('POST', '/once')
    return metrics.readCount('target_overruns_total', 'answer') === 1
  })
})

test.each(EXTRA_DATA.slice(0, 3))('data before the complete request is not taken as a response: %s', async (_name, pattern) => {
  await addTarget('t1', socket => flood(socket, '', pattern))
  const tookMs = await measureMs(async () => { expect(await call('POST', '/once', 'a'.repeat(4_000_000))).toMatchObject({ status: 502 }) })
  expect(tookMs).toBeLessThan(MAX_EARLY_MS)
  await expectFloodEnds()
  await expectServing()
})

test('call whose refusal has an endless body is retried at another target as not run', async () => {
  const start = 'HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nConnection: close\r\n\r\n'
  await addTarget('t1', (socket, id) => {
    if (floods.length === 0) flood(socket, start, 'x')
    else socket.write(formatResponse(id))
  })
  await addTarget('t2', (socket, id) => {
    if (floods.length === 0) flood(socket, start, 'x')
    else socket.write(formatResponse(id))
  })
  const tookMs = await measureMs(async () => { expect(await call('POST', '/once')).toMatchObject({ status: 200, body: 'ok' }) })
  expect(tookMs).toBeLessThan(MAX_EARLY_MS)
  await expectFloodEnds()
})

test('call whose refusal has a stalled body is reported as not run', async () => {
  await addTarget('t1', socket => socket.write('HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nx'))
  const reply = await call('POST', '/once') as IResponse
  expect(JSON.parse(reply.body).run).toBe('not-run')
})

const BODIES = [
  ['without a length', `${OK_HEAD}Connection: close\r\n\r\n`, 'x'],
  ['in chunks', CHUNKED, `4000\r\n${'x'.repeat(0x4000)}\r\n`],
  ['in chunks of a byte', CHUNKED, '1\r\nx\r\n']
] as const

/** Reads a response; a slow reader takes one chunk and then pauses. */
async function readResponse (isSlow: boolean): Promise<{ isCut: boolean, tookMs: number }> {
  const startMs = Date.now()
  const { port } = world.getNode('n1')
  const headers = { 'x-attempt-id': `f${calls++}`, 'x-request-deadline': String(DEADLINE_MS) }
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    request({ host: '127.0.0.1', port, method: 'POST', path: '/once', headers, agent: false }, resolve).on('error', reject).end()
  })
  return await new Promise(resolve => {
    const finish = (isCut: boolean): void => resolve({ isCut, tookMs: Date.now() - startMs })
    response.on('error', () => finish(true))
    response.on('end', () => finish(false))
    response.once('data', () => {
      if (isSlow) response.pause()
      // A paused reader notices the end only after it resumes.
      if (isSlow) setTimeout(() => response.resume(), DEADLINE_MS + 500)
    })
    response.on('data', () => {})
  })
}

test.each(BODIES)('endless body is cut at the deadline for a fast reader: %s', async (_name, start, pattern) => {
  await addTarget('t1', (socket, id) => flood(socket, start.replace('ID', id), pattern))
  const reading = readResponse(false)
  await waitFor('the flood', () => floods.length > 0)
  const { isCut, tookMs } = await reading
  expect(isCut).toBe(true)
  expect(tookMs).toBeLessThan(DEADLINE_MS + MAX_CLOSE_MS)
  await expectFloodEnds(Infinity)
  await expectServing()
})

test.each(BODIES)('endless body is subject to backpressure from a slow reader: %s', async (_name, start, pattern) => {
  await addTarget('t1', (socket, id) => flood(socket, start.replace('ID', id), pattern))
  const before = await measureHeldBytes()
  const reading = readResponse(true)
  await waitFor('the flood', () => floods.length > 0)
  await sleep(DEADLINE_MS / 4)
  const grown = await measureHeldBytes() - before
  const { isCut } = await reading
  expect(isCut).toBe(true)
  expect(grown).toBeLessThan(MAX_HELD_BYTES)
  await expectFloodEnds(Infinity)
  await expectServing()
})

test('other calls are served during an endless response', async () => {
  await addTarget('t1', (socket, id) => flood(socket, `${OK_HEAD}Connection: close\r\n\r\n`.replace('ID', id), 'x'))
  const reading = readResponse(false)
  await waitFor('the flood', () => floods.length > 0)
  await addTarget('t2', (socket, id) => socket.write(formatResponse(id)))
  for (let index = 0; index < 5; index++) expect(await call('GET', '/read')).toMatchObject({ status: 200 })
  expect((await reading).isCut).toBe(true)
})

test('flood ends when its caller disconnects', async () => {
  await addTarget('t1', (socket, id) => flood(socket, `${OK_HEAD}Connection: close\r\n\r\n`.replace('ID', id), 'x'))
  const { port } = world.getNode('n1')
  const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path: '/once', headers: { 'x-attempt-id': 'gone' }, agent: false })
  outgoing.on('error', () => undefined).end()
  await waitFor('the flood', () => floods.length > 0)
  outgoing.destroy()
  await expectFloodEnds(Infinity)
  await expectServing()
})
