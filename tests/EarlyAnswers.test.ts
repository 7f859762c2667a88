/**
 * Targets that respond before they have read a long request body.
 */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { PlatformDialect } from '@lagoonswitch/platform'
import { DESK, World, waitFor } from './support/World.js'

const DEADLINE_MS = 1_500
const READ_ON_MS = 300
/** Enough to fill the buffers between the caller and the target. */
const BODY_BYTES = 7_000_000
let world: World
let socket: Socket
let received = ''
let isClosed = false

beforeEach(async () => {
  world = await World.start(['n1', 'n2'], '', new PlatformDialect())
  await world.putEntry(DESK)
  received = ''
  isClosed = false
  socket = connect(world.getNode('n1').port, '127.0.0.1')
  socket.on('data', chunk => { received += String(chunk) })
  socket.on('error', () => undefined)
  socket.on('close', () => { isClosed = true })
})

afterEach(async () => {
  socket.destroy()
  await world.stop()
})

/** Adds a target that responds to each head at once, stops reading, and reads on later. */
async function addTarget (node: string): Promise<void> {
  await world.addRawTarget(node, 't1', 'v1', one => one.on('data', chunk => {
    const id = /x-attempt-id: (\S+)/i.exec(String(chunk))?.[1]
    if (id === undefined) return
    one.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`)
    one.pause()
    setTimeout(() => one.resume(), READ_ON_MS)
  }), 4)
}

function sendHead (id: string, fields: string): void {
  socket.write(`POST /once HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: ${id}\r\nX-Request-Deadline: ${DEADLINE_MS}\r\n${fields}\r\n`)
}

function countResponses (): number {
  return received.split('HTTP/1.1 200').length - 1
}

// The body was not read on after the response, so nothing that followed on the connection was read either.
test.each(['n1', 'n2'])('next request after a long body that was answered early is answered, target on %s', async node => {
  await addTarget(node)
  for (let count = 1; count <= 3; count++) {
    sendHead(`long${count}`, `Content-Length: ${BODY_BYTES}\r\n`)
    socket.write(Buffer.alloc(BODY_BYTES, 'a'))
    sendHead(`next${count}`, 'Content-Length: 0\r\n')
    await waitFor('both responses', () => countResponses() === 2 * count)
  }
  expect(isClosed).toBe(false)
})

test('connection whose body does not end by the deadline after an early response is closed', async () => {
  await addTarget('n1')
  sendHead('long', `Content-Length: ${BODY_BYTES}\r\n`)
  socket.write(Buffer.alloc(100_000, 'a'))
  await waitFor('the response', () => countResponses() === 1)
  await sleep(DEADLINE_MS / 2)
  expect(isClosed).toBe(false)
  await waitFor('the end of the connection', () => isClosed)
})

test('early response survives the close of a connection whose caller sends on beyond the deadline and reads late', async () => {
  await addTarget('n1')
  socket.pause()
  sendHead('long', `Content-Length: ${BODY_BYTES}\r\n`)
  const timer = setInterval(() => socket.write(Buffer.alloc(1_000, 'a')), 50)
  await sleep(DEADLINE_MS + 500)
  clearInterval(timer)
  socket.resume()
  await waitFor('the end of the connection', () => isClosed)
  expect(countResponses()).toBe(1)
})
