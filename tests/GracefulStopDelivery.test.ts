/**
 * Responses that callers have not received yet when a stopping node has nothing left to send.
 */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World } from './support/World.js'

const STOP_MS = 6_000
/** Small enough for the buffers of a connection, so that the node has sent it although nobody reads. */
const RESPONSE_BYTES = 600_000
/** Later than the end of a stop that waits for no caller. */
const READ_AFTER_MS = 3_500
let world: World

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, deadline: '10s' } })
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    response.end(Buffer.alloc(Number(request.headers['x-bytes']), 'a'))
  })
})

afterEach(async () => { await world.stop() })

/** A caller at the level of sockets. */
class RawCaller {
  readonly socket: Socket
  receivedBytes = 0
  readonly closed: Promise<void>

  constructor (port: number, isHalfOpen = false) {
    this.socket = connect({ port, host: '127.0.0.1', allowHalfOpen: isHalfOpen })
    this.socket.on('error', () => undefined)
    this.closed = new Promise(resolve => this.socket.on('close', () => resolve()))
    this.socket.pause()
  }

  send (bytes: number): void {
    this.socket.write(`GET /read HTTP/1.1\r\nhost: a\r\nx-bytes: ${bytes}\r\n\r\n`)
  }

  read (): void {
    this.socket.on('data', (chunk: Buffer) => { this.receivedBytes += chunk.length })
    this.socket.resume()
  }
}

test('unread response survives a request that crosses the close of its connection at a graceful stop', async () => {
  const caller = new RawCaller(world.getNode('n1').port)
  caller.send(RESPONSE_BYTES)
  await sleep(300)
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  // The node closes 2.5 s after the beginning of the stop.
  await sleep(2_800)
  caller.send(1)
  await sleep(200)
  caller.read()
  await Promise.all([caller.closed, stopping])
  expect(caller.receivedBytes).toBeGreaterThan(RESPONSE_BYTES)
}, 20_000)

test('graceful stop lasts until a caller that reads late has its response', async () => {
  const caller = new RawCaller(world.getNode('n1').port)
  caller.send(RESPONSE_BYTES)
  await sleep(300)
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await Promise.race([sleep(READ_AFTER_MS), stopping])
  caller.read()
  await stopping
  expect(caller.receivedBytes).toBeGreaterThan(RESPONSE_BYTES)
}, 20_000)

test('graceful stop lasts until a caller has a large response although it has sent its next request before', async () => {
  const caller = new RawCaller(world.getNode('n1').port)
  caller.send(RESPONSE_BYTES)
  await sleep(300)
  caller.send(1)
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await Promise.race([sleep(READ_AFTER_MS), stopping])
  caller.read()
  await stopping
  expect(caller.receivedBytes).toBeGreaterThan(RESPONSE_BYTES)
}, 20_000)

// The first caller's response is so old that it is not waited for, the second one's is not.
test('connection with an unread response is not reset while a graceful stop waits for another caller', async () => {
  const { port } = world.getNode('n1')
  const callers = [new RawCaller(port), new RawCaller(port)]
  callers[0]?.send(5_000)
  callers[1]?.send(RESPONSE_BYTES)
  await sleep(300)
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(2_800)
  callers[0]?.send(1)
  await sleep(200)
  callers[0]?.send(1)
  await sleep(200)
  for (const caller of callers) caller.read()
  await Promise.all([...callers.map(async ({ closed }) => await closed), stopping])
  expect(callers[0]?.receivedBytes).toBeGreaterThan(5_000)
}, 20_000)

test('graceful stop is not longer for a caller that has its response and keeps the connection', async () => {
  const caller = new RawCaller(world.getNode('n1').port, true)
  caller.read()
  caller.send(5_000)
  await sleep(300)
  const startMs = performance.now()
  await world.getNode('n1').role.stop(STOP_MS)
  expect(performance.now() - startMs).toBeLessThan(STOP_MS / 2)
}, 20_000)
