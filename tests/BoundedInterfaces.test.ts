/**
 * One process of both roles with the heap and the memory of the platform, as the product and as the platform runs it, whose interfaces are
 * sent large, endless and damaged input. Guards against input within the limit of one body that ends or blocks the process.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer, request, type Server } from 'node:http'
import { connect as connectHttp2 } from 'node:http2'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { CallOpen, PeerFrame } from '@lagoonswitch/schema'
import { findPorts, waitFor } from './support/World.js'

const HEAP_MB = 160
/** Of a VM of the platform. */
const MEMORY_MB = 350
const MB = 1_048_576
const CALL_TIMEOUT_MS = 1_000
const ELECTION_TIMEOUT_MS = 1_000
const ANSWER_MS = 250
const HOLD_MS = 500
/** Messages between processes arrive more slowly, as their windows have to be opened. */
const PEER_HOLD_MS = 2_000
const MAX_CONNECTIONS = 900
/** Beyond the heap, and beyond the memory with what a process takes anyway. */
const HELD_BYTES = 250 * MB
const LISTENERS = ['calls', 'local', 'homes', 'ready', 'metrics', 'operators', 'links', 'peers'] as const
type Listener = typeof LISTENERS[number]

const PLATFORM_ENTRY = JSON.stringify({
  version: 1,
  services: [{ name: 'desk', 'max-connections': 9 }],
  limits: { 'max-header-bytes': 2_000, 'max-body-bytes': 1_000_000, 'header-timeout-s': 3, 'idle-timeout-s': 5 },
  'virtual-hosts': [{ host: 'h', paths: [{ name: 'r', 'path-prefix': '/a/', 'route-type': 'safe', 'timeout-s': 1, service: 'desk' }] }]
})
const ENTRY = {
  entry: 'desk',
  owner: 'o',
  class: 'first',
  limits: { slots: 9, connections: 9 },
  routes: [{ name: 'r', path: '/a/', idempotency: 'safe', deadline: '1s' }],
  version: 'v1'
}

function createChange (declaration: string): string {
  return `{"requestId":"change-${Math.random()}","edits":[{"name":"desk","expectedVersion":0,"declaration":${declaration}}]}`
}

let sequence = 0

const PROGRAMS = [
  {
    name: 'platform',
    listeners: ['calls', 'local', 'ready', 'metrics', 'operators', 'links', 'peers'],
    args: () => ['target/lagoonswitch.cjs'],
    publish: () => ['PUT', '/-/config', PLATFORM_ENTRY],
    announcement: (address: string) => ['PUT', '/-/instances/t1', JSON.stringify({
      address,
      info: { service: 'desk', version: 'v1', zone: 'z1', 'max-concurrency': 4 },
      status: { state: 'ready', sequence: ++sequence, 'warmup-left-s': 0 },
      born: 1
    })],
    bodies: { local: ['PUT', '/-/instances/t2', 262_144], operators: ['PUT', '/-/config', 8 * MB] },
    largest: [] as Array<[string, string]>
  },
  {
    name: 'product',
    listeners: ['calls', 'local', 'homes', 'operators', 'links', 'peers'],
    args: (file: string) => ['packages/lagoonswitch/dist/main.js', 'run', '--settings', file],
    publish: () => ['POST', '/v1/changes', createChange(JSON.stringify(ENTRY))],
    announcement: (address: string) => ['PUT', '/v1/targets/t1', JSON.stringify({ service: 'desk', version: 'v1', address, slots: 4, connections: 9 })],
    bodies: { local: ['PUT', '/v1/targets/t2', 4 * MB], operators: ['POST', '/v1/changes', 4 * MB] },
    largest: [
      ['values', createChange(fillList('{},', 4 * MB - 300))],
      ['faulty routes', createChange(JSON.stringify({ ...ENTRY, routes: [] }).replace('[]', fillList('{},', 700_000)))],
      ['routes that appear twice', createChange(JSON.stringify({ ...ENTRY, routes: [] })
        .replace('[]', fillList('{"name":"a","path":"/","idempotency":"safe"},', 4 * MB - 400)))],
      ['faulty edits', `{"requestId":"change-1","edits":${fillList('{},', 700_000)}}`],
      ['unknown fields', `{${Array.from({ length: 300_000 }, (_, index) => `"k${index}":1`).join(',')}}`]
    ] as Array<[string, string]>
  }
] as const

