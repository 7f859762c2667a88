/**
 * Responses that a node still delivers during a graceful stop.
 */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World } from './support/World.js'

const STOP_MS = 6_000
/** Sizes of the responses tried, starting below what a connection between two processes buffers. */
const INITIAL_BYTES = 1_000_000
const GROWTH_STEP_BYTES = 500_000
const SHRINK_STEP_BYTES = 50_000
let world: World

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, deadline: '10s' } })
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    response.end(Buffer.alloc(Number(request.headers['x-bytes']), 'a'))
  })
})

afterEach(async () => { await world.stop() })

/** Requests a response of that size and does not read it. */
function requestWithoutReading (bytes: number): Socket {
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  socket.on('error', () => undefined)
  socket.pause()
  socket.write(`GET /read HTTP/1.1\r\nhost: a\r\nx-bytes: ${bytes}\r\n\r\n`)
  return socket
}

async function countRunning (): Promise<number> {
  const text = await world.getNode('n1').metrics.format()
  return Number(/^lagoonswitch_calls_running (\d+)/m.exec(text)?.[1])
}

/** Finds a response that the target has sent completely while the node still buffers its last bytes for the caller. */
async function findUndeliveredResponse (): Promise<{ socket: Socket, bytes: number }> {
  let bytes = INITIAL_BYTES
  for (let isGrowing = true; bytes > 0; bytes += isGrowing ? GROWTH_STEP_BYTES : -SHRINK_STEP_BYTES) {
    const socket = requestWithoutReading(bytes)
    await sleep(200)
    const running = await countRunning()
    if (running === 0 && !isGrowing) return { socket, bytes }
    if (running > 0) isGrowing = false
    socket.destroy()
    await sleep(30)
  }
  throw new Error('found no response that the node still buffers')
}

test('response buffered for a slow reader when a graceful stop begins arrives complete', async () => {
  const { socket, bytes } = await findUndeliveredResponse()
  const stopping = world.getNode('n1').role.stop(STOP_MS)
  await sleep(4_000)
  let received = 0
  const closed = new Promise(resolve => socket.on('close', resolve))
  socket.on('data', (chunk: Buffer) => { received += chunk.length })
  socket.resume()
  await Promise.race([closed, stopping])
  await sleep(100)
  socket.destroy()
  expect(received).toBeGreaterThan(bytes)
}, 60_000)
