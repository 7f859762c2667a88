/**
 * A node of the model: the feed of the product, and one target that is announced.
 */
import { Metrics, SeededRandom, type IRandom } from '@lagoonswitch/common'
import { NodeFeed } from '@lagoonswitch/node'
import { EndpointRecord, EndpointState, type ISettings } from '@lagoonswitch/schema'
import { EventLog } from './EventLog.js'
import type { ModelMachine } from './ModelMachine.js'
import type { ModelNetwork } from './ModelNetwork.js'

const SEED_RANGE = 2 ** 31

/** The process of one node. */
export class FleetNode {
  readonly feed: NodeFeed
  readonly log: EventLog
  readonly metrics = new Metrics()
  /** Time at which each publication was in place here, by its number, in milliseconds from the start. */
  readonly appliedMs = new Map<number, number>()
  readyMs = Infinity

  /**
   * @param machine - VM that it runs on
   * @param network - connects the VMs
   * @param settings - of the process
   * @param random - source of its seed
   */
  constructor (readonly machine: ModelMachine, network: ModelNetwork, settings: ISettings, random: IRandom) {
    const { clock, address } = machine
    this.log = new EventLog(clock)
    this.feed = new NodeFeed({
      settings,
      peerAddress: address,
      clock,
      random: new SeededRandom(Math.floor(random.draw() * SEED_RANGE)),
      log: this.log,
      metrics: this.metrics,
      channels: network.createChannels(machine),
      incarnation: clock.readWallTime().getTime(),
      takeEvidence: () => []
    })
    this.feed.addServices(machine)
    this.feed.store.onChanged(({ publication }) => {
      if (publication === undefined || this.appliedMs.has(publication.number)) return
      this.appliedMs.set(publication.number, clock.readMonotonicMs())
    })
    this.feed.client.onReady(() => {
      this.readyMs = clock.readMonotonicMs()
      this._announceTarget(settings)
    })
  }

  /** Starts to look for a source. */
  start (): void {
    this.feed.client.start()
  }

  dispose (): void {
    this.feed.dispose()
  }

  private _announceTarget ({ process }: ISettings): void {
    const incarnation = this.machine.clock.readWallTime().getTime()
    this.feed.endpoints.merge([EndpointRecord.fromPartial({
      targetId: `i-${this.machine.name}`,
      incarnation,
      sequence: 1,
      state: EndpointState.ENDPOINT_STATE_READY,
      service: 'desk',
      version: 'v1',
      linkAddress: this.machine.address,
      region: process.region,
      availabilityZone: process.availabilityZone,
      slots: 4,
      node: process.name,
      targetBorn: incarnation,
      targetSequence: 1
    })])
  }
}
