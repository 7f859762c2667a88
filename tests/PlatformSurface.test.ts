/**
 * A control VM and a node with the platform's HTTP interfaces, over real sockets.
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { NullLog } from '@lagoonswitch/common'
import { LagoonProcess } from '@lagoonswitch/lagoonswitch'
import { PlatformDialect, PlatformSurface } from '@lagoonswitch/platform'
import { EndpointState, parseSettings } from '@lagoonswitch/schema'
import { findPorts, waitFor } from './support/World.js'

const HEARTBEAT = {
  address: '127.0.0.1:9',
  info: { service: 'desk', version: 'v1', zone: 'z1', 'max-concurrency': 4 },
  status: { state: 'ready', sequence: 1, 'warmup-left-s': 0 },
  born: 1
}
const STOP_TIMEOUT_MS = 3_000
let folder: string
let control: LagoonProcess
let node: LagoonProcess
let operatorUrl: string
let localUrl: string
let readyUrl: string
let callsUrl: string
let metricsUrl: string

function createConfiguration (version: number, base: number, timeout = 1): object {
  return {
    version,
    'base-version': base,
    services: [{ name: 'desk', 'max-connections': 9 }],
    limits: { 'max-header-bytes': 2_000, 'max-body-bytes': 10_000, 'header-timeout-s': 3, 'idle-timeout-s': 5 },
    'virtual-hosts': [{ host: 'h', paths: [{ name: 'r', 'path-prefix': '/a/', 'route-type': 'safe', 'timeout-s': timeout, service: 'desk' }] }]
  }
}

async function send (url: string, method: string, body?: object | string): Promise<{ status: number, text: string }> {
  const response = await fetch(url, { method, body: typeof body === 'object' ? JSON.stringify(body) : body })
  return { status: response.status, text: await response.text() }
}

async function publish (body: object | string): Promise<number> {
  return (await send(`${operatorUrl}/-/config`, 'PUT', body)).status
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'surface-'))
  const ports = await findPorts(7)
  const [operators, controlPeers, calls, local, readyPort, links, metrics] = ports
  const common = `region = r1\navailability_zone = z1\n[control]\nseeds = 127.0.0.1:${operators}\nclaim_shards = 0\nheartbeat = 50ms\nelection_timeout = 300ms\n`
  const listen = `[listen]\npeers = 127.0.0.1:${controlPeers}\nmetrics = 127.0.0.1:${metrics}\n`
  control = createProcess(`[process]\nname = c1\nroles = control\nstop_timeout = ${STOP_TIMEOUT_MS}ms\ndata_folder = ${folder}\n${common}first_start = true\n${listen}operators = 127.0.0.1:${operators}\n`)
  // On the platform all processes use the same peer port, each on its own VM; here the node gets its own loopback address instead.
  node = createProcess(`[process]\nname = n1\nroles = node\nstop_timeout = 1s\n${common}${listen.replaceAll('127.0.0.1', '127.0.0.2')}` +
    `calls = 127.0.0.1:${calls}\nlocal = 127.0.0.1:${local}\nready = 127.0.0.1:${readyPort}\nlinks = 127.0.0.1:${links}\n`)
  operatorUrl = `http://127.0.0.1:${operators}`
  localUrl = `http://127.0.0.1:${local}`
  metricsUrl = `http://127.0.0.2:${metrics}`
  readyUrl = `http://127.0.0.1:${readyPort}/-/ready`
  callsUrl = `http://127.0.0.1:${calls}`
  await control.start()
  await node.start()
})

afterEach(async () => {
  await node.stop()
  await control.stop()
  // A stop whose timeout passes leaves the storage open.
  await control.control?.close()
  await rm(folder, { recursive: true })
})

function createProcess (text: string): LagoonProcess {
  const settings = parseSettings(text, 'test.ini')
  if (settings.err) throw new Error(settings.val.map(error => error.message).join('\n'))
  return new LagoonProcess(settings.val, new NullLog(), { dialect: new PlatformDialect(), surface: new PlatformSurface() })
}

test('configuration, heartbeat, call, withdrawal and move from end to end', async () => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  expect(await publish(createConfiguration(3, 0))).toBe(200)
  expect(await publish(createConfiguration(5, 3, 2))).toBe(200)
  expect(await publish(createConfiguration(5, 3, 4))).toBe(412)
  expect(await publish(createConfiguration(3, 0))).toBe(200)
  expect(JSON.parse((await send(`${operatorUrl}/-/config`, 'GET')).text)).toEqual(createConfiguration(5, 3, 2))
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  expect((await send(`${localUrl}/-/instances/t1`, 'PUT', HEARTBEAT)).status).toBe(200)
  const call = await fetch(`${callsUrl}/a/x`, { headers: { host: 'h', 'x-attempt-id': 'a1' } })
  expect([404, 503]).toContain(call.status)
  expect((await send(`${localUrl}/-/instances/t1`, 'DELETE')).status).toBe(200)
  expect((await send(`${metricsUrl}/metrics`, 'GET')).text).toContain('lagoonswitch_catalogue_version')
  expect(node.node?.endpoints.getRecord('t1')?.withdrawn).toBe(true)
  expect((await send(`${operatorUrl}/-/rollouts/desk`, 'GET')).status).toBe(404)
  expect((await send(`${operatorUrl}/-/rollouts`, 'POST', { service: 'desk', 'target-version': 'v2', 'duration-s': 9 })).status).toBe(200)
  expect((await send(`${operatorUrl}/-/rollouts`, 'POST', { service: 'desk', 'target-version': 'v2', 'duration-s': 9 })).status).toBe(200)
  expect((await send(`${operatorUrl}/-/rollouts`, 'POST', { service: 'desk', 'target-version': 'v3', 'duration-s': 9 })).status).toBe(412)
  expect(JSON.parse((await send(`${operatorUrl}/-/rollouts/desk`, 'GET')).text)).toEqual({ state: 'running', 'target-version': 'v2' })
}, 30_000)

const DEEP = `${'['.repeat(50_000)}${']'.repeat(50_000)}`

test.each([
  ['more slots than 32 bits', { info: { ...HEARTBEAT.info, 'max-concurrency': 2 ** 40 } }],
  ['endless warm-up', { status: { ...HEARTBEAT.status, 'warmup-left-s': 1e300 } }],
  ['sequence of 2^53 - 1', { status: { ...HEARTBEAT.status, sequence: Number.MAX_SAFE_INTEGER } }],
  ['start in 2^53 - 1', { born: Number.MAX_SAFE_INTEGER }],
  ['port out of range', { address: '127.0.0.1:99999' }],
  ['address out of range', { address: '999.1.1.1:80' }],
  ['line break in the version', { info: { ...HEARTBEAT.info, version: 'v1\r\nx: y' } }],
  ['deep nesting', { extra: 'DEEP' }]
])('odd heartbeat is refused, and others reach the control VM: %s', async (_name, change) => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  const odd = JSON.stringify({ ...HEARTBEAT, address: '127.0.0.1:10', ...change }).replace('"DEEP"', DEEP)
  expect((await send(`${localUrl}/-/instances/odd`, 'PUT', odd)).status).toBe(400)
  expect((await send(`${localUrl}/-/instances/t1`, 'PUT', HEARTBEAT)).status).toBe(200)
  await waitFor('the target at the control VM', () => control.control?.endpoints.getRecord('t1') !== undefined)
  expect(control.control?.endpoints.getRecord('odd')).toBeUndefined()
  expect((await send(readyUrl, 'GET')).status).toBe(200)
}, 30_000)

// Guards against a target that another sender withdraws, or that is used again after it has withdrawn.
test('heartbeat without a start changes nothing at a target that has stated one, and no withdrawal is acknowledged by it', async () => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  const put = async (state: string, sequence: number, fields: object): Promise<number> =>
    (await send(`${localUrl}/-/instances/t1`, 'PUT', { ...HEARTBEAT, status: { state, sequence }, ...fields })).status
  const getState = (): EndpointState | undefined => node.node?.endpoints.getRecord('t1')?.state
  expect(await put('ready', 5, { born: 1_000 })).toBe(200)
  expect(await put('draining', 9, { born: undefined })).toBe(400)
  expect(getState()).toBe(EndpointState.ENDPOINT_STATE_READY)
  expect(await put('draining', 6, { born: 1_000 })).toBe(200)
  expect(await put('ready', 9, { born: undefined })).toBe(200)
  expect(getState()).toBe(EndpointState.ENDPOINT_STATE_DRAINING)
  expect(await put('ready', 1, { born: 2_000 })).toBe(200)
  expect(getState()).toBe(EndpointState.ENDPOINT_STATE_READY)
}, 30_000)

// Guards against a late removal of an earlier lifetime that withdraws the present one. One that states no start may be of either.
test.each([
  ['of an earlier start', { born: 1_000 }, 200, EndpointState.ENDPOINT_STATE_READY],
  ['of the present start', { born: 2_000 }, 200, EndpointState.ENDPOINT_STATE_DRAINING],
  ['without a start', undefined, 200, EndpointState.ENDPOINT_STATE_DRAINING],
  ['without a start, in a body', {}, 200, EndpointState.ENDPOINT_STATE_DRAINING],
  ['of another writer', { born: 'x' }, 400, EndpointState.ENDPOINT_STATE_READY],
  ['that can not be read', '{"born":', 400, EndpointState.ENDPOINT_STATE_READY]
])('removal withdraws the start that it states, else the present one: %s', async (_name, body, status, state) => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  expect((await send(`${localUrl}/-/instances/t1`, 'PUT', { ...HEARTBEAT, born: 1_000 })).status).toBe(200)
  expect((await send(`${localUrl}/-/instances/t1`, 'PUT', { ...HEARTBEAT, born: 2_000 })).status).toBe(200)
  expect((await send(`${localUrl}/-/instances/t1`, 'DELETE', body)).status).toBe(status)
  expect((await send(`${localUrl}/-/instances/t1`, 'PUT', { ...HEARTBEAT, born: 2_000, status: { state: 'ready', sequence: 9 } })).status).toBe(200)
  expect(node.node?.endpoints.getRecord('t1')?.state).toBe(state)
}, 30_000)

test.each(['a%0d%0ab', 'a%20b', 'x'.repeat(99)])('heartbeat under an id that no header can carry, or up to the limit: %s', async id => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  expect((await send(`${localUrl}/-/instances/${id}`, 'PUT', HEARTBEAT)).status).toBe(id.includes('%') ? 400 : 200)
}, 30_000)

// Each withdrawal is recorded by the control VMs.
test.each(['a%0d%0ab', 'a%20b', '%F0%9F%A6%80'])('removal under an id that no target can have is refused and not recorded: %s', async id => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  const last = control.control?.listStatus()[0]?.lastIndex
  expect((await send(`${localUrl}/-/instances/${id}`, 'DELETE')).status).toBe(400)
  expect(control.control?.listStatus()[0]?.lastIndex).toBe(last)
}, 30_000)

test.each([
  ['deep nesting', { extra: 'DEEP' }, 400],
  ['header time limit beyond 32 bits', { 'header-timeout-s': 1e300 }, 200],
  ['idle time limit beyond a timer', { 'idle-timeout-s': 1e8 }, 200],
  ['header size beyond 32 bits', { 'max-header-bytes': 2 ** 40 }, 200]
])('odd configuration is decided, not failed: %s', async (_name, change, status) => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  const plain = { ...createConfiguration(5, 3) as { limits: object }, base: 3 }
  const text = JSON.stringify({ ...plain, limits: { ...plain.limits, ...change } }).replace('"DEEP"', DEEP)
  expect(await publish(text)).toBe(status)
  expect(await publish(createConfiguration(7, status === 200 ? 5 : 3))).toBe(200)
}, 30_000)

test('order with a time beyond 32 bits is refused', async () => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  const order = { service: 'desk', 'target-version': 'v2', 'duration-s': 1e300 }
  expect((await send(`${operatorUrl}/-/rollouts`, 'POST', order)).status).toBe(400)
}, 30_000)

// Guards against a process that runs out of memory while it parses a body which no sender of that interface needs.
test.each(['with its length', 'in chunks'])('heartbeat and order beyond the limit are refused while they arrive, %s', async kind => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  const large = `{"a":[${'1,'.repeat(8_000_000)}`
  const sendLarge = async (url: string, method: string): Promise<{ status: number, text: string }> => {
    const body = kind === 'in chunks' ? new Blob([large]).stream() : large
    const response = await fetch(url, { method, body, duplex: 'half' } as RequestInit)
    return { status: response.status, text: await response.text() }
  }
  for (const [url, method] of [[`${localUrl}/-/instances/t1`, 'PUT'], [`${operatorUrl}/-/rollouts`, 'POST']] as const) {
    const response = await sendLarge(url, method)
    expect(response).toMatchObject({ status: 413, text: expect.stringContaining('more than 262144 bytes') })
  }
  expect((await send(`${metricsUrl}/metrics`, 'GET')).text).toMatch(/bodies_refused_total\{[^}]*too-large[^}]*\} [1-9]/)
  expect((await send(`${localUrl}/-/instances/t1`, 'PUT', HEARTBEAT)).status).toBe(200)
}, 30_000)

test('each listener refuses invalid input with a message', async () => {
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  await waitFor('readiness', async () => (await send(readyUrl, 'GET')).status === 200)
  const whole = JSON.stringify(createConfiguration(4, 3))
  for (const body of ['', '{', whole.slice(0, -9), '[1]', JSON.stringify({ ...createConfiguration(4, 3), services: [] })]) {
    const response = await send(`${operatorUrl}/-/config`, 'PUT', body)
    expect(response.status).toBe(400)
    expect(JSON.parse(response.text).error).not.toBe('')
  }
  for (const body of ['', 'x', '{}', { service: 'desk', 'target-version': 'v2', 'duration-s': -1 }]) {
    expect((await send(`${operatorUrl}/-/rollouts`, 'POST', body)).status).toBe(400)
  }
  for (const body of ['', 'x', {}, { ...HEARTBEAT, status: { state: 'odd', sequence: 1 } }]) {
    expect((await send(`${localUrl}/-/instances/t1`, 'PUT', body)).status).toBe(400)
  }
  const badDeadlineResponse = await fetch(`${callsUrl}/a/x`, { headers: { 'x-request-deadline': 'soon' } })
  expect([400, 404]).toContain(badDeadlineResponse.status)
  const longHeaderResponse = await fetch(`${callsUrl}/a/x`, { headers: { 'x-long': 'y'.repeat(3_000) } })
  expect([404, 431]).toContain(longHeaderResponse.status)
  expect((await send(`${operatorUrl}/none`, 'GET')).status).toBe(404)
}, 30_000)

test('stopping control VM answers an order that it has received', async () => {
  const role = control.control
  if (role === undefined) throw new Error('no control role')
  await waitFor('the first configuration', async () => await publish(createConfiguration(3, 0)) === 200)
  const originalPublish = role.publish.bind(role)
  let stopped: Promise<void> | undefined
  role.publish = async draft => {
    stopped = control.stop()
    await new Promise(resolve => setTimeout(resolve, 300))
    return await originalPublish(draft)
  }
  expect(await publish(createConfiguration(5, 3))).toBe(200)
  await stopped
})

test('stop ends within its timeout even if an order does not end', async () => {
  const role = control.control
  if (role === undefined) throw new Error('no control role')
  const startMs = performance.now()
  let stopped: Promise<void> | undefined
  role.publish = async () => {
    stopped = control.stop()
    return await new Promise(() => {})
  }
  await expect(publish(createConfiguration(3, 0))).rejects.toThrow()
  await stopped
  expect(performance.now() - startMs).toBeLessThan(STOP_TIMEOUT_MS)
})
