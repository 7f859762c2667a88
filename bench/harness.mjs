/**
 * Contains the harness of the benchmarks and process tests: reserves free loopback ports, and starts and stops processes.
 */
import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync, rmdirSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const MAIN = join(ROOT, 'packages/lagoonswitch/dist/main.js')
const READY_TIMEOUT_MS = 30_000

/** The ports used here are below the ephemeral range of Linux, from which outgoing connections get theirs. */
const FIRST_PORT = 10_000
const PORT_RANGE = 20_000
/** Contains a file for each reserved port, with the id of the process that reserved it; other processes skip these ports. */
const RESERVATIONS_FOLDER = join(tmpdir(), 'lagoonswitch-ports')
let nextPort = process.pid * 101 % PORT_RANGE
const reservationFiles = []

process.on('exit', () => {
  for (const file of reservationFiles) rmSync(file, { force: true })
})

function isAlive (pid) {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

/**
 * Reserves a port until this process ends.
 * @returns whether the port was free or its owner has ended
 */
function reservePort (port) {
  mkdirSync(RESERVATIONS_FOLDER, { recursive: true })
  const file = join(RESERVATIONS_FOLDER, String(port))
  const isReserved = createReservation(file) || replaceReservation(file)
  if (isReserved) reservationFiles.push(file)
  return isReserved
}

function createReservation (file) {
  try {
    writeFileSync(file, String(process.pid), { flag: 'wx' })
    return true
  } catch {
    return false
  }
}

/** Takes over the reservation of an ended process, one process at a time: another one would delete the new reservation. */
function replaceReservation (file) {
  const lock = `${file}.lock`
  try {
    mkdirSync(lock)
  } catch {
    return false
  }
  try {
    const ownerPid = readOwnerPid(file)
    if (ownerPid === undefined || isAlive(ownerPid)) return false
    rmSync(file, { force: true })
    return createReservation(file)
  } finally {
    rmdirSync(lock)
  }
}

/** @returns id of the process that reserved a port; undefined while the file is being written */
function readOwnerPid (file) {
  try {
    return Number(readFileSync(file, 'utf8')) || undefined
  } catch {
    return undefined
  }
}

/** Finds ports that are free on the loopback interface, and reserves them against other processes that use this function. */
export async function findPorts (count) {
  const ports = []
  while (ports.length < count) {
    nextPort = (nextPort + 1) % PORT_RANGE
    const port = FIRST_PORT + nextPort
    if (!reservePort(port)) continue
    const server = createServer()
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
    })
    if (isFree) ports.push(port)
  }
  return ports
}

/**
 * Polls a condition until it is true; an error of the check counts as false.
 * @throws Error if the condition isn't true within the timeout
 */
export async function waitUntil (label, check, timeoutMs = READY_TIMEOUT_MS) {
  const endMs = Date.now() + timeoutMs
  while (Date.now() < endMs) {
    try {
      if (await check()) return
    } catch {
      // The checked process may still be starting.
    }
    await sleep(50)
  }
  throw new Error(`${label} did not happen within ${timeoutMs} ms`)
}

/** Manages a set of processes, whose settings and data are in a temporary folder. */
export class Fleet {
  constructor () {
    this.folder = mkdtempSync(join(tmpdir(), 'lagoonswitch-'))
    this.children = new Map()
    this.members = []
    this.vms = new Map()
  }

  /** Reserves the ports of VMs; those with the role control become members of the control group. */
  async plan (vms) {
    for (const vm of vms) {
      const [calls, local, peers, operators, homes, links] = await findPorts(6)
      const planned = { region: 'qc-east', zone: 'qc-east-1', extra: '', ...vm, calls, local, peers, operators, homes, links }
      this.vms.set(vm.name, planned)
      if (vm.roles.includes('control')) this.members.push(`${vm.name}=127.0.0.1:${peers}`)
    }
  }

  /** Writes the settings of a planned VM and starts its process. */
  startVm (name) {
    const vm = this.vms.get(name)
    const file = join(this.folder, `${name}.ini`)
    writeFileSync(file, `[process]
name = ${name}
roles = ${vm.roles}
region = ${vm.region}
availability_zone = ${vm.zone}
data_folder = ${join(this.folder, name)}
[listen]
calls = 127.0.0.1:${vm.calls}
local = 127.0.0.1:${vm.local}
peers = 127.0.0.1:${vm.peers}
operators = 127.0.0.1:${vm.operators}
homes = 127.0.0.1:${vm.homes}
links = 127.0.0.1:${vm.links}
[control]
members = ${this.members.join(', ')}
${vm.extra}
[log]
level = ${process.env.BENCH_LOG ?? 'error'}
`)
    return this.startScript(name, MAIN, 'run', '--settings', file)
  }

  /** Starts a Node.js script, which {@link Fleet.kill} finds under the given name. */
  startScript (name, script, ...args) {
    const flags = process.env.BENCH_NODE_FLAGS?.split(' ') ?? []
    const child = spawn(process.execPath, [...flags, script, ...args.map(String)], { cwd: ROOT, stdio: ['ignore', 'inherit', 'inherit'] })
    this.children.set(name, child)
    return child
  }

  /** Waits until the node of a VM reports that it is ready. */
  async waitReady (name) {
    const { local } = this.vms.get(name)
    await waitUntil(`readiness of ${name}`, async () => (await (await fetch(`http://127.0.0.1:${local}/healthz`)).json()).ready)
  }

  /**
   * Sends a signal to a process and waits until it exits.
   * @returns its exit code; null if the signal ended it
   */
  async kill (name, signal = 'SIGTERM') {
    const child = this.children.get(name)
    this.children.delete(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode
    const ended = new Promise(resolve => child.on('exit', resolve))
    child.kill(signal)
    return await ended
  }

  /**
   * Sends a request to the operators' listener of a control VM.
   * @returns status and parsed JSON body of the response
   */
  async sendOperatorRequest (name, method, path, body) {
    const { operators } = this.vms.get(name)
    const response = await fetch(`http://127.0.0.1:${operators}${path}`, {
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body)
    })
    return { status: response.status, body: await response.json() }
  }

  /**
   * Creates an entry, or replaces it at its current version.
   * @throws Error if the change is refused
   */
  async putEntry (name, declaration) {
    const { body } = await this.sendOperatorRequest(name, 'GET', '/v1/entries')
    const existing = body.entries.find(entry => entry.name === declaration.entry)
    const response = await this.sendOperatorRequest(name, 'POST', '/v1/changes', {
      requestId: `bench-${Date.now()}-${Math.random()}`,
      edits: [{ name: declaration.entry, expectedVersion: existing?.version ?? 0, declaration }]
    })
    if (response.status !== 200) throw new Error(JSON.stringify(response.body))
    return response.body
  }

  /** Stops all processes and deletes the temporary folder. */
  async stop () {
    await Promise.all([...this.children.keys()].map(name => this.kill(name)))
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/**
 * Computes percentiles.
 * @returns count, p50, p90, p99 and max, in the unit of the samples; NaN without samples
 */
export function summarize (samples) {
  const sorted = [...samples].sort((a, b) => a - b)
  const getQuantile = quantile => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? NaN
  return { count: sorted.length, p50: getQuantile(0.5), p90: getQuantile(0.9), p99: getQuantile(0.99), max: sorted.at(-1) ?? NaN }
}
