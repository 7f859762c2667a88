/**
 * Callers whose calls run on a VM that goes silent.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { PlatformDialect } from '@lagoonswitch/platform'
import { HoldingProxy } from './support/HoldingProxy.js'
import { DESK, World, type IResponse } from './support/World.js'

const RUN_MS = 1_000
const EARLY_MS = 1_300

interface IStarted {
  reply: Promise<IResponse>
  heldMs: number
  runs: () => number
}

let world: World
let proxy: HoldingProxy
let calls = 0

beforeEach(async () => {
  world = await World.start(['n1', 'n2', 'n3'], '', new PlatformDialect())
  await world.putEntry(DESK)
  // The link to the targets of n2 goes through a proxy.
  const options = (world.getNode('n2').role.targets as unknown as { _options: { linkAddress: string } })._options
  proxy = new HoldingProxy(Number(options.linkAddress.split(':')[1]))
  options.linkAddress = `127.0.0.1:${await proxy.listen()}`
})

afterEach(async () => {
  proxy.close()
  await world.stop()
})

function respondAfter (delayMs: number, body: string) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    setTimeout(() => response.writeHead(200, { 'x-attempt-id': String(request.headers['x-attempt-id']) }).end(body), delayMs)
  }
}

async function call (method: string, path: string): Promise<IResponse> {
  return await world.call('n1', method, path, { 'x-attempt-id': `s${calls++}`, 'x-request-deadline': '2000' })
}

/** Starts a call that runs on n2, adds a target on n3, and lets n2 go silent. */
async function startOnSilentNode (method: string, path: string): Promise<IStarted> {
  const silent = await world.addTarget('n2', 't1', 'v1', respondAfter(RUN_MS, 'silent'))
  const reply = call(method, path)
  while (silent.requests.length === 0) await sleep(5)
  await world.addTarget('n3', 't2', 'v1', respondAfter(0, 'other'))
  proxy.hold()
  return { reply, heldMs: performance.now(), runs: () => silent.requests.length }
}

test('safe call on a VM that goes silent is retried elsewhere before its deadline', async () => {
  const { reply, heldMs } = await startOnSilentNode('GET', '/read')
  expect(await reply).toMatchObject({ status: 200, body: 'other' })
  expect(performance.now() - heldMs).toBeLessThan(EARLY_MS)
  expect(world.getNode('n1').metrics.readCount('retries_total', 'link-silent')).toBe(1)
})

test('single-try call on a VM that goes silent ends as unknown before its deadline', async () => {
  const { reply, heldMs, runs } = await startOnSilentNode('POST', '/once')
  const { status, body } = await reply
  expect(status).toBe(502)
  expect(JSON.parse(body)).toMatchObject({ reason: 'link-silent', run: 'unknown' })
  expect(performance.now() - heldMs).toBeLessThan(EARLY_MS)
  expect(runs()).toBe(1)
})

test('calls go to other VMs as soon as one is known to be silent', async () => {
  const { reply, runs } = await startOnSilentNode('POST', '/once')
  await reply
  for (let count = 0; count < 10; count++) expect(await call('POST', '/once')).toMatchObject({ status: 200, body: 'other' })
  expect(runs()).toBe(1)
})
