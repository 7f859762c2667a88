/**
 * Everything that a node runs: the callers' side, the targets' side, the feed and its relay.
 */
import {
  DisposableStore, type IClock, type IDisposable, type ILog, type IRandom, type Metrics
} from '@lagoonswitch/common'
import { CatalogueStore, EndpointView, FeedClient, FeedHub, LEAF_LEVEL, RELAY_LEVEL } from '@lagoonswitch/feed'
import { FeedService, type EvidenceRecord, type ISettings } from '@lagoonswitch/schema'
import { LeaderClient, LinkListener, type LinkCredentials, type PeerChannels, type PeerListener } from '@lagoonswitch/transport'
import { CallServer } from './calls/CallServer.js'
import type { ICallOpener } from './calls/CallTypes.js'
import { ClaimsClient } from './claims/ClaimsClient.js'
import { PeerLink } from './links/PeerLink.js'
import { PeerServer } from './links/PeerServer.js'
import { EvidenceCollector } from './moves/EvidenceCollector.js'
import { OwnerLimits } from './routing/OwnerLimits.js'
import { RetryBudget } from './routing/RetryBudget.js'
import { RouteTable, type ICompiledRoute } from './routing/RouteTable.js'
import { TargetPool } from './routing/TargetPool.js'
import { TargetSide } from './targets/TargetSide.js'

const MAX_FORWARDED_EVIDENCE = 5_000
/** Time between the withdrawal of the targets and the end of the listeners. */
const WITHDRAW_MS = 300

/** What a node is made of. */
export interface INodeRoleOptions {
  readonly settings: ISettings
  readonly peerAddress: string
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: PeerChannels
  readonly credentials: LinkCredentials
}

