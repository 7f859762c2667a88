/**
 * Links to a process that goes silent, with calls on them.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { generate } from 'selfsigned'
import { Metrics, NullLog, SystemClock } from '@lagoonswitch/common'
import { LinkListener, MutualTlsCredentials, PlainCredentials, type LinkCredentials } from '@lagoonswitch/transport'
import { PeerLink, PeerServer, type ICallFailure, type ICallOpener, type ICallRequest } from '@lagoonswitch/node'
import { HoldingProxy } from './support/HoldingProxy.js'

const DEADLINE_MS = 4_000
/** Silence that is known, and one ping interval more, with the time until a check. */
const SUSPECT_MS = 450
const GIVE_UP_MS = 650
const CHECK_MS = 350
/** Silence after which the connection is closed. */
const MAX_SILENCE_MS = 3_000
const LOAD = { inFlight: 0, slots: 1, queued: 0, served: 1, serviceMs: 1, isRepeatDenied: false }

interface IOutcome {
  text: string | undefined
  failure: ICallFailure | undefined
  ms: number
}

let opened: string[]
let cancelled: string[]
let metrics: Metrics
let listener: LinkListener
let server: PeerServer
let proxy: HoldingProxy
let link: PeerLink
/** Answers the call with a path. */
let answer: Map<string, () => void>
const disposals: Array<() => void> = []

const opener: ICallOpener = {
  open ({ path }, events) {
    opened.push(path)
    answer.set(path, () => {
      events.onHead(200, [], LOAD)
      events.onData(Buffer.from(path))
      events.onEnd()
    })
    return { sendBody: () => true, endBody () {}, cancel () { cancelled.push(path) }, withdraw () {}, acknowledge () {} }
  }
}

