/**
 * The processes of one soak: control VMs and nodes of the platform's program, each on its own loopback address.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findPorts } from '../harness.mjs'

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
/** Stop timeout of the processes; they are killed after it. */
const STOP_TIMEOUT_MS = 3_000
/** Time after which a process that ended by itself is started again, as the platform does. */
const RESTART_DELAY_MS = 300
/**
 * Time in which a process must have installed its handler of SIGHUP. Until Node.js has run the first line of the program, which does so,
 * a SIGHUP ends any process; on a busy machine that takes up to 0.8 s. After this time a process without a handler gets it all the same.
 */
const MAX_BOOT_MS = 2_000

/** Starts, signals and restarts processes, and records those that end by themselves. */
export class SoakFleet {
  /**
   * @param controls - number of control VMs
   * @param nodes - number of nodes
   * @param program - bundled program
   * @param stopTimeoutMs - stop timeout of the processes
   */
  constructor (controls, nodes, program, stopTimeoutMs = STOP_TIMEOUT_MS) {
    this._program = program
    this._stopTimeoutMs = stopTimeoutMs
    /** Called with the name of a VM when its process has ended. */
    this.onExit = () => undefined
    this.folder = mkdtempSync(join(tmpdir(), 'soak-'))
    this.controls = Array.from({ length: controls }, (_, index) => ({ name: `c${index + 1}`, host: `127.0.1.${index + 1}`, role: 'control' }))
    this.nodes = Array.from({ length: nodes }, (_, index) => ({ name: `n${index + 1}`, host: `127.0.2.${index + 1}`, role: 'node' }))
    this.vms = new Map([...this.controls, ...this.nodes].map(vm => [vm.name, vm]))
    /** Ends of processes that no signal of the soak explains. */
    this.ownEnds = []
    /** Name and time of each start. */
    this.starts = []
    this._children = new Map()
  }

  async start () {
    const [peers, operators, calls, local, ready, links, metrics, targets, targetProxies, callerProxies] = await findPorts(10)
    this.ports = { peers, operators, calls, local, ready, links, metrics, targets, targetProxies, callerProxies }
    for (const name of this.vms.keys()) this.startProcess(name, true)
  }

  /** Starts the process of a VM unless it runs. */
  startProcess (name, isFirst = false) {
    if (this.isRunning(name)) return
    const { host, role } = this.vms.get(name)
    const folder = join(this.folder, name)
    mkdirSync(folder, { recursive: true })
    const settings = join(folder, 'settings.ini')
    writeFileSync(settings, this._formatSettings(name, host, role, isFirst))
    const log = openSync(join(folder, 'log.txt'), 'a')
    const child = spawn(process.execPath, [this._program], {
      cwd: ROOT, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME, LAGOONSWITCH_CONFIG: settings }
    })
    closeSync(log)
    this._children.set(name, child)
    child.expectsEnd = false
    child.startedMs = performance.now()
    this.starts.push({ name, atMs: child.startedMs })
    child.on('exit', (code, signal) => {
      this.onExit(name)
      if (child.expectsEnd) return
      this.ownEnds.push(`${name}: code ${code}, signal ${signal}, last signal of the soak: ${child.lastSignal}`)
      setTimeout(() => this.startProcess(name), RESTART_DELAY_MS)
    })
  }

  isRunning (name) {
    const child = this._children.get(name)
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /** @returns time since the start of a process in milliseconds, 0 while it doesn't run */
  getUptimeMs (name) {
    return this.isRunning(name) ? performance.now() - this._children.get(name).startedMs : 0
  }

  /** Sends SIGKILL and waits for the end. */
  async kill (name) {
    const child = this._children.get(name)
    if (!this.isRunning(name)) return
    child.expectsEnd = true
    const ended = new Promise(resolve => child.on('exit', resolve))
    child.kill('SIGKILL')
    await ended
  }

  /** Sends SIGTERM, and SIGKILL after the stop timeout; waits for the end. @returns false if it was killed or didn't run */
  async stopProcess (name) {
    const child = this._children.get(name)
    if (!this.isRunning(name)) return false
    child.expectsEnd = true
    const ended = new Promise(resolve => child.on('exit', resolve))
    child.kill('SIGTERM')
    const timer = setTimeout(() => child.kill('SIGKILL'), this._stopTimeoutMs)
    await ended
    clearTimeout(timer)
    return child.signalCode === null
  }

  signal (name, signal) {
    if (!this.isRunning(name)) return
    const child = this._children.get(name)
    child.lastSignal = `${signal} ${Math.round(performance.now() - child.startedMs)} ms after the start, handler of SIGHUP ${hasHangupHandler(child.pid)}`
    const canHandle = hasHangupHandler(child.pid) === true || performance.now() - child.startedMs > MAX_BOOT_MS
    if (signal !== 'SIGHUP' || canHandle) child.kill(signal)
  }

  /** Deletes the data folder of a control VM that isn't running. */
  loseDisk (name) {
    rmSync(join(this.folder, name, 'data'), { recursive: true, force: true })
  }

  /** @returns all that a process has logged */
  readLog (name) {
    return readFileSync(join(this.folder, name, 'log.txt'), 'utf8')
  }

  /** Notes an event of the soak in the log of a process, between its own lines. */
  note (name, event) {
    appendFileSync(join(this.folder, name, 'log.txt'), `soak time=${new Date().toISOString()} ${event}\n`)
  }

  async stop (isKept) {
    for (const child of this._children.values()) child.expectsEnd = true
    await Promise.all([...this.vms.keys()].map(async name => {
      this.signal(name, 'SIGCONT')
      await this.kill(name)
    }))
    if (!isKept) rmSync(this.folder, { recursive: true, force: true })
  }

  _formatSettings (name, host, role, isFirst) {
    const { peers, operators, calls, local, ready, links, metrics } = this.ports
    return `[process]
name = ${name}
roles = ${role}
region = r1
availability_zone = z1
service = client
data_folder = ${join(this.folder, name, 'data')}
stop_timeout = ${this._stopTimeoutMs}ms
[listen]
peers = ${host}:${peers}
operators = ${host}:${operators}
calls = ${host}:${calls}
local = ${host}:${local}
ready = ${host}:${ready}
links = ${host}:${links}
metrics = ${host}:${metrics}
[control]
seeds = ${this.controls.slice(0, 3).map(vm => `${vm.host}:${operators}`).join()}
first_start = ${isFirst}
tolerated_losses = ${Math.floor((this.controls.length - 1) / 2)}
open_operators = true
claim_shards = 0
heartbeat = 200ms
election_timeout = 800ms
[node]
target_heartbeat = 300ms
hang_detection = true
`
  }
}

/** @returns whether a process handles SIGHUP at this time; undefined where the system doesn't tell */
function hasHangupHandler (pid) {
  try {
    return (BigInt(`0x${/SigCgt:\s*(\w+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]}`) & 1n) === 1n
  } catch {
    return undefined
  }
}
