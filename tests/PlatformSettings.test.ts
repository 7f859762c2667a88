/**
 * The settings templates of the platform, rendered with bounds of any size, and processes started with them.
 */
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { NullLog } from '@lagoonswitch/common'
import { LagoonProcess, tryStart } from '@lagoonswitch/lagoonswitch'
import { PlatformDialect, PlatformSurface } from '@lagoonswitch/platform'
import { parseSettings, type ISettings } from '@lagoonswitch/schema'
import { findPorts } from './support/World.js'

/** Placeholders that hold a bound, with a usual value. */
const BOUNDS: Readonly<Record<string, number>> = {
  'bounds.grace-s': 6,
  'heartbeat-s': 1.5,
  'bounds.budget-window-s': 10,
  'bounds.budget-slack': 62,
  'bounds.expose-share': 0.1,
  'bounds.expose-slack': 50,
  'bounds.retry-ratio': 0.2,
  'bounds.quota-window-s': 5,
  'bounds.quota-excess': 0.1,
  'bounds.quota-slack': 20
}
const RATIOS = new Set(['bounds.expose-share', 'bounds.retry-ratio', 'bounds.quota-excess'])
const FRACTION = 30.714285714285715

let folder: string
let fields: Record<string, string>
const processes: LagoonProcess[] = []

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'templates-'))
  const [outbound, ready, control, peers, links] = await findPorts(5)
  fields = {
    'node-name': 'n1',
    region: 'r1',
    zone: 'z1',
    service: 's1',
    'data-dir': folder,
    'listen.outbound': `127.0.0.1:${outbound}`,
    'listen.ready': `127.0.0.1:${ready}`,
    'listen.control': `127.0.0.1:${control}`,
    ip: '127.0.0.1',
    'port-range.0': String(peers),
    'port-range.1': String(links),
    'seed-nodes': `127.0.0.1:${control}`,
    'bootstrap|json': 'true',
    'fault-tolerance.machines': '2'
  }
})

afterEach(async () => {
  for (const process of processes.splice(0)) {
    await process.stop()
    // A stop timeout of a millisecond ends the stop while the disk is still being written.
    await process.control?.close()
  }
  await rm(folder, { recursive: true })
})

async function render (role: 'node' | 'control', bounds: Readonly<Record<string, number>>): Promise<string> {
  const template = await readFile(`platform/${role}.ini`, 'utf8')
  return template.replace(/\{\{([^}]+)\}\}/g, (_, name: string) => {
    const value = fields[name] ?? String({ ...BOUNDS, ...bounds }[name])
    if (value === 'undefined') throw new Error(`the template uses ${name}, which the test does not know`)
    return value
  })
}

async function read (role: 'node' | 'control', bounds: Readonly<Record<string, number>>): Promise<ISettings> {
  const settings = parseSettings(await render(role, bounds), `${role}.ini`)
  if (settings.err) throw new Error(settings.val.map(error => error.message).join('\n'))
  return settings.val
}

function fillBounds (value: number): Record<string, number> {
  return Object.fromEntries(Object.keys(BOUNDS).map(name => [name, RATIOS.has(name) ? Math.min(1, value) : value]))
}

test.each([1e-7, 0.001, FRACTION, 1e12, 1e21])('processes start with bounds of any size: %s', async value => {
  for (const role of ['control', 'node'] as const) {
    const settings = await read(role, fillBounds(value))
    // Both processes run on one VM here.
    if (role === 'node') settings.listen.peers.port = (await findPorts(1))[0] ?? 0
    settings.listen.metrics.port = (await findPorts(1))[0] ?? 0
    if (role === 'node') settings.listen.local.port = (await findPorts(1))[0] ?? 0
    const process = new LagoonProcess(settings, new NullLog(), { dialect: new PlatformDialect(), surface: new PlatformSurface() })
    processes.push(process)
    expect(await tryStart(process)).toMatchObject({ ok: true })
  }
}, 30_000)

test('limits keep their fractions and never exceed the bound', async () => {
  const { node, process } = await read('node', { 'bounds.budget-slack': FRACTION, 'bounds.grace-s': 5.9999 })
  expect(node.retrySlack).toBe(FRACTION)
  expect(process.stopTimeoutMs).toBeCloseTo(5_999.9)
  expect((await read('control', { 'bounds.expose-slack': 0.5 })).control.moveExposureSlack).toBe(0.5)
  expect((await read('node', { 'bounds.budget-slack': 1e21 })).node.retrySlack).toBe(100_000)
})

test.each(['-1', 'x', 'NaN', ''])('limit that is no number is refused with the remedy: %s', async text => {
  const settings = parseSettings((await render('node', {})).replace('retry_slack = 62', `retry_slack = ${text}`), 'node.ini')
  expect(settings.err && settings.val[0]?.message).toMatch(/retry_slack.*use a number from 0 to 100000/)
})

// A deployment without usage caps states no quota: its processes failed to start otherwise.
test.each(['node', 'control'] as const)('quota that a deployment leaves out has its default: %s', async role => {
  const rendered = await render(role, {})
  const emptied = rendered.replace('cap_window = 5s', 'cap_window = s').replace('cap_excess = 0.1', 'cap_excess = ').replace('cap_slack = 20', 'cap_slack = ')
  expect(emptied).not.toBe(rendered)
  const settings = parseSettings(emptied, `${role}.ini`)
  expect(settings.ok && settings.val.accounts).toEqual({ capWindowMs: 5_000, capExcess: 0.1, capSlack: 20 })
})

test('quota of a deployment is taken over', async () => {
  const { accounts } = await read('control', { 'bounds.quota-window-s': 2.5, 'bounds.quota-excess': 0.05, 'bounds.quota-slack': 7.5 })
  expect(accounts).toEqual({ capWindowMs: 2_500, capExcess: 0.05, capSlack: 7.5 })
})

test.each(['cap_window = x', 'cap_window = -1s', 'cap_excess = s', 'cap_slack = -1'])('quota that is no number is refused: %s', async line => {
  const key = line.split(' ')[0] ?? ''
  const text = (await render('node', {})).replace(new RegExp(`${key} = .*`), line)
  const settings = parseSettings(text, 'node.ini')
  expect(settings.err && settings.val[0]?.message).toContain(key)
})
