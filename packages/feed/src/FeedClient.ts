/**
 * Receiving side of the feed: subscribes to a source and switches to another one when it fails.
 */
import {
  Backoff, DisposableStore, Emitter, FeedError, NO_VERSION, compareVersions, formatError, toDisposable,
  type ICatalogueVersion, type IDisposable, type ILog, type IRandom, type Metrics
} from '@lagoonswitch/common'
import {
  FeedClient as FeedService,
  type ConfirmReply, type ControlMember, type EndpointRecord, type FeedDown, type WithdrawalRecord
} from '@lagoonswitch/schema'
import type { IPeerChannels } from '@lagoonswitch/transport'
import type { CatalogueStore } from './CatalogueStore.js'
import type { ControlDirectory } from './ControlDirectory.js'
import { FeedReporter, type FeedStream, type IFeedReporterOptions } from './FeedReporter.js'
import { LEAF_LEVEL, MESH_LEVEL, RELAY_LEVEL } from './FeedHub.js'
import { SourceFinder } from './SourceFinder.js'

/** Silence after which a source counts as failed: two of its beats, and half of the 2 s in which a change must be in force. */
const STALL_TIMEOUT_MS = 1_000
/** A subscription that lasted this long is replaced without a backoff, so that losing a source costs only the search. */
const MIN_STABLE_MS = 1_000
/** Maximum wait for the welcome of a source. */
const WELCOME_TIMEOUT_MS = 1_000
/** Time since the last beat of a current source after which another source is sought. */
const NOT_CURRENT_TIMEOUT_MS = 1_500
/** Interval of the checks for these timeouts. */
const WATCH_INTERVAL_MS = 250
/** Time without a source after which the subscribers of this process are redirected to other sources. */
const ORPHAN_DELAY_MS = 300
/** Interval at which evidence is reported, a fraction of the time in which a move must be decided. */
const EVIDENCE_INTERVAL_MS = 250
/** Wait before a switch to a control VM in the own availability zone; longer once calls depend on the feed. */
const OWN_ZONE_SWITCH_DELAY_AT_START_MS = 100
const OWN_ZONE_SWITCH_DELAY_MS = 2_000
const BACKOFF_BASE_MS = 100
const BACKOFF_MAX_MS = 500
const UNCONFIRMED_ENDPOINT_TIMEOUT_MS = 30_000
/** Number of relays that are remembered; a search for a source may ask all of them. */
const MAX_KNOWN_RELAYS = 8
/** Result when no source accepted this node. */
const NO_SUBSCRIPTION: ISubscriptionEnd = { wasWelcomed: false, wasStable: false, relays: [], retryAfterMs: 0 }

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
}

/** How a subscription ended, and which sources to try next. */
interface ISubscriptionEnd {
  readonly wasWelcomed: boolean
  /** True when the subscription lasted long enough that its end cannot be a fault of this node. */
  readonly wasStable: boolean
  readonly relays: readonly string[]
  readonly retryAfterMs: number
}

