import { spawn } from 'node:child_process'
import { rmSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
// @ts-expect-error the benchmark harness is plain JavaScript
import { Fleet, findPorts, waitUntil } from '../bench/harness.mjs'

const MOVE_MS = 6_000
/** Time that a target takes for an order. */
const ORDER_MS = 600
/** Longer than the shortest stop of a node. */
const LEADERLESS_MS = 3_000
const ENTRY = {
  entry: 'desk',
  owner: 'beaulieu',
  class: 'first',
  limits: { slots: 9, connections: 130 },
  routes: [
    { name: 'read', path: '/read', methods: ['GET'], idempotency: 'safe' },
    { name: 'order', path: '/order', methods: ['POST'], idempotency: 'keyed' }
  ],
  version: 'v1'
}

let fleet: Fleet

async function runCtl (...args: string[]): Promise<{ code: number, output: string }> {
  const { operators } = fleet.vms.get('c1')
  const child = spawn(process.execPath, ['packages/lagoonctl/dist/main.js', ...args, '--control', `127.0.0.1:${operators}`])
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  child.stderr.on('data', chunk => { output += String(chunk) })
  const code = await new Promise<number>(resolve => child.on('close', status => resolve(status ?? -1)))
  return { code, output }
}

async function call (node: string, path: string, options?: RequestInit): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${fleet.vms.get(node).calls}${path}`, options)
  await response.text()
  return response.status
}

function writeDeclaration (declaration: object): string {
  const file = join(fleet.folder, 'desk.yaml')
  writeFileSync(file, JSON.stringify(declaration))
  return file
}

async function startTarget (id: string, version: string): Promise<number> {
  const [port] = await findPorts(1)
  fleet.startScript(id, 'bench/stand-in-target.mjs', id, 'desk', version, port, fleet.vms.get('n1').local)
  return port as number
}

beforeEach(async () => {
  fleet = new Fleet()
  await fleet.plan([{ name: 'c1', roles: 'control' }, { name: 'n1', roles: 'node' }])
  fleet.startVm('c1')
  fleet.startVm('n1')
  await fleet.waitReady('n1')
})

afterEach(async () => { await fleet.stop() })

test('control VM and node processes handle a change, calls and a move', async () => {
  await startTarget('t1', 'v1')
  await startTarget('t2', 'v2')
  expect(await runCtl('apply', writeDeclaration(ENTRY))).toMatchObject({ code: 0 })
  await waitUntil('a call', async () => await call('n1', '/read') === 200)
  const by = new Date(Date.now() + MOVE_MS).toISOString()
  const move = { ...ENTRY, move: { to: 'v2', by, first_share: 0.2, watch: '1s', prefer: 'time' } }
  expect(await runCtl('apply', writeDeclaration(move))).toMatchObject({ code: 0 })
  const waiting = runCtl('move', 'wait', 'desk')
  const done = await waiting
  expect(done).toMatchObject({ code: 0 })
  expect(done.output).toMatch(/desk: done, v2 takes all calls/)
}, 60_000)

async function sendOrder (key: string): Promise<string> {
  const response = await fetch(`http://127.0.0.1:${fleet.vms.get('n1').calls}/order`, {
    method: 'POST', headers: { 'idempotency-key': key }, body: 'x'
  })
  await response.text()
  return response.status === 200 ? (response.headers.has('lagoon-repeated') ? 'repeated' : 'run') : `refused ${response.status}`
}

async function countRuns (port: number): Promise<number[]> {
  const { runs } = await (await fetch(`http://127.0.0.1:${port}/stats`)).json() as { runs: Array<[string, number]> }
  return runs.map(([, count]) => count)
}

test('accepted changes and recorded answers survive killed processes', async () => {
  const port = await startTarget('t1', 'v1')
  expect(await runCtl('apply', writeDeclaration(ENTRY))).toMatchObject({ code: 0 })
  let lastOutcome = ''
  await waitUntil('an order', async () => {
    lastOutcome = await sendOrder('kept')
    return lastOutcome === 'run'
  }).catch(error => { throw new Error(`${String(error)}: the last outcome was ${lastOutcome}`) })
  await waitUntil('its record', async () => await sendOrder('kept') === 'repeated')
  // The record of this call may be lost with the node; even so the call must not run again.
  await sendOrder('doubtful')
  await fleet.kill('c1', 'SIGKILL')
  await fleet.kill('n1', 'SIGKILL')
  fleet.startVm('c1')
  fleet.startVm('n1')
  await fleet.waitReady('n1')
  expect((await runCtl('get', 'desk')).output).toMatch(/desk {2}owner beaulieu/)
  await waitUntil('the recorded answer', async () => await sendOrder('kept') === 'repeated')
  expect(await sendOrder('doubtful')).not.toBe('run')
  expect(await countRuns(port)).toEqual([1, 1])
}, 60_000)

