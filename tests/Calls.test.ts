/**
 * Calls between callers and targets: routing, retries, deadlines, limits, streaming and malformed requests.
 */
import { connect } from 'node:net'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { Metrics, NullLog } from '@lagoonswitch/common'
import { PeerLink, type ICallRequest } from '@lagoonswitch/node'
import { CallClass } from '@lagoonswitch/schema'
import { PlainCredentials } from '@lagoonswitch/transport'
import { DESK, World, waitFor } from './support/World.js'

let world: World

function respondWith (text: string): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    request.resume()
    request.on('end', () => response.end(text))
  }
}

function readProblem (body: string): { reason: string, run: string } {
  return JSON.parse(body) as { reason: string, run: string }
}

/** Blocks the event loop of this process. */
function blockThread (durationMs: number): void {
  const endMs = performance.now() + durationMs
  while (performance.now() < endMs) { /* busy */ }
}

async function sendRaw (port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  socket.write(text)
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  await Promise.race([once(socket, 'close'), sleep(1_000)])
  socket.destroy()
  return received
}

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry(DESK)
})

afterEach(async () => { await world.stop() })

test('call reaches a target on another VM', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('hello'))
  const reply = await world.call('n1', 'GET', '/read?x=1', { 'x-own': 'kept', connection: 'x-hop', 'x-hop': 'dropped' })
  expect([reply.status, reply.body]).toEqual([200, 'hello'])
  const { headers, url } = target.requests[0] as IncomingMessage
  expect(url).toBe('/read?x=1')
  expect(headers['x-own']).toBe('kept')
  expect(headers['x-hop']).toBeUndefined()
  expect(Number(headers['lagoon-deadline-ms'])).toBeGreaterThan(0)
  expect(headers['lagoon-depth']).toBe('1')
})

test('retry carries the repeat header, and a call that carries it counts against the retry budget as a repeat', async () => {
  const repeatHeaders: unknown[] = []
  for (const id of ['t1', 't2']) {
    await world.addTarget('n2', id, 'v1', (request, response) => {
      repeatHeaders.push(request.headers['lagoon-repeat'])
      response.writeHead(repeatHeaders.length === 1 ? 500 : 200).end()
    })
  }
  expect((await world.call('n1', 'GET', '/read')).status).toBe(200)
  expect((await world.call('n1', 'GET', '/read', { 'lagoon-repeat': 'true', 'lagoon-depth': '1' })).status).toBe(200)
  expect(repeatHeaders).toEqual([undefined, 'true', 'true'])
  expect(world.getNode('n1').metrics.readCount('calls_of_repeats_total', 'desk')).toBe(1)
})

test('calls without a route or a target are refused, the latter as not run', async () => {
  expect((await world.call('n1', 'GET', '/nowhere')).status).toBe(404)
  const reply = await world.call('n1', 'GET', '/read')
  expect(readProblem(reply.body)).toMatchObject({ reason: 'no-target', run: 'not-run' })
})

test('large bodies are streamed in both directions', async () => {
  const size = 3_000_000
  await world.addTarget('n2', 't1', 'v1', (request, response) => { request.pipe(response) })
  const reply = await world.call('n1', 'POST', '/once', {}, 'a'.repeat(size))
  expect(reply.status).toBe(200)
  expect(reply.body.length).toBe(size)
})

test('call whose caller closes right after its request does not reach the target', async () => {
  const target = await world.addTarget('n1', 't1', 'v1', respondWith('hello'))
  expect((await world.call('n1', 'GET', '/read')).status).toBe(200)
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  await once(socket, 'connect')
  socket.write('GET /read HTTP/1.1\r\nhost: x\r\n\r\n')
  socket.destroy()
  await sleep(200)
  expect(target.requests).toHaveLength(1)
})

