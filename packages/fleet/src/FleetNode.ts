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
  readonly log: EventLog
  readonly metrics = new Metrics()
  /** Time at which each publication was in place in this process, by its number, in milliseconds from the start. */
  readonly appliedMs = new Map<number, number>()
  /** Time at which this process became ready, in milliseconds from the start. */
  readyMs = Infinity
  /** Latest publication in place. */
  number = 0
  private _feed: NodeFeed

  /**
   * @param machine - VM that it runs on
   * @param _network - connects the VMs
   * @param _settings - of the process
   * @param _random - source of its seeds
   */
  constructor (
    readonly machine: ModelMachine, private readonly _network: ModelNetwork, private readonly _settings: ISettings,
    private readonly _random: IRandom
  ) {
    this.log = new EventLog(machine.clock)
    this._feed = this._createFeed()
  }

  get feed (): NodeFeed {
    return this._feed
  }

  /** Starts to look for a source. */
  start (): void {
    this._feed.client.start()
  }

  /** Sends its subscribers to other sources, as a planned stop does first. */
  drain (): void {
    this._feed.relay.drain()
  }

  /** Ends the process; the VM resets its connections. */
  end (): void {
    this.machine.lose()
    this._network.reset(this.machine)
    this._feed.dispose()
  }

  /** Starts another process on this VM. */
  restart (): void {
    this.machine.restart()
    this._network.reset(this.machine)
    this.appliedMs.clear()
    this.readyMs = Infinity
    this.number = 0
    this._feed.dispose()
    this._feed = this._createFeed()
    this.start()
  }

  dispose (): void {
    this._feed.dispose()
  }

  private _createFeed (): NodeFeed {
    const { clock, address } = this.machine
    const feed = new NodeFeed({
      settings: this._settings,
      peerAddress: address,
      clock,
      random: new SeededRandom(Math.floor(this._random.draw() * SEED_RANGE)),
      log: this.log,
      metrics: this.metrics,
      channels: this._network.createChannels(this.machine),
      incarnation: clock.readWallTime().getTime(),
      takeEvidence: () => []
    })
    feed.addServices(this.machine)
    feed.store.onChanged(({ publication }) => {
      if (publication === undefined || feed !== this._feed) return
      this.number = publication.number
      if (!this.appliedMs.has(publication.number)) this.appliedMs.set(publication.number, clock.readMonotonicMs())
    })
    feed.client.onReady(() => {
      this.readyMs = clock.readMonotonicMs()
      this._announceTarget(feed)
    })
    return feed
  }

  private _announceTarget (feed: NodeFeed): void {
    const { process } = this._settings
    const incarnation = this.machine.clock.readWallTime().getTime()
    feed.endpoints.merge([EndpointRecord.fromPartial({
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