test('answer to an order is recorded although no control VM is up when its node begins to stop', async () => {
  const [port] = await findPorts(1)
  fleet.startScript('t1', 'bench/stand-in-target.mjs', 't1', 'desk', 'v1', port, fleet.vms.get('n1').local, 9, ORDER_MS)
  expect(await runCtl('apply', writeDeclaration(ENTRY))).toMatchObject({ code: 0 })
  await waitUntil('an order', async () => await sendOrder('first') === 'run')
  const order = sendOrder('kept')
  await sleep(ORDER_MS / 2)
  await fleet.kill('c1', 'SIGKILL')
  expect(await order).toBe('run')
  const stopping = fleet.kill('n1')
  await sleep(LEADERLESS_MS)
  fleet.startVm('c1')
  expect(await stopping).toBe(0)
  fleet.startVm('n1')
  await fleet.waitReady('n1')
  await waitUntil('the target', async () => await sendOrder('next') === 'run')
  expect(await sendOrder('kept')).toBe('repeated')
}, 60_000)

test('move and claims continue after the leader of three control VMs is killed', async () => {
  const replicatedFleet = new Fleet()
  try {
    await replicatedFleet.plan([...['a', 'b', 'c'].map(name => ({ name, roles: 'control' })), { name: 'n1', roles: 'node' }])
    for (const name of replicatedFleet.vms.keys()) replicatedFleet.startVm(name)
    await replicatedFleet.waitReady('n1')
    // The node is ready with any two of the control VMs; the order below goes to this one.
    await waitUntil('the operators of a', async () => (await replicatedFleet.sendOperatorRequest('a', 'GET', '/v1/status')).status === 200)
    const { local, calls } = replicatedFleet.vms.get('n1')
    const [first, second] = await findPorts(2)
    replicatedFleet.startScript('t1', 'bench/stand-in-target.mjs', 't1', 'desk', 'v1', first, local)
    replicatedFleet.startScript('t2', 'bench/stand-in-target.mjs', 't2', 'desk', 'v2', second, local)
    const by = new Date(Date.now() + MOVE_MS * 2).toISOString()
    await replicatedFleet.putEntry('a', { ...ENTRY, move: { to: 'v2', by, first_share: 0.2, watch: '1s', prefer: 'time' } })
    const status = (await replicatedFleet.sendOperatorRequest('a', 'GET', '/v1/status')).body
    const leader = status.groups.find((group: { group: string }) => group.group === 'catalogue').leaderName
    await replicatedFleet.kill(leader, 'SIGKILL')
    const survivor = ['a', 'b', 'c'].find(name => name !== leader)
    await waitUntil('an order without the leader', async () => (await fetch(`http://127.0.0.1:${calls}/order`, {
      method: 'POST', headers: { 'idempotency-key': 'k' }
    })).status === 200)
    let lastMoves = ''
    await waitUntil('done', async () => {
      const { body } = await replicatedFleet.sendOperatorRequest(survivor, 'GET', '/v1/moves')
      lastMoves = JSON.stringify(body)
      return body.moves[0].status.startsWith('done')
    }).catch(async error => {
      const { body } = await replicatedFleet.sendOperatorRequest(survivor, 'GET', '/v1/status')
      throw new Error(`${String(error)}: ${lastMoves} ${JSON.stringify(body)}`)
    })
    expect((await (await fetch(`http://127.0.0.1:${first}/stats`)).json()).runs.length +
      (await (await fetch(`http://127.0.0.1:${second}/stats`)).json()).runs.length).toBe(1)
  } finally {
    await replicatedFleet.stop()
  }
}, 90_000)

test('graceful stop exits with 0', async () => {
  expect(await fleet.kill('n1', 'SIGTERM')).toBe(0)
  expect(await fleet.kill('c1', 'SIGTERM')).toBe(0)
}, 60_000)

test('exit codes of lagoonctl distinguish failures', async () => {
  await runCtl('apply', writeDeclaration(ENTRY))
  expect((await runCtl('check', writeDeclaration({ ...ENTRY, colour: 'red' }))).code).toBe(3)
  expect((await runCtl('apply', writeDeclaration({ ...ENTRY, version: 'v9' }))).code).toBe(3)
  expect((await runCtl('get', 'nothing')).code).toBe(1)
  await fleet.kill('c1')
  expect((await runCtl('status')).code).toBe(5)
}, 60_000)

test('accounts are applied, listed, exported and removed like entries', async () => {
  const folder = dirname(writeDeclaration(ENTRY))
  const file = join(folder, 'account.yaml')
  const digest = 'a'.repeat(64)
  writeFileSync(file, JSON.stringify({ account: 'big corp', key_digests: [digest], class: 'high', rate: 2.5 }))
  expect(await runCtl('apply', folder)).toMatchObject({ code: 0, output: expect.stringMatching(/\+ account\/big corp/) })
  expect((await runCtl('get', 'account/big corp')).output).toMatch(/^account\/big corp {2}keys 1 {2}class high {2}rate 2.5 {2}burst 0 {2}version \d+\n$/)
  expect((await runCtl('export')).output).toContain(`account: big corp\nclass: high\nkey_digests:\n  - ${digest}`)
  expect((await runCtl('diff', folder)).output).toBe('nothing differs\n')
  writeFileSync(join(folder, 'other.yaml'), JSON.stringify({ account: 'other', key_digests: [digest] }))
  expect(await runCtl('apply', folder)).toMatchObject({ code: 3, output: expect.stringMatching(/has the same key/) })
  for (const name of [file, join(folder, 'other.yaml')]) rmSync(name)
  expect((await runCtl('apply', folder, '--prune')).output).toContain('- account/big corp')
}, 60_000)
