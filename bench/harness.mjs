/**
 * Starts processes for benchmarks and process tests on free loopback ports, and stops them by id.
 */
import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const MAIN = join(ROOT, 'packages/lagoonswitch/dist/main.js')
const READY_TIMEOUT_MS = 30_000

/** Ports below the range from which the system takes those of outgoing connections. */
const FIRST_PORT = 10_000
const PORT_RANGE = 20_000
/** Holds a file for each port that a process has reserved, with its id; other processes pass over it. */
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

/** Reserves a port for this process until it ends; a port is free again once its holder has ended. */
function reservePort (port) {
  mkdirSync(RESERVATIONS_FOLDER, { recursive: true })
  const file = join(RESERVATIONS_FOLDER, String(port))
  try {
    writeFileSync(file, String(process.pid), { flag: 'wx' })
  } catch {
    const ownerPid = readOwnerPid(file)
    if (ownerPid === undefined || isAlive(ownerPid)) return false
    rmSync(file, { force: true })
    return reservePort(port)
  }
  reservationFiles.push(file)
  return true
}

/** @returns id of the process that holds a port; undefined while it writes it */
function readOwnerPid (file) {
  try {
    return Number(readFileSync(file, 'utf8')) || undefined
  } catch {
    return undefined
  }
}

/** Finds free ports of the loopback interface and reserves them among the processes that do so. */
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

/** Waits for a condition; fails after a limit. */
export async function waitUntil (label, check, timeoutMs = READY_TIMEOUT_MS) {
  const endMs = Date.now() + timeoutMs
  while (Date.now() < endMs) {
    try {
      if (await check()) return
    } catch {
      // Not there yet.
    }
    await sleep(50)
  }
  throw new Error(`${label} did not happen within ${timeoutMs} ms`)
}

/** A set of processes with their settings in a temporary folder. */
export class Fleet {
  constructor () {
    this.folder = mkdtempSync(join(tmpdir(), 'lagoonswitch-'))
    this.children = new Map()
    this.members = []
    this.vms = new Map()
  }

  /** Reserves ports for VMs; those with the role control become members. */
  async plan (vms) {
    for (const vm of vms) {
      const [calls, local, peers, operators, homes, links] = await findPorts(6)
      const planned = { region: 'qc-east', zone: 'qc-east-1', extra: '', ...vm, calls, local, peers, operators, homes, links }
      this.vms.set(vm.name, planned)
      if (vm.roles.includes('control')) this.members.push(`${vm.name}=127.0.0.1:${peers}`)
    }
  }

  /** Starts the process of a VM. */
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

  /** Starts a Node.js script under a name. */
  startScript (name, script, ...args) {
    const flags = process.env.BENCH_NODE_FLAGS?.split(' ') ?? []
    const child = spawn(process.execPath, [...flags, script, ...args.map(String)], { cwd: ROOT, stdio: ['ignore', 'inherit', 'inherit'] })
    this.children.set(name, child)
    return child
  }

  /** Waits until the node of a VM routes calls. */
  async waitReady (name) {
    const { local } = this.vms.get(name)
    await waitUntil(`readiness of ${name}`, async () => (await (await fetch(`http://127.0.0.1:${local}/healthz`)).json()).ready)
  }

  /** Sends a signal and waits for the end of the process. */
  async kill (name, signal = 'SIGTERM') {
    const child = this.children.get(name)
    this.children.delete(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode
    const ended = new Promise(resolve => child.on('exit', resolve))
    child.kill(signal)
    return await ended
  }

  /** Sends JSON to the operators' listener of a control VM. */
  async sendOperatorRequest (name, method, path, body) {
    const { operators } = this.vms.get(name)
    const response = await fetch(`http://127.0.0.1:${operators}${path}`, {
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body)
    })
    return { status: response.status, body: await response.json() }
  }

  /** Creates or replaces an entry, whatever its version. */
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

  /** Stops everything. */
  async stop () {
    await Promise.all([...this.children.keys()].map(name => this.kill(name)))
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Prints percentiles of samples in milliseconds. */
export function summarize (samples) {
  const sorted = [...samples].sort((a, b) => a - b)
  const getQuantile = quantile => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? NaN
  return { count: sorted.length, p50: getQuantile(0.5), p90: getQuantile(0.9), p99: getQuantile(0.99), max: sorted.at(-1) ?? NaN }
}
