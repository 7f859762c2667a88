/**
 * Processes that fail while calls run.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
// @ts-expect-error the benchmark harness is plain JavaScript
import { Fleet, findPorts, waitUntil } from '../bench/harness.mjs'

const EXIT_FAILED = 1
const DELAY_MS = 1_000
const ENTRY = {
  entry: 'desk',
  owner: 'beaulieu',
  class: 'first',
  limits: { slots: 9, connections: 130, deadline: '5s' },
  routes: [{ name: 'order', path: '/order', methods: ['POST'], idempotency: 'single-try' }],
  version: 'v1'
}
let fleet: Fleet

beforeEach(async () => {
  fleet = new Fleet()
  await fleet.plan([{ name: 'c1', roles: 'control' }, { name: 'n1', roles: 'node' }])
  fleet.startVm('c1')
  process.env.BENCH_NODE_FLAGS = '--import ./tests/support/throwOnSignal.mjs'
  fleet.startVm('n1')
  delete process.env.BENCH_NODE_FLAGS
  await fleet.waitReady('n1')
  const [port] = await findPorts(1)
  fleet.startScript('t1', 'bench/stand-in-target.mjs', 't1', 'desk', 'v1', port, fleet.vms.get('n1').local, 9, DELAY_MS)
  await fleet.putEntry('c1', ENTRY)
})

afterEach(async () => { await fleet.stop() })

async function call (): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${fleet.vms.get('n1').calls}/order`, { method: 'POST' })
  await response.text()
  return response.status
}

// An exception in an event ended the process at once, with the calls of all callers of its VM.
test('exception in an event ends the process only after its running calls', async () => {
  await waitUntil('a call', async () => await call() === 200)
  const calls = Array.from({ length: 5 }, async () => await call().catch(() => 'cut'))
  await sleep(DELAY_MS / 2)
  const child = fleet.children.get('n1')
  const ended = new Promise<number | null>(resolve => child.on('exit', (code: number | null) => resolve(code)))
  child.kill('SIGUSR2')
  expect(await Promise.all(calls)).toEqual([200, 200, 200, 200, 200])
  expect(await ended).toBe(EXIT_FAILED)
}, 60_000)
