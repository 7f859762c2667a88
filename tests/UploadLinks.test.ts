/**
 * Many large request bodies through eight nodes to one target on a slow link: they wait with their senders, share the link with small
 * calls, and follow the old flow control towards a process that grants no credit.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Metrics, NullLog, SystemClock } from '@lagoonswitch/common'
import { PeerLink, PeerServer, type ICallEvents, type ICallHandle, type ICallOpener, type ICallRequest } from '@lagoonswitch/node'
import { PeerFrame } from '@lagoonswitch/schema'
import { BulkWindow, LinkListener, PlainCredentials } from '@lagoonswitch/transport'
import { measureHeldBytes } from './support/Memory.js'
import { ShapedUplink } from './support/ShapedUplink.js'
import { DESK, World } from './support/World.js'

/** Link of a node of the largest site with uploads: 7.7 Mbit/s. */
const LINK_BYTES_PER_SECOND = 962_500
const NODES = 8
const UPLOADS = 40
const BODY = Buffer.alloc(360_000, 'u')
const WORK_MS = 143
/** Latency objective of reads on that site, and their work there. */
const OBJECTIVE_MS = 533
const READ_WORK_MS = 114
/** Credit of the node, and what each sender may read ahead: 64 kB and one read more. */
const MAX_TRANSIT_BYTES = 524_288
const READ_AHEAD_BYTES = 131_072
const MARGIN_BYTES = 8_388_608
const REQUEST: ICallRequest = {
  service: 'desk',
  version: 'v1',
  targetId: 't1',
  method: 'POST',
  path: '/upload',
  headers: [],
  remainingMs: 40_000,
  callClass: 1,
  owner: 'o',
  account: '',
  body: Buffer.alloc(0),
  isBodyComplete: true,
  slots: 4,
  connections: 16,
  queue: 60,
  callId: '',
  objectiveMs: 0,
  expectedMs: 0,
  route: '',
  isRetryable: false,
  isSpareOnly: false,
  isRepeat: false,
  isBulk: false
}

let world: World
let uplink: ShapedUplink
let links: PeerLink[]
let uploaded: number[]
let mostTransitBytes: number

/** Works as long as a call of its kind there. */
function answer (incoming: IncomingMessage, response: ServerResponse): void {
  let bytes = 0
  incoming.on('data', (chunk: Buffer) => { bytes += chunk.length })
  incoming.on('end', () => setTimeout(() => {
    if (incoming.method === 'POST') uploaded.push(bytes)
    response.end(String(bytes))
  }, incoming.method === 'POST' ? WORK_MS : READ_WORK_MS))
}

beforeEach(async () => {
  uploaded = []
  mostTransitBytes = 0
  world = await World.start(['n1'])
  await world.putEntry({ ...DESK, limits: { ...DESK.limits, queue: 60 } })
  await world.addTarget('n1', 't1', 'v1', answer)
  await world.addTarget('n1', 't2', 'v1', answer, 16)
  const { targets, endpoints } = world.getNode('n1').role
  uplink = new ShapedUplink(Number(endpoints.getRecord('t1')?.linkAddress.split(':')[1]), LINK_BYTES_PER_SECOND)
  const address = `127.0.0.1:${await uplink.listen()}`
  links = Array.from({ length: NODES }, () => new PeerLink(address, {
    credentials: new PlainCredentials(),
    clock: new SystemClock(),
    log: new NullLog(),
    metrics: new Metrics(),
    bulkWindow: new BulkWindow()
  }))
  expect(targets.bodyCredit.bodyCount).toBe(0)
})

afterEach(async () => {
  vi.restoreAllMocks()
  for (const link of links) link.dispose()
  uplink.close()
  await world.stop()
})

/** Sends a call and its body as the entry node does: a read of the connection at a time, while the handle takes more. */
async function call (link: PeerLink, request: ICallRequest, body = Buffer.alloc(0)): Promise<number> {
  const startedMs = performance.now()
  return await new Promise((resolve, reject) => {
    let sentBytes = 0
    const sendMore = (): void => {
      while (sentBytes < body.length) {
        const chunk = body.subarray(sentBytes, sentBytes + 65_536)
        sentBytes += chunk.length
        if (!handle.sendBody(chunk)) return
      }
      if (sentBytes === body.length) {
        sentBytes++
        handle.endBody()
      }
    }
    const events: ICallEvents = {
      onHead: status => { if (status !== 200) reject(new Error(String(status))) },
      onData: () => undefined,
      onEnd: () => resolve(performance.now() - startedMs),
      onFailure: ({ reason }) => reject(new Error(reason)),
      onBodyDrain: () => sendMore()
    }
    const handle: ICallHandle = link.open(request, events)
    if (body.length > 0) sendMore()
  })
}

function upload (link: PeerLink): Promise<number> {
  return call(link, { ...REQUEST, isBulkBody: true, bodyBytes: BODY.length, isBodyComplete: false }, BODY)
}

