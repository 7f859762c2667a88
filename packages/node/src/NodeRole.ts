/**
 * The node role of a process: the call server for callers, the targets of this VM, the feed client and the feed relay.
 */
import {
  DisposableStore, type IClock, type IDisposable, type ILog, type IRandom, type Metrics
} from '@lagoonswitch/common'
import type { CatalogueStore, ControlDirectory, EndpointView, FeedClient, FeedHub } from '@lagoonswitch/feed'
import { CallClass, type ISettings } from '@lagoonswitch/schema'
import { LeaderClient, LinkListener, type IPeerChannels, type IServiceRegistry, type LinkCredentials } from '@lagoonswitch/transport'
import { LagoonDialect, type CallDialect } from './calls/CallDialect.js'
import { CallServer } from './calls/CallServer.js'
import type { ICallOpener } from './calls/CallTypes.js'
import { GracefulStop } from './calls/GracefulStop.js'
import { UsageClient } from './caps/UsageClient.js'
import { ClaimsClient } from './claims/ClaimsClient.js'
import { PeerLink } from './links/PeerLink.js'
import { PeerServer } from './links/PeerServer.js'
import { EvidenceCollector } from './moves/EvidenceCollector.js'
import { NodeFeed } from './NodeFeed.js'
import {
  AccountIndex, BalancedDraws, BalancedPlacement, CallerWaitEstimator, LocalPlacement, OwnerCallLimiter, ReportedTimes, RetryBudget,
  ServicePace, TargetPool
} from '@lagoonswitch/traffic'
import { RouteTable, type IRoutePart } from './routing/RouteTable.js'
import { LocalTargetRegistry } from './targets/LocalTargetRegistry.js'
import { NestedCalls } from './targets/NestedCalls.js'
import { WithdrawalRecorder } from './targets/WithdrawalRecorder.js'

/** Time within which callers notice that this process is no longer ready. */
const READINESS_NOTICE_MS = 2_500
/** Time without a new call after which callers are assumed to use other processes; while few are ready, some keep calling this one. */
const QUIET_MS = 1_000
const STOP_POLL_MS = 50
/** Minimum length of the lease of a target in heartbeat intervals, since heartbeats may be seconds late. */
const MIN_HEARTBEATS_PER_LEASE = 6
/** Classes whose waiting calls are counted, by the suffix of their gauge. */
const WAITING_CLASSES = [
  ['first', CallClass.CALL_CLASS_FIRST], ['high', CallClass.CALL_CLASS_HIGH], ['normal', CallClass.CALL_CLASS_NORMAL],
  ['low', CallClass.CALL_CLASS_LOW]
] as const

/** Settings and dependencies of a node. */
export interface INodeRoleOptions {
  readonly settings: ISettings
  readonly peerAddress: string
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
  readonly credentials: LinkCredentials
  /** Header conventions of callers and targets; those of lagoonswitch by default. */
  readonly dialect?: CallDialect
}

