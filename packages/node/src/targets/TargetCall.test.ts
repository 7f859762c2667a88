import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { SystemClock } from '@lagoonswitch/common'
import { LagoonDialect } from '../calls/CallDialect.js'
import { FLOW_WINDOW_BYTES, type ICallEvents, type ICallRequest } from '../calls/CallTypes.js'
import { LocalTarget } from './LocalTarget.js'
import { TargetCall } from './TargetCall.js'

const CLOSE = 'HTTP/1.1 200 OK\r\nConnection: close\r\n'
const HOLD_MS = 30
/** The flow control window is full before the end of a body, with its last bytes, or not at all. */
const BODY_BYTES = [FLOW_WINDOW_BYTES - 1, FLOW_WINDOW_BYTES, FLOW_WINDOW_BYTES + 100, 300_000, 700_000]
/** A head, the body and what follows it, of a length. */
type Format = (bytes: number) => string

const REQUEST: ICallRequest = {
  service: 'desk',
  version: 'v1',
  targetId: 't1',
  method: 'GET',
  path: '/',
  headers: [],
  remainingMs: 3_000,
  callClass: 'first',
  callId: '',
  objectiveMs: 0,
  expectedMs: 0,
  route: '',
  isRetryable: false,
  isSpareOnly: false,
  isRepeat: false,
  isBulk: false,
  owner: 'o',
  account: '',
  body: Buffer.alloc(0),
  isBodyComplete: true,
  slots: 1,
  connections: 1,
  queue: 9
}

let server: Server | undefined
let target: LocalTarget | undefined

afterEach(() => {
  target?.dispose()
  server?.close()
})

async function startTarget (respond: (socket: Socket) => void): Promise<LocalTarget> {
  const listening = createServer(socket => {
    socket.on('error', () => undefined)
    socket.on('data', () => respond(socket))
  })
  server = listening
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve))
  const { port } = listening.address() as AddressInfo
  const announcement = {
    id: 't1', service: 'desk', version: 'v1', address: `127.0.0.1:${port}`, slots: 1, connections: 1, instance: ''
  }
  target = new LocalTarget(announcement, new SystemClock(), () => undefined)
  return target
}

/** Runs a call whose receiver acknowledges what fills the window with a delay; returns the outcome and the bytes received. */
async function run (local: LocalTarget): Promise<{ outcome: string, bytes: number }> {
  return await new Promise(resolve => {
    let bytes = 0
    let unacknowledgedBytes = 0
    const events: ICallEvents = {
      onHead: () => {},
      onData: chunk => {
        bytes += chunk.length
        unacknowledgedBytes += chunk.length
        if (unacknowledgedBytes < FLOW_WINDOW_BYTES) return
        const held = unacknowledgedBytes
        unacknowledgedBytes = 0
        setTimeout(() => call.acknowledge(held), HOLD_MS)
      },
      onEnd: () => resolve({ outcome: 'whole', bytes }),
      onFailure: ({ reason }) => resolve({ outcome: reason, bytes }),
      onBodyDrain: () => {}
    }
    const call = new TargetCall(local, REQUEST, events, new SystemClock(), new LagoonDialect(), { onFinished: () => {} })
  })
}

function formatChunk (bytes: number): string {
  return `${bytes.toString(16)}\r\n${'f'.repeat(bytes)}\r\n`
}

// A response that its receiver holds back is not parsed on. The end of the connection in this state was an error that ended the process.
test.each<[string, Format]>([
  ['a length', bytes => `${CLOSE}Content-Length: ${bytes}\r\n\r\n${'f'.repeat(bytes)}`],
  ['chunks', bytes => `${CLOSE}Transfer-Encoding: chunked\r\n\r\n${formatChunk(bytes)}0\r\n\r\n`],
  ['no length', bytes => `${CLOSE}\r\n${'f'.repeat(bytes)}`]
])('response with %s that is held back while its target closes the connection arrives whole', async (_name, format) => {
  let bytes = 0
  const local = await startTarget(socket => socket.end(format(bytes)))
  for (bytes of BODY_BYTES) expect(await run(local)).toEqual({ outcome: 'whole', bytes })
})