function fillList (part: string, bytes: number): string {
  return `[${part.repeat(Math.floor(bytes / part.length)).slice(0, -1)}]`
}

/** A frame that opens a call, with one to three random bytes. */
function damageFrame (callId: number, random: SeededRandom): Buffer {
  const frame = Buffer.from(PeerFrame.encode({
    callId,
    frame: {
      $case: 'open',
      value: CallOpen.fromPartial({ service: 'desk', targetId: 't1', version: 'v1', method: 'GET', path: '/a/x', headers: ['host', 'h'], remainingMs: 100 })
    }
  }).finish())
  for (let count = 0; count < 1 + callId % 3; count++) frame[Math.floor(random.draw() * frame.length)] = Math.floor(random.draw() * 256)
  return Buffer.concat([Buffer.from([frame.length]), frame])
}

/** Seeded, so that each run sends the same. */
function listRawInputs (): Array<[string, Buffer | string]> {
  const random = new SeededRandom(56)
  const drawBytes = (length: number): Buffer => Buffer.from(Array.from({ length }, () => Math.floor(random.draw() * 256)))
  return [
    ['head of 1 MB', `GET /a/x HTTP/1.1\r\nhost: h\r\nx: ${'x'.repeat(MB)}\r\n\r\n`],
    ['100,000 headers', `GET /a/x HTTP/1.1\r\nhost: h\r\n${'x: y\r\n'.repeat(100_000)}\r\n`],
    ['path of 1 MB', `GET /${'x'.repeat(MB)} HTTP/1.1\r\nhost: h\r\n\r\n`],
    ['two lengths', 'PUT /a/x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'],
    ['endless chunk line', `PUT /a/x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1;${'x'.repeat(MB)}`],
    ['frame beyond the limit', Buffer.concat([Buffer.from([0x81, 0x80, 0x40]), Buffer.alloc(MB)])],
    ['frame that can not be decoded', Buffer.concat([Buffer.from([0xff, 0xff, 0x3f]), Buffer.alloc(MB, 0xff)])],
    // A frame that can't be decoded closes the connection.
    ...Array.from({ length: 8 }, (_, index): [string, Buffer] =>
      [`damaged frames, ${index}`, Buffer.concat(Array.from({ length: 100 }, (_frame, callId) => damageFrame(callId, random)))]),
    ...[1_000, 100_000, MB].map((length): [string, Buffer] => [`${length} random bytes`, drawBytes(length)])
  ]
}