/** Runs a node: accepts calls, routes them to targets, and follows the catalogue through the feed. */
export class NodeRole implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _links = new Map<string, PeerLink>()
  private readonly _retryBudgets = new Map<string, RetryBudget>()
  /** Services that targets of this VM call while they are running calls. */
  private readonly _calledServices = new Set<string>()
  private readonly _evidence: EvidenceCollector
  private readonly _callServer: CallServer
  private readonly _peerServer: PeerServer
  private readonly _claims: ClaimsClient
  private readonly _linkListener: LinkListener
  private readonly _linkAddress: string
  private _routes: RouteTable | undefined
  private _accounts: AccountIndex | undefined
  private readonly _reservedHeaders: ReadonlySet<string>
  private readonly _reservedHeadersWithAccounts: ReadonlySet<string>
  private _catalogueChangedMs = 0
  private readonly _feed: NodeFeed
  private readonly _pace: ServicePace
  private _stop: GracefulStop | undefined

  readonly directory: ControlDirectory
  readonly store: CatalogueStore
  readonly endpoints: EndpointView
  readonly targets: LocalTargetRegistry
  readonly withdrawals: WithdrawalRecorder
  readonly feed: FeedClient
  readonly relay: FeedHub

  constructor (private readonly _options: INodeRoleOptions) {
    const { settings, clock, random, log, metrics, channels } = _options
    const { name, region, availabilityZone } = settings.process
    this._linkAddress = `${settings.listen.links.host}:${settings.listen.links.port}`
    const incarnation = clock.readWallTime().getTime()
    const dialect = _options.dialect ?? new LagoonDialect()
    this._reservedHeaders = dialect.reservedHeaders
    this._reservedHeadersWithAccounts = new Set([...dialect.reservedHeaders, ...dialect.accountHeaders])
    this._pace = new ServicePace(clock)
    this._feed = this._disposables.add(new NodeFeed({ ..._options, incarnation, takeEvidence: () => this._evidence.takeEvidence() }))
    this.directory = this._feed.directory
    this.store = this._feed.store
    this.endpoints = this._feed.endpoints
    this.feed = this._feed.client
    this.relay = this._feed.relay
    this._evidence = this._disposables.add(new EvidenceCollector(this.store, clock, log, metrics))
    const isBalanced = settings.node.zonePlacement === 'balanced'
    const findRoute = (host: string, method: string, path: string): string | undefined =>
      this._getRoutes()?.findRoute(host, method, path)?.key
    this.targets = this._disposables.add(new LocalTargetRegistry({
      node: name,
      region,
      availabilityZone,
      linkAddress: this._linkAddress,
      incarnation,
      leaseMs: Math.max(settings.node.targetLeaseMs, MIN_HEARTBEATS_PER_LEASE * settings.node.targetHeartbeatMs),
      clock,
      log,
      metrics,
      endpoints: this.endpoints,
      dialect,
      isServiceSlow: settings.node.hangDetection ? (...wait) => this._pace.isSlow(...wait) : undefined,
      random,
      findAccountWeight: account => this._getAccounts().findWeight(account),
      nestedCalls: isBalanced ? new NestedCalls({ clock, random, log, metrics, findRoute }) : undefined,
      hasReportedTimes: settings.node.reportedTimes,
      canTakeRepeat: () => [...this._calledServices].every(service => this._retryBudgets.get(service)?.canSpend() !== false)
    }))
    const leaderClient = new LeaderClient(channels, clock, () => this.directory.listAddresses())
    this.withdrawals = new WithdrawalRecorder({ node: name, targets: this.targets, leaderClient, clock, log, metrics })
    this._peerServer = new PeerServer(this.targets, _options)
    this._linkListener = new LinkListener(_options.credentials, socket => this._peerServer.serve(socket))
    const location = { region, availabilityZone, linkAddress: this._linkAddress }
    const caps = this._disposables.add(new UsageClient({
      settings,
      incarnation,
      clock,
      random,
      log,
      metrics,
      channels,
      store: this.store,
      listAddresses: () => this.directory.listAddresses(),
      countNodes: () => this._countNodes()
    }))
    this._claims = new ClaimsClient(leaderClient, settings.control.claimShards)
    this._callServer = new CallServer({
      clock,
      random,
      draws: new BalancedDraws(random),
      log,
      metrics,
      settings,
      pool: new TargetPool({
        ...location,
        clock,
        random,
        metrics,
        endpoints: this.endpoints,
        isReachable: address => this._links.get(address)?.isReachable !== false,
        placement: isBalanced ? new BalancedPlacement({ ...location, random }) : new LocalPlacement({ ...location, random }),
        reportedTimes: settings.node.reportedTimes ? new ReportedTimes(random) : undefined
      }),
      claims: this._claims,
      caps,
      evidence: this._evidence,
      ownerCallLimiter: new OwnerCallLimiter(),
      callerWaitEstimator: new CallerWaitEstimator(clock),
      findOpener: address => this._findOpener(address),
      isRepeatRun: callId => this.targets.isRepeatRun(callId),
      isLocalRun: callId => this.targets.isLocalRun(callId),
      startedMs: clock.readMonotonicMs(),
      getAccounts: () => this._getAccounts(),
      getReservedHeaders: () => this._getAccounts().size === 0 ? this._reservedHeaders : this._reservedHeadersWithAccounts,
      startNestedCall: parentId => this.targets.startNestedCall(parentId),
      pace: this._pace,
      reportRepeatDenied: parentId => this.targets.recordRepeatDenied(parentId),
      recordCalledService: part => this._calledServices.add(part.service),
      recordNestedCall: (parentId, part, reason) => this.targets.recordNestedCall(parentId, part.service, reason),
      getRetryBudget: part => this._getRetryBudget(part),
      getRoutes: () => this._getRoutes(),
      getStop: () => this._stop,
      dialect,
      getCallerLimits: () => this.store.view.publication?.callerLimits,
      getCatalogueVersion: () => this.store.version.version,
      getCatalogueAgeMs: () => clock.readMonotonicMs() - this._catalogueChangedMs,
      getFeedStatus: () => this.feed.getStatus(),
      isCatalogueCurrent: () => this.feed.isCurrent
    })
    this._disposables.add(this.feed.onReady(withdrawals => this.targets.restoreWithdrawals(withdrawals)))
    this._disposables.add(this.store.onChanged(() => {
      this._routes = undefined
      this._accounts = undefined
      this._catalogueChangedMs = clock.readMonotonicMs()
      this._callServer.applyLimits()
      this._callServer.applyAccounts()
      caps.applyCatalogue()
    }))
    metrics.addGauge('calls_running', () => this._callServer.getRunningCount())
    metrics.addGauge('claims_unsettled', () => this._claims.unsettledCount)
    metrics.addGauge('responses_unsent', () => this._callServer.getUnsentResponseCount())
    for (const [name, callClass] of WAITING_CLASSES) metrics.addGauge(`calls_waiting_${name}`, () => this.targets.countWaiting(callClass))
    metrics.addGauge('feed_level', () => this.feed.level)
    metrics.addGauge('feed_current_age_ms', () => this.feed.getStatus().currentMs)
    metrics.addGauge('accounts', () => this.store.view.accounts.size)
    metrics.addGauge('catalogue_version', () => this.store.version.version)
  }

  /** True once calls can be routed. */
  get isReady (): boolean {
    return this.feed.isReady && this._stop === undefined
  }

  /** True once the endpoints and withdrawals that announcements of targets are checked against are known. */
  get canAnnounce (): boolean {
    return this.feed.isReady
  }

  /**
   * Reports an invalid announcement.
   * @param id - ID of the target as its sender states it
   * @param problem - what is wrong with the announcement
   */
  reportBadAnnouncement (id: string, problem: string): void {
    this._options.metrics.count('announcements_ignored_total', 'invalid')
    this._options.log.warn('announcement_refused', { target: id, problem })
  }

  /**
   * Reports an announcement that came before this node had the catalogue; its sender must repeat it.
   * @param id - ID of the target
   */
  reportEarlyAnnouncement (id: string): void {
    this._options.metrics.count('announcements_ignored_total', 'not-ready')
    this._options.log.info('announcement_deferred', { target: id, source: this.feed.source, level: this.feed.level })
  }

  /**
   * Adds the gRPC services of this role.
   * @param listener - peer listener that is not listening yet
   * @param isFeedServed - true when another role of this process already serves the feed
   */
  addServices (listener: IServiceRegistry, isFeedServed: boolean): void {
    if (!isFeedServed) this._feed.addServices(listener)
  }

  /**
   * Starts the feed client and the listeners for links and callers.
   * @returns port of the listener for callers
   */
  async start (): Promise<number> {
    const { calls, links } = this._options.settings.listen
    await this._linkListener.listen(links.host, links.port)
    this._evidence.start()
    this.feed.start()
    return await this._callServer.listen(calls.host, calls.port)
  }

  /**
   * Stops gracefully: reports not ready and drains the targets, serves until callers have noticed, then refuses new calls except
   * nested ones, and waits for running calls. Calls that cannot end in time are refused as not run, or cut at the end if they run.
   * @param timeoutMs - time in milliseconds within which everything has ended
   */
  async stop (timeoutMs: number): Promise<void> {
    const { clock, log } = this._options
    const stop = new GracefulStop(clock.readMonotonicMs(), timeoutMs)
    const getElapsedMs = (): number => clock.readMonotonicMs() - stop.startedMs
    const waitWhile = async (check: () => boolean, endMs: number): Promise<void> => {
      for (let leftMs = endMs - clock.readMonotonicMs(); leftMs > 0 && check(); leftMs = endMs - clock.readMonotonicMs()) {
        await clock.sleep(Math.min(STOP_POLL_MS, leftMs))
      }
    }
    this._stop = stop
    this.targets.drain()
    this._peerServer.drain()
    this.relay.drain()
    this._callServer.applyStop()
    const isBusy = (): boolean => this._callServer.getRunningCount() > 0 || this._callServer.getUnsentResponseCount() > 0 ||
      this.targets.getRunningCount() > 0 || this._peerServer.hasUnsentBytes
    const isServing = (): boolean => getElapsedMs() < READINESS_NOTICE_MS || isBusy() || this._callServer.getQuietMs() < QUIET_MS
    this._logStopStep('serving', 0)
    await waitWhile(isServing, stop.refuseAtMs)
    stop.refuseCalls()
    this._logStopStep('refusing', getElapsedMs())
    // The listener stays open until the last call has ended, so that callers that connect are told when to retry.
    await waitWhile(isBusy, stop.cutAtMs)
    this._logStopStep('closing', getElapsedMs())
    this._linkListener.stopListening()
    const closing = this._peerServer.closeLinks(stop.awaitClosedUntilMs)
    await this._callServer.close(stop.awaitClosedUntilMs)
    await closing
    await waitWhile(() => this._claims.unsettledCount > 0, stop.awaitClosedUntilMs)
    if (this._claims.unsettledCount > 0) log.warn('claims_not_settled', { claims: this._claims.unsettledCount })
  }

  dispose (): void {
    this._disposables.dispose()
    for (const link of this._links.values()) link.dispose()
    this._linkListener.close()
  }

  private _logStopStep (step: 'serving' | 'refusing' | 'closing', elapsedMs: number): void {
    this._options.log.info('stop_step', {
      step,
      passed_ms: Math.round(elapsedMs),
      calls: this._callServer.getRunningCount(),
      target_calls: this.targets.getRunningCount(),
      quiet_ms: Math.round(this._callServer.getQuietMs())
    })
  }

  private _getRoutes (): RouteTable | undefined {
    // Without a declaration it is unknown which routes there will be, so calls are not refused for good.
    if (!this.feed.isReady || this.store.isInitial) return undefined
    this._routes ??= new RouteTable(this.store.view)
    return this._routes
  }

  private _getAccounts (): AccountIndex {
    this._accounts ??= new AccountIndex(this.store.view.accounts)
    return this._accounts
  }

  private _countNodes (): number {
    return new Set(this.endpoints.getRecords().map(record => record.node)).size
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

  private _getRetryBudget ({ service, serviceEntry }: IRoutePart): RetryBudget {
    const ratio = serviceEntry.limits.retry_budget
    const existing = this._retryBudgets.get(service)
    if (existing !== undefined) {
      existing.setRatio(ratio)
      return existing
    }
    const { node: { retryWindowMs, retrySlack }, control: { firstStart } } = this._options.settings
    const bounds = { ratio, windowMs: retryWindowMs, slack: retrySlack, countNodes: () => this._countNodes(), isFirstStart: firstStart }
    const budget = new RetryBudget(bounds, this._options.clock)
    this._retryBudgets.set(service, budget)
    return budget
  }
}
