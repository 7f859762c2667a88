/**
 * Targets that never answer some requests, nor any later one on that connection.
 */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { PlatformDialect } from '@lagoonswitch/platform'
import { DESK, World, type IResponse } from './support/World.js'

const KNOWN_RUNS = 40
const SLOTS = 4
const DEADLINE_MS = 2_000
const HANG_DETECTION = '[node]\nhang_detection = true\n'

/** A target that answers at once, after a delay, or never, and counts its open connections. */
class HangingTarget {
  readonly sockets = new Set<Socket>()
  mostSockets = 0
  requests = 0
  /** Decides on each request: delay of the response in milliseconds, undefined for none ever on this connection. */
  respond: (path: string) => number | undefined = () => 0

  serve (socket: Socket): void {
    this.sockets.add(socket)
    this.mostSockets = Math.max(this.mostSockets, this.sockets.size)
    socket.on('close', () => this.sockets.delete(socket))
    let isHung = false
    socket.on('data', data => {
      const head = data.toString()
      const id = /x-attempt-id: (\S+)/i.exec(head)?.[1]
      if (id === undefined) return
      this.requests++
      const delayMs = this.respond(head.split(' ')[1] ?? '')
      isHung ||= delayMs === undefined
      if (isHung) return
      setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`), delayMs)
    })
  }
}

let world: World
let target: HangingTarget
let calls = 0

async function start (settings: string): Promise<void> {
  world = await World.start(['n1', 'n2'], settings, new PlatformDialect())
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, slots: SLOTS, queue: 20 } })
  target = new HangingTarget()
  await world.addRawTarget('n2', 't1', 'v1', socket => target.serve(socket), SLOTS)
}

beforeEach(async () => { await start(HANG_DETECTION) })

afterEach(async () => { await world.stop() })

async function call (path: string, timeoutMs = DEADLINE_MS): Promise<IResponse & { ms: number }> {
  const headers = { 'x-attempt-id': `h${calls++}`, 'x-request-deadline': String(timeoutMs) }
  const startedMs = performance.now()
  const response = await world.call('n1', path === '/read' ? 'GET' : 'POST', path, headers)
  return { ...response, ms: performance.now() - startedMs }
}

/** Runs calls until the times of the route are known. */
async function learn (path: string): Promise<void> {
  for (let run = 0; run < KNOWN_RUNS; run++) await call(path)
}

function countHangs (action: string): number {
  return world.getNode('n2').metrics.readCount('target_hangs_total', action)
}

test('safe call at a target that hangs is retried elsewhere in time', async () => {
  await learn('/read')
  const other = new HangingTarget()
  await world.addRawTarget('n2', 't2', 'v1', socket => other.serve(socket), SLOTS)
  target.respond = () => undefined
  let hung = 0
  for (let run = 0; run < 30; run++) {
    const response = await call('/read')
    expect(response).toMatchObject({ status: 200, body: 'ok' })
    expect(response.ms).toBeLessThan(1_000)
    hung = countHangs('retry')
    if (hung > 0) break
  }
  expect(hung).toBe(1)
  expect(world.getNode('n1').metrics.readCount('retries_total', 'hung')).toBe(1)
})

test('safe call at the only target ends early as unknown when it hangs', async () => {
  await learn('/read')
  target.respond = () => undefined
  const response = await call('/read')
  expect(response).toMatchObject({ status: 504 })
  expect(JSON.parse(response.body)).toMatchObject({ reason: 'hung', run: 'unknown' })
  expect(response.ms).toBeLessThan(1_000)
})

test('single-try call that seems to hang gets its late answer', async () => {
  await learn('/once')
  target.respond = () => 700
  expect(await call('/once')).toMatchObject({ status: 200, body: 'ok' })
  expect([countHangs('wait'), countHangs('refuted')]).toEqual([1, 1])
  expect(target.requests).toBe(KNOWN_RUNS + 1)
})

test('single-try call that hangs ends with 504 as unknown and runs once', async () => {
  await learn('/once')
  target.respond = () => undefined
  const response = await call('/once')
  expect(response).toMatchObject({ status: 504 })
  expect(JSON.parse(response.body).run).toBe('unknown')
  expect(target.requests).toBe(KNOWN_RUNS + 1)
})

test('target that hangs never has more connections than slots, and fewer after a hang', async () => {
  await learn('/read')
  target.mostSockets = 0
  target.respond = () => undefined
  const responses = await Promise.all(Array.from({ length: 12 }, async () => await call('/read')))
  expect(responses.every(({ status }) => status === 503 || status === 504)).toBe(true)
  expect(target.mostSockets).toBeLessThanOrEqual(SLOTS)
  expect(countHangs('retry')).toBeGreaterThan(0)
  await sleep(50)
  target.mostSockets = 0
  target.respond = () => 50
  await Promise.all(Array.from({ length: 8 }, async () => await call('/read')))
  expect(target.mostSockets).toBe(1)
})

test('connection of a hung call is not used again', async () => {
  await learn('/read')
  target.respond = () => undefined
  expect(await call('/read')).toMatchObject({ status: 504 })
  target.respond = () => 0
  for (let run = 0; run < 10; run++) expect(await call('/read')).toMatchObject({ status: 200 })
})

test('call that waits for its nested call does not hang', async () => {
  const readTarget = async (id: string): Promise<IResponse> =>
    await world.call('n1', 'POST', '/price', { 'x-attempt-id': `${id}.1`, 'x-request-deadline': '2000' })
  let nestedMs = 0
  await world.putEntry({ ...DESK, entry: 'price', routes: [{ name: 'price', path: '/price', methods: ['POST'], idempotency: 'single-try' }] })
  await world.addTarget('n2', 'p1', 'v1', (request, response) => {
    setTimeout(() => response.writeHead(200, { 'x-attempt-id': String(request.headers['x-attempt-id']) }).end(), nestedMs)
  }, SLOTS, 'price')
  await world.putEntry({ ...DESK, entry: 'parent', routes: [{ name: 'parent', path: '/parent', methods: ['POST'], idempotency: 'safe' }] })
  await world.addTarget('n1', 'd1', 'v1', (request, response) => {
    const id = String(request.headers['x-attempt-id'])
    void readTarget(id).then(() => response.writeHead(200, { 'x-attempt-id': id }).end('parent'))
  }, SLOTS, 'parent')
  await learn('/parent')
  nestedMs = 900
  expect(await call('/parent')).toMatchObject({ status: 200, body: 'parent' })
  expect(world.getNode('n1').metrics.readCount('target_hangs_total', 'retry')).toBe(0)
  expect(countHangs('wait')).toBe(1)
})

test('call whose body is still being sent does not hang', async () => {
  await learn('/once')
  const socket = connect(world.getNode('n1').port, '127.0.0.1')
  const bytes = 40_000
  socket.write(`POST /once HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: slow\r\nX-Request-Deadline: 2000\r\nContent-Length: ${bytes}\r\n\r\n`)
  socket.write('x'.repeat(bytes - 1))
  target.respond = () => undefined
  await sleep(900)
  expect([countHangs('wait'), countHangs('end')]).toEqual([0, 0])
  socket.write('x')
  await sleep(500)
  expect(countHangs('wait')).toBe(1)
  socket.destroy()
})

test('no call hangs where the detection is off', async () => {
  await world.stop()
  await start('')
  await learn('/read')
  target.respond = () => undefined
  const response = await call('/read', 1_000)
  expect(response.ms).toBeGreaterThan(950)
  expect(JSON.parse(response.body).reason).toBe('deadline')
})
