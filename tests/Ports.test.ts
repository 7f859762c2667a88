/**
 * Ports that several test processes reserve at the same time, while files of ended processes are left in the temporary folder.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import { mkdir, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'

const PROCESSES = 4
const PORTS_PER_PROCESS = 300
const FIRST_PORT = 10_000
const PORT_RANGE = 20_000
/** Above the highest process id of Linux. */
const ENDED_PID = 2 ** 30
const HARNESS = new URL('../bench/harness.mjs', import.meta.url).href
/** Reserves ports once its standard input has data, prints them, and keeps them until its standard input ends. */
const SCRIPT = `import { findPorts } from ${JSON.stringify(HARNESS)}
process.stdin.once('data', async () => console.log(JSON.stringify(await findPorts(${PORTS_PER_PROCESS}))))
process.stdin.on('end', () => process.exit())
console.log('ready')`

test('no port is reserved by two processes', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'ports-'))
  const reservations = join(folder, 'lagoonswitch-ports')
  await mkdir(reservations)
  for (let port = FIRST_PORT; port < FIRST_PORT + PORT_RANGE; port++) writeFileSync(join(reservations, String(port)), String(ENDED_PID))
  const children = Array.from({ length: PROCESSES }, () =>
    spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], { env: { ...process.env, TMPDIR: folder }, stdio: ['pipe', 'pipe', 'inherit'] }))
  await Promise.all(children.map(async child => await once(child.stdout, 'data')))
  const outputs = children.map(async child => String((await once(child.stdout, 'data'))[0]))
  for (const child of children) child.stdin.write('start\n')
  const ports = (await Promise.all(outputs)).flatMap(output => JSON.parse(output) as number[])
  const exits = children.map(async child => await once(child, 'exit'))
  for (const child of children) child.stdin.end()
  await Promise.all(exits)
  await rm(folder, { recursive: true })
  expect(ports.length).toBe(PROCESSES * PORTS_PER_PROCESS)
  expect(new Set(ports).size).toBe(ports.length)
}, 60_000)