async function start (credentials: LinkCredentials): Promise<void> {
  server = new PeerServer(opener, { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  listener = new LinkListener(credentials, socket => server.serve(socket))
  proxy = new HoldingProxy(await listener.listen('127.0.0.1', 0))
  const port = await proxy.listen()
  metrics = new Metrics()
  link = new PeerLink(`127.0.0.1:${port}`, { credentials, clock: new SystemClock(), log: new NullLog(), metrics })
}

beforeEach(async () => {
  opened = []
  cancelled = []
  answer = new Map()
  await start(new PlainCredentials())
})

afterEach(() => {
  link.dispose()
  proxy.close()
  listener.close()
  for (const dispose of disposals.splice(0)) dispose()
})

async function call (path: string, isRetryable = false): Promise<IOutcome> {
  const request: ICallRequest = {
    service: 's',
    version: 'v',
    targetId: 't',
    method: 'GET',
    path,
    headers: [],
    remainingMs: DEADLINE_MS,
    callClass: 1,
    owner: 'o',
    account: '',
    body: Buffer.alloc(0),
    isBodyComplete: true,
    slots: 1,
    connections: 1,
    queue: 1,
    callId: path,
    objectiveMs: 0,
    expectedMs: 0,
    route: '',
    isRetryable,
    isSpareOnly: false,
    isRepeat: false,
    isBulk: false
  }
  const startedMs = performance.now()
  return await new Promise(resolve => {
    let text = ''
    link.open(request, {
      onHead: () => {},
      onData: chunk => { text += chunk.toString() },
      onEnd: () => resolve({ text, failure: undefined, ms: performance.now() - startedMs }),
      onFailure: failure => resolve({ text: undefined, failure, ms: performance.now() - startedMs }),
      onBodyDrain: () => {}
    })
  })
}

/** Opens the link with a call that is answered. */
async function openLink (): Promise<void> {
  const first = call('first')
  while (!answer.has('first')) await sleep(5)
  answer.get('first')?.()
  expect((await first).text).toBe('first')
}

async function openCall (path: string, isRetryable = false): Promise<Promise<IOutcome>[]> {
  const running = call(path, isRetryable)
  while (!answer.has(path)) await sleep(5)
  return [running]
}

test.each([['may be repeated', true], ['may not be repeated', false]])('call on a link that goes silent ends early as unknown: %s', async (_name, isRetryable) => {
  await openLink()
  const [running] = await openCall('a', isRetryable)
  proxy.hold()
  const heldMs = performance.now()
  expect((await running)?.failure).toMatchObject({ reason: 'link-silent', isNotRun: false })
  const silentMs = performance.now() - heldMs
  expect(silentMs).toBeGreaterThan(GIVE_UP_MS - 50)
  expect(silentMs).toBeLessThan(GIVE_UP_MS + CHECK_MS)
  expect(metrics.readCount('links_silent_total', 'open')).toBe(1)
})

test('call on a link that answers again in time gets its answer', async () => {
  await openLink()
  const [running] = await openCall('a')
  proxy.hold()
  await sleep(SUSPECT_MS)
  proxy.release()
  await sleep(GIVE_UP_MS)
  answer.get('a')?.()
  expect(await running).toMatchObject({ text: 'a', failure: undefined })
})

test('call whose opening frame is in a buffer of the network is not reported as not run', async () => {
  await openLink()
  proxy.hold()
  const outcome = await call('a')
  expect(outcome.failure).toMatchObject({ reason: 'link-silent', isNotRun: false })
  expect(opened).toEqual(['first'])
  proxy.release()
  await sleep(100)
  // It did reach the other process, with its cancellation behind it.
  expect([opened, cancelled]).toEqual([['first', 'a'], ['a']])
})

test('late answer on a link that answers again is dropped and its call cancelled', async () => {
  await openLink()
  const [running] = await openCall('a')
  proxy.hold()
  answer.get('a')?.()
  expect((await running)?.failure).toMatchObject({ reason: 'link-silent', isNotRun: false })
  proxy.release()
  await sleep(100)
  const [next] = await openCall('b')
  answer.get('b')?.()
  expect((await next)?.text).toBe('b')
  expect(metrics.readCount('late_answers_total', 'link')).toBe(1)
  expect(metrics.readCount('links_silent_total', 'answered')).toBe(1)
})

test('running call is cancelled at the other end once a silent link answers again', async () => {
  await openLink()
  const [running] = await openCall('a')
  proxy.hold()
  await running
  expect(cancelled).toEqual([])
  proxy.release()
  await sleep(100)
  expect(cancelled).toEqual(['a'])
})

test('call on a link that is known to be silent is refused at once and never sent', async () => {
  await openLink()
  const [running] = await openCall('a')
  proxy.hold()
  await running
  const outcome = await call('b')
  expect(outcome.failure).toMatchObject({ reason: 'link-silent', isNotRun: true })
  expect(outcome.ms).toBeLessThan(50)
  proxy.release()
  await sleep(100)
  expect(opened).toEqual(['first', 'a'])
})

test('call on a link that does not open ends as not run once the silence is known', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'links-'))
  disposals.push(() => { void rm(folder, { recursive: true }) })
  const pems = await generate([{ name: 'commonName', value: 'own' }], {
    keySize: 2048, extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
  })
  const files = { caFile: join(folder, 'ca'), certFile: join(folder, 'cert'), keyFile: join(folder, 'key') }
  await writeFile(files.caFile, pems.cert)
  await writeFile(files.certFile, pems.cert)
  await writeFile(files.keyFile, pems.private)
  proxy.close()
  listener.close()
  const credentials = new MutualTlsCredentials(files)
  disposals.push(() => credentials.dispose())
  await start(credentials)
  proxy.hold()
  const outcome = await call('a')
  expect(outcome.failure).toMatchObject({ reason: 'unreachable', isNotRun: true })
  expect(outcome.ms).toBeGreaterThan(SUSPECT_MS - 1)
  expect(outcome.ms).toBeLessThan(SUSPECT_MS + CHECK_MS)
  expect(link.isReachable).toBe(false)
  // The attempt goes on, so that a slow handshake opens the link in the end.
  proxy.release()
  await sleep(200)
  expect(link.isReachable).toBe(true)
  await openLink()
  expect(opened).toEqual(['first'])
})

// A VM that loses power while its process stops never closes its connections. Its successor at the same address got no calls.
test('link whose other process stopped silently is closed, and calls reach the successor', async () => {
  await openLink()
  server.drain()
  while ((await call('draining')).failure?.reason !== 'draining') await sleep(5)
  proxy.hold()
  await sleep(MAX_SILENCE_MS + CHECK_MS)
  server = new PeerServer(opener, { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  proxy.release()
  const [next] = await openCall('b')
  answer.get('b')?.()
  expect((await next)?.text).toBe('b')
})

test('call goes on when its own process stood still', async () => {
  await openLink()
  const [running] = await openCall('a')
  for (let count = 0; count < 3; count++) {
    await sleep(300)
    const endMs = performance.now() + 1_000
    while (performance.now() < endMs);
    expect(link.isReachable).toBe(true)
  }
  answer.get('a')?.()
  expect(await running).toMatchObject({ text: 'a', failure: undefined })
  expect(metrics.readCount('links_silent_total', 'open')).toBe(0)
})