test('call that arrives together with its cancellation does not reach the target', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('hello'))
  const address = world.getNode('n1').role.endpoints.getRecord('t1')?.linkAddress ?? ''
  const context = { credentials: new PlainCredentials(), clock: world.clock, log: new NullLog(), metrics: new Metrics() }
  const link = new PeerLink(address, context)
  const request: ICallRequest = {
    service: 'desk',
    version: 'v1',
    targetId: 't1',
    method: 'GET',
    path: '/read',
    headers: ['host', 'x'],
    remainingMs: 2_000,
    callClass: CallClass.CALL_CLASS_NORMAL,
    callId: '',
    objectiveMs: 0,
    expectedMs: 0,
    isRetryable: true,
    isSpareOnly: false,
    isRepeat: false,
    isBulk: false,
    owner: 'o',
    body: Buffer.alloc(0),
    isBodyComplete: true,
    slots: 4,
    connections: 4,
    queue: 4
  }
  const ignored = { onHead: () => {}, onData: () => {}, onFailure: () => {}, onBodyDrain: () => {} }
  await new Promise<void>(resolve => link.open(request, { ...ignored, onEnd: resolve }))
  // Both frames are sent in one write.
  link.open(request, { ...ignored, onEnd: () => {} }).cancel()
  await sleep(200)
  link.dispose()
  expect(target.requests).toHaveLength(1)
})

test('responses that arrive out of order reach their own callers', async () => {
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    const delayMs = Number(new URL(request.url ?? '', 'http://x').searchParams.get('delay'))
    setTimeout(() => response.end(request.url), delayMs)
  })
  // Each round has as many calls as the slots and the queue of the entry hold.
  for (let round = 0; round < 4; round++) {
    const paths = Array.from({ length: 12 }, (_, index) => `/read?id=${round}-${index}&delay=${(index * 37) % 50}`)
    const replies = await Promise.all(paths.map(async path => await world.call('n1', 'GET', path)))
    expect(replies.map(reply => reply.body)).toEqual(paths)
  }
})

test('connection lost before the response: read is retried, single try is not', async () => {
  const bad = await world.addTarget('n2', 't1', 'v1', request => request.socket.destroy())
  const lost = await world.call('n1', 'POST', '/once')
  expect(lost.status).toBe(502)
  expect(readProblem(lost.body)).toMatchObject({ reason: 'broken', run: 'unknown' })
  expect(bad.requests.length).toBe(1)
  await world.addTarget('n2', 't2', 'v1', respondWith('good'))
  expect((await world.call('n1', 'GET', '/read')).body).toBe('good')
})

test('response that is cut off is incomplete for the caller', async () => {
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    response.writeHead(200, { 'content-length': 100 })
    response.write('half')
    setTimeout(() => request.socket.destroy(), 50)
  })
  await expect(world.call('n1', 'GET', '/read')).rejects.toThrow()
})

test('call at a target that hangs ends at the deadline as unknown', async () => {
  await world.addTarget('n2', 't1', 'v1', () => {})
  const reply = await world.call('n1', 'POST', '/once', { 'lagoon-deadline-ms': '200' })
  expect(reply.status).toBe(504)
  expect(readProblem(reply.body)).toMatchObject({ reason: 'deadline', run: 'unknown' })
})

test('slots are never exceeded', async () => {
  let running = 0
  let highest = 0
  await world.addTarget('n2', 't1', 'v1', (_request, response) => {
    running++
    highest = Math.max(highest, running)
    setTimeout(() => { running--; response.end('ok') }, 20)
  })
  const replies = await Promise.all(Array.from({ length: 60 }, async (_, index) =>
    await world.call(index % 2 === 0 ? 'n1' : 'n2', 'POST', '/once')))
  expect(highest).toBeLessThanOrEqual(4)
  const refused = replies.filter(reply => reply.status !== 200)
  expect(refused.length).toBeGreaterThan(0)
  for (const reply of refused) expect(readProblem(reply.body).run).toBe('not-run')
})

test('reads succeed while one of two target processes is dead', async () => {
  const dead = await world.addTarget('n2', 't1', 'v1', respondWith('dead'))
  await world.addTarget('n2', 't2', 'v1', respondWith('live'))
  await dead.close()
  for (let index = 0; index < 20; index++) expect((await world.call('n1', 'GET', '/read')).body).toBe('live')
})

