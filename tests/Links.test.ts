import { connect, type Socket } from 'node:net'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { generate } from 'selfsigned'
import { Metrics, NullLog, SystemClock } from '@lagoonswitch/common'
import { FeedClient, FeedService, type ConfirmReply, type ConfirmRequest } from '@lagoonswitch/schema'
import {
  FrameSocket, LinkListener, MutualTlsCredentials, PeerChannels, PeerListener, PlainCredentials, createUnaryHandler, sendUnary,
  type LinkCredentials
} from '@lagoonswitch/transport'
import type { ICallEvents, ICallFailure, ICallOpener, ICallRequest } from '@lagoonswitch/node'
import { PeerLink, PeerServer } from '@lagoonswitch/node'

const REQUEST: ICallRequest = {
  service: 's',
  version: 'v',
  targetId: 't',
  method: 'GET',
  path: '/',
  headers: [],
  remainingMs: 2_000,
  callClass: 1,
  owner: 'o',
  body: Buffer.alloc(0),
  isBodyComplete: true,
  slots: 1,
  connections: 1,
  queue: 1,
  callId: 'c1',
  objectiveMs: 0,
  expectedMs: 0,
  route: '',
  isRetryable: false,
  isSpareOnly: false,
  isRepeat: false,
  isBulk: false
}

let opened = 0
const opener: ICallOpener = {
  open (_request, events) {
    opened++
    setImmediate(() => {
      events.onHead(200, [], { inFlight: 0, slots: 1, queued: 0, served: 1, serviceMs: 1 })
      events.onEnd()
    })
    return { sendBody: () => true, endBody () {}, cancel () {}, acknowledge () {} }
  }
}

let folder: string
let listener: LinkListener | undefined
const links: PeerLink[] = []

async function listen (credentials: LinkCredentials, onSocket?: (socket: Socket) => void): Promise<number> {
  const server = new PeerServer(opener, { clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  listener = new LinkListener(credentials, onSocket ?? (socket => server.serve(socket)))
  return await listener.listen('127.0.0.1', 0)
}

async function call (port: number, credentials: LinkCredentials): Promise<number | ICallFailure> {
  const link = new PeerLink(`127.0.0.1:${port}`, { credentials, clock: new SystemClock(), log: new NullLog(), metrics: new Metrics() })
  links.push(link)
  return await new Promise(resolve => {
    let head = 0
    const events: ICallEvents = {
      onHead: status => { head = status },
      onData: () => {},
      onEnd: () => resolve(head),
      onFailure: failure => resolve(failure),
      onBodyDrain: () => {}
    }
    link.open(REQUEST, events)
  })
}

async function createCredentials (name: string, subject = name): Promise<MutualTlsCredentials> {
  const pems = await generate([{ name: 'commonName', value: subject }], {
    keySize: 2048, extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
  })
  const files = { caFile: join(folder, `${name}-ca`), certFile: join(folder, `${name}-cert`), keyFile: join(folder, `${name}-key`) }
  await writeFile(files.caFile, pems.cert)
  await writeFile(files.certFile, pems.cert)
  await writeFile(files.keyFile, pems.private)
  return new MutualTlsCredentials(files)
}

beforeEach(async () => {
  opened = 0
  folder = await mkdtemp(join(tmpdir(), 'links-'))
})

afterEach(async () => {
  for (const link of links.splice(0)) link.dispose()
  listener?.close()
  await rm(folder, { recursive: true })
})

test('call over a plain link succeeds', async () => {
  const credentials = new PlainCredentials()
  expect(await call(await listen(credentials), credentials)).toBe(200)
})

test('call over mutual TLS succeeds', async () => {
  const credentials = await createCredentials('one')
  expect(await call(await listen(credentials), credentials)).toBe(200)
  credentials.dispose()
})

test('peer with a foreign certificate or without TLS is refused and its call is not run', async () => {
  const own = await createCredentials('one')
  const foreignCredentials = await createCredentials('two')
  const port = await listen(own)
  expect(await call(port, foreignCredentials)).toMatchObject({ isNotRun: true })
  expect(await call(port, new PlainCredentials())).toMatchObject({ reason: 'link-lost' })
  expect(opened).toBe(0)
  own.dispose()
  foreignCredentials.dispose()
})

test('renewed keys of the gRPC listener take effect without a restart', async () => {
  const own = await createCredentials('own', 'first')
  const server = new PeerListener(own)
  server.addService(FeedService, {
    subscribe: () => {},
    confirm: createUnaryHandler(async () => ({ confirmed: true, version: undefined, message: '', withdrawals: [] }))
  })
  const port = await server.listen('127.0.0.1', 0)
  const confirm = async (credentials: LinkCredentials): Promise<boolean> => {
    const channels = new PeerChannels(credentials)
    const client = channels.getClient(FeedClient, `127.0.0.1:${port}`)
    const reply = await sendUnary<ConfirmRequest, ConfirmReply>(client.confirm.bind(client), { nodes: [] }, 1_000)
      .catch(() => undefined)
    channels.dispose()
    return reply?.confirmed === true
  }
  expect(await confirm(own)).toBe(true)
  const old = { createClientCredentials: ((credentials) => () => credentials)(own.createClientCredentials()), onChanged: own.onChanged }
  const renewed = await createCredentials('own', 'second')
  const endMs = Date.now() + 10_000
  while (!await confirm(renewed) && Date.now() < endMs) await sleep(50)
  expect(await confirm(renewed)).toBe(true)
  expect(await confirm(old as unknown as LinkCredentials)).toBe(false)
  own.dispose()
  renewed.dispose()
  server.close()
}, 30_000)

test('call to a port without a listener is certainly not run', async () => {
  const credentials = new PlainCredentials()
  const port = await listen(credentials)
  listener?.close()
  expect(await call(port, credentials)).toMatchObject({ reason: 'unreachable', isNotRun: true })
})

test('call whose connection is cut after it was sent is never reported as not run', async () => {
  const port = await listen(new PlainCredentials(), socket => { socket.on('data', () => socket.destroy()) })
  expect(await call(port, new PlainCredentials())).toMatchObject({ reason: 'link-lost', isNotRun: false })
})

test('call to a process that was never heard of fails as unknown well before its deadline', async () => {
  const port = await listen(new PlainCredentials(), () => {})
  const startedMs = performance.now()
  expect(await call(port, new PlainCredentials())).toMatchObject({ reason: 'link-silent', isNotRun: false })
  expect(performance.now() - startedMs).toBeLessThan(1_200)
})

test('call to a live process that does not answer fails at its deadline', async () => {
  const port = await listen(new PlainCredentials(), socket => {
    const frames: FrameSocket = new FrameSocket(socket, {
      onFrame: ({ frame }) => {
        if (frame?.$case === 'ping') frames.send({ callId: 0, frame: { $case: 'ping', value: { reply: true } } })
      },
      onClose: () => {}
    })
  })
  expect(await call(port, new PlainCredentials())).toMatchObject({ reason: 'deadline', isNotRun: false })
})

test('random bytes on a link do not affect another link', async () => {
  const port = await listen(new PlainCredentials())
  await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), async bytes => {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => undefined)
    await once(socket, 'connect')
    socket.write(bytes)
    await sleep(1)
    socket.destroy()
  }), { seed: 21, numRuns: 100 })
  expect(await call(port, new PlainCredentials())).toBe(200)
})

