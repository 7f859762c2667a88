/**
 * A control VM with the heap of the platform that is sent large and damaged bodies. Guards against a process that runs out of memory
 * while it parses a body within the limit of its size.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { findPorts, waitFor } from './support/World.js'

const HEAP_MB = 160
const MB = 1_048_576
/** Just below the limit of a configuration, and beyond it. */
const BODY_BYTES = [7.9 * MB, 31 * MB]
let folder: string
let control: ChildProcess
let url: string
let version = 1
let acceptedVersion = 0

function createConfiguration (routeCount: number): object {
  version += 2
  const paths = Array.from({ length: routeCount }, (_, index) => ({
    name: `route-${index}`, 'path-prefix': `/path-${index}/`, 'route-type': 'safe', 'timeout-s': 1.2, 'target-latency-s': 0.3, priority: 1, service: 'desk'
  }))
  return {
    version,
    ...(acceptedVersion === 0 ? {} : { 'base-version': acceptedVersion }),
    services: [{ name: 'desk', 'max-connections': 9 }],
    limits: { 'max-header-bytes': 2_000, 'max-body-bytes': 10_000, 'header-timeout-s': 3, 'idle-timeout-s': 5 },
    'virtual-hosts': [{ host: 'h', paths }]
  }
}

async function put (body: string, path = '/-/config'): Promise<number> {
  // A connection that is closed while the body is being sent may hide the answer from this client.
  return await fetch(`${url}${path}`, { method: 'PUT', body }).then(({ status }) => status, () => 413)
}

/** Publishes a valid configuration after whatever was accepted before. */
async function publish (routeCount: number): Promise<number> {
  const current = await fetch(`${url}/-/config`)
  if (current.ok) acceptedVersion = (await current.json() as { version: number }).version
  const status = await put(JSON.stringify(createConfiguration(routeCount)))
  if (status === 200) acceptedVersion = version
  return status
}

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bounded-'))
  const [operators, peers, metrics] = await findPorts(3)
  const file = join(folder, 'c1.ini')
  await writeFile(file, `[process]\nname = c1\nroles = control\nregion = r1\navailability_zone = z1\nstop_timeout = 1s\ndata_folder = ${folder}/data\n` +
    `[control]\nseeds = 127.0.0.1:${operators}\nclaim_shards = 0\nheartbeat = 100ms\nelection_timeout = 1s\nfirst_start = true\n` +
    `[listen]\npeers = 127.0.0.1:${peers}\noperators = 127.0.0.1:${operators}\nmetrics = 127.0.0.1:${metrics}\n`)
  url = `http://127.0.0.1:${operators}`
  control = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, 'target/lagoonswitch.cjs'], {
    env: { ...process.env, LAGOONSWITCH_CONFIG: file }, stdio: ['ignore', 'ignore', 'inherit']
  })
  await waitFor('the first configuration', async () => await publish(1).catch(() => 503) === 200)
}, 30_000)

afterAll(async () => {
  control.kill('SIGTERM')
  await new Promise(resolve => control.once('exit', resolve))
  await rm(folder, { recursive: true })
}, 30_000)

/** Puts a configuration with one further field and returns the status. */
async function putExtra (field: string, content: string): Promise<number> {
  const whole = JSON.stringify(createConfiguration(1))
  return await put(`${whole.slice(0, -1)},"${field}":${content}}`)
}

test.each([
  ['numbers', 'extra', '1,'],
  ['empty objects', 'extra', '{},'],
  ['empty lists', 'extra', '[],'],
  ['objects with a field', 'extra', '{"a":{}},'],
  ['lists in lists', 'extra', '['],
  ['hosts', 'virtual-hosts', '{"host":"h","paths":[]},'],
  ['services', 'services', '{"name":"s"},']
])('control VM survives a configuration of many values: %s', async (_name, field, part) => {
  for (const bytes of BODY_BYTES) expect([400, 413]).toContain(await putExtra(field, `[${part.repeat(Math.floor(bytes / part.length))}0]`))
  expect(await publish(2)).toBe(200)
}, 60_000)

// Within the limits of size and values; guards against a report on each of its faults.
test.each([
  ['services', 'services', ['{},', '']],
  ['routes', 'virtual-hosts', ['{},', '{"host":"h","paths":[']],
  ['lists of targets', 'virtual-hosts', ['{},', '{"host":"h","paths":[{"weighted-targets":[']]
])('control VM survives a configuration of many faulty values: %s', async (_name, field, [part = '', prefix = '']) => {
  const closing = [...prefix].reverse().join('').replace(/[^[{]/g, '').replaceAll('[', ']').replaceAll('{', '}')
  const statuses = await Promise.all(Array.from({ length: 4 }, async () => await putExtra(field, `[${prefix}${part.repeat(240_000)}{}${closing}]`)))
  expect(statuses).toEqual([400, 400, 400, 400])
  expect(await publish(2)).toBe(200)
}, 60_000)

test('control VM survives a configuration with long strings', async () => {
  const statuses: number[] = []
  for (const bytes of BODY_BYTES) {
    expect(await publish(2)).toBe(200)
    statuses.push(await putExtra('extra', `"${'x'.repeat(bytes)}"`))
  }
  expect(statuses).toEqual([200, 413])
  expect(await publish(2)).toBe(200)
}, 60_000)

test('control VM survives several large configurations at once', async () => {
  const content = `[${'{"a":1},'.repeat(160_000)}0]`
  for (const extra of [content, `"${'x'.repeat(7.5 * MB)}"`]) {
    expect(await publish(2)).toBe(200)
    const statuses = await Promise.all(Array.from({ length: 4 }, async () => await putExtra('extra', extra)))
    // All are based on the same version, so one of them wins.
    expect(statuses.sort()).toEqual([200, 412, 412, 412])
  }
  expect(await publish(2)).toBe(200)
}, 60_000)

// Cuts, doubles and overwrites parts of valid bodies at random.
test.each([1, 2, 3, 4])('control VM survives damaged bodies (seed %i)', async seed => {
  const random = new SeededRandom(seed)
  const pick = (length: number): number => Math.floor(random.draw() * length)
  for (let count = 0; count < 150; count++) {
    const whole = JSON.stringify(createConfiguration(1 + pick(40)))
    const at = pick(whole.length)
    const part = whole.slice(at, at + pick(200))
    const odd = ['', part, part.repeat(2), '[', '}', '"', '1e999', '-1', 'null', '{"__proto__":1}', '\u0000'][pick(11)] ?? ''
    const body = whole.slice(0, at) + odd + whole.slice(at + part.length)
    expect([200, 400, 404, 412, 413]).toContain(await put(body, ['/-/config', '/-/rollouts', '/-/rollouts/desk'][pick(3)]))
  }
  expect(control.exitCode).toBeNull()
  expect(await publish(2)).toBe(200)
}, 60_000)

test('configuration of 20,000 routes is in force', async () => {
  expect(await publish(20_000)).toBe(200)
  const read = await (await fetch(`${url}/-/config`)).json() as { 'virtual-hosts': Array<{ paths: unknown[] }> }
  expect(read['virtual-hosts'][0]?.paths.length).toBe(20_000)
  expect(await publish(1)).toBe(200)
}, 60_000)