test('40 uploads at once through eight nodes: bounded memory, and small calls on the links within their objective', async () => {
  const before = await measureHeldBytes()
  const { targets } = world.getNode('n1').role
  const sampling = setInterval(() => { mostTransitBytes = Math.max(mostTransitBytes, targets.bodyCredit.transitBytes) }, 1)
  const uploads = Promise.all(Array.from({ length: UPLOADS }, async (_, index) => await upload(links[index % NODES] as PeerLink)))
  const small: Array<Promise<number>> = []
  for (let index = 0; index < 300; index++) {
    // Of a target with free slots, so that only the links are shared.
    const link = links[index % NODES] as PeerLink
    small.push(call(link, { ...REQUEST, targetId: 't2', method: 'GET', path: '/read', slots: 16 }))
    await sleep(30)
    if (index !== 100) continue
    // Forced collections stop the process, which must not count as latency.
    await Promise.all(small)
    const { waitingBytes } = targets.bodyCredit
    expect(await measureHeldBytes() - before).toBeLessThan(waitingBytes + MAX_TRANSIT_BYTES + UPLOADS * READ_AHEAD_BYTES + MARGIN_BYTES)
  }
  const tookMs = (await Promise.all(small)).sort((a, b) => a - b)
  await uploads
  clearInterval(sampling)
  expect(uploaded).toEqual(Array.from({ length: UPLOADS }, () => BODY.length))
  expect(mostTransitBytes).toBeLessThanOrEqual(MAX_TRANSIT_BYTES)
  expect(tookMs[Math.floor(tookMs.length * 0.99)]).toBeLessThan(OBJECTIVE_MS)
  expect(targets.bodyCredit.waitingBytes + targets.bodyCredit.transitBytes).toBe(0)
}, 60_000)

test('all parts of a large body yield to other frames of the link', async () => {
  const { encode } = PeerFrame
  const urgentBytes: number[] = []
  let bulkBytes = 0
  vi.spyOn(PeerFrame, 'encode').mockImplementation((message, writer) => {
    const { frame } = message
    if (frame?.$case === 'open') urgentBytes.push(frame.value.body.length)
    if (frame?.$case === 'data' && frame.value.bulk) bulkBytes += frame.value.chunk.length
    if (frame?.$case === 'data' && !frame.value.bulk) urgentBytes.push(frame.value.chunk.length)
    return encode(message, writer)
  })
  await upload(links[0] as PeerLink)
  expect(bulkBytes).toBe(BODY.length)
  expect(urgentBytes.filter(bytes => bytes > 10)).toEqual([])
})

// An earlier version acknowledges what it has passed on and knows nothing of offers.
test.each([true, false])('body arrives at a process of an earlier version that grants no credit: reports %s', async isReporting => {
  const { encode, decode } = PeerFrame
  let bytes = 0
  const opener: ICallOpener = {
    open: (_request, events) => ({
      sendBody: chunk => {
        bytes += chunk.length
        return true
      },
      endBody: () => {
        events.onHead(200, [], { inFlight: 0, slots: 4, queued: 0, served: 1, serviceMs: 1, isRepeatDenied: false })
        events.onEnd()
      },
      cancel: () => undefined,
      withdraw: () => undefined,
      acknowledge: () => undefined
    })
  }
  vi.spyOn(PeerFrame, 'encode').mockImplementation((message, writer) => {
    if (message.frame?.$case !== 'received') return encode(message, writer)
    const report = { $case: 'received' as const, value: { bytes: message.frame.value.bytes, bodyCredit: false } }
    return encode({ callId: 0, frame: isReporting ? report : { $case: 'ping', value: { reply: true } } }, writer)
  })
  vi.spyOn(PeerFrame, 'decode').mockImplementation(input => {
    const message = decode(input)
    if (message.frame?.$case === 'open') message.frame.value.bulkBody = false
    if (message.frame?.$case === 'offer') message.frame = undefined
    return message
  })
  const server = new PeerServer(opener, { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  const listener = new LinkListener(new PlainCredentials(), socket => server.serve(socket))
  const link = new PeerLink(`127.0.0.1:${await listener.listen('127.0.0.1', 0)}`, {
    credentials: new PlainCredentials(), clock: new SystemClock(), log: new NullLog(), metrics: new Metrics()
  })
  await upload(link)
  expect(bytes).toBe(BODY.length)
  link.dispose()
  listener.close()
})

test('body of a process of an earlier version, which states nothing, arrives without credit', async () => {
  const { bodyCredit } = world.getNode('n1').role.targets
  const sending = call(links[0] as PeerLink, { ...REQUEST, isBodyComplete: false }, BODY)
  await sleep(200)
  expect(bodyCredit.bodyCount).toBe(0)
  await sending
  expect(uploaded).toEqual([BODY.length])
})
