/**
 * Callers and peer processes that send endless data.
 */
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Metrics, NullLog, SystemClock } from '@lagoonswitch/common'
import { LinkListener, PlainCredentials } from '@lagoonswitch/transport'
import { PeerServer } from '@lagoonswitch/node'
import { PlatformDialect } from '@lagoonswitch/platform'
import { Flood } from './support/Flood.js'
import { DESK, World, waitFor } from './support/World.js'

const DEADLINE_MS = 500
/** Timeout of request heads unless the catalogue states one, and the interval of the check. */
const HEADER_TIMEOUT_MS = 10_000
const HEADER_CHECK_MS = 1_000
/** Time within which a rejected flood must have ended. */
const MAX_CLOSE_MS = 1_000
/** Upper bound for what the socket buffers of a loopback connection hold (tcp_wmem and tcp_rmem), and for the limits of the process. */
const MAX_FLOOD_BYTES = 16_777_216

let world: World
let close: (() => void) | undefined
const sockets: Socket[] = []

beforeEach(async () => {
  world = await World.start(['n1'], '', new PlatformDialect())
  await world.putEntry(DESK)
})

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  close?.()
  close = undefined
  await world.stop()
})

async function open (port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => undefined)
  sockets.push(socket)
  await once(socket, 'connect')
  return socket
}

async function listenForLinks (): Promise<number> {
  const context = { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() }
  const server = new PeerServer({ open: () => { throw new Error('no call was sent') } }, context)
  const listener = new LinkListener(new PlainCredentials(), socket => server.serve(socket))
  close = () => listener.close()
  return await listener.listen('127.0.0.1', 0)
}

/** @returns time from the first byte to the end of the connection, bytes sent and text received */
async function runFlood (port: number, start: string, pattern: string): Promise<{ tookMs: number, bytes: number, text: string }> {
  const socket = await open(port)
  let text = ''
  socket.on('data', chunk => { text += chunk.toString('latin1') })
  const startMs = Date.now()
  const flood = new Flood(socket, start, pattern)
  await waitFor('the end of the flood', () => flood.closedMs !== undefined)
  return { tookMs: (flood.closedMs ?? Infinity) - startMs, bytes: flood.bytes, text }
}

const HEAD = `POST /once HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: c1\r\nX-Request-Deadline: ${DEADLINE_MS}\r\n`
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`

test.each([
  ['request line', 'GET /', 'a'],
  ['header name', HEAD, 'x'],
  ['header value', `${HEAD}X-A: `, 'a'],
  ['headers', HEAD, 'X-A: a\r\n'],
  ['rubbish', '', 'rubbish ']
] as const)('connection with an endless request head is closed: %s', async (_name, start, pattern) => {
  const { tookMs, bytes } = await runFlood(world.getNode('n1').port, start, pattern)
  expect(tookMs).toBeLessThan(MAX_CLOSE_MS)
  expect(bytes).toBeLessThan(MAX_FLOOD_BYTES)
})

test.each([
  ['header of spaces', `${HEAD}X-A:`, ' '],
  ['empty lines', '', '\r\n']
] as const)('connection with an endless request head that does not grow is closed at the header timeout: %s', async (_name, start, pattern) => {
  const { tookMs, text } = await runFlood(world.getNode('n1').port, start, pattern)
  expect(tookMs).toBeLessThan(HEADER_TIMEOUT_MS + HEADER_CHECK_MS + MAX_CLOSE_MS)
  expect(text).toMatch(/^HTTP\/1.1 408 /)
})

test.each([
  ['chunk size of zeros', CHUNKED, '0'],
  ['chunk extension', `${CHUNKED}6;x=`, 'a'],
  ['trailer', `${CHUNKED}6\r\na part\r\n0\r\n`, 'X-A: a\r\n'],
  ['trailer line of spaces', `${CHUNKED}6\r\na part\r\n0\r\nX-A:`, ' ']
] as const)('connection with endless body framing is closed by the deadline of the call: %s', async (_name, start, pattern) => {
  const { tookMs } = await runFlood(world.getNode('n1').port, start, pattern)
  expect(tookMs).toBeLessThan(DEADLINE_MS + MAX_CLOSE_MS)
})

test.each([
  ['length too large', '\x80\x80\x80\x01'],
  ['endless length', '\x80']
])('link with an oversized frame is closed: %s', async (_name, start) => {
  const { tookMs, bytes } = await runFlood(await listenForLinks(), start, '\x80')
  expect(tookMs).toBeLessThan(MAX_CLOSE_MS)
  expect(bytes).toBeLessThan(MAX_FLOOD_BYTES)
})
