/**
 * Calls on a route with large responses, through two nodes: retried only before the first byte, never passed on as complete when cut short,
 * and held back by a slow caller.
 */
import { request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { FLOW_WINDOW_BYTES } from '@lagoonswitch/node'
import { PlatformDialect } from '@lagoonswitch/platform'
import { Flood, onRequestHead } from './support/Flood.js'
import { measureHeldBytes } from './support/Memory.js'
import { DESK, World, waitFor } from './support/World.js'

const BODY_BYTES = 540_000
const BODY = Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => index % 251))
/** Slots of the target, of which one is left for another download. */
const SLOTS = 4
/** One flow control window each at the target, on the link and at the caller for each stalled caller, and a margin for the test itself. */
const MAX_HELD_BYTES = 3 * (SLOTS - 1) * FLOW_WINDOW_BYTES + 4_194_304

type TargetAction = (socket: Socket, id: string) => void

let world: World
let runs: string[]
let calls = 0

beforeEach(async () => {
  runs = []
  world = await World.start(['n1', 'n2'], '', new PlatformDialect())
  await world.putEntry({
    ...DESK,
    limits: { ...DESK.limits, deadline: '5s' },
    routes: [{ name: 'file', path: '/file', methods: ['GET'], idempotency: 'safe', bulk: true }]
  })
})

afterEach(async () => { await world.stop() })

async function addTarget (id: string, action: TargetAction): Promise<void> {
  await world.addRawTarget('n2', id, 'v1', socket => onRequestHead(socket, callId => {
    runs.push(id)
    action(socket, callId)
  }), SLOTS)
}

function sendHead (socket: Socket, id: string): void {
  socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`)
}

function sendWhole (socket: Socket, id: string): void {
  sendHead(socket, id)
  socket.write(BODY)
}

async function open (): Promise<IncomingMessage> {
  const { port } = world.getNode('n1')
  const headers = { 'x-attempt-id': `d${calls++}`, 'x-request-deadline': '5000' }
  return await new Promise<IncomingMessage>((resolve, reject) => {
    request({ host: '127.0.0.1', port, path: '/file', headers, agent: false }, resolve).on('error', reject).end()
  })
}

/** @returns the body, or how much of it came before the connection was closed */
async function download (): Promise<Buffer | number> {
  const response = await open()
  const chunks: Buffer[] = []
  return await new Promise(resolve => {
    response.on('data', (chunk: Buffer) => chunks.push(chunk))
    response.on('error', () => resolve(Buffer.concat(chunks).length))
    response.on('end', () => resolve(Buffer.concat(chunks)))
  })
}

test('download arrives whole', async () => {
  await addTarget('t1', sendWhole)
  const bodies = await Promise.all(Array.from({ length: 6 }, async () => await download()))
  for (const body of bodies) expect(BODY.equals(body as Buffer)).toBe(true)
})

test('download that failed before its first byte is retried at another target', async () => {
  await addTarget('t1', socket => socket.destroy())
  await addTarget('t2', sendWhole)
  for (let index = 0; index < 6; index++) expect(BODY.equals(await download() as Buffer)).toBe(true)
  expect(runs).toContain('t1')
})

test.each([1, 20_000, 300_000, BODY_BYTES - 1])('download that breaks off is cut and not retried: %s bytes', async bytes => {
  const sendPart: TargetAction = (socket, id) => {
    sendHead(socket, id)
    socket.write(BODY.subarray(0, bytes), () => socket.end())
  }
  await addTarget('t1', sendPart)
  await addTarget('t2', sendPart)
  const received = await download()
  expect(received).toBeTypeOf('number')
  expect(received).toBeLessThanOrEqual(bytes)
  expect(runs).toHaveLength(1)
})

test('stalled callers hold a window of their downloads each, and other downloads pass', async () => {
  let isFlooding = true
  const floods: Flood[] = []
  await addTarget('t1', (socket, id) => {
    if (isFlooding) floods.push(new Flood(socket, `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: 99999999\r\n\r\n`, 'x'))
    else sendWhole(socket, id)
  })
  const before = await measureHeldBytes()
  const responses = await Promise.all(Array.from({ length: SLOTS - 1 }, async () => await open()))
  for (const response of responses) response.on('error', () => undefined).pause()
  await waitFor('the floods', () => floods.length === SLOTS - 1)
  await sleep(500)
  expect(await measureHeldBytes() - before).toBeLessThan(MAX_HELD_BYTES)
  isFlooding = false
  expect(BODY.equals(await download() as Buffer)).toBe(true)
  for (const response of responses) response.destroy()
})
