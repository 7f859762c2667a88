/**
 * Several requests on one connection of a caller that does not wait for the responses.
 */
import { connect, type Socket } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World, waitFor } from './support/World.js'

const MAX_CALLS = 16
/** Far more than the buffers between the caller and the node hold. */
const FLOOD_CALLS = 400_000

interface IRun { url: string, isEnded: boolean, isAborted: boolean, end: () => void }

let world: World
let runs: IRun[]
let mostAtOnce: number
let socket: Socket
let received: string
let isClosed: boolean

/** Ends a run after the milliseconds of its query, or when the test ends it. */
function answer (incoming: IncomingMessage, response: ServerResponse): void {
  const url = incoming.url ?? ''
  const run: IRun = {
    url,
    isEnded: false,
    isAborted: false,
    end: () => {
      run.isEnded = true
      response.end(`<${url}>`)
    }
  }
  runs.push(run)
  mostAtOnce = Math.max(mostAtOnce, runs.filter(({ isEnded, isAborted }) => !isEnded && !isAborted).length)
  incoming.resume()
  response.on('close', () => { run.isAborted = !run.isEnded })
  const waitMs = /ms=(\d+)/.exec(url)?.[1]
  if (waitMs !== undefined) setTimeout(run.end, Number(waitMs))
}

beforeEach(async () => {
  runs = []
  mostAtOnce = 0
  received = ''
  isClosed = false
  world = await World.start(['n1', 'n2'])
  await world.putEntry({ ...DESK, limits: { ...DESK.limits, slots: 64, connections: 64, queue: 64, deadline: '5s' } })
  await world.addTarget('n2', 't1', 'v1', answer, 64)
  socket = connect(world.getNode('n1').port, '127.0.0.1')
  socket.on('data', chunk => { received += String(chunk) })
  socket.on('error', () => undefined)
  socket.on('close', () => { isClosed = true })
})

afterEach(async () => {
  socket.destroy()
  await world.stop()
})

function read (query: string): string {
  return `GET /read?${query} HTTP/1.1\r\nhost: a\r\n\r\n`
}

function once (query: string, headers = ''): string {
  return `POST /once?${query} HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n${headers}\r\nab`
}

function listBodies (): string[] {
  return [...received.matchAll(/<([^>]+)>/g)].map(match => match[1] ?? '')
}

function find (url: string): IRun | undefined {
  return runs.find(run => run.url === url)
}

async function countUnsent (): Promise<number> {
  const text = await world.getNode('n1').metrics.format()
  return Number(/^lagoonswitch_responses_unsent (\d+)/m.exec(text)?.[1])
}

/** Adds another service with a target of its own. */
async function addService (name: string, slots: number): Promise<void> {
  await world.putEntry({
    ...DESK,
    entry: name,
    limits: { ...DESK.limits, slots, connections: 64, queue: 64, deadline: '5s' },
    routes: [{ name, path: `/${name}`, methods: ['GET'], idempotency: 'safe' }]
  })
  await world.addTarget('n2', `t-${name}`, 'v1', answer, slots, name)
}

function countCalls (reason: string): number {
  return world.getNode('n1').metrics.readCount('pipelined_calls_total', reason)
}

test('responses come in order although later calls end first', async () => {
  const urls = Array.from({ length: 40 }, (_, index) => `${index % 5 === 4 ? '/once' : '/read'}?${index}&ms=${(index * 37) % 60}`)
  socket.write(urls.map(url => url.startsWith('/read') ? read(url.slice(6)) : once(url.slice(6))).join(''))
  await waitFor('all responses', () => listBodies().length === urls.length)
  expect(listBodies()).toEqual(urls)
  expect(mostAtOnce).toBeGreaterThan(1)
})

// Calls of one connection would take all slots, and its requests the memory of the node.
test('at most 16 calls of a connection run, and further ones are not read', async () => {
  const part = read('').repeat(1_000)
  const write = (): void => {
    while (socket.bytesWritten < FLOOD_CALLS * part.length / 1_000 && socket.write(part));
  }
  socket.on('drain', write)
  write()
  await waitFor('the calls', () => runs.length === MAX_CALLS)
  await sleep(500)
  expect(runs).toHaveLength(MAX_CALLS)
  expect(await countUnsent()).toBeLessThan(10_000)
  expect(socket.writableLength).toBeGreaterThan(0)
  runs[0]?.end()
  await waitFor('the next call', () => runs.length === MAX_CALLS + 1)
  expect(mostAtOnce).toBe(MAX_CALLS)
  socket.destroy()
  await waitFor('the end of the runs', () => runs.every(({ isEnded, isAborted }) => isEnded || isAborted))
})

test('connection is read on once its calls have ended', async () => {
  const urls = Array.from({ length: 300 }, (_, index) => `/read?${index}&ms=5`)
  for (const url of urls) socket.write(read(url.slice(6)))
  await waitFor('all responses', () => listBodies().length === urls.length)
  expect(listBodies()).toEqual(urls)
  expect(mostAtOnce).toBeLessThanOrEqual(MAX_CALLS)
  expect(countCalls('waited-bound')).toBeGreaterThan(0)
})