test('retry whose deadline passed while the process was blocked reaches no target', async () => {
  const dead = await world.addTarget('n1', 't1', 'v1', respondWith('dead'))
  const live = await world.addTarget('n1', 't2', 'v1', respondWith('live'))
  await dead.close()
  const { metrics } = world.getNode('n1')
  const spy = vi.spyOn(metrics, 'count').mockImplementation(name => {
    if (name === 'retries_total') blockThread(300)
  })
  while (!spy.mock.calls.some(([name]) => name === 'retries_total')) {
    live.requests.length = 0
    await world.call('n1', 'POST', '/once', { 'lagoon-deadline-ms': '200' })
  }
  await sleep(100)
  expect(live.requests).toEqual([])
})

test('calls that were not sent to a crashed node are sent to another target', async () => {
  await world.startNode('n3')
  await world.addTarget('n3', 't1', 'v1', respondWith('gone'))
  await world.addTarget('n2', 't2', 'v1', respondWith('live'))
  world.crashNode('n3')
  for (let index = 0; index < 10; index++) expect((await world.call('n1', 'POST', '/once')).body).toBe('live')
})

test('withdrawn target gets no new calls and finishes the running ones', async () => {
  const leaving = await world.addTarget('n2', 't1', 'v1', (_request, response) => { setTimeout(() => response.end('old'), 300) })
  const running = world.call('n1', 'GET', '/read')
  await waitFor('the call at the target', () => leaving.requests.length === 1)
  await world.addTarget('n2', 't2', 'v1', respondWith('new'))
  world.getNode('n2').role.targets.withdraw('t1')
  for (let index = 0; index < 10; index++) expect((await world.call('n1', 'GET', '/read')).body).toBe('new')
  expect((await running).body).toBe('old')
  expect(leaving.requests.length).toBe(1)
})

test('graceful stop of a node cuts no call', async () => {
  await world.startNode('n3')
  await world.addTarget('n3', 't1', 'v1', (_request, response) => { setTimeout(() => response.end('slow'), 150) })
  await world.addTarget('n2', 't2', 'v1', (_request, response) => { setTimeout(() => response.end('slow'), 150) })
  const replies: number[] = []
  const state = { isStopped: false }
  const load = (async () => {
    while (!state.isStopped) {
      const batch = Array.from({ length: 4 }, async () => await world.call('n1', 'POST', '/once'))
      replies.push(...(await Promise.all(batch)).map(reply => reply.status))
    }
  })()
  await sleep(200)
  await world.getNode('n3').role.stop(5_000)
  state.isStopped = true
  await load
  expect(replies.length).toBeGreaterThan(4)
  expect(replies.filter(status => status !== 200)).toEqual([])
})

test('target that keeps failing is ejected', async () => {
  const bad = await world.addTarget('n2', 't1', 'v1', (_request, response) => { response.writeHead(500).end('bad') })
  await world.addTarget('n2', 't2', 'v1', respondWith('good'))
  for (let index = 0; index < 60; index++) await world.call('n1', 'POST', '/once')
  const before = bad.requests.length
  for (let index = 0; index < 20; index++) expect((await world.call('n1', 'POST', '/once')).body).toBe('good')
  expect(bad.requests.length).toBe(before)
})

test('fault common to all targets does not empty the pool', async () => {
  for (const id of ['t1', 't2']) {
    await world.addTarget('n2', id, 'v1', (_request, response) => { response.writeHead(500).end('bad') })
  }
  for (let index = 0; index < 40; index++) expect((await world.call('n1', 'POST', '/once')).status).toBe(500)
})

test('error response of the only target is forwarded', async () => {
  await world.addTarget('n2', 't1', 'v1', (_request, response) => { response.writeHead(500).end('bad') })
  const reply = await world.call('n1', 'GET', '/read')
  expect([reply.status, reply.body]).toEqual([500, 'bad'])
})

test('refusal after an attempt that may have run is not reported as not run', async () => {
  const breaking = await world.addTarget('n2', 't1', 'v1', request => request.socket.destroy())
  const dead = await world.addTarget('n2', 't2', 'v1', respondWith('never'))
  await dead.close()
  for (let index = 0; index < 8; index++) {
    const before = breaking.requests.length
    const reply = await world.call('n1', 'GET', '/read')
    expect(readProblem(reply.body).run).toBe(breaking.requests.length > before ? 'unknown' : 'not-run')
  }
})

