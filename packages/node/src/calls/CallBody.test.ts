import { createServer, request, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { beforeEach, expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { CallBody } from './CallBody.js'
import type { ICallHandle } from './CallTypes.js'

const MAX_BUFFERED_BYTES = 16_384
const BODY = Buffer.alloc(20_000, 'x')

class BodyHandle implements ICallHandle {
  bytes = 0
  ends = 0
  /** True if the source of the body must wait after each part. */
  isFull = false

  sendBody (chunk: Buffer): boolean {
    this.bytes += chunk.length
    return !this.isFull
  }

  endBody (): void { this.ends++ }
  cancel (): void {}
  withdraw (): void {}
  acknowledge (): void {}
}

let handle: BodyHandle
let isSocketClosed: boolean

/** Creates a request whose parts have arrived before anything reads them. */
function createRequest (parts: readonly Buffer[], isWhole: boolean): IncomingMessage {
  const stream = new Readable({ read: () => {} })
  for (const part of parts) stream.push(part)
  if (isWhole) stream.push(null)
  return Object.assign(stream, { headers: {}, socket: { destroySoon: () => { isSocketClosed = true } } }) as unknown as IncomingMessage
}

/** Lets a stream emit what it has. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await new Promise(resolve => setImmediate(resolve))
}

async function buffer (body: CallBody): Promise<void> {
  await new Promise<void>(resolve => { body.buffer(MAX_BUFFERED_BYTES, resolve) })
}

beforeEach(() => {
  handle = new BodyHandle()
  isSocketClosed = false
})

// Guards against a call that never ends: its body had arrived whole before it was read, and ended before it was streamed.
test('end that comes before the body is streamed is passed on', async () => {
  const body = new CallBody(createRequest([BODY], true))
  await buffer(body)
  await settle()
  body.stream(() => handle)
  await settle()
  expect([body.bytes.length, handle.bytes, handle.ends, body.hasEnded]).toEqual([20_000, 0, 1, true])
})

test('end that comes while the body is streamed is passed on once', async () => {
  const incoming = createRequest([BODY], false)
  const body = new CallBody(incoming)
  await buffer(body)
  body.stream(() => handle)
  incoming.push(BODY)
  incoming.push(null)
  await settle()
  body.stream(() => handle)
  await settle()
  expect([handle.bytes, handle.ends]).toEqual([20_000, 1])
})

test('end is passed on although the target asks the source to wait', async () => {
  handle.isFull = true
  const incoming = createRequest([BODY], false)
  const body = new CallBody(incoming)
  await buffer(body)
  body.stream(() => handle)
  incoming.push(BODY)
  incoming.push(null)
  await settle()
  body.resume()
  await settle()
  expect([handle.bytes, handle.ends]).toEqual([20_000, 1])
})

test.each([true, false])('body over its limit is not ended, whole at once: %s', async isWhole => {
  let tooLarge = 0
  const incoming = createRequest([BODY], isWhole)
  const body = new CallBody(incoming)
  body.limit(isWhole ? 18_000 : 30_000, () => tooLarge++)
  body.buffer(MAX_BUFFERED_BYTES, () => {})
  await settle()
  body.stream(() => handle)
  if (!isWhole) {
    incoming.push(BODY)
    incoming.push(null)
  }
  await settle()
  expect([tooLarge, handle.ends]).toEqual([1, 0])
})

test('body that has ended before it is discarded leaves the connection open', async () => {
  const clock = new ManualClock()
  const body = new CallBody(createRequest([BODY], true))
  await buffer(body)
  await settle()
  body.discard(clock, 1_000)
  await clock.advance(10_000)
  expect(isSocketClosed).toBe(false)
})

test('body that has not ended closes the connection once it is discarded for too long', async () => {
  const clock = new ManualClock()
  const body = new CallBody(createRequest([BODY], false))
  await buffer(body)
  expect(body.hasEnded).toBe(false)
  body.discard(clock, 1_000)
  await clock.advance(10_000)
  expect(isSocketClosed).toBe(true)
})

test('bodies of a real server end, whenever they are read', async () => {
  const handles: BodyHandle[] = []
  const server = createServer((incoming, response) => {
    void (async () => {
      if (handles.length % 2 === 1) await sleep(5)
      const own = new BodyHandle()
      handles.push(own)
      const body = new CallBody(incoming)
      await buffer(body)
      await settle()
      own.bytes += body.bytes.length
      if (body.isComplete) own.ends++
      body.stream(() => own)
      await sleep(50)
      response.end()
    })()
  }).listen(0, '127.0.0.1')
  await new Promise(resolve => server.once('listening', resolve))
  const { port } = server.address() as AddressInfo
  const sizes = Array.from({ length: 40 }, (_, index) => 1_000 + index * 2_000)
  for (const size of sizes) {
    await new Promise<void>((resolve, reject) => {
      const outgoing = request({ host: '127.0.0.1', port, method: 'POST', agent: false }, incoming => {
        incoming.resume()
        incoming.on('end', resolve)
      })
      outgoing.on('error', reject)
      outgoing.end(Buffer.alloc(size, 'x'))
    })
  }
  server.close()
  expect(handles.map(({ bytes, ends }) => [bytes, ends])).toEqual(sizes.map(size => [size, 1]))
})
