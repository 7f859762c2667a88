/**
 * A fleet of the model: control VMs and nodes with the modules of the product.
 */
import { SeededRandom, type IRandom } from '@lagoonswitch/common'
import { parseSettings, type ISettings } from '@lagoonswitch/schema'
import { FleetControl } from './FleetControl.js'
import { FleetNode } from './FleetNode.js'
import { FleetOperator } from './FleetOperator.js'
import type { IFleetSite } from './FleetSite.js'
import { ModelMachine, type IMachineSize } from './ModelMachine.js'
import { ModelNetwork } from './ModelNetwork.js'
import { VirtualTime } from './VirtualTime.js'

const PEER_PORT = 7_380
const START_SPREAD_MS = 300
const SEEDS = 3
/** Time that all processes get to find each other before the first publication. */
const SETTLE_MS = 5_000
const REGION = 'r1'

/** A version that a node put in place too late. */
export interface ILateVersion {
  readonly node: string
  readonly number: number
  /** Time from the acknowledgement until the version was in place, in milliseconds; infinite if it never was. */
  readonly delayMs: number
}

/** A whole fleet in virtual time; the same seed gives the same run. */
export class Fleet {
  readonly time = new VirtualTime()
  readonly network: ModelNetwork
  readonly controls: FleetControl[] = []
  readonly nodes: FleetNode[] = []
  readonly operator: FleetOperator
  private readonly _random: IRandom
  private _createdNodes = 0
  private readonly _seeds: readonly string[]

  /**
   * @param _site - sizes
   * @param seed - of all random choices
   */
  constructor (private readonly _site: IFleetSite, seed: number) {
    this._random = new SeededRandom(seed)
    this.network = new ModelNetwork(this.time, _site.delays)
    this._seeds = _site.controlZones.slice(0, SEEDS).map(zone => this._formatHost(zone, 0))
    for (const zone of _site.controlZones) this.controls.push(this._createControl(zone))
    this.operator = new FleetOperator(this.controls, _site.routes, this.time, this._random, _site.lostAcknowledgements)
  }

  /** Starts all processes, waits until they have found each other, and publishes the first configuration. */
  async start (): Promise<void> {
    for (const control of this.controls) this.time.schedule(this._random.draw() * START_SPREAD_MS, () => control.start())
    this.addNodes(this._site.nodes)
    await this.time.runUntil(SETTLE_MS)
    await this.runWhile(this.operator.publish())
    await this.time.runUntil(this.time.readMonotonicMs() + SETTLE_MS)
  }

  /**
   * Starts more nodes, spread over the zones.
   * @param count - number of nodes
   * @returns the new nodes
   */
  addNodes (count: number): FleetNode[] {
    const added = Array.from({ length: count }, () => this._createNode())
    for (const node of added) this.time.schedule(this._random.draw() * START_SPREAD_MS, () => node.start())
    this.nodes.push(...added)
    return added
  }

  /**
   * Runs until a promise has settled.
   * @param work - work of the operator
   */
  async runWhile (work: Promise<void>): Promise<void> {
    const state = { isDone: false }
    work.finally(() => { state.isDone = true }).catch(() => undefined)
    while (!state.isDone) await this.time.runUntil(this.time.readMonotonicMs() + 1)
    await work
  }

  /**
   * @param zone - availability zone
   * @returns its control VM
   */
  getControl (zone: string): FleetControl {
    const control = this.controls.find(({ machine }) => machine.availabilityZone === zone)
    if (control === undefined) throw new Error(`zone ${zone} has no control VM; add it to controlZones`)
    return control
  }

  /** @returns the control VM that leads, if any that runs does */
  findLeader (): FleetControl | undefined {
    return this.controls.find(({ machine, role }) => machine.state === 'running' && role.leaderAddress === machine.address)
  }

  /**
   * Lists what running nodes put in place later than allowed.
   * @param allowedMs - time from the acknowledgement of a version
   * @param graceUntilMs - time before which no version need be in place, in milliseconds from the start
   * @returns one item for each node and version
   */
  listLate (allowedMs: number, graceUntilMs = 0): ILateVersion[] {
    const late: ILateVersion[] = []
    for (const node of this.nodes) {
      if (node.machine.state !== 'running' || !Number.isFinite(node.readyMs)) continue
      for (const [number, acknowledgedMs] of this.operator.acknowledgedMs) {
        const appliedMs = findAppliedMs(node.appliedMs, number)
        const dueMs = Math.max(acknowledgedMs + allowedMs, graceUntilMs, node.readyMs)
        if (appliedMs <= dueMs || dueMs > this.time.readMonotonicMs()) continue
        late.push({ node: node.machine.name, number, delayMs: appliedMs - acknowledgedMs })
      }
    }
    return late
  }

  dispose (): void {
    for (const node of this.nodes) node.dispose()
    for (const control of this.controls) control.dispose()
  }

  private _createControl (zone: string): FleetControl {
    const name = `control-${zone}`
    const machine = this._createMachine(name, zone, this._formatHost(zone, 0), this._site.controlSize)
    const settings = this._parseSettings(name, zone, 'control', machine)
    return new FleetControl(machine, this.network, settings, this._site.syncMs, this._random)
  }

  private _createNode (): FleetNode {
    const { zones, nodeSize } = this._site
    const zone = zones[this._createdNodes % zones.length] ?? ''
    const index = Math.floor(this._createdNodes / zones.length) + 1
    this._createdNodes++
    const name = `node-${zone}-${index}`
    const machine = this._createMachine(name, zone, this._formatHost(zone, index), nodeSize)
    return new FleetNode(machine, this.network, this._parseSettings(name, zone, 'node', machine), this._random)
  }

  private _createMachine (name: string, zone: string, host: string, size: IMachineSize): ModelMachine {
    const machine = new ModelMachine(name, `${host}:${PEER_PORT}`, zone, size, this.time)
    this.network.addMachine(machine)
    return machine
  }

  private _formatHost (zone: string, index: number): string {
    return `10.${this._site.zones.indexOf(zone) + 1}.${index >> 8}.${index & 255}`
  }

  private _parseSettings (name: string, zone: string, role: string, machine: ModelMachine): ISettings {
    const settings = parseSettings(`[process]
name = ${name}
roles = ${role}
region = ${REGION}
availability_zone = ${zone}
data_folder = unused
[listen]
peers = ${machine.address}
[control]
seeds = ${this._seeds.map(host => `${host}:${PEER_PORT}`).join(', ')}
first_start = ${role === 'control'}
tolerated_losses = ${this._site.toleratedLosses}
claim_shards = 0
heartbeat = 200ms
election_timeout = 800ms
`, `${name}.ini`)
    if (settings.err) throw new Error(settings.val.map(error => error.message).join('\n'))
    return settings.val
  }
}

/** A newer version covers all older ones. */
function findAppliedMs (appliedMs: ReadonlyMap<number, number>, number: number): number {
  let first = Infinity
  for (const [other, ms] of appliedMs) {
    if (other >= number) first = Math.min(first, ms)
  }
  return first
}