/** Subscribes to one source at a time. */
export class FeedClient implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _stopping = new AbortController()
  private readonly _onReady = new Emitter<readonly WithdrawalRecord[]>()
  private readonly _onOrphaned = new Emitter<void>()
  private readonly _backoff: Backoff
  private readonly _finder: SourceFinder
  private readonly _reporter: FeedReporter
  private _relays: string[] = []
  private _stream: FeedStream | undefined
  private _level = 0
  private _source = ''
  /** Address of the current source, empty for none. */
  private _sourceAddress = ''
  private _lastCurrentBeatMs = -Infinity
  private _isConfirmed = false
  private _minReadyVersion: ICatalogueVersion = NO_VERSION
  /** Address of the source that failed last, which is tried again only as the last choice. */
  private _failedAddress = ''
  private _isSwitchingToOwnZone = false
  /** Monotonic time since which there is no source, in milliseconds. */
  private _orphanedSinceMs: number
  private _orphanTimer: IDisposable | undefined

  /** Fires once a quorum has confirmed the version in the store, with the withdrawals at this node that were recorded before. */
  readonly onReady = this._onReady.event
  /** Fires when the source was lost and no other one was found in time. */
  readonly onOrphaned = this._onOrphaned.event

  constructor (private readonly _options: IFeedClientOptions) {
    this._finder = new SourceFinder(_options)
    this._reporter = this._disposables.add(new FeedReporter(_options, this))
    this._orphanedSinceMs = _options.clock.readMonotonicMs()
    this._backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, _options.random)
    this._disposables.add(toDisposable(() => {
      this._stopping.abort()
      this._orphanTimer?.dispose()
      this._stream?.end()
    }))
  }

  /** True once calls may be routed by the catalogue in the store. */
  get isReady (): boolean {
    return this._isConfirmed
  }

  /** Level in the distribution tree: 1 below a control VM, 2 below a relay, 0 without a source. */
  get level (): number {
    return this._level
  }

  /** Name of the current source, empty for none. */
  get source (): string {
    return this._source
  }

  /** True while the source reports that it holds the newest version. */
  get isCurrent (): boolean {
    return this._options.clock.readMonotonicMs() - this._lastCurrentBeatMs < NOT_CURRENT_TIMEOUT_MS
  }

  /** Starts the subscription and the reports to the source. */
  start (): void {
    void this._runSubscription()
    void this._runReports()
  }

  /**
   * Asks the source for a version that a quorum has confirmed after this call.
   * @param nodes - nodes whose recorded withdrawals are wanted
   * @returns the reply; not confirmed when no source answers
   */
  async confirm (nodes: readonly string[]): Promise<ConfirmReply> {
    const sourceReply = this._sourceAddress === '' ? undefined : await this._finder.confirmAt(this._sourceAddress, nodes)
    if (sourceReply?.confirmed === true) return sourceReply
    // The others are asked in parallel, so that the timeouts of those that are down do not add up.
    return await this._finder.confirmAny(this._listConfirmAddresses().filter(address => address !== this._sourceAddress), nodes)
  }

  dispose (): void {
    this._disposables.dispose()
  }

  private async _runSubscription (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      const ended = await this._followNextSource()
      if (ended.wasWelcomed) this._backoff.reset()
      if (ended.wasStable) continue
      await this._options.clock.sleep(this._backoff.computeNextMs(ended.retryAfterMs), this._stopping.signal)
    }
  }

  /** Tries sources until one accepts this node, and follows it until it ends. A source that is full names live relays. */
  private async _followNextSource (): Promise<ISubscriptionEnd> {
    let ended = NO_SUBSCRIPTION
    for await (const address of this._finder.listSources(this._failedAddress, this._relays)) {
      ended = await this._followFirstAvailable([address])
      if (!ended.wasWelcomed && ended.relays.length > 0) ended = await this._followFirstAvailable(this._finder.listRelays(this._relays))
      if (ended.wasWelcomed || this._stopping.signal.aborted) return ended
    }
    return ended
  }

  private async _followFirstAvailable (addresses: Iterable<string> | AsyncIterable<string>): Promise<ISubscriptionEnd> {
    let ended = NO_SUBSCRIPTION
    for await (const address of addresses) {
      ended = await this._follow(address, this._pickLevel(address))
      this._rememberRelays(ended.relays)
      if (ended.wasWelcomed || this._stopping.signal.aborted) return ended
    }
    return ended
  }

  private _pickLevel (address: string): number {
    if (this._options.isMesh) return MESH_LEVEL
    return this._options.directory.hasAddress(address) ? RELAY_LEVEL : LEAF_LEVEL
  }

  private _rememberRelays (relays: readonly string[]): void {
    if (this._options.isMesh) return
    const others = [...relays, ...this._relays].filter(address => address !== this._options.feedAddress)
    this._relays = [...new Set(others)].slice(0, MAX_KNOWN_RELAYS)
  }

  private async _follow (address: string, level: number): Promise<ISubscriptionEnd> {
    const { channels, store, clock } = this._options
    let isWelcomed = false
    let redirect: { relays: readonly string[], retryAfterMs: number } = { relays: [], retryAfterMs: 0 }
    const stream: FeedStream = channels.getClient(FeedService, address).subscribe()
    stream.on('error', () => undefined)
    stream.write({
      frame: {
        $case: 'hello',
        value: {
          node: this._options.node,
          incarnation: this._options.incarnation,
          region: this._options.region,
          availabilityZone: this._options.availabilityZone,
          feedAddress: this._options.feedAddress,
          held: { ...store.version },
          digest: store.digest,
          level
        }
      }
    })
    const startedMs = clock.readMonotonicMs()
    let lastHeardMs = startedMs
    const watch = this._startStallWatch(stream, address, () => lastHeardMs)
    try {
      for await (const { frame } of stream as AsyncIterable<FeedDown>) {
        switch (frame?.$case) {
          case 'welcome':
            lastHeardMs = clock.readMonotonicMs()
            isWelcomed = true
            this._joinSource(stream, address, level, frame.value.source, frame.value.relays)
            break
          case 'redirect':
            redirect = frame.value
            this._options.log.info(isWelcomed ? 'feed_left' : 'feed_refused', { source: address, reason: frame.value.reason })
            break
          case 'catalogue':
            this._applyCatalogue(frame.value)
            break
          case 'endpoints':
            this._options.endpoints.merge(frame.value.records, this)
            if (frame.value.full) this._expireUnconfirmedEndpoints(frame.value.records)
            break
          case 'members':
            this._learnMembers(stream, address, frame.value.members)
            break
          case 'beat':
            this._checkSourceVersion(frame.value.version ?? NO_VERSION)
            lastHeardMs = clock.readMonotonicMs()
            if (frame.value.current) this._lastCurrentBeatMs = lastHeardMs
        }
        if (redirect.relays.length > 0 || redirect.retryAfterMs > 0) break
      }
    } catch (error) {
      this._options.metrics.count('feed_source_left_total', error instanceof FeedError ? 'refused' : 'broken')
      this._options.log.warn(isWelcomed ? 'feed_lost' : 'feed_not_joined', { source: address, error: formatError(error) })
    }
    watch.dispose()
    stream.cancel()
    if (this._stream === stream) this._leaveSource()
    this._failedAddress = this._isSwitchingToOwnZone ? '' : address
    this._isSwitchingToOwnZone = false
    return { ...redirect, wasWelcomed: isWelcomed, wasStable: isWelcomed && clock.readMonotonicMs() - startedMs >= MIN_STABLE_MS }
  }

  /** A link of the mesh belongs to one control VM and never switches to another. */
  private _learnMembers (stream: FeedStream, address: string, members: readonly ControlMember[]): void {
    if (this._options.isMesh) return
    this._options.directory.setMembers(members)
    this._scheduleSwitchToOwnZone(stream, address)
  }

  /**
   * Avoids control traffic between availability zones where the own one has a control VM. A node below a relay stays
   * there, since the control VMs that named the relay had no free stream.
   */
  private _scheduleSwitchToOwnZone (stream: FeedStream, address: string): void {
    const { directory, clock } = this._options
    if (!directory.hasAddress(address)) return
    const hasControlInOwnZone = directory.listAddresses().some(other => other !== this._failedAddress && this._finder.isInOwnZone(other))
    if (this._finder.isInOwnZone(address) || !hasControlInOwnZone) return
    const delayMs = this._isConfirmed ? OWN_ZONE_SWITCH_DELAY_MS : OWN_ZONE_SWITCH_DELAY_AT_START_MS
    this._disposables.add(clock.schedule(delayMs, () => { void this._switchToOwnZone(stream) }))
  }

  /** Leaves the current source only after a control VM in the own availability zone has confirmed a version. */
  private async _switchToOwnZone (stream: FeedStream): Promise<void> {
    const addressInOwnZone = this._finder.pickInOwnZone()
    const reply = addressInOwnZone === undefined ? undefined : await this._finder.confirmAt(addressInOwnZone)
    if (this._stream !== stream) return
    if (reply?.confirmed !== true) {
      this._disposables.add(this._options.clock.schedule(OWN_ZONE_SWITCH_DELAY_MS, () => { void this._switchToOwnZone(stream) }))
      return
    }
    this._isSwitchingToOwnZone = true
    stream.cancel()
  }

  private _startStallWatch (stream: FeedStream, address: string, getLastHeardMs: () => number): IDisposable {
    const { clock, metrics } = this._options
    const watchAbort = new AbortController()
    void (async () => {
      while (!watchAbort.signal.aborted) {
        await clock.waitTick(WATCH_INTERVAL_MS)
        if (watchAbort.signal.aborted) return
        const nowMs = clock.readMonotonicMs()
        const isStalled = nowMs - getLastHeardMs() >= (this._stream === stream ? STALL_TIMEOUT_MS : WELCOME_TIMEOUT_MS)
        const isNotCurrent = this._stream === stream && nowMs - this._lastCurrentBeatMs >= NOT_CURRENT_TIMEOUT_MS
        if (!isStalled && !isNotCurrent) continue
        metrics.count('feed_source_left_total', isStalled ? 'stalled' : 'not-current')
        stream.cancel()
        // The connection may be dead, so the next attempt must open another one.
        if (isStalled) this._options.channels.closeClient(FeedService, address)
        return
      }
    })()
    return toDisposable(() => watchAbort.abort())
  }

  private _joinSource (stream: FeedStream, address: string, level: number, source: string, relays: readonly string[]): void {
    this._stream = stream
    this._orphanTimer?.dispose()
    this._sourceAddress = address
    this._level = level
    this._source = source
    this._lastCurrentBeatMs = this._options.clock.readMonotonicMs()
    this._rememberRelays(relays)
    this._options.log.info('feed_joined', {
      source,
      feed_level: level,
      orphaned_ms: Math.round(this._lastCurrentBeatMs - this._orphanedSinceMs),
      held: this._options.store.version.version
    })
    this._reporter.open(stream, this._options.isMesh || level === RELAY_LEVEL)
    void this._confirmCatalogue()
  }

  private _leaveSource (): void {
    this._stream = undefined
    this._reporter.close()
    this._orphanedSinceMs = this._options.clock.readMonotonicMs()
    this._orphanTimer = this._options.clock.schedule(ORPHAN_DELAY_MS, () => this._onOrphaned.fire())
    this._sourceAddress = ''
    this._level = 0
    this._source = ''
  }

  private _applyCatalogue (delta: Parameters<CatalogueStore['applyDelta']>[0]): void {
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

  private _checkSourceVersion (version: ICatalogueVersion): void {
    if (compareVersions(version, this._options.store.version) >= 0) return
    throw new FeedError('the source holds an older version', 'choose another source')
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
      if (this._stream !== undefined && !this._isConfirmed) void this._confirmCatalogue()
    }
  }

  private _listConfirmAddresses (): string[] {
    const controlAddresses = this._finder.shuffle(this._options.directory.listAddresses())
    return this._level === LEAF_LEVEL ? [...this._relays.slice(0, 2), ...controlAddresses] : controlAddresses
  }
}