test('call that may not be repeated starts after all earlier responses', async () => {
  socket.write(read('slow') + read('fast&ms=1') + once('order') + read('behind&ms=1'))
  await waitFor('the reads', () => find('/read?fast&ms=1')?.isEnded === true && find('/read?slow') !== undefined)
  await sleep(200)
  expect(runs).toHaveLength(2)
  find('/read?slow')?.end()
  await waitFor('the other calls', () => runs.length === 4)
  find('/once?order')?.end()
  await waitFor('all responses', () => listBodies().length === 4)
  expect(listBodies()).toEqual(['/read?slow', '/read?fast&ms=1', '/once?order', '/read?behind&ms=1'])
})

test('calls behind a refusal that closes the connection never reach a target', async () => {
  socket.write('POST /unknown HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabcde' + once('first') + once('second'))
  await waitFor('the close', () => isClosed)
  await sleep(100)
  expect(received.match(/HTTP\/1.1 \d+/g)).toEqual(['HTTP/1.1 404'])
  expect(runs).toEqual([])
  expect(countCalls('dropped')).toBe(2)
})

// The connection is closed only after the responses before, so the end of the connection comes too late to cancel calls.
test('response that breaks off cancels the calls behind it, and nothing is written for them', async () => {
  await world.addRawTarget('n2', 't2', 'v1', one => one.on('data', () => {
    one.write('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart')
    setTimeout(() => one.destroy(), 200)
  }))
  world.getNode('n2').role.targets.withdraw('t1')
  await waitFor('the withdrawal', () => world.getNode('n1').role.endpoints.getRecord('t1')?.withdrawn === true)
  await addService('other', 64)
  const urls = ['/other?slow', '/read?cut', '/other?behind', '/other?done&ms=1']
  socket.write(urls.map(url => `GET ${url} HTTP/1.1\r\nhost: a\r\n\r\n`).join('') + once('order'))
  await waitFor('the cancellation', () => find('/other?behind')?.isAborted === true)
  expect(isClosed).toBe(false)
  find('/other?slow')?.end()
  await waitFor('the close', () => isClosed)
  expect(received.match(/HTTP\/1.1 \d+/g)?.[0]).toBe('HTTP/1.1 200')
  expect(listBodies()).toEqual(['/other?slow'])
  expect(find('/once?order')).toBeUndefined()
  expect([countCalls('cancelled'), countCalls('dropped')]).toEqual([2, 1])
  await waitFor('the end of all calls', async () => await countUnsent() === 0)
})

test('planned stop in the middle answers what was passed on to a target and starts nothing else', async () => {
  socket.write(read('first') + read('second') + once('order') + read('third'))
  await waitFor('the reads', () => runs.length === 2)
  const { role } = world.getNode('n1')
  const stopped = role.stop(4_000)
  await sleep(2_900)
  find('/read?second')?.end()
  find('/read?first')?.end()
  await waitFor('the close', () => isClosed)
  await stopped
  expect(listBodies()).toEqual(['/read?first', '/read?second'])
  expect(runs).toHaveLength(2)
  expect(received).toContain('HTTP/1.1 503')
}, 20_000)

// A refusal in a planned stop closes the connection; calls behind it that a target has received must not be lost with it.
test('refusal in a planned stop does not cut a running call behind it', async () => {
  await addService('narrow', 1)
  const occupying = world.call('n2', 'GET', '/narrow?occupying')
  await waitFor('the call in the slot', () => runs.length === 1)
  // Its deadline ends before the stop, so it may wait for its slot until then.
  socket.write('GET /narrow?refused HTTP/1.1\r\nhost: a\r\nlagoon-deadline-ms: 3500\r\n\r\n' + read('behind'))
  await waitFor('the call behind', () => find('/read?behind') !== undefined)
  const stopped = world.getNode('n1').role.stop(4_000)
  await sleep(2_900)
  expect(received).toBe('')
  world.getNode('n2').role.targets.withdraw('t-narrow')
  await waitFor('the refusal', () => received.startsWith('HTTP/1.1 503'))
  find('/read?behind')?.end()
  await waitFor('the response behind it', () => listBodies().length === 1)
  find('/narrow?occupying')?.end()
  await Promise.all([stopped, occupying])
}, 20_000)

test('caller that closes in the middle: running calls are cancelled and waiting ones never start', async () => {
  socket.write(read('first') + read('second') + once('order') + read('third'))
  await waitFor('the reads', () => runs.length === 2)
  socket.destroy()
  await waitFor('the cancellation', () => runs.every(({ isAborted }) => isAborted))
  await sleep(100)
  expect(runs).toHaveLength(2)
  expect(await countUnsent()).toBe(0)
})