test('frames arrive complete however their bytes are split', async () => {
  const credentials = new PlainCredentials()
  const received: number[] = []
  const port = await listen(credentials, socket => {
    const frames = new FrameSocket(socket, { onFrame: frame => received.push(frame.callId), onClose: () => {} })
    void frames
  })
  const bytes: Buffer[] = []
  const collector = { setNoDelay () {}, on () {}, write: (chunk: Buffer) => bytes.push(Buffer.from(chunk)) } as unknown as Socket
  const sender = new FrameSocket(collector, { onFrame: () => {}, onClose: () => {} })
  for (let callId = 1; callId <= 20; callId++) {
    sender.send({ callId, frame: { $case: 'data', value: { chunk: Buffer.alloc(callId * 10, 1), end: false } } })
  }
  await sleep(5)
  const all = Buffer.concat(bytes)
  const socket = connect({ port, host: '127.0.0.1', noDelay: true })
  for (let offset = 0; offset < all.length; offset += 37) {
    socket.write(all.subarray(offset, offset + 37))
    await sleep(1)
  }
  await sleep(50)
  socket.destroy()
  expect(received).toEqual(Array.from({ length: 20 }, (_, index) => index + 1))
})

// A process of another version may pass on what its target sent.
test.each([0, 99, 100, 199, 600, 999, 70_000])('head on a link with a status that is none is not passed on: %s', async status => {
  const port = await listen(new PlainCredentials(), socket => {
    const frames: FrameSocket = new FrameSocket(socket, {
      onFrame: ({ callId, frame }) => {
        if (frame?.$case !== 'open') return
        frames.send({
          callId,
          frame: {
            $case: 'head',
            value: {
              status,
              headers: [],
              body: Buffer.from('x'),
              end: true,
              inFlight: 0,
              slots: 1,
              queued: 0,
              served: 1,
              serviceMs: 1,
              repeatDenied: false,
              expectedMs: 0,
              nestedMs: 0,
              room: 0
            }
          }
        })
      },
      onClose: () => {}
    })
  })
  expect(await call(port, new PlainCredentials())).toMatchObject({ reason: 'bad-status', isNotRun: false })
})

// A failure reason that this process does not know has no error response.
test.each([[true, 503], [false, 502]])('failure on a link with an unknown reason keeps its run state: %s', async isNotRun => {
  const port = await listen(new PlainCredentials(), socket => {
    const frames: FrameSocket = new FrameSocket(socket, {
      onFrame: ({ callId, frame }) => {
        if (frame?.$case !== 'open') return
        const failure = { reason: 'of-the-future', notRun: isNotRun, retryAfterMs: 0, inFlight: 0, slots: 1, queued: 0, cause: '' }
        frames.send({ callId, frame: { $case: 'failure', value: failure } })
      },
      onClose: () => {}
    })
  })
  expect(await call(port, new PlainCredentials())).toMatchObject({ reason: isNotRun ? 'draining' : 'broken', isNotRun })
})
