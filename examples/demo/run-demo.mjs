/**
 * Demonstrates lagoonswitch on one machine: starts a process and targets, sends calls, and moves to a good and to a failing version.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
const CALLS_URL = 'http://127.0.0.1:7080'
const MOVE_MS = 15_000
const READY_TIMEOUT_MS = 20_000
const PAUSE_BETWEEN_CALLS_MS = 5

const folder = mkdtempSync(join(tmpdir(), 'lagoonswitch-demo-'))
const children = []

function start (script, ...args) {
  const child = spawn(process.execPath, [join(ROOT, script), ...args], { cwd: ROOT, stdio: 'inherit' })
  children.push(child)
  return child
}

async function runLagoonctl (...args) {
  const child = spawn(process.execPath, [join(ROOT, 'packages/lagoonctl/dist/main.js'), ...args], { stdio: 'inherit' })
  return await new Promise(resolve => child.on('exit', resolve))
}

async function waitUntil (label, check) {
  const endMs = Date.now() + READY_TIMEOUT_MS
  while (Date.now() < endMs) {
    if (await check().catch(() => false)) return
    await sleep(100)
  }
  throw new Error(`${label} did not happen within ${READY_TIMEOUT_MS} ms`)
}

async function call (path, options) {
  const response = await fetch(CALLS_URL + path, options)
  return { status: response.status, text: await response.text() }
}

async function reserve (key) {
  const response = await call('/reservations', { method: 'POST', headers: { 'idempotency-key': key }, body: '{"hall":7}' })
  console.log(`  ${response.status} ${response.text}`)
}

function writeEntry (lines) {
  const base = readFileSync(join(ROOT, 'examples/demo/catalogue/booking-desk.yaml'), 'utf8')
  const file = join(folder, 'booking-desk.yaml')
  writeFileSync(file, base.replace('version: v1\n', lines.join('\n') + '\n'))
  return file
}

function writeEntryWithMove (from, to) {
  const by = new Date(Date.now() + MOVE_MS).toISOString()
  return writeEntry([`version: ${from}`, 'move:', `  to: ${to}`, `  by: ${by}`, '  first_share: 0.05', '  watch: 2s'])
}

async function move (from, to) {
  console.log(`\n> move ${from} to ${to} by ${MOVE_MS / 1000} s from now`)
  await runLagoonctl('apply', writeEntryWithMove(from, to))
  const decision = { isMade: false }
  let calls = 0
  let failures = 0
  const load = (async () => {
    while (!decision.isMade) {
      const { status } = await call('/openings')
      calls++
      if (status >= 500) failures++
      await sleep(PAUSE_BETWEEN_CALLS_MS)
    }
  })()
  await runLagoonctl('move', 'wait', 'booking-desk')
  decision.isMade = true
  await load
  console.log(`  ${calls} calls during the move, ${failures} of them failed for callers`)
}

async function stop () {
  for (const child of children) child.kill('SIGTERM')
  await Promise.all(children.map(child => new Promise(resolve => child.on('exit', resolve))))
  rmSync(folder, { recursive: true })
}

try {
  rmSync(join(ROOT, 'data/demo'), { recursive: true, force: true })
  start('packages/lagoonswitch/dist/main.js', 'run', '--settings', 'examples/demo/process.ini')
  start('examples/demo/target.mjs', 'desk-1', 'v1', '7101')
  start('examples/demo/target.mjs', 'desk-2', 'v2', '7102')
  start('examples/demo/target.mjs', 'desk-3', 'v3', '7103', 'failing')
  await waitUntil('readiness', async () => (await (await fetch('http://127.0.0.1:7081/healthz')).json()).ready)
  console.log('> apply the catalogue')
  await runLagoonctl('apply', 'examples/demo/catalogue')
  await waitUntil('a routed call', async () => (await call('/openings')).status === 200)
  console.log('\n> a routed call')
  const response = await call('/openings')
  console.log(`  ${response.status} ${response.text}`)
  console.log('\n> a reservation, sent twice with one key: it runs once')
  await reserve('demo-1')
  await sleep(100)
  await reserve('demo-1')
  await move('v1', 'v2')
  await runLagoonctl('apply', writeEntry(['version: v2']))
  await move('v2', 'v3')
  console.log('\n> status')
  await runLagoonctl('status')
} catch (error) {
  console.error(error)
  process.exitCode = 1
} finally {
  await stop()
}
