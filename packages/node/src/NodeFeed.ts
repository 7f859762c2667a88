/**
 * The feed of a node: its subscription to a source, and the relay that serves other nodes.
 */
import { DisposableStore, type IClock, type IDisposable, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import { CatalogueStore, ControlDirectory, EndpointView, FeedClient, FeedHub, LEAF_LEVEL, RELAY_LEVEL } from '@lagoonswitch/feed'
import { FeedService, type EvidenceRecord, type ISettings } from '@lagoonswitch/schema'
import type { IPeerChannels, IServiceRegistry } from '@lagoonswitch/transport'

const MAX_FORWARDED_RECORDS = 5_000

/** Settings and dependencies of a {@link NodeFeed}. */
export interface INodeFeedOptions {
  readonly settings: ISettings
  readonly peerAddress: string
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
  /** Wall-clock time of the start of this process, in milliseconds. */
  readonly incarnation: number
  /** Returns the evidence that this node has collected since the last call. */
  readonly takeEvidence: () => EvidenceRecord[]
}

/** Keeps the catalogue and the endpoints of a node current, and passes both on. */
export class NodeFeed implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private _forwardedEvidence: EvidenceRecord[] = []

  readonly directory: ControlDirectory
  readonly store = new CatalogueStore()
  readonly endpoints = new EndpointView()
  readonly client: FeedClient
  readonly relay: FeedHub

  constructor (private readonly _options: INodeFeedOptions) {
    const { settings, clock, random, log, metrics, channels, peerAddress, incarnation } = _options
    const { name, region, availabilityZone, roles } = settings.process
    this.directory = new ControlDirectory(listSeedAddresses(settings))
    this.client = this._disposables.add(new FeedClient({
      node: name,
      region,
      availabilityZone,
      // A process with the control role serves the feed as a source, not as a relay.
      feedAddress: roles.includes('control') ? '' : peerAddress,
      incarnation,
      directory: this.directory,
      isMesh: false,
      clock,
      random,
      log,
      metrics,
      channels,
      store: this.store,
      endpoints: this.endpoints,
      computeFleetStatus: () => this._computeFleetStatus(),
      takeEvidence: () => this._takeEvidence(),
      isServing: () => this.relay.getStreamCount() > 0
    }))
    this.relay = this._disposables.add(new FeedHub({
      name,
      clock,
      random,
      log,
      metrics,
      store: this.store,
      endpoints: this.endpoints,
      maxStreams: settings.node.relayStreams,
      subscriberLevel: LEAF_LEVEL,
      isCurrent: () => this.client.level === RELAY_LEVEL && this.client.isCurrent && this.client.isReady && !this.client.isSwitching,
      getAgeMs: () => this.client.getStatus().currentMs,
      confirm: async nodes => await this.client.confirm(nodes),
      directory: this.directory,
      onEvidence: records => this._forwardEvidence(records)
    }))
    this._disposables.add(this.client.onCannotRelay(() => this.relay.redirectAll()))
  }

  /**
   * Adds the gRPC service of the relay.
   * @param registry - services of a process that does not listen yet
   */
  addServices (registry: IServiceRegistry): void {
    registry.addService(FeedService, this.relay.createHandlers())
  }

  dispose (): void {
    this._disposables.dispose()
  }

  private _computeFleetStatus (): ReturnType<FeedHub['computeFleetStatus']> {
    const relayStatus = this.relay.computeFleetStatus()
    const own = this.store.version
    const isOwnLower = relayStatus.nodes === 0 || own.epoch < relayStatus.lowest.epoch || own.version < relayStatus.lowest.version
    return { nodes: relayStatus.nodes + 1, lowest: isOwnLower ? own : relayStatus.lowest }
  }

  private _takeEvidence (): EvidenceRecord[] {
    const records = [...this._options.takeEvidence(), ...this._forwardedEvidence]
    this._forwardedEvidence = []
    return records
  }

  private _forwardEvidence (records: readonly EvidenceRecord[]): void {
    if (this._forwardedEvidence.length < MAX_FORWARDED_RECORDS) this._forwardedEvidence.push(...records)
    else this._options.metrics.count('evidence_dropped_total', 'full', records.length)
  }
}

/**
 * Lists the control VMs that are named in the settings.
 * @param settings - of this process
 * @returns peer addresses
 */
export function listSeedAddresses ({ control, listen }: ISettings): string[] {
  const seeds = control.seeds.map(({ host }) => `${host}:${listen.peers.port}`)
  return [...control.members.map(member => member.address), ...seeds]
}
