/**
 * Receiving side of the feed: subscribes to a source and switches to another one when it fails.
 */
import {
  Backoff, DisposableStore, Emitter, NO_VERSION, compareVersions, toDisposable,
  type ICatalogueVersion, type IDisposable, type ILog, type IRandom, type Metrics
} from '@lagoonswitch/common'
import type { ConfirmReply, ControlMember, EndpointRecord, SourceBeat, WithdrawalRecord } from '@lagoonswitch/schema'
import type { IPeerChannels } from '@lagoonswitch/transport'
import type { CatalogueStore } from './CatalogueStore.js'
import type { ControlDirectory } from './ControlDirectory.js'
import { FeedReporter, type IFeedReporterOptions } from './FeedReporter.js'
import { LEAF_LEVEL, MESH_LEVEL, RELAY_LEVEL } from './FeedHub.js'
import { FeedSubscription, type FeedFrame, type ISubscriptionEnd } from './FeedSubscription.js'
import { SourceFinder } from './SourceFinder.js'
import { SourceSearch } from './SourceSearch.js'
import { MAX_AGE_MS, SourceWatch } from './SourceWatch.js'
import { ZoneSwitch } from './ZoneSwitch.js'

/** A subscription that lasted this long is replaced without a backoff, so that losing a source costs only the search. */
const MIN_STABLE_MS = 1_000
/** Time without a source after which the subscribers of this process are redirected to other sources. */
const ORPHAN_DELAY_MS = 300
/** Interval at which evidence is reported, a fraction of the time in which a move must be decided. */
const EVIDENCE_INTERVAL_MS = 250
const BACKOFF_BASE_MS = 100
const BACKOFF_MAX_MS = 500
const UNCONFIRMED_ENDPOINT_TIMEOUT_MS = 30_000
/** Number of relays that are remembered; a search for a source may ask all of them. */
const MAX_KNOWN_RELAYS = 8
/** Dependencies and identity of a subscriber. */
export interface IFeedClientOptions extends IFeedReporterOptions {
  readonly region: string
  readonly availabilityZone: string
  /** Address at which this process serves the feed as a relay; empty when it does not. */
  readonly feedAddress: string
  readonly incarnation: number
  /** The known control VMs. */
  readonly directory: ControlDirectory
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
  /** True while this process is the source of others. */
  readonly isServing: () => boolean
}

/** What a process knows of its source. */
export interface IFeedStatus {
  /** Name of the source, empty for none. */
  readonly source: string
  /** Level in the distribution tree; 0 without a source. */
  readonly level: number
  /** Time since the source was joined, or since the last one was lost, in milliseconds. */
  readonly sourceMs: number
  /** Time since the catalogue in the store was last known to be the newest, in milliseconds; infinite before the first time. */
  readonly currentMs: number
}

