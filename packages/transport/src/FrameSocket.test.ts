import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { beforeEach, expect, test } from 'vitest'
import type { PeerFrame } from '@lagoonswitch/schema'
import { FrameSocket } from './FrameSocket.js'

class FakeSocket extends EventEmitter {
  readonly written: Uint8Array[] = []
  setNoDelay (): void {}
  destroy (): void {}
  end (): void {}
  write (bytes: Uint8Array): void {
    this.written.push(bytes)
  }
}

let sending: FakeSocket
let receiving: FakeSocket
let sender: FrameSocket
let receivedSizes: number[]
let causes: string[]
let links: FakeSocket[]

function createData (bytes: number, callId = 7): PeerFrame {
  return { callId, frame: { $case: 'data', value: { chunk: Buffer.alloc(bytes, 'x'), end: false } } }
}

async function takeWritten (): Promise<Buffer> {
  await new Promise<void>(resolve => process.nextTick(resolve))
  return Buffer.concat(sending.written.splice(0))
}

beforeEach(() => {
  sending = new FakeSocket()
  links = Array.from({ length: 4 }, () => new FakeSocket())
  receiving = links[0] as FakeSocket
  receivedSizes = []
  causes = []
  const listener = { onFrame: () => undefined, onClose: () => undefined }
  sender = new FrameSocket(sending as unknown as Socket, listener)
  for (const link of links) {
    void new FrameSocket(link as unknown as Socket, {
      onFrame: ({ frame }) => { if (frame?.$case === 'data') receivedSizes.push(frame.value.chunk.length) },
      onClose: cause => causes.push(cause)
    })
  }
})

test('frames of one turn are sent in one write, and received whatever the chunks of the stream', async () => {
  const sentSizes = [0, 1, 100, 127, 128, 300, 20_000, 5, 70_000]
  for (const size of sentSizes) sender.send(createData(size))
  await new Promise<void>(resolve => process.nextTick(resolve))
  expect(sending.written).toHaveLength(1)
  const bytes = await takeWritten()
  for (const step of [1, 3, 1_000, bytes.length]) {
    receivedSizes = []
    for (let start = 0; start < bytes.length; start += step) receiving.emit('data', bytes.subarray(start, start + step))
    expect(receivedSizes).toEqual(sentSizes)
  }
  expect(causes).toEqual([])
}, 20_000)

test('frame that can not be encoded leaves no bytes before the next one', async () => {
  sender.send(createData(10))
  expect(() => sender.send(createData(10, 1.5))).toThrow()
  sender.send(createData(20))
  receiving.emit('data', await takeWritten())
  expect(receivedSizes).toEqual([10, 20])
  expect(causes).toEqual([])
})

/** Time without an answer after which other processes send no calls on a link. */
const SUSPECT_SILENCE_MS = 450

test('large frames in small chunks on several links do not hold up the process', async () => {
  sender.send(createData(1_000_000))
  const bytes = await takeWritten()
  const startMs = performance.now()
  for (let start = 0; start < bytes.length; start += 100) {
    for (const link of links) link.emit('data', bytes.subarray(start, start + 100))
  }
  expect(performance.now() - startMs).toBeLessThan(SUSPECT_SILENCE_MS)
  expect(receivedSizes).toEqual([1_000_000, 1_000_000, 1_000_000, 1_000_000])
}, 20_000)

test('length prefix above the limit closes the connection', () => {
  for (const length of [[0x81, 0x80, 0x40], [0xff, 0xff, 0xff, 0xff, 0x7f]]) {
    causes = []
    const socket = new FakeSocket()
    void new FrameSocket(socket as unknown as Socket, { onFrame: () => undefined, onClose: cause => causes.push(cause) })
    socket.emit('data', Buffer.from(length))
    expect(causes).toEqual(['a frame is too large'])
  }
})

/** Reads the frames that were written, and reports their bulk bytes to the sender if wanted. */
async function readChunks (isReporting: boolean): Promise<number[]> {
  receivedSizes = []
  receiving.emit('data', await takeWritten())
  await new Promise<void>(resolve => process.nextTick(resolve))
  const reports = Buffer.concat(receiving.written.splice(0))
  if (isReporting) sending.emit('data', reports)
  return receivedSizes
}

test('bulk chunks wait until the peer has received earlier ones, and other frames do not', async () => {
  await readChunks(true)
  sender.sendBody(1, Buffer.alloc(200_000), true, true)
  sender.send(createData(10))
  const first = await readChunks(false)
  expect(first.at(-1)).toBe(10)
  expect(sum(first)).toBeLessThan(100_000)
  sender.send(createData(20))
  expect(await readChunks(false)).toEqual([20])
})

test('all bulk bytes arrive as the peer reports them', async () => {
  await readChunks(true)
  sender.sendBody(1, Buffer.alloc(200_000), false, true)
  sender.sendBody(1, Buffer.alloc(10_000), false, false)
  sender.sendBody(1, Buffer.alloc(0), true, false)
  const sizes: number[] = []
  for (let next = await readChunks(true); next.length > 0; next = await readChunks(true)) sizes.push(...next)
  expect(sum(sizes)).toBe(210_000)
  expect(Math.max(...sizes)).toBeLessThan(20_000)
})

test('peer that never reports gets everything at once', async () => {
  sender.sendBody(1, Buffer.alloc(200_000), true, true)
  expect(sum(await readChunks(false))).toBe(200_000)
})

test('waiting bytes of a cancelled call are not sent, those of a closed connection are', async () => {
  await readChunks(true)
  sender.sendBody(1, Buffer.alloc(200_000), true, true)
  sender.sendBody(2, Buffer.alloc(50_000), true, true)
  sender.dropBody(1)
  sender.dispose()
  const sizes = await readChunks(false)
  expect(sum(sizes)).toBeGreaterThanOrEqual(50_000)
  expect(sum(sizes)).toBeLessThan(150_000)
})

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