test('running calls of an owner are limited', async () => {
  await world.putEntry({ ...DESK, limits: { ...DESK.limits, owner_slots: 2 } })
  await world.addTarget('n2', 't1', 'v1', (_request, response) => { setTimeout(() => response.end('ok'), 200) })
  const replies = await Promise.all(Array.from({ length: 5 }, async () => await world.call('n1', 'GET', '/read')))
  const refused = replies.filter(reply => reply.status === 429)
  expect(refused.length).toBe(3)
  for (const reply of refused) expect(readProblem(reply.body)).toMatchObject({ reason: 'owner-limit', run: 'not-run' })
  expect((await world.call('n1', 'GET', '/read')).status).toBe(200)
})

test('slow reader applies backpressure to the target', async () => {
  let sent = 0
  await world.addTarget('n2', 't1', 'v1', (_request, response) => {
    const chunk = Buffer.alloc(65_536)
    const write = (): void => {
      while (sent < 100_000_000) {
        sent += chunk.length
        if (!response.write(chunk)) {
          response.once('drain', write)
          return
        }
      }
      response.end()
    }
    write()
  })
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  socket.write('GET /read HTTP/1.1\r\nhost: a\r\n\r\n')
  socket.pause()
  await sleep(1_000)
  expect(sent).toBeGreaterThan(0)
  expect(sent).toBeLessThan(30_000_000)
  socket.destroy()
})

test('slow sender gets its complete response', async () => {
  await world.addTarget('n2', 't1', 'v1', (request, response) => { request.pipe(response) })
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  socket.write('POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\n')
  for (const letter of 'abcdef') {
    socket.write(letter)
    await sleep(30)
  }
  await waitFor('the response', () => received.includes('abcdef'))
  socket.destroy()
})

test('call chain that is too deep is refused', async () => {
  await world.addTarget('n2', 't1', 'v1', respondWith('x'))
  const reply = await world.call('n1', 'GET', '/read', { 'lagoon-depth': '16' })
  expect(readProblem(reply.body).reason).toBe('too-deep')
})

test('request smuggling attempts are refused before they reach a target', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('x'))
  const { port } = world.getNode('n1')
  const malformedRequests = [
    'POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd',
    'POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    'POST /once HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n',
    'POST /once HTTP/1.1\r\nhost: a\r\ncontent-length : 3\r\n\r\nabc',
    'GET /read HTTP/1.1\r\nhost: a\r\nx: a\rb\r\n\r\n'
  ]
  for (const malformedRequest of malformedRequests) expect(await sendRaw(port, malformedRequest)).toMatch(/^HTTP\/1\.1 400 /)
  expect(target.requests.length).toBe(0)
})

test('large header section is refused', async () => {
  const { port } = world.getNode('n1')
  expect(await sendRaw(port, `GET /read HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`)).toMatch(/^HTTP\/1\.1 431 /)
})

test('pipelined calls are answered in order and without a warning', async () => {
  const warnings: Error[] = []
  const onWarning = (warning: Error): void => { warnings.push(warning) }
  process.on('warning', onWarning)
  await world.addTarget('n2', 't1', 'v1', (request, response) => { setTimeout(() => response.end(`<${request.url}>`), 20) })
  const numbers = Array.from({ length: 12 }, (_, index) => index)
  const received = await sendRaw(
    world.getNode('n1').port, numbers.map(number => `GET /read?${number} HTTP/1.1\r\nhost: a\r\n\r\n`).join(''))
  process.off('warning', onWarning)
  expect([...received.matchAll(/<\/read\?(\d+)>/g)].map(match => Number(match[1]))).toEqual(numbers)
  expect(warnings).toEqual([])
})

test('slot is freed when its caller disconnects', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', (request, response) => {
    if (request.url !== '/read?hang') response.end('ok')
  }, 1)
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  socket.write('GET /read?hang HTTP/1.1\r\nhost: a\r\n\r\n')
  await waitFor('the call at the target', () => target.requests.length === 1)
  socket.destroy()
  expect((await world.call('n1', 'GET', '/read')).body).toBe('ok')
})