/** Subscribes to one source at a time. */
export class FeedClient implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _stopping = new AbortController()
  private readonly _onReady = new Emitter<readonly WithdrawalRecord[]>()
  private readonly _onCannotRelay = new Emitter<void>()
  private readonly _backoff: Backoff
  private readonly _finder: SourceFinder
  private readonly _reporter: FeedReporter
  private readonly _zoneSwitch: ZoneSwitch
  private readonly _watch: SourceWatch
  private _relays: string[] = []
  private _subscription: FeedSubscription | undefined
  private _activeSearch: SourceSearch | undefined
  /** Monotonic time at which the catalogue in the store was last known to be the newest one, in milliseconds. */
  private _currentAtMs = -Infinity
  /** Monotonic time at which the current source was joined, in milliseconds. */
  private _joinedAtMs = -Infinity
  private _isConfirmed = false
  private _minReadyVersion: ICatalogueVersion = NO_VERSION
  /** Address of the source that failed last, which is tried again only as the last choice. */
  private _failedAddress = ''
  /** Monotonic time since which there is no source, in milliseconds. */
  private _orphanedSinceMs: number
  private _orphanTimer: IDisposable | undefined

  /** Fires once a quorum has confirmed the version in the store, with the withdrawals at this node that were recorded before. */
  readonly onReady = this._onReady.event
  /** Fires when the source was lost and no other one was found in time, or when the new one is a relay: subscribers need other sources. */
  readonly onCannotRelay = this._onCannotRelay.event

  constructor (private readonly _options: IFeedClientOptions) {
    this._finder = new SourceFinder(_options)
    this._reporter = this._disposables.add(new FeedReporter(_options, this))
    this._zoneSwitch = this._disposables.add(new ZoneSwitch({
      clock: _options.clock,
      finder: this._finder,
      getSubscription: () => this._subscription,
      createSearch: isExcluded => this._createSearch(false, isExcluded),
      isControl: address => _options.directory.hasAddress(address),
      isServing: _options.isServing
    }))
    this._watch = this._disposables.add(new SourceWatch({
      clock: _options.clock,
      log: _options.log,
      finder: this._finder,
      getSubscription: () => this._subscription,
      getCurrentAtMs: () => Math.max(this._currentAtMs, this._joinedAtMs),
      getRelays: () => this._relays,
      createSearch: (isExcluded, isNeeded) => this._createSearch(true, isExcluded, isNeeded)
    }))
    this._orphanedSinceMs = _options.clock.readMonotonicMs()
    this._backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, _options.random)
    this._disposables.add(toDisposable(() => {
      this._stopping.abort()
      this._activeSearch?.dispose()
      this._orphanTimer?.dispose()
      this._subscription?.stream.end()
    }))
  }

  /** True once calls may be routed by the catalogue in the store. */
  get isReady (): boolean {
    return this._isConfirmed
  }

  /** Level in the distribution tree: 1 below a control VM, 2 below a relay, 0 without a source. */
  get level (): number {
    return this._subscription?.level ?? 0
  }

  /** Name of the current source, empty for none. */
  get source (): string {
    return this._subscription?.source ?? ''
  }

  /** True until this node has tried to change to a source in its own availability zone, below which it may be no relay. */
  get isSwitching (): boolean {
    return this._zoneSwitch.isPending
  }

  /** True while the catalogue in the store is known to be the newest one, or was so a moment ago. */
  get isCurrent (): boolean {
    return this.getStatus().currentMs < MAX_AGE_MS
  }

  /** @returns what is known of the source now */
  getStatus (): IFeedStatus {
    const nowMs = this._options.clock.readMonotonicMs()
    const sourceMs = nowMs - (this._subscription?.startedMs ?? this._orphanedSinceMs)
    return { source: this.source, level: this.level, sourceMs, currentMs: nowMs - this._currentAtMs }
  }

  /** Starts the subscription and the reports to the source. */
  start (): void {
    void this._runSubscription()
    this._watch.start()
    void this._runReports()
  }

  /**
   * Asks the source for a version that a quorum has confirmed after this call.
   * @param nodes - nodes whose recorded withdrawals are wanted
   * @returns the reply; not confirmed when no source answers
   */
  async confirm (nodes: readonly string[]): Promise<ConfirmReply> {
    const sourceAddress = this._subscription?.address
    const sourceReply = sourceAddress === undefined ? undefined : await this._finder.confirmAt(sourceAddress, nodes)
    if (sourceReply?.confirmed === true) return sourceReply
    // The others are asked in parallel, so that the timeouts of those that are down do not add up.
    return await this._finder.confirmAny(this._listConfirmAddresses().filter(address => address !== sourceAddress), nodes)
  }

  dispose (): void {
    this._disposables.dispose()
  }

  private async _runSubscription (): Promise<void> {
    const { clock } = this._options
    while (!this._stopping.signal.aborted) {
      const retryAfterMs = await this._search()
      if (retryAfterMs === undefined && await this._followUntilEnd()) continue
      await clock.sleep(this._backoff.computeNextMs(retryAfterMs), this._stopping.signal)
    }
  }

  /** Follows the current source and those that replace it. @returns true when that lasted long enough for a search without a backoff */
  private async _followUntilEnd (): Promise<boolean> {
    const { clock } = this._options
    const startedMs = clock.readMonotonicMs()
    this._backoff.reset()
    for (let followed = this._subscription; followed !== undefined; followed = this._subscription) await followed.waitEnd()
    return clock.readMonotonicMs() - startedMs >= MIN_STABLE_MS
  }

  private _createSearch (
    isPersistent: boolean, isExcluded: (address: string) => boolean, isNeeded?: () => Promise<boolean>
  ): SourceSearch {
    return new SourceSearch({
      clock: this._options.clock,
      finder: this._finder,
      open: address => this._openSubscription(address),
      onFound: subscription => this._joinSource(subscription),
      isExcluded: address => address === this._options.feedAddress || isExcluded(address),
      isPersistent,
      isNeeded
    })
  }

  /**
   * Asks all known sources after a failure until one accepts this node; tries a control VM without a question if there is no choice.
   * @returns wait that a source which refused this node asked for, in milliseconds; undefined when a source was found
   */
  private async _search (): Promise<number | undefined> {
    const failedAddress = this._failedAddress
    const candidates = this._finder.listCandidates(failedAddress, this._relays)
    const hasChoice = failedAddress !== '' && candidates.some(({ address }) => address !== failedAddress)
    const search = this._createSearch(hasChoice, () => false)
    this._activeSearch = search
    const isFound = await (hasChoice ? search.run(candidates) : search.run([], this._finder.pickControl(failedAddress)))
    return isFound ? undefined : search.retryAfterMs
  }

  private _openSubscription (address: string): FeedSubscription {
    const { node, incarnation, region, availabilityZone, feedAddress, store } = this._options
    const level = this._options.isMesh ? MESH_LEVEL : this._options.directory.hasAddress(address) ? RELAY_LEVEL : LEAF_LEVEL
    const subscription = new FeedSubscription({
      ...this._options,
      address,
      level,
      hello: { node, incarnation, region, availabilityZone, feedAddress, held: { ...store.version }, digest: store.digest, level },
      onFrame: (sender, frame) => this._handleFrame(sender, frame)
    })
    subscription.onEnded(ended => this._handleEnd(subscription, ended))
    return subscription
  }

  private _handleEnd (subscription: FeedSubscription, { relays }: ISubscriptionEnd): void {
    this._rememberRelays(relays)
    const isFollowed = this._subscription === subscription
    // While another source is followed, this one was replaced or was tried as a replacement.
    if (this._subscription === undefined || isFollowed) this._failedAddress = subscription.address
    if (isFollowed) this._leaveSource()
  }

  private _rememberRelays (relays: readonly string[]): void {
    if (this._options.isMesh) return
    const others = [...relays, ...this._relays].filter(address => address !== this._options.feedAddress)
    this._relays = [...new Set(others)].slice(0, MAX_KNOWN_RELAYS)
  }

  private _handleFrame (subscription: FeedSubscription, frame: FeedFrame): void {
    switch (frame.$case) {
      case 'catalogue':
        this._applyCatalogue(frame.value)
        break
      case 'endpoints':
        this._options.endpoints.merge(frame.value.records, this)
        if (frame.value.full) this._expireUnconfirmedEndpoints(frame.value.records)
        break
      case 'members':
        this._learnMembers(subscription, frame.value.members)
        break
      case 'beat':
        this._handleBeat(frame.value)
    }
  }

  /** A link of the mesh belongs to one control VM and never switches to another. */
  private _learnMembers (subscription: FeedSubscription, members: readonly ControlMember[]): void {
    if (this._options.isMesh) return
    this._options.directory.setMembers(members)
    this._zoneSwitch.scheduleSwitch(subscription, !this._isConfirmed, this._failedAddress)
  }

  private _handleBeat ({ version, current, ageMs }: SourceBeat): void {
    const isHeld = this._options.isMesh || compareVersions(version ?? NO_VERSION, this._options.store.version) === 0
    if (current && isHeld) this._currentAtMs = Math.max(this._currentAtMs, this._options.clock.readMonotonicMs() - ageMs)
  }

  private _joinSource (subscription: FeedSubscription): void {
    const { source, level, relays } = subscription
    const nowMs = this._options.clock.readMonotonicMs()
    const replaced = this._subscription
    this._subscription = subscription
    this._watch.endReplacement()
    if (replaced !== undefined) this._leaveReplaced(replaced, nowMs)
    this._orphanTimer?.dispose()
    this._joinedAtMs = nowMs
    this._rememberRelays(relays)
    this._options.log.info('feed_joined', {
      source,
      feed_level: level,
      orphaned_ms: replaced === undefined ? Math.round(nowMs - this._orphanedSinceMs) : 0,
      held: this._options.store.version.version
    })
    this._reporter.open(subscription.stream, this._options.isMesh || level === RELAY_LEVEL)
    if (level === LEAF_LEVEL) this._onCannotRelay.fire()
    void this._confirmCatalogue()
  }

  /** A connection that has been silent may be dead, so that later calls need another one. */
  private _leaveReplaced (replaced: FeedSubscription, nowMs: number): void {
    if (nowMs - replaced.lastHeardMs >= MAX_AGE_MS) replaced.abandon()
    else replaced.dispose()
  }

  private _leaveSource (): void {
    this._watch.endReplacement()
    this._subscription = undefined
    this._reporter.close()
    this._orphanedSinceMs = this._options.clock.readMonotonicMs()
    this._orphanTimer = this._options.clock.schedule(ORPHAN_DELAY_MS, () => this._onCannotRelay.fire())
  }

  private _applyCatalogue (delta: Parameters<CatalogueStore['applyDelta']>[0]): void {
    // The source that was followed until now may have delivered this version already.
    if (compareVersions(delta.version ?? NO_VERSION, this._options.store.version) <= 0) return
    const applied = this._options.store.applyDelta(delta)
    if (applied.ok) {
      this._reporter.sendBeat()
      return
    }
    this._options.metrics.count('feed_bad_versions_total', 'refused')
    this._reporter.send({
      $case: 'badVersion',
      value: { node: this._options.node, reason: applied.val.message, version: delta.version }
    })
    throw applied.val
  }

  /** Removes records that the source does not know unless they are updated in time. */
  private _expireUnconfirmedEndpoints (records: readonly EndpointRecord[]): void {
    const { endpoints, clock } = this._options
    const known = new Set(records.map(record => record.targetId))
    const unconfirmed = endpoints.getRecords().filter(record => !known.has(record.targetId) && !this._reporter.isOwn(record))
    if (unconfirmed.length === 0) return
    this._disposables.add(clock.schedule(UNCONFIRMED_ENDPOINT_TIMEOUT_MS, () => {
      endpoints.remove(unconfirmed.filter(record => endpoints.getRecord(record.targetId) === record).map(record => record.targetId))
    }))
  }

  private async _confirmCatalogue (): Promise<void> {
    if (this._isConfirmed || this._options.isMesh) return
    const reply = await this.confirm([this._options.node])
    if (!reply.confirmed || this._isConfirmed) return
    this._minReadyVersion = reply.version ?? NO_VERSION
    const updateReadiness = (): void => {
      const isBehind = compareVersions(this._options.store.version, this._minReadyVersion) < 0
      if (this._isConfirmed || isBehind || this._options.store.version.epoch === 0) return
      this._isConfirmed = true
      watch.dispose()
      this._options.log.info('catalogue_confirmed', { version: this._options.store.version.version })
      this._onReady.fire(reply.withdrawals)
    }
    const watch = this._disposables.add(this._options.store.onChanged(updateReadiness))
    updateReadiness()
  }

  private async _runReports (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      await this._options.clock.waitTick(EVIDENCE_INTERVAL_MS)
      this._reporter.sendDueReports()
      if (this._subscription !== undefined && !this._isConfirmed) void this._confirmCatalogue()
    }
  }

  private _listConfirmAddresses (): string[] {
    const controlAddresses = this._finder.shuffle(this._options.directory.listAddresses())
    return this.level === LEAF_LEVEL ? [...this._relays.slice(0, 2), ...controlAddresses] : controlAddresses
  }
}
