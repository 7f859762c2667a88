/**
 * Links that carry large request bodies when nothing arrives for a while: the bytes ahead of a ping extend the time for its answer.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Metrics, NullLog, SystemClock } from '@lagoonswitch/common'
import { BulkWindow, LinkListener, PlainCredentials } from '@lagoonswitch/transport'
import { PeerLink, PeerServer, type ICallEvents, type ICallHandle, type ICallOpener, type ICallRequest } from '@lagoonswitch/node'
import { ShapedUplink } from './support/ShapedUplink.js'

const BODY = Buffer.alloc(360_000, 'u')
/** Uploads at a time; each has 64 kB in transit, and together they need 524 ms at 4 Mbit/s. */
const UPLOADS = 4
const TRANSIT_BYTES = 262_144
/** Silence after which calls end; a ping is sent at most two intervals of 200 ms after the last bytes, and checks are 50 ms apart. */
const GIVE_UP_MS = 650
const PING_DELAY_MS = 200
const CHECK_MS = 150
/** Longer than the silence after which calls end, by less than the bytes in transit need. */
const HOLD_MS = 1_000
/** Link of a node of the largest site with uploads: 7.7 Mbit/s. */
const LINK_BYTES_PER_SECOND = 962_500
/** 4 Mbit/s. */
const LOW_BYTES_PER_SECOND = 500_000
const TRANSIT_MS = 524
const LOAD = { inFlight: 0, slots: 1, queued: 0, served: 1, serviceMs: 1, isRepeatDenied: false }
const REQUEST: ICallRequest = {
  service: 's',
  version: 'v',
  targetId: 't',
  method: 'POST',
  path: '/upload',
  headers: [],
  remainingMs: 6_000,
  callClass: 1,
  owner: 'o',
  account: '',
  body: Buffer.alloc(0),
  isBodyComplete: false,
  isBulkBody: true,
  bodyBytes: BODY.length,
  slots: 1,
  connections: 1,
  queue: 1,
  callId: 'c',
  objectiveMs: 0,
  expectedMs: 0,
  route: '',
  isRetryable: false,
  isSpareOnly: false,
  isRepeat: false,
  isBulk: false
}

/** As of a process that sends to no other one. */
class WideWindow extends BulkWindow {
  override get linkBytes (): number { return TRANSIT_BYTES }
}

let metrics: Metrics
let listener: LinkListener
let uplink: ShapedUplink
let link: PeerLink
let receivedBytes: number
let isGranting: boolean
let grants: Array<() => void>

/** Grants credit for all that is offered, and answers when the body has ended. */
const opener: ICallOpener = {
  open (request, events) {
    const answer = (): void => {
      events.onHead(200, [], LOAD)
      events.onEnd()
    }
    if (request.isBodyComplete) setImmediate(answer)
    return {
      offerBody (bytes) {
        const grant = (): void => events.onBodyCredit?.(bytes)
        if (isGranting) grant()
        else grants.push(grant)
      },
      sendBody (chunk) {
        receivedBytes += chunk.length
        return true
      },
      endBody: answer,
      cancel () {},
      withdraw () {},
      acknowledge () {}
    }
  }
}

beforeEach(async () => {
  receivedBytes = 0
  isGranting = true
  grants = []
  metrics = new Metrics()
  const server = new PeerServer(opener, { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  const credentials = new PlainCredentials()
  listener = new LinkListener(credentials, socket => server.serve(socket))
  uplink = new ShapedUplink(await listener.listen('127.0.0.1', 0), LINK_BYTES_PER_SECOND)
  link = new PeerLink(`127.0.0.1:${await uplink.listen()}`, {
    credentials, clock: new SystemClock(), log: new NullLog(), metrics, bulkWindow: new WideWindow()
  })
  expect((await upload()).failure).toBeUndefined()
})

afterEach(() => {
  link.dispose()
  uplink.close()
  listener.close()
})

interface IEnd {
  readonly failure: string | undefined
  readonly ms: number
}

async function callWithWholeBody (): Promise<IEnd> {
  return await call({ ...REQUEST, body: BODY, isBodyComplete: true, isBulkBody: false }, Buffer.alloc(0))
}

async function upload (): Promise<IEnd> {
  return await call(REQUEST, BODY)
}

async function call (request: ICallRequest, body: Buffer): Promise<IEnd> {
  const startedMs = performance.now()
  return await new Promise(resolve => {
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
      onHead: () => {},
      onData: () => {},
      onEnd: () => resolve({ failure: undefined, ms: performance.now() - startedMs }),
      onFailure: ({ reason }) => resolve({ failure: reason, ms: performance.now() - startedMs }),
      onBodyDrain: () => sendMore()
    }
    const handle: ICallHandle = link.open(request, events)
    if (!request.isBodyComplete) sendMore()
  })
}

/** Starts uploads whose bytes the link takes but does not pass on, like a slow one that is full of bytes of other senders. */
async function holdUploads (): Promise<{ running: Array<ReturnType<typeof upload>>, heldMs: number }> {
  isGranting = false
  const running = Array.from({ length: UPLOADS }, upload)
  while (grants.length < UPLOADS) await sleep(1)
  uplink.bytesPerSecond = 0
  isGranting = true
  for (const grant of grants) grant()
  return { running, heldMs: performance.now() }
}

// Without the rule, the sender gives up after 900 ms at the latest, while the bodies are on their way.
test('link is not silent while a ping waits behind the parts of large bodies', async () => {
  const { running } = await holdUploads()
  await sleep(HOLD_MS)
  uplink.bytesPerSecond = LINK_BYTES_PER_SECOND
  expect((await Promise.all(running)).map(({ failure }) => failure)).toEqual(Array.from({ length: UPLOADS }))
  expect(receivedBytes).toBe((1 + UPLOADS) * BODY.length)
})

// The bytes in transit must not hide a process that is gone.
test('link that carries large bodies is silent once their parts would have arrived at 4 Mbit/s', async () => {
  const { running, heldMs } = await holdUploads()
  expect((await Promise.all(running)).map(({ failure }) => failure)).toEqual(Array.from({ length: UPLOADS }, () => 'link-silent'))
  const silentMs = performance.now() - heldMs
  expect(silentMs).toBeGreaterThan(GIVE_UP_MS + TRANSIT_MS - CHECK_MS)
  expect(silentMs).toBeLessThan(GIVE_UP_MS + TRANSIT_MS + PING_DELAY_MS + CHECK_MS)
  expect(metrics.readCount('links_silent_total', 'open')).toBe(1)
})

// The body is in one frame, of which nothing shows at the sender that it arrives.
test('link is not silent while whole bodies of 360 kB arrive at 4 Mbit/s', async () => {
  uplink.bytesPerSecond = LOW_BYTES_PER_SECOND
  const ends = await Promise.all([callWithWholeBody(), callWithWholeBody()])
  expect(ends.map(({ failure }) => failure)).toEqual([undefined, undefined])
  expect(ends[1].ms).toBeGreaterThan(2 * BODY.length / LOW_BYTES_PER_SECOND * 1_000 * 0.9)
  expect(metrics.readCount('links_silent_total', 'open')).toBe(0)
})
