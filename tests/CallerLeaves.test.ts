/**
 * Callers that disconnect before their call is sent to a target; the call must not reach one afterwards.
 */
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { MessageChannel, Worker, receiveMessageOnPort } from 'node:worker_threads'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { PeerLink } from '@lagoonswitch/node'
import { EndpointState, type PeerFrame } from '@lagoonswitch/schema'
import { FrameSocket, LinkListener, PlainCredentials } from '@lagoonswitch/transport'
import { DESK, World, waitFor } from './support/World.js'

const MAX_BLOCKED_MS = 10_000
const NO_BYTES = Buffer.alloc(0)
const RESPONSE_FRAME: PeerFrame['frame'] = {
  $case: 'head',
  value: {
    status: 200,
    headers: [],
    body: NO_BYTES,
    end: true,
    inFlight: 0,
    slots: 4,
    queued: 0,
    served: 1,
    serviceMs: 1,
    repeatDenied: false,
    expectedMs: 0,
    nestedMs: 0,
    room: 0
  }
}
const REFUSAL_FRAME: PeerFrame['frame'] = {
  $case: 'failure', value: { reason: 'draining', notRun: true, retryAfterMs: 0, inFlight: 0, slots: 4, queued: 0 }
}

let world: World
let listener: LinkListener
/** IDs of the targets of the calls that arrived over the link, in order. */
let openedTargetIds: string[]
let onOpen: (send: (frame: PeerFrame['frame']) => void) => void

/** Simulates a peer process with two targets, which records the calls that it receives. */
async function startPeer (sequence: number): Promise<void> {
  listener = new LinkListener(new PlainCredentials(), (socket: Socket) => {
    const frames: FrameSocket = new FrameSocket(socket, {
      onFrame: ({ callId, frame }) => {
        if (frame?.$case === 'ping') frames.send({ callId, frame: { $case: 'ping', value: { reply: true } } })
        if (frame?.$case !== 'open') return
        openedTargetIds.push(frame.value.targetId)
        onOpen(reply => frames.send({ callId, frame: reply }))
      },
      onClose: () => {}
    })
  })
  const port = await listener.listen('127.0.0.1', 0)
  world.getNode('n1').role.endpoints.merge(['t1', 't2'].map(targetId => ({
    targetId,
    incarnation: 1,
    sequence,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 'desk',
    version: 'v1',
    linkAddress: `127.0.0.1:${port}`,
    region: 'r1',
    availabilityZone: 'z1',
    slots: 4,
    node: 'peer',
    warmupMs: 0,
    targetBorn: 0,
    targetSequence: 0,
    withdrawn: false
  })))
}

/** Blocks the event loop of this process until the check holds. */
function blockThreadUntil (check: () => boolean): void {
  const endMs = performance.now() + MAX_BLOCKED_MS
  while (!check()) {
    if (performance.now() > endMs) throw new Error('the callers did not disconnect in time')
  }
}

async function waitForClosedCalls (count: number): Promise<void> {
  const { metrics } = world.getNode('n1')
  await waitFor('the end of the calls', () => metrics.readCount('calls_total', 'closed') === count)
}

async function connectCaller (): Promise<Socket> {
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  await once(socket, 'connect')
  socket.write('GET /read HTTP/1.1\r\nhost: x\r\n\r\n')
  return socket
}

beforeEach(async () => {
  world = await World.start(['n1'])
  await world.putEntry(DESK)
  openedTargetIds = []
  onOpen = send => send(RESPONSE_FRAME)
  await startPeer(1)
  expect((await world.call('n1', 'GET', '/read')).status).toBe(200)
  openedTargetIds = []
})

afterEach(async () => {
  vi.restoreAllMocks()
  listener.close()
  await world.stop()
})

test('call whose caller has disconnected by the time it is read is not sent over the link', async () => {
  const socket = await connectCaller()
  socket.destroy()
  await waitForClosedCalls(1)
  await sleep(100)
  expect(openedTargetIds).toEqual([])
})

test('calls of callers that connect and disconnect while the process is blocked do not reach the targets', async () => {
  const { port1: receivePort, port2: sendPort } = new MessageChannel()
  const worker = new Worker(new URL('./support/leavingCallers.mjs', import.meta.url), {
    workerData: { port: world.getNode('n1').port, count: 40, sendPort }, transferList: [sendPort]
  })
  blockThreadUntil(() => receiveMessageOnPort(receivePort) !== undefined)
  await Promise.all([once(worker, 'exit'), waitForClosedCalls(40)])
  await sleep(100)
  expect(openedTargetIds).toEqual([])
})

test('call whose caller disconnected while a target refused it is not sent to another target', async () => {
  onOpen = send => {
    if (openedTargetIds.length > 1) return
    send(REFUSAL_FRAME)
    // The refusal is sent before the caller closes its connection; the process reads both in its next event loop turn.
    setImmediate(() => socket.destroy())
  }
  const socket = await connectCaller()
  await waitFor('the call on the link', () => openedTargetIds.length > 0)
  await sleep(200)
  expect(openedTargetIds).toHaveLength(1)
})

test('call whose caller disconnected while the link was being opened is not sent over it', async () => {
  listener.close()
  await startPeer(2)
  const open = PeerLink.prototype.open
  vi.spyOn(PeerLink.prototype, 'open').mockImplementation(function (this: PeerLink, ...args) {
    socket.destroy()
    return open.apply(this, args)
  })
  const socket = await connectCaller()
  await waitForClosedCalls(1)
  await sleep(100)
  expect(openedTargetIds).toEqual([])
})
