/**
 * The command line, as users run it.
 */
import { execFile } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'

const PROGRAM = 'packages/fleet/dist/main.js'
const SITE = '[fleet]\nnodes = 8\nzones = 3\ncontrol_vms = 3\ntolerated_losses = 1\nroutes = 5\n[load]\nduration = 1s\n'
let folder: string

beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'fleet-')) })
afterEach(async () => { await rm(folder, { recursive: true }) })

async function runProgram (...args: string[]): Promise<{ code: number, output: string }> {
  return await new Promise(resolve => {
    execFile(process.execPath, [PROGRAM, ...args], (error, stdout, stderr) => {
      resolve({ code: error === null ? 0 : Number(error.code), output: stdout + stderr })
    })
  })
}

async function writeSite (extra: string): Promise<string> {
  const file = join(folder, 'site.ini')
  await writeFile(file, SITE + extra)
  return file
}

test('prints a line for each seed, a summary and a plot', async () => {
  const plot = join(folder, 'plot.svg')
  const site = await writeSite('')
  const { code, output } = await runProgram('--site', site, '--nodes', '6,8', '--seeds', '1-2', '--faults', 'leader-lost', '--plot', plot, '--jobs', '2')
  expect(output).toMatch(/^seed 1, 6 nodes: 0 violations; p50 .*leader-lost at/m)
  expect(output).toMatch(/^8 nodes: 2 seeds, 0 broken; highest p99 /m)
  expect(code).toBe(0)
  expect(await readFile(plot, 'utf8')).toMatch(/^<svg[^]*leader-lost/)
}, 60_000)

test('prints the node, its events and the command that repeats a broken run', async () => {
  const site = await writeSite('[bounds]\npropagation = 1ms\n')
  const { code, output } = await runProgram('--site', site, '--count', '0')
  expect(code).toBe(1)
  expect(output).toMatch(/^ {2}late: node-[abc]-\d at .* was acknowledged/m)
  expect(output).toMatch(/^ {4}\d+\.\d feed_joined source=/m)
  expect(output).toContain(`repeat with: npm run fleet -- --site ${site} --nodes 8 --seeds 1 --count 0`)
  expect(output).toMatch(/^8 nodes: 1 seeds, 1 broken \(1\);/m)
}, 60_000)

test.each([
  [['--noodles', '3'], 'unknown option --noodles'],
  [['--nodes', 'x'], '--nodes: \'x\' is not valid'],
  [['--site', 'missing.ini'], 'missing.ini']
])('odd arguments are refused in one line: %j', async (args, message) => {
  const { code, output } = await runProgram(...args)
  expect(code).toBe(2)
  expect(output.trim().split('\n')).toHaveLength(1)
  expect(output).toContain(message)
})
