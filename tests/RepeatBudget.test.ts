/**
 * Retry budget of nested calls: limits the repeats that a service receives when its callers are targets whose own calls are retried.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { SeededRandom } from '@lagoonswitch/common'
import { PlatformDialect } from '@lagoonswitch/platform'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World } from './support/World.js'

const RATIO = 0.2
const SLACK = 30
const REFUSED_SHARE = 0.6
/** Number of calls that use up the retry budgets of a service that refuses everything. */
const BUDGET_DRAIN_CALLS = 20
const NESTED_CALLS_PER_RUN = 2
const MANY_NESTED_CALLS_PER_RUN = 6
/** Share of runs that fail after their nested calls succeeded. */
const FAILED_SHARE = 0.6
const BATCHES = 20
const BATCH_CALLS = 15
const RESTARTS = 30
const CALLS_PER_LIFETIME = 4
const DEADLINE = { 'x-request-deadline': '2000' }
const NODES = ['n1', 'n2', 'n3']
const ROUTE = { name: 'read', path: '/read', methods: ['GET'], idempotency: 'safe', attempts: 3 }
let world: World
let random: SeededRandom
let refusedShare: number
let failedShare: number
let nestedCallsPerRun: number
/** Requests received, by call ID; those made by repeated runs are counted separately. */
let arrivals: Map<string, number>
let arrivalsOfRepeats: Map<string, number>

beforeEach(async () => {
  random = new SeededRandom(19)
  refusedShare = REFUSED_SHARE
  failedShare = 0
  nestedCallsPerRun = NESTED_CALLS_PER_RUN
  arrivals = new Map()
  arrivalsOfRepeats = new Map()
  world = await World.start(NODES, `[node]\nretry_slack = ${SLACK}\n`, new PlatformDialect())
  const limits = { ...DESK.limits, slots: 64, connections: 64, queue: 64, retry_budget: RATIO }
  await world.putEntry({ ...DESK, class: 'normal', limits, routes: [ROUTE] })
  await world.putEntry({ ...DESK, entry: 'price', limits, routes: [{ ...ROUTE, path: '/price' }] })
  for (const node of NODES) {
    await world.addTarget(node, `desk-${node}`, 'v1', createDeskHandler(node), 64)
    await world.addTarget(node, `price-${node}`, 'v1', handlePriceCall, 64, 'price')
  }
})

afterEach(async () => { await world.stop() })

function readId (request: IncomingMessage): string {
  return String(request.headers['x-attempt-id'])
}

/** Creates a target that makes its nested calls one after the other and fails when one of them does. */
function createDeskHandler (node: string) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    const id = readId(request)
    const run = countArrival(arrivals, id)
    void (async () => {
      let status = 200
      for (let call = 0; call < nestedCallsPerRun && status === 200; call++) {
        status = (await world.call(node, 'GET', '/price', { ...DEADLINE, 'x-attempt-id': `${id}.${run}-${call}` })).status
      }
      const isFailed = status !== 200 || random.draw() < failedShare
      response.writeHead(isFailed ? 500 : 200, { 'x-attempt-id': id }).end('desk')
    })()
  }
}

function handlePriceCall (request: IncomingMessage, response: ServerResponse): void {
  const id = readId(request)
  const isOfFirstRun = id.split('.')[1]?.startsWith('1-') === true
  countArrival(isOfFirstRun ? arrivals : arrivalsOfRepeats, id)
  if (random.draw() < refusedShare) response.writeHead(503, { 'x-attempt-id': id, 'x-not-executed': '1' }).end()
  else response.writeHead(200, { 'x-attempt-id': id }).end('price')
}

function countArrival (counts: Map<string, number>, id: string): number {
  const count = (counts.get(id) ?? 0) + 1
  counts.set(id, count)
  return count
}

async function callInBatches (batches: number): Promise<void> {
  for (let batch = 0; batch < batches; batch++) {
    await Promise.all(Array.from({ length: BATCH_CALLS }, async (_, call) =>
      await world.call(NODES[call % NODES.length] ?? '', 'GET', '/read', { ...DEADLINE, 'x-attempt-id': `a${batch}-${call}` })))
  }
}

/** Checks that the repeats that the called service received are within its retry budget for one window. */
function expectWithinBudget (): void {
  const firstRunCounts = [...arrivals].filter(([id]) => id.includes('.')).map(([, count]) => count)
  const repeatedRunRequests = [...arrivalsOfRepeats.values()].reduce((sum, count) => sum + count, 0)
  const repeats = firstRunCounts.reduce((sum, count) => sum + count - 1, 0) + repeatedRunRequests
  expect(repeats).toBeLessThanOrEqual(RATIO * firstRunCounts.length + SLACK)
}

test('nested calls of repeated runs stay within the retry budget of the called service', async () => {
  await callInBatches(BATCHES)
  expect(arrivals.size).toBeGreaterThan(2 * BATCHES * BATCH_CALLS)
  expectWithinBudget()
})

test('many nested calls of repeated runs stay within the retry budget of the called service when their own service fails', async () => {
  nestedCallsPerRun = MANY_NESTED_CALLS_PER_RUN
  failedShare = FAILED_SHARE
  refusedShare = 0.1
  await callInBatches(BATCHES / 4)
  expectWithinBudget()
})

test('run that failed because a called service had no retry budget left is not retried', async () => {
  const limits = { ...DESK.limits, slots: 64, connections: 64, queue: 64, retry_budget: 1 }
  await world.putEntry({ ...DESK, class: 'normal', limits, routes: [ROUTE] })
  refusedShare = 1
  const countRuns = (): number => [...arrivals].reduce((sum, [id, count]) => id.includes('.') ? sum : sum + count, 0)
  const callSequentially = async (name: string, count: number): Promise<void> => {
    for (let call = 0; call < count; call++) await world.call('n1', 'GET', '/read', { ...DEADLINE, 'x-attempt-id': `${name}${call}` })
  }
  await callSequentially('first', BUDGET_DRAIN_CALLS)
  const before = countRuns()
  await callSequentially('later', BATCH_CALLS)
  expect(countRuns() - before).toBeLessThanOrEqual((1 + RATIO) * BATCH_CALLS)
})

test('node that restarts again and again stays within the retry budget of a window', async () => {
  refusedShare = 1
  const callAtNode = async (life: number): Promise<void> => {
    for (let call = 0; call < CALLS_PER_LIFETIME; call++) {
      await world.call('n1', 'GET', '/price', { ...DEADLINE, 'x-attempt-id': `r${life}.${call}` })
    }
  }
  await callAtNode(0)
  for (let life = 1; life <= RESTARTS; life++) {
    world.crashNode('n1')
    await world.startNode('n1', `first_start = false\n[node]\nretry_slack = ${SLACK}\n`)
    await callAtNode(life)
  }
  expect(arrivalsOfRepeats.size).toBeGreaterThan(RESTARTS * CALLS_PER_LIFETIME / 2)
  const repeats = [...arrivalsOfRepeats.values()].reduce((sum, count) => sum + count - 1, 0)
  expect(repeats).toBeLessThanOrEqual(RATIO * arrivalsOfRepeats.size + SLACK)
})
