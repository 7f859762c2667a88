/**
 * Usage caps of client accounts with a control VM and nodes in the test process.
 */
import { request as openRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { computeKeyDigest } from '@lagoonswitch/schema'
import { DESK, World, waitFor, type IResponse } from './support/World.js'

/** The account `a` has a usage cap, the account `b` has none. */
const CAPPED = { authorization: 'Bearer key-a' }
const UNCAPPED = { authorization: 'Bearer key-b' }
/** Calls beyond a bucket of one token in the time of a test. */
const REPEATS = 6

let world: World

afterEach(async () => { await world.stop() })

async function startWorld (nodes: readonly string[], rate: number, burst: number, extraSettings = ''): Promise<void> {
  world = await World.start(nodes, extraSettings)
  await world.putEntry(DESK)
  const { version, epoch } = world.control.store.version
  const createRecord = (account: string, fields: object): object => ({
    name: `account/${account}`,
    version: version + 1,
    declaration: JSON.stringify({ account, key_digests: [computeKeyDigest(`key-${account}`)], ...fields }),
    removed: false,
    annotation: ''
  })
  world.control.store.commitRecords({ epoch, version: version + 1 }, [createRecord('a', { rate, burst }), createRecord('b', {})] as never, [])
  await waitFor('the account at all nodes', () => [...world.nodes.values()].every(node => node.role.store.view.accounts.has('a')))
}

async function call (node: string): Promise<IResponse> {
  return await world.call(node, 'GET', '/read', CAPPED)
}

function readReason ({ status, body }: IResponse): string {
  return status === 200 ? 'served' : String((JSON.parse(body) as { reason: string }).reason)
}

test('calls beyond the cap of an account get 429 with the time until room comes, at all nodes together', async () => {
  await startWorld(['n1', 'n2'], 4, 2, '[accounts]\ncap_excess = 0\ncap_slack = 0\n')
  const target = await world.addTarget('n1', 't1', 'v1', (_, response) => response.end('ok'), 64)
  for (const node of ['n1', 'n2']) await waitFor(`a decision at ${node}`, async () => (await call(node)).status === 200)
  await sleep(600)
  target.requests.length = 0
  const startedMs = Date.now()
  const replies = await Promise.all(Array.from({ length: 40 }, async (_, index) => await call(index % 2 === 0 ? 'n1' : 'n2')))
  const elapsedMs = Date.now() - startedMs
  const served = replies.filter(({ status }) => status === 200)
  const refused = replies.filter(({ status }) => status === 429)
  expect(served.length + refused.length).toBe(replies.length)
  expect(target.requests.length).toBe(served.length)
  expect(served.length).toBeGreaterThanOrEqual(2)
  expect(served.length).toBeLessThanOrEqual(2 + 4 * elapsedMs / 1_000 + 1)
  for (const reply of refused) {
    expect(readReason(reply)).toBe('usage-cap')
    expect(reply.headers['lagoon-run']).toBe('not-run')
    expect(Number(reply.headers['retry-after'])).toBeGreaterThanOrEqual(1)
  }
  await waitFor('room', async () => (await call('n2')).status === 200)
  const uncapped = await Promise.all(Array.from({ length: 10 }, async () => await world.call('n1', 'GET', '/read', UNCAPPED)))
  expect(uncapped.map(({ status }) => status)).toEqual(new Array(10).fill(200))
})

test('call that is refused elsewhere gives its token back', async () => {
  await startWorld(['n1'], 0.4, 1)
  await waitFor('a token', async () => readReason(await call('n1')) === 'no-target')
  for (let repeat = 0; repeat < REPEATS; repeat++) expect(readReason(await call('n1'))).toBe('no-target')
})

test('call whose caller leaves before a target got it gives its token back', async () => {
  await startWorld(['n1'], 0.4, 1)
  await world.addTarget('n1', 't1', 'v1', (_, response) => response.end('ok'))
  const { port, metrics } = world.getNode('n1')
  // A call goes on by recent use or the reserve when the leader takes more than 100 ms, as on a busy machine.
  const countAdmitted = (): number => ['spare', 'recent', 'reserve'].reduce((sum, source) => sum + metrics.readCount('caps_calls_total', source), 0)
  await sleep(3_000)
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const admitted = countAdmitted()
    const outgoing = openRequest({
      host: '127.0.0.1', port, method: 'POST', path: '/read', headers: { ...CAPPED, 'content-length': 10 }, agent: false
    })
    outgoing.on('error', () => undefined)
    outgoing.flushHeaders()
    await waitFor('admission', () => countAdmitted() > admitted)
    const returned = metrics.readCount('caps_calls_total', 'returned')
    outgoing.destroy()
    await waitFor('the return', () => metrics.readCount('caps_calls_total', 'returned') > returned)
  }
  expect((await call('n1')).status).toBe(200)
  expect(readReason(await call('n1'))).toBe('usage-cap')
})

test('calls without a lease get 503 while no leader decides, and others are served', async () => {
  await startWorld(['n1'], 4, 2)
  await world.addTarget('n1', 't1', 'v1', (_, response) => response.end('ok'))
  await waitFor('a token', async () => (await call('n1')).status === 200)
  world.stopControl()
  await waitFor('the loss of the leader', async () => readReason(await call('n1')) === 'cap-undecided')
  // Some calls go on at the rate of the window before; 20 at once are more than a window allows.
  const replies = await Promise.all(Array.from({ length: 20 }, async () => await call('n1')))
  const refused = replies.filter(({ status }) => status === 503)
  expect(refused.length).toBeGreaterThanOrEqual(10)
  expect(refused.length + replies.filter(({ status }) => status === 200).length).toBe(replies.length)
  for (const reply of refused) {
    expect(readReason(reply)).toBe('cap-undecided')
    expect(Number(reply.headers['retry-after'])).toBeGreaterThanOrEqual(1)
  }
  expect((await world.call('n1', 'GET', '/read', UNCAPPED)).status).toBe(200)
  await world.startControl()
  await waitFor('a decision of the next leader', async () => (await call('n1')).status === 200)
})

test('catalogue without caps sends no message', async () => {
  await startWorld(['n1'], 0, 0)
  await world.addTarget('n1', 't1', 'v1', (_, response) => response.end('ok'))
  for (let repeat = 0; repeat < REPEATS; repeat++) expect((await call('n1')).status).toBe(200)
  await sleep(1_200)
  const text = await world.getNode('n1').metrics.format()
  expect(text).not.toMatch(/lagoonswitch_caps_(calls|messages)_total\{/)
})
