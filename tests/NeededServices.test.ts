/**
 * Calls whose nested calls would be refused: they are not begun where the setting calls for it, and are served again afterwards.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { PlatformDialect } from '@lagoonswitch/platform'
import { afterEach, expect, test } from 'vitest'
import { DESK, World } from './support/World.js'

const DEADLINE = { 'x-request-deadline': '2000' }
const WINDOW_MS = 1_000
let world: World
let isStoreRefusing: boolean
let runs: number

afterEach(async () => { await world.stop() })

async function startWorld (placement: string): Promise<void> {
  isStoreRefusing = true
  runs = 0
  world = await World.start(['n1'], `[node]\nzone_placement = ${placement}\n`, new PlatformDialect())
  const limits = { ...DESK.limits, slots: 64, connections: 64, queue: 64 }
  const route = { name: 'read', path: '/read', methods: ['GET'], idempotency: 'safe' }
  await world.putEntry({ ...DESK, class: 'normal', limits, routes: [route] })
  await world.putEntry({ ...DESK, entry: 'store', limits, routes: [{ ...route, path: '/store' }] })
  await world.addTarget('n1', 'desk-n1', 'v1', handleDeskCall, 64)
  await world.addTarget('n1', 'store-n1', 'v1', handleStoreCall, 64, 'store')
}

function handleDeskCall (request: IncomingMessage, response: ServerResponse): void {
  const id = String(request.headers['x-attempt-id'])
  runs++
  void (async () => {
    const { status } = await world.call('n1', 'GET', '/store', { ...DEADLINE, 'x-attempt-id': `${id}.1` })
    response.writeHead(status === 200 ? 200 : 500, { 'x-attempt-id': id }).end('desk')
  })()
}

function handleStoreCall (request: IncomingMessage, response: ServerResponse): void {
  const id = String(request.headers['x-attempt-id'])
  if (isStoreRefusing) response.writeHead(503, { 'x-attempt-id': id, 'x-not-executed': '1' }).end()
  else response.writeHead(200, { 'x-attempt-id': id }).end('store')
}

async function callDesk (times: number, name: string): Promise<Array<{ status: number, headers: Record<string, unknown> }>> {
  const answers = []
  for (let index = 0; index < times; index++) {
    answers.push(await world.call('n1', 'GET', '/read', { ...DEADLINE, 'x-attempt-id': `${name}${index}` }))
  }
  return answers as Array<{ status: number, headers: Record<string, unknown> }>
}

test('call is not begun while a service that its route needs refuses calls, and is served afterwards', async () => {
  await startWorld('balanced')
  await callDesk(30, 'learn')
  const before = runs
  const refused = (await callDesk(40, 'refused')).filter(({ status }) => status === 503)
  expect(refused.length).toBeGreaterThan(20)
  expect(refused[0]?.headers['retry-after']).toBeDefined()
  expect(runs - before).toBeLessThan(20)
  isStoreRefusing = false
  await new Promise(resolve => setTimeout(resolve, 1.2 * WINDOW_MS))
  expect((await callDesk(10, 'later')).map(({ status }) => status)).toEqual(new Array(10).fill(200))
})

test('each call is begun where zones are not balanced', async () => {
  await startWorld('local')
  const answers = await callDesk(40, 'local')
  expect(answers.filter(({ status }) => status === 503)).toEqual([])
  expect(runs).toBeGreaterThanOrEqual(40)
})