describe.each(PROGRAMS.map(program => [program.name, program] as const))('%s', (name, program) => {
  const { listeners, args, publish, announcement, bodies, largest } = program
  let folder: string
  let child: ChildProcess
  let target: Server
  let heartbeats: NodeJS.Timeout
  const ports = new Map<Listener, number>()

  async function send (listener: Listener, [method, path, body]: readonly string[]): Promise<{ status: number, ms: number, text: string }> {
    const startMs = performance.now()
    let text = ''
    const status = await new Promise<number>(resolve => {
      const headers = { host: 'h', 'content-type': 'application/json' }
      const outgoing = request({ port: ports.get(listener), host: '127.0.0.1', method, path, headers, agent: false, timeout: 5_000 }, response => {
        response.on('data', chunk => { text += String(chunk).slice(0, 200) }).on('end', () => resolve(response.statusCode ?? 0)).on('error', () => resolve(0))
      })
      // An answer to a body that isn't read to its end may be lost with the connection.
      outgoing.on('error', () => resolve(413)).on('timeout', () => outgoing.destroy())
      outgoing.end(body)
    })
    return { status, ms: performance.now() - startMs, text }
  }

  /** @returns time of the slowest of the calls that are sent until the signal, in milliseconds */
  async function probeCalls (signal: AbortSignal): Promise<number> {
    let slowestMs = 0
    while (!signal.aborted) slowestMs = Math.max(slowestMs, (await send('calls', ['GET', '/a/x'])).ms)
    return slowestMs
  }

  /** A sound call is served in its time, on the platform by a process within its memory. */
  async function expectSoundCall (statuses = [200]): Promise<void> {
    expect(child.exitCode ?? child.signalCode).toBeNull()
    const { status, ms, text } = await send('calls', ['GET', '/a/x'])
    expect(statuses, text).toContain(status)
    expect(ms).toBeLessThan(CALL_TIMEOUT_MS)
    if (name !== 'platform') return
    const memoryKb = Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.[1])
    expect(memoryKb / 1_024).toBeLessThan(MEMORY_MB)
  }

  async function readMetrics (): Promise<string> {
    const port = ports.get(name === 'platform' ? 'metrics' : 'local')
    return await (await fetch(`http://127.0.0.1:${port}/metrics`)).text()
  }

  /** Opens a stream of an unknown method whose message lacks its end. */
  function openPeerStream (bytes: number): { destroy: () => void } {
    const session = connectHttp2(`http://127.0.0.1:${ports.get('peers')}`).on('error', () => undefined)
    const stream = session.request({ ':method': 'POST', ':path': '/lagoonswitch.v1.Raft/Append', 'content-type': 'application/grpc', te: 'trailers' })
    stream.on('error', () => undefined)
    const prefix = Buffer.alloc(5)
    prefix.writeUInt32BE(bytes, 1)
    stream.write(prefix)
    stream.write(Buffer.alloc(bytes - 1))
    return session
  }

  function open (listener: Listener): Socket {
    return connect(ports.get(listener) ?? 0, '127.0.0.1').on('error', () => undefined)
  }

  /** Sends bytes, and returns the start of the answer once the connection ends or time is over. */
  async function sendRaw (listener: Listener, bytes: Buffer | string): Promise<string> {
    const socket = open(listener)
    let answer = ''
    socket.on('data', chunk => { answer += chunk.toString('latin1').slice(0, 200) })
    socket.write(bytes)
    await Promise.race([new Promise(resolve => socket.once('close', resolve)), waitForAnswer(() => answer.startsWith('HTTP')), sleep(ANSWER_MS)])
    socket.destroy()
    return answer
  }

  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), 'interfaces-'))
    const free = await findPorts(LISTENERS.length)
    for (const [index, listener] of LISTENERS.entries()) ports.set(listener, free[index] ?? 0)
    const file = join(folder, 'process.ini')
    await writeFile(file, `[process]\nname = p1\nroles = control,node\nregion = r1\navailability_zone = z1\nstop_timeout = 1s\ndata_folder = ${folder}/data\n` +
      `[control]\nseeds = 127.0.0.1:${ports.get(name === 'platform' ? 'operators' : 'peers')}\nclaim_shards = 0\nheartbeat = 100ms\n` +
      `election_timeout = ${ELECTION_TIMEOUT_MS}ms\nfirst_start = true\n[listen]\n${[...ports].map(([listener, port]) => `${listener} = 127.0.0.1:${port}\n`).join('')}`)
    child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, ...args(file)], {
      env: { ...process.env, LAGOONSWITCH_CONFIG: file }, stdio: ['ignore', 'ignore', 'inherit']
    })
    target = createServer((incoming, response) => { incoming.resume().on('end', () => response.end('x')) }).listen(0, '127.0.0.1')
    await waitFor('the first configuration', async () => (await send('operators', publish())).status === 200)
    const announce = (): void => { void send('local', announcement(`127.0.0.1:${(target.address() as AddressInfo).port}`)) }
    heartbeats = setInterval(announce, 500)
    await waitFor('a call', async () => (await send('calls', ['GET', '/a/x'])).status === 200)
  }, 30_000)

  afterAll(async () => {
    clearInterval(heartbeats)
    child.kill('SIGTERM')
    if (child.exitCode === null && child.signalCode === null) await new Promise(resolve => child.once('exit', resolve))
    target.closeAllConnections()
    target.close()
    await rm(folder, { recursive: true })
  }, 30_000)

  // HTTP listeners answer 4xx or close the connection; links and peers close it. Input that is cut off is held until the connection ends.
  test.each(listeners.flatMap(listener => listRawInputs().map(([label, bytes]) => [listener, label, bytes] as const)))('%s: %s', async (listener, _label, bytes) => {
    expect(await sendRaw(listener, bytes)).not.toMatch(/^HTTP\/1.1 [235]/)
    await expectSoundCall()
  })

  /** Sends bodies or frames that lack their last byte. */
  function openBodies (listener: Listener, count: number, method: string, path: string, bytes: number): Socket[] {
    const head = `${method} ${path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ncontent-length: ${bytes}\r\n\r\n`
    const prefix = Buffer.from([(bytes & 0x7f) | 0x80, ((bytes >> 7) & 0x7f) | 0x80, bytes >> 14])
    const body = Buffer.alloc(bytes - 1, 'x')
    return Array.from({ length: count }, () => {
      const socket = open(listener)
      socket.write(listener === 'links' ? prefix : head)
      socket.write(body)
      return socket
    })
  }

  /** Sound calls are answered while connections hold what they have sent, and after their end. */
  async function expectRoom (statuses: number[], connections: ReadonlyArray<{ destroy: () => void }>, holdMs = HOLD_MS): Promise<void> {
    try {
      for (const endMs = performance.now() + holdMs; performance.now() < endMs; await sleep(50)) await expectSoundCall(statuses)
    } finally {
      for (const connection of connections) connection.destroy()
    }
    await expectSoundCall(statuses)
  }

  test.each(Object.entries(bodies))('%s: body beyond the limit is refused with 413 and counted', async (listener, [method, path, limit]) => {
    const head = `${method} ${path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n`
    expect(await sendRaw(listener as Listener, `${head}content-length: ${limit + 1}\r\n\r\nx`)).toMatch(/^HTTP\/1.1 413/)
    const chunk = `${(65_536).toString(16)}\r\n${'x'.repeat(65_536)}\r\n`
    expect(await sendRaw(listener as Listener, `${head}transfer-encoding: chunked\r\n\r\n${chunk.repeat(limit / 65_536 + 1)}`)).toMatch(/^HTTP\/1.1 413/)
    expect(await readMetrics()).toMatch(/bodies_refused_total\{reason="too-large"\} [2-9]/)
    await expectSoundCall()
  })

  // Guards against limits that multiply with the connections.
  test.each([
    ['local', bodies.local[2] - 1], ['operators', bodies.operators[2] - 1], ['links', 1_000_000]
  ] as const)('%s: incomplete bodies of %i bytes at once leave memory for sound calls', async (listener, bytes) => {
    const count = Math.min(MAX_CONNECTIONS, Math.ceil(HELD_BYTES / bytes))
    const [method = '', path = ''] = listener === 'links' ? [] : bodies[listener].map(String)
    await expectRoom([200], openBodies(listener, count, method, path, bytes))
    if (listener !== 'links') expect(await readMetrics()).toMatch(/bodies_refused_total\{reason="memory"\} [1-9]/)
  })

  test.runIf(largest.length > 0).each(largest)('operators: largest body of %s is refused and does not hold up the process, four at once', async (_label, body) => {
    const stop = new AbortController()
    const probe = probeCalls(stop.signal)
    const answers = await Promise.all(Array.from({ length: 4 }, async () => await send('operators', ['POST', '/v1/changes', body])))
    stop.abort()
    for (const { status } of answers) expect([400, 409, 413, 422]).toContain(status)
    expect(await probe).toBeLessThan(ELECTION_TIMEOUT_MS)
    await expectSoundCall()
  })

  // The bodies take the slots of the target, so that calls beside them are refused, until the target is no longer taken as hung.
  test('calls: 200 incomplete bodies at once leave memory for sound calls', async () => {
    await expectRoom([200, 503], openBodies('calls', 200, 'POST', '/a/x', 950_000))
    await waitFor('a sound call', async () => (await send('calls', ['GET', '/a/x'])).status === 200)
  })

  test('peers: 60 incomplete messages of 7340032 bytes at once leave memory for sound calls', async () => {
    await expectRoom([200], Array.from({ length: 60 }, () => openPeerStream(7 * MB)), PEER_HOLD_MS)
  })
})

async function waitForAnswer (hasCome: () => boolean): Promise<void> {
  while (!hasCome()) await sleep(10)
}
