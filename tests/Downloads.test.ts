/**
 * Large responses on a link: they share it with small calls, and are neither held in memory nor passed on as complete when they break off.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Metrics, NullLog, SystemClock } from '@lagoonswitch/common'
import { PeerLink, PeerServer, type ICallEvents, type ICallHandle, type ICallOpener, type ICallRequest } from '@lagoonswitch/node'
import { LinkListener, PlainCredentials } from '@lagoonswitch/transport'
import { ShapedProxy } from './support/ShapedProxy.js'

/** Link of a small VM: 8.4 Mbit/s. */
const LINK_BYTES_PER_SECOND = 1_050_000
/** Bytes of a response that a node takes from its target before the caller's node has acknowledged some. */
const TARGET_WINDOW_BYTES = 262_144
const CHUNK_BYTES = 65_536
const DOWNLOAD_BYTES = 300_000
const SMALL_BYTES = 5_000
const DOWNLOADS_AT_ONCE = 4
/** Latency objective of a small call. */
const OBJECTIVE_MS = 120
const LOAD = { inFlight: 0, slots: 6, queued: 0, served: 100, serviceMs: 1, isRepeatDenied: false }
const REQUEST: ICallRequest = {
  service: 's',
  version: 'v',
  targetId: 't',
  method: 'GET',
  path: '/small',
  headers: [],
  remainingMs: 20_000,
  callClass: 1,
  owner: 'o',
  body: Buffer.alloc(0),
  isBodyComplete: true,
  slots: 6,
  connections: 6,
  queue: 6,
  callId: 'c1',
  objectiveMs: 0,
  expectedMs: 0,
  isRetryable: true,
  isSpareOnly: false,
  isRepeat: false,
  isBulk: false
}

/** Sends the body of a response as a target does, and stops while the window is used up. */
class StandInResponse implements ICallHandle {
  private _unacknowledgedBytes = 0
  private _isCancelled = false

  constructor (private readonly _events: ICallEvents, private _leftBytes: number) {
    setImmediate(() => {
      _events.onHead(200, [], LOAD)
      this._send()
    })
  }

  sendBody (): boolean { return true }
  endBody (): void {}
  withdraw (): void {}

  cancel (): void {
    this._isCancelled = true
  }

  acknowledge (bytes: number): void {
    this._unacknowledgedBytes -= bytes
    this._send()
  }

  private _send (): void {
    while (!this._isCancelled && this._leftBytes > 0 && this._unacknowledgedBytes < TARGET_WINDOW_BYTES) {
      const bytes = Math.min(CHUNK_BYTES, this._leftBytes)
      this._leftBytes -= bytes
      this._unacknowledgedBytes += bytes
      this._events.onData(Buffer.alloc(bytes, 'd'))
      if (this._leftBytes === 0) this._events.onEnd()
    }
  }
}

const opener: ICallOpener = {
  open: ({ path }, events) => new StandInResponse(events, path === '/download' ? DOWNLOAD_BYTES : SMALL_BYTES)
}

let server: PeerServer
let listener: LinkListener
let proxy: ShapedProxy
let link: PeerLink

beforeEach(async () => {
  const credentials = new PlainCredentials()
  server = new PeerServer(opener, { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  listener = new LinkListener(credentials, socket => server.serve(socket))
  proxy = new ShapedProxy(await listener.listen('127.0.0.1', 0), LINK_BYTES_PER_SECOND)
  link = new PeerLink(`127.0.0.1:${await proxy.listen()}`, {
    credentials, clock: new SystemClock(), log: new NullLog(), metrics: new Metrics()
  })
})

afterEach(() => {
  link.dispose()
  proxy.close()
  listener.close()
})

/** @returns bytes of the body, and the time until its end */
async function call (path: string, isBulk = false): Promise<{ bytes: number, tookMs: number }> {
  const startedMs = performance.now()
  return await new Promise((resolve, reject) => {
    let bytes = 0
    const events: ICallEvents = {
      onHead: () => {},
      onData: chunk => {
        bytes += chunk.length
        handle.acknowledge(chunk.length)
      },
      onEnd: () => resolve({ bytes, tookMs: performance.now() - startedMs }),
      onFailure: failure => reject(new Error(failure.reason)),
      onBodyDrain: () => {}
    }
    const handle: ICallHandle = link.open({ ...REQUEST, path, isBulk }, events)
  })
}

/** Keeps downloads running until the signal is aborted. */
async function runDownloads (isBulk: boolean, signal: AbortSignal): Promise<number> {
  let bytes = 0
  while (!signal.aborted) bytes += (await call('/download', isBulk)).bytes
  return bytes
}

async function measureSmallCalls (isBulk: boolean): Promise<{ tookMs: number[], downloadedBytes: number, elapsedMs: number }> {
  const stopping = new AbortController()
  const startedMs = performance.now()
  const downloads = Array.from({ length: DOWNLOADS_AT_ONCE }, async () => await runDownloads(isBulk, stopping.signal))
  await sleep(300)
  const tookMs: number[] = []
  for (let index = 0; index < 40; index++) {
    tookMs.push((await call('/small')).tookMs)
    await sleep(20)
  }
  stopping.abort()
  const downloadedBytes = (await Promise.all(downloads)).reduce((sum, bytes) => sum + bytes, 0)
  return { tookMs: tookMs.sort((a, b) => a - b), downloadedBytes, elapsedMs: performance.now() - startedMs }
}

test.each([true, false])('small calls keep their latency objective beside downloads on a slow link: declared %s', async isBulk => {
  const { tookMs, downloadedBytes, elapsedMs } = await measureSmallCalls(isBulk)
  expect(tookMs[Math.floor(tookMs.length * 0.95)]).toBeLessThan(OBJECTIVE_MS)
  // The downloads use what the small calls leave.
  expect(downloadedBytes / elapsedMs * 1_000).toBeGreaterThan(0.8 * LINK_BYTES_PER_SECOND)
}, 30_000)

test('response whose target has finished counts as unsent until the link has taken it', async () => {
  const downloads = Promise.all(Array.from({ length: DOWNLOADS_AT_ONCE }, async () => await call('/download', true)))
  await sleep(300)
  expect(server.hasUnsentBytes).toBe(true)
  const received = await downloads
  expect(received.every(({ bytes }) => bytes === DOWNLOAD_BYTES)).toBe(true)
  expect(server.hasUnsentBytes).toBe(false)
}, 30_000)