test.each<[string, Format]>([
  ['a length', bytes => `${CLOSE}Content-Length: ${bytes + 1}\r\n\r\n${'f'.repeat(bytes)}`],
  ['chunks', bytes => `${CLOSE}Transfer-Encoding: chunked\r\n\r\n${formatChunk(bytes)}`]
])('response with %s that ends early while it is held back is not whole', async (_name, format) => {
  let bytes = 0
  const local = await startTarget(socket => socket.end(format(bytes)))
  for (bytes of BODY_BYTES) expect((await run(local)).outcome).toBe('broken')
})

test.each([0, HOLD_MS / 2, HOLD_MS * 2])('response without a length that is reset %s ms after its last byte is not whole', async delayMs => {
  let bytes = 0
  const local = await startTarget(socket => {
    socket.write(`${CLOSE}\r\n${'f'.repeat(bytes)}`, () => setTimeout(() => socket.resetAndDestroy(), delayMs))
  })
  for (bytes of BODY_BYTES) expect((await run(local)).outcome).toBe('broken')
})

test('connection is used again after a response that was held back', async () => {
  let connections = 0
  const local = await startTarget(socket => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n${'f'.repeat(700_000)}`))
  server?.on('connection', () => { connections++ })
  for (let count = 0; count < 5; count++) {
    expect(await run(local)).toEqual({ outcome: 'whole', bytes: 700_000 })
    await sleep(5)
  }
  expect(connections).toBe(1)
})

// The client library reconnected at once for a request that was aborted, which was an attempt to connect without a slot.
test('call that is broken off holds its slot until its connection is closed, and opens no other one', async () => {
  const sockets = { opened: 0, closed: 0 }
  const local = await startTarget(() => {})
  server?.on('connection', socket => {
    sockets.opened++
    socket.on('close', () => { sockets.closed++ })
  })
  const events: ICallEvents = { onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: () => {}, onBodyDrain: () => {} }
  for (let calls = 1; calls <= 5; calls++) {
    const call = new TargetCall(local, REQUEST, events, new SystemClock(), new LagoonDialect(), { onFinished: () => {} })
    await sleep(20)
    expect(sockets).toEqual({ opened: calls, closed: calls - 1 })
    call.cancel()
    expect(local.slotLimiter.load.inFlight).toBe(1)
    while (local.slotLimiter.load.inFlight > 0) await sleep(1)
    expect(sockets).toEqual({ opened: calls, closed: calls })
  }
})

/** Listens with the shortest queue of connections and accepts none while it is stopped. */
const LISTENER = `
const server = require('node:net').createServer(socket => { socket.on('error', () => {}) })
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => process.stdout.write(server.address().port + '\\n'))`

// The slot was given back at once although the attempt went on.
test('attempt to connect that hangs holds a slot, and ends with its call', async () => {
  const child = spawn(process.execPath, ['-e', LISTENER], { stdio: ['ignore', 'pipe', 'inherit'] })
  const fillers: Socket[] = []
  try {
    const [line] = await once(child.stdout, 'data') as [Buffer]
    const port = Number(line.toString())
    child.kill('SIGSTOP')
    let isFull = false
    while (!isFull && fillers.length < 10) {
      const filler = connect(port, '127.0.0.1')
      filler.on('error', () => undefined)
      fillers.push(filler)
      isFull = await Promise.race([once(filler, 'connect').then(() => false), sleep(200).then(() => true)])
    }
    expect(isFull).toBe(true)
    const announcement = { id: 't1', service: 'desk', version: 'v1', address: `127.0.0.1:${port}`, slots: 1, connections: 1, instance: '' }
    target = new LocalTarget(announcement, new SystemClock(), () => undefined)
    const { slotLimiter } = target
    const events: ICallEvents = { onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: () => {}, onBodyDrain: () => {} }
    const call = new TargetCall(target, REQUEST, events, new SystemClock(), new LagoonDialect(), { onFinished: () => {} })
    await sleep(50)
    expect(slotLimiter.load.inFlight).toBe(1)
    const connectingSocket = (call as unknown as { _connection: { _connectingSocket: Socket } })._connection._connectingSocket
    expect(connectingSocket.connecting).toBe(true)
    call.cancel()
    await new Promise(resolve => setImmediate(() => setImmediate(resolve)))
    expect([slotLimiter.load.inFlight, connectingSocket.destroyed]).toEqual([1, true])
    await sleep(50)
    expect(slotLimiter.load.inFlight).toBe(0)
  } finally {
    for (const filler of fillers) filler.destroy()
    child.kill('SIGCONT')
    child.kill('SIGKILL')
  }
})
