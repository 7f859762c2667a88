/**
 * Runs control VMs and nodes as on the platform, but in one process and each on its own loopback address, with stand-in targets.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { NullLog } from '@lagoonswitch/common'
import { LagoonProcess } from '@lagoonswitch/lagoonswitch'
import { PlatformDialect, PlatformSurface } from '@lagoonswitch/platform'
import { parseSettings } from '@lagoonswitch/schema'
import { findPorts, waitUntil } from './harness.mjs'
import { StandInClient, StandInOperator, StandInTarget } from './stand-in-platform.mjs'

/** Host of the routes that {@link createConfiguration} makes. */
export const HOST = 'h.example'

/**
 * Creates a configuration with one safe and one unsafe route for each service.
 * @param base - version that the configuration replaces
 * @param objectiveS - target latency of the routes in seconds
 * @param timeoutS - timeout of the routes in seconds
 */
export function createConfiguration (version, base, services, objectiveS = 0.3, timeoutS = 2) {
  return {
    version,
    'base-version': base,
    services: services.map(name => ({ name, 'health-path': '/health', 'max-connections': 130 })),
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 1_048_576, 'header-timeout-s': 3, 'idle-timeout-s': 15 },
    'virtual-hosts': [{
      host: HOST,
      paths: services.flatMap(service => ['safe', 'unsafe'].map(kind => ({
        name: `r-${service}-${kind}`,
        'path-prefix': `/${service}/${kind}/`,
        'route-type': kind,
        'timeout-s': timeoutS,
        'target-latency-s': objectiveS,
        priority: kind === 'safe' ? 2 : 1,
        service,
        'max-attempts': 2
      })))
    }]
  }
}

/** Manages the control VMs, nodes, stand-in targets and clients of one test. */
export class PlatformWorld {
  /** @param createLog - creates the log of a process from its name; by default nothing is logged */
  constructor (createLog = () => new NullLog()) {
    this.createLog = createLog
    this.folder = mkdtempSync(join(tmpdir(), 'platform-'))
    this.processes = new Map()
    this.targets = []
  }

  /** Starts control VMs c1, c2, ... and nodes n1, n2, ..., and waits until all nodes are ready with the configuration. */
  async start (controls, nodes, configuration) {
    this.ports = await findPorts(7)
    this.controls = Array.from({ length: controls }, (_, index) => `127.0.1.${index + 1}`)
    await Promise.all(this.controls.map(async (host, index) => await this.startControl(`c${index + 1}`, true)))
    this.operator = new StandInOperator(this.controls.map(host => `http://${host}:${this.ports[1]}`))
    for (let index = 1; index <= nodes; index++) await this.startNode(`n${index}`, '3s', true)
    const response = await this.operator.order('PUT', '/-/config', configuration)
    if (response.status !== 200) throw new Error(`the first configuration was refused: ${response.text}`)
    await waitUntil('the configuration at all nodes', () => [...this.processes.values()].every(({ node }) =>
      node === undefined || (node.isReady && node.store.view.publication?.number === configuration.version)))
  }

  async startControl (name, isFirst = false) {
    const host = `127.0.1.${name.slice(1)}`
    await this._startProcess(name, host, `roles = control\ndata_folder = ${join(this.folder, name)}`, `first_start = ${isFirst}`)
  }

  async startNode (name, stopTimeout = '3s', isFirst = false) {
    await this._startProcess(name, `127.0.2.${name.slice(1)}`, `roles = node\nstop_timeout = ${stopTimeout}`, `first_start = ${isFirst}`)
  }

  /** Stops a process gracefully. A control VM isn't removed from the members first. */
  async stopProcess (name) {
    const process = this.processes.get(name)
    this.processes.delete(name)
    await process?.stop()
  }

  async addTarget (node, options) {
    const [port] = await findPorts(1)
    const host = `127.0.2.${node.slice(1)}`
    const target = new StandInTarget({ host, port, beats: `http://${host}:${this.ports[3]}`, ...options })
    this.targets.push(target)
    await target.start()
    await waitUntil(`${options.id} at all nodes`, () => [...this.processes.values()].every(({ node: role }) =>
      role === undefined || role.endpoints.getRecord(options.id) !== undefined))
    return target
  }

  createClient (node, name, draw) {
    return new StandInClient({ host: `127.0.2.${node.slice(1)}`, port: this.ports[2], name, draw })
  }

  async stop () {
    await Promise.all(this.targets.map(async target => await target.stop()))
    await Promise.all([...this.processes.keys()].map(async name => await this.stopProcess(name)))
    rmSync(this.folder, { recursive: true, force: true })
  }

  async _startProcess (name, host, roles, control) {
    const [peers, operators, calls, local, ready, links, metrics] = this.ports
    const settings = parseSettings(`[process]
name = ${name}
region = r1
availability_zone = z1
service = client
${roles}
[listen]
peers = ${host}:${peers}
operators = ${host}:${operators}
calls = ${host}:${calls}
local = ${host}:${local}
ready = ${host}:${ready}
links = ${host}:${links}
metrics = ${host}:${metrics}
[control]
seeds = ${this.controls.slice(0, 3).map(seed => `${seed}:1`).join()}
open_operators = true
claim_shards = 0
heartbeat = 50ms
election_timeout = 300ms
${control}
`, `${name}.ini`)
    if (settings.err) throw new Error(settings.val.map(error => error.message).join('\n'))
    const parts = { dialect: new PlatformDialect(), surface: new PlatformSurface() }
    const process = new LagoonProcess(settings.val, this.createLog(name), parts)
    this.processes.set(name, process)
    const started = await process.start()
    if (started.err) throw started.val
  }
}
