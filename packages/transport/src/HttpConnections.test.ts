/**
 * Close of the connections of an HTTP listener.
 */
import { createServer, type RequestListener, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Metrics, NullLog, SystemClock, type ILogFields } from '@lagoonswitch/common'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { HttpConnections } from './HttpConnections.js'

const LIMIT_MS = 4_000
const LARGE_BYTES = 600_000
let server: Server
let connections: HttpConnections
let handle: RequestListener
let handledUrls: string[]
let client: Socket
let receivedBytes: number
let cuts: ILogFields[]
/** Time until all requests were answered when the listener was closed, in milliseconds. */
let answeredMs: number

beforeEach(async () => {
  handledUrls = []
  cuts = []
  receivedBytes = 0
  handle = (_request, response) => { response.end('done') }
  server = createServer((request, response) => {
    handledUrls.push(request.url ?? '')
    connections.addResponse(request, response, request.url ?? '')
    handle(request, response)
  })
  const log = new NullLog()
  log.info = (event: string, fields: ILogFields = {}) => { if (event === 'connection_cut') cuts.push(fields) }
  connections = new HttpConnections(server, { listener: 'test', clock: new SystemClock(), log, metrics: new Metrics() })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  // Stays open after the server has ended its side, as the connections of many client libraries do until their next use.
  client = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  client.on('error', () => undefined)
  client.pause()
})

afterEach(() => {
  client.destroy()
  server.closeAllConnections()
  server.close()
})

async function request (url: string): Promise<void> {
  client.write(`GET ${url} HTTP/1.1\r\nhost: a\r\n\r\n`)
  while (!handledUrls.includes(url)) await sleep(10)
  await sleep(200)
}

function readResponses (): void {
  client.on('data', (chunk: Buffer) => { receivedBytes += chunk.length })
  client.resume()
}

/** @returns time until the listener and its connections were closed, in milliseconds */
async function closeServer (limitMs = LIMIT_MS): Promise<number> {
  const startMs = performance.now()
  const { closed } = await connections.close(async () => await new Promise(resolve => server.close(resolve)), limitMs)
  answeredMs = performance.now() - startMs
  await closed
  return performance.now() - startMs
}

test('connection of a client that has had the time for its response is not waited for', async () => {
  await request('/')
  await sleep(1_100)
  expect(await closeServer()).toBeLessThan(200)
})

test('client that reacts to the end of the connection is waited for until it does', async () => {
  await request('/')
  readResponses()
  client.on('end', () => { setTimeout(() => client.end(), 300) })
  const tookMs = await closeServer()
  expect(tookMs).toBeGreaterThan(250)
  expect(tookMs).toBeLessThan(700)
})

test('client that never closes is waited for as long as its response may need', async () => {
  await request('/')
  const tookMs = await closeServer()
  expect(answeredMs).toBeLessThan(200)
  expect(tookMs).toBeGreaterThan(500)
  expect(tookMs).toBeLessThan(1_300)
})

test('request behind the end of the connection is not handled and does not cut the response before it', async () => {
  handle = (_request, response) => { response.end(Buffer.alloc(LARGE_BYTES)) }
  await request('/first')
  const closed = closeServer()
  await sleep(200)
  client.write('GET /second HTTP/1.1\r\nhost: a\r\n\r\n')
  await sleep(200)
  client.on('end', () => client.end())
  readResponses()
  await closed
  expect(receivedBytes).toBeGreaterThan(LARGE_BYTES)
  expect(handledUrls).toEqual(['/first'])
})

test('response that has not left the process when the listener is closed arrives whole', async () => {
  const bytes = 20 * LARGE_BYTES
  handle = (_request, response) => { response.end(Buffer.alloc(bytes)) }
  await request('/')
  const closed = closeServer()
  await sleep(300)
  client.on('end', () => client.end())
  readResponses()
  await closed
  expect(receivedBytes).toBeGreaterThan(bytes)
})

test('connection that is destroyed before its client can have the response is reported with the request', async () => {
  handle = (_request, response) => { response.end(Buffer.alloc(LARGE_BYTES)) }
  await request('/large')
  await closeServer(300)
  expect(cuts).toMatchObject([{ request: '/large', sent: true }])
})

test('clients that do not close their side leave no more than 64 connections open', async () => {
  const { port } = server.address() as AddressInfo
  const clients = Array.from({ length: 80 }, () => connect({ port, host: '127.0.0.1', allowHalfOpen: true }))
  for (const one of clients) {
    one.on('error', () => undefined)
    one.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
  }
  while (handledUrls.length < clients.length) await sleep(10)
  await sleep(200)
  const count = await new Promise(resolve => server.getConnections((_error, open) => resolve(open)))
  for (const one of clients) one.destroy()
  // The client of the other tests has a connection, too.
  expect(count).toBe(65)
})
