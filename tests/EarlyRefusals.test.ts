/**
 * Refusals of requests whose callers are still sending the body.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World } from './support/World.js'

const BODY_BYTES = 8_000_000
let world: World

beforeEach(async () => {
  world = await World.start(['n1'])
  await world.putEntry(DESK)
})

afterEach(async () => { await world.stop() })

/** @returns what a caller receives that reads only after it has written all it can */
async function sendLargeBody (path: string): Promise<string> {
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  let received = ''
  socket.on('error', () => undefined)
  const closed = new Promise(resolve => socket.on('close', resolve))
  socket.pause()
  socket.write(`POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`)
  socket.write(Buffer.alloc(BODY_BYTES))
  await sleep(300)
  socket.on('data', chunk => { received += String(chunk) })
  socket.resume()
  await closed
  return received
}

test.each([['/unknown', 404], ['/once', 503]])('refusal reaches a caller that is still sending its body: %s %i', async (path, status) => {
  expect(await sendLargeBody(path)).toMatch(`HTTP/1.1 ${status}`)
}, 20_000)