/** A node. */
export class NodeRole implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _links = new Map<string, PeerLink>()
  private readonly _budgets = new Map<string, RetryBudget>()
  private readonly _evidence: EvidenceCollector
  private readonly _calls: CallServer
  private readonly _peerServer: PeerServer
  private readonly _linkListener: LinkListener
  private readonly _linkAddress: string
  private _routes: RouteTable | undefined
  private _forwarded: EvidenceRecord[] = []
  private _isDraining = false

  readonly store = new CatalogueStore()
  readonly endpoints = new EndpointView()
  readonly targets: TargetSide
  readonly feed: FeedClient
  readonly relay: FeedHub

  constructor (private readonly _options: INodeRoleOptions) {
    const { settings, clock, random, log, metrics, channels, peerAddress } = _options
    const { name, region, availabilityZone } = settings.process
    this._linkAddress = `${settings.listen.links.host}:${settings.listen.links.port}`
    const incarnation = clock.readWallTime().getTime()
    const controlAddresses = settings.control.members.map(member => member.address)
    this._evidence = this._disposables.add(new EvidenceCollector(this.store, clock, log, metrics))
    this.targets = this._disposables.add(new TargetSide({
      node: name,
      region,
      availabilityZone,
      linkAddress: this._linkAddress,
      incarnation,
      leaseMs: settings.node.targetLeaseMs,
      clock,
      log,
      metrics,
      endpoints: this.endpoints
    }))
    this._peerServer = new PeerServer(this.targets)
    this._linkListener = new LinkListener(_options.credentials, socket => this._peerServer.serve(socket))
    const isControl = settings.process.roles.includes('control')
    this.feed = this._disposables.add(new FeedClient({
      node: name,
      region,
      availabilityZone,
      // A process that is a control VM as well serves the feed as the source, not as a relay.
      feedAddress: isControl ? '' : peerAddress,
      incarnation,
      controlAddresses,
      isMesh: false,
      clock,
      random,
      log,
      metrics,
      channels,
      store: this.store,
      endpoints: this.endpoints,
      computeFleetStatus: () => this._computeFleetStatus(),
      takeEvidence: () => this._takeEvidence()
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
      isCurrent: () => this.feed.level === RELAY_LEVEL && this.feed.isCurrent && this.feed.isReady,
      confirm: async () => await this.feed.confirm(),
      onEvidence: records => this._forwardEvidence(records)
    }))
    this._calls = new CallServer({
      clock,
      random,
      log,
      metrics,
      settings,
      pool: new TargetPool({
        region, availabilityZone, linkAddress: this._linkAddress, clock, random, metrics, endpoints: this.endpoints
      }),
      claims: new ClaimsClient(
        new LeaderClient(channels, clock, controlAddresses), settings.control.claimShards),
      evidence: this._evidence,
      owners: new OwnerLimits(),
      findOpener: address => this._findOpener(address),
      getBudget: route => this._getBudget(route),
      getRoutes: () => this._getRoutes(),
      isDraining: () => this._isDraining
    })
    this._disposables.add(this.store.onChanged(() => { this._routes = undefined }))
    metrics.addGauge('calls_running', () => this._calls.getRunningCount())
    metrics.addGauge('catalogue_version', () => this.store.version.version)
  }

  /** True once calls can be routed. */
  get isReady (): boolean {
    return this.feed.isReady && !this._isDraining
  }

  /**
   * Adds the gRPC services of this role.
   * @param listener - not yet listening
   * @param isFeedServed - true when another role of this process serves the feed already
   */
  addServices (listener: PeerListener, isFeedServed: boolean): void {
    if (!isFeedServed) listener.addService(FeedService, this.relay.createHandlers())
  }

  /**
   * Starts the listener for callers and the feed.
   * @returns port of the listener
   */
  async start (): Promise<number> {
    const { calls, links } = this._options.settings.listen
    await this._linkListener.listen(links.host, links.port)
    this._evidence.start()
    this.feed.start()
    return await this._calls.listen(calls.host, calls.port)
  }

  /**
   * Stops gracefully: withdraws, refuses new calls as not run, and lets the running ones end.
   * @param timeoutMs - after this the rest is cut
   */
  async stop (timeoutMs: number): Promise<void> {
    const { clock } = this._options
    const endMs = clock.readMonotonicMs() + timeoutMs
    this.targets.drain()
    this._peerServer.drain()
    this.relay.drain()
    await clock.sleep(WITHDRAW_MS)
    this._isDraining = true
    await this._calls.stop(Math.max(0, endMs - clock.readMonotonicMs()))
    while (this.targets.getRunningCount() > 0 && clock.readMonotonicMs() < endMs) await clock.sleep(WITHDRAW_MS / 10)
    this._peerServer.closeLinks()
  }

  dispose (): void {
    this._disposables.dispose()
    for (const link of this._links.values()) link.dispose()
    this._linkListener.close()
  }

  private _getRoutes (): RouteTable | undefined {
    if (!this.feed.isReady) return undefined
    this._routes ??= new RouteTable(this.store.view)
    return this._routes
  }

  private _findOpener (address: string): ICallOpener {
    if (address === this._linkAddress) return this.targets
    let link = this._links.get(address)
    if (link === undefined) {
      link = new PeerLink(address, this._options)
      this._links.set(address, link)
    }
    return link
  }

  private _getBudget (route: ICompiledRoute): RetryBudget {
    let budget = this._budgets.get(route.key)
    if (budget === undefined) {
      budget = new RetryBudget(route.entry.limits.retry_budget)
      this._budgets.set(route.key, budget)
    }
    return budget
  }

  private _computeFleetStatus (): ReturnType<FeedHub['computeFleetStatus']> {
    const below = this.relay.computeFleetStatus()
    const own = this.store.version
    const isOwnLower = below.nodes === 0 || own.epoch < below.lowest.epoch || own.version < below.lowest.version
    return { nodes: below.nodes + 1, lowest: isOwnLower ? own : below.lowest }
  }

  private _takeEvidence (): EvidenceRecord[] {
    const records = [...this._evidence.takeEvidence(), ...this._forwarded]
    this._forwarded = []
    return records
  }

  private _forwardEvidence (records: readonly EvidenceRecord[]): void {
    if (this._forwarded.length < MAX_FORWARDED_EVIDENCE) this._forwarded.push(...records)
    else this._options.metrics.count('evidence_dropped_total', 'full', records.length)
  }
}
