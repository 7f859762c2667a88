/**
 * The receiving side of the feed: finds a source, follows it, and leaves it when it fails.
 */
import {
  Backoff, DisposableStore, Emitter, FeedError, NO_VERSION, compareVersions, formatError, toDisposable,
  type ICatalogueVersion, type IDisposable, type ILog, type IRandom, type Metrics
} from '@lagoonswitch/common'
import {
  FeedClient as FeedService,
  type ConfirmReply, type ControlMember, type EndpointRecord, type FeedDown
} from '@lagoonswitch/schema'
import type { PeerChannels } from '@lagoonswitch/transport'
import type { CatalogueStore } from './CatalogueStore.js'
import type { ControlDirectory } from './ControlDirectory.js'
import { FeedReporter, type FeedStream, type IFeedReporterOptions } from './FeedReporter.js'
import { LEAF_LEVEL, MESH_LEVEL, RELAY_LEVEL } from './FeedHub.js'
import { SourceFinder } from './SourceFinder.js'

/** Silence of a source after which it is left, two of its beats; half of the 2 s in which a change must be in force. */
const STALL_MS = 1_000
/** A source that was followed for so long is replaced without a wait, so that a loss costs no more than the search. */
const STEADY_MS = 1_000
/** Longest wait for the welcome of a source. */
const WELCOME_MS = 1_000
/** Time without a current source after which a node looks for another one. */
const ORPHAN_MS = 1_500
/** Interval of looking for both. */
const WATCH_MS = 250
/** Time of a search without success after which those that are fed from here look for a source of their own. */
const SEARCH_MS = 300
/** Interval of evidence, a part of the time in which a move must be decided. */
const EVIDENCE_MS = 250
/** Time after which a source that isn't near is left for one that is; longer while calls depend on it. */
const NEARER_AT_START_MS = 100
const NEARER_MS = 2_000
const BACKOFF_BASE_MS = 100
const BACKOFF_MAX_MS = 500
const UNCONFIRMED_MS = 30_000
/** Relays that are remembered, which are all asked when no control VM answers. */
const MAX_KNOWN_RELAYS = 8
/** A round in which no source answered. */
const NOT_FED: IEnded = { wasWelcome: false, wasSteady: false, relays: [], retryAfterMs: 0 }

/** What a subscriber needs to know of its process. */
export interface IFeedClientOptions extends IFeedReporterOptions {
  readonly region: string
  readonly availabilityZone: string
  /** Address at which this process serves the feed to others; empty when it doesn't. */
  readonly feedAddress: string
  readonly incarnation: number
  /** The control VMs that are known. */
  readonly directory: ControlDirectory
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: PeerChannels
}

/** Why a subscription ended, and where to go next. */
interface IEnded {
  readonly wasWelcome: boolean
  /** The source was followed for long enough that its end shows no fault of this node. */
  readonly wasSteady: boolean
  readonly relays: readonly string[]
  readonly retryAfterMs: number
}

/** Follows one source at a time. */
export class FeedClient implements IDisposable {
  private readonly _store = new DisposableStore()
  private readonly _stopping = new AbortController()
  private readonly _onReady = new Emitter<void>()
  private readonly _onOrphaned = new Emitter<void>()
  private readonly _backoff: Backoff
  private readonly _finder: SourceFinder
  private readonly _reporter: FeedReporter
  private _relays: string[] = []
  private _stream: FeedStream | undefined
  private _level = 0
  private _source = ''
  /** Address of the source followed now, empty for none. */
  private _address = ''
  private _lastBeatMs = -Infinity
  private _isConfirmed = false
  private _floor: ICatalogueVersion = NO_VERSION
  /** Control VM that was left or didn't answer last, which is not tried again at once. */
  private _failedAddress = ''
  private _isMovingNearer = false
  /** Since when no source is followed. */
  private _orphanedMs: number
  private _orphanTimer: IDisposable | undefined

  /** Fires once the first version is confirmed by a quorum. */
  readonly onReady = this._onReady.event
  /** Fires when a source was lost and no other one was found for a moment. */
  readonly onOrphaned = this._onOrphaned.event

  constructor (private readonly _options: IFeedClientOptions) {
    this._finder = new SourceFinder(_options)
    this._reporter = this._store.add(new FeedReporter(_options, this))
    this._orphanedMs = _options.clock.readMonotonicMs()
    this._backoff = new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, _options.random)
    this._store.add(toDisposable(() => {
      this._stopping.abort()
      this._orphanTimer?.dispose()
      this._stream?.end()
    }))
  }

  /** True once calls may be routed by the catalogue held here. */
  get isReady (): boolean {
    return this._isConfirmed
  }

  /** Level in the tree: 1 when fed by a control VM, 2 when fed by a relay, 0 when not fed. */
  get level (): number {
    return this._level
  }

  /** Name of the source followed now. */
  get source (): string {
    return this._source
  }

  /** True while the source shows that it holds the newest version. */
  get isCurrent (): boolean {
    return this._options.clock.readMonotonicMs() - this._lastBeatMs < ORPHAN_MS
  }

  /** Starts the subscription and the reports. */
  start (): void {
    void this._runSubscription()
    void this._runReports()
  }

  /**
   * Asks the source for a version that a quorum has confirmed after this call.
   * @returns the reply; not confirmed when no source answers
   */
  async confirm (): Promise<ConfirmReply> {
    const own = this._address === '' ? undefined : await this._finder.confirmAt(this._address)
    if (own?.confirmed === true) return own
    // The others are asked at once, so that those that are down cost no time one after the other.
    const others = this._listSources().filter(address => address !== this._address)
    return await this._finder.confirmAny(others)
  }

  dispose (): void {
    this._store.dispose()
  }

  private async _runSubscription (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      const ended = await this._runRound()
      if (ended.wasWelcome) this._backoff.reset()
      if (ended.wasSteady) continue
      await this._options.clock.sleep(this._backoff.computeNextMs(ended.retryAfterMs), this._stopping.signal)
    }
  }

  /** Asks sources until one takes this node, and follows it to its end. One that is full names others that live. */
  private async _runRound (): Promise<IEnded> {
    let ended = NOT_FED
    for await (const address of this._finder.listSources(this._failedAddress, this._relays)) {
      ended = await this._followFirst([address])
      if (!ended.wasWelcome && ended.relays.length > 0) ended = await this._followFirst(this._finder.listRelays(this._relays))
      if (ended.wasWelcome || this._stopping.signal.aborted) return ended
    }
    return ended
  }

  private async _followFirst (addresses: Iterable<string> | AsyncIterable<string>): Promise<IEnded> {
    let ended = NOT_FED
    for await (const address of addresses) {
      ended = await this._follow(address, this._pickLevel(address))
      this._rememberRelays(ended.relays)
      if (ended.wasWelcome || this._stopping.signal.aborted) return ended
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

  private async _follow (address: string, level: number): Promise<IEnded> {
    const { channels, store, clock } = this._options
    let wasWelcome = false
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
    let heardMs = startedMs
    const watch = this._startStallWatch(stream, address, () => heardMs)
    try {
      for await (const { frame } of stream as AsyncIterable<FeedDown>) {
        switch (frame?.$case) {
          case 'welcome':
            heardMs = clock.readMonotonicMs()
            wasWelcome = true
            this._enter(stream, address, level, frame.value.source, frame.value.relays)
            break
          case 'redirect':
            redirect = frame.value
            this._options.log.info(wasWelcome ? 'feed_left' : 'feed_refused', { source: address, reason: frame.value.reason })
            break
          case 'catalogue':
            this._applyCatalogue(frame.value)
            break
          case 'endpoints':
            this._options.endpoints.merge(frame.value.records, this)
            if (frame.value.full) this._startConfirmation(frame.value.records)
            break
          case 'members':
            this._learnMembers(stream, address, frame.value.members)
            break
          case 'beat':
            this._checkBeat(frame.value.version ?? NO_VERSION)
            heardMs = clock.readMonotonicMs()
            if (frame.value.current) this._lastBeatMs = heardMs
        }
        if (redirect.relays.length > 0 || redirect.retryAfterMs > 0) break
      }
    } catch (error) {
      this._options.metrics.count('feed_source_left_total', error instanceof FeedError ? 'refused' : 'broken')
      this._options.log.warn(wasWelcome ? 'feed_lost' : 'feed_not_joined', { source: address, error: formatError(error) })
    }
    watch.dispose()
    stream.cancel()
    if (this._stream === stream) this._leave()
    this._failedAddress = this._isMovingNearer ? '' : address
    this._isMovingNearer = false
    return { ...redirect, wasWelcome, wasSteady: wasWelcome && clock.readMonotonicMs() - startedMs >= STEADY_MS }
  }

  /** A link of the mesh stays with the one control VM that it is for. */
  private _learnMembers (stream: FeedStream, address: string, members: readonly ControlMember[]): void {
    if (this._options.isMesh) return
    this._options.directory.setMembers(members)
    this._scheduleNearer(stream, address)
  }

  /**
   * Control traffic between availability zones is avoided where a control VM is near. A node that is fed by a relay stays
   * there: it came from control VMs that had no stream for it.
   */
  private _scheduleNearer (stream: FeedStream, address: string): void {
    const { directory, clock } = this._options
    if (!directory.hasAddress(address)) return
    const hasNearer = directory.listAddresses().some(other => other !== this._failedAddress && this._finder.isNear(other))
    if (this._finder.isNear(address) || !hasNearer) return
    const delayMs = this._isConfirmed ? NEARER_MS : NEARER_AT_START_MS
    this._store.add(clock.schedule(delayMs, () => { void this._moveNearer(stream) }))
  }

  /** The present source is left only once a nearer one has answered. */
  private async _moveNearer (stream: FeedStream): Promise<void> {
    const near = this._finder.pickNear()
    const reply = near === undefined ? undefined : await this._finder.confirmAt(near)
    if (this._stream !== stream) return
    if (reply?.confirmed !== true) {
      this._store.add(this._options.clock.schedule(NEARER_MS, () => { void this._moveNearer(stream) }))
      return
    }
    this._isMovingNearer = true
    stream.cancel()
  }

  private _startStallWatch (stream: FeedStream, address: string, getHeardMs: () => number): IDisposable {
    const { clock, metrics } = this._options
    const ended = new AbortController()
    void (async () => {
      while (!ended.signal.aborted) {
        await clock.waitTick(WATCH_MS)
        if (ended.signal.aborted) return
        const nowMs = clock.readMonotonicMs()
        const isStalled = nowMs - getHeardMs() >= (this._stream === stream ? STALL_MS : WELCOME_MS)
        const isOrphan = this._stream === stream && nowMs - this._lastBeatMs >= ORPHAN_MS
        if (!isStalled && !isOrphan) continue
        metrics.count('feed_source_left_total', isStalled ? 'stalled' : 'not-current')
        stream.cancel()
        // The connection may have gone silent for good.
        if (isStalled) this._options.channels.closeClient(FeedService, address)
        return
      }
    })()
    return toDisposable(() => ended.abort())
  }

  private _enter (stream: FeedStream, address: string, level: number, source: string, relays: readonly string[]): void {
    this._stream = stream
    this._orphanTimer?.dispose()
    this._address = address
    this._level = level
    this._source = source
    this._lastBeatMs = this._options.clock.readMonotonicMs()
    this._rememberRelays(relays)
    this._options.log.info('feed_joined', {
      source,
      feed_level: level,
      orphaned_ms: Math.round(this._lastBeatMs - this._orphanedMs),
      held: this._options.store.version.version
    })
    this._reporter.open(stream, this._options.isMesh || level === RELAY_LEVEL)
    void this._confirmFirst()
  }

  private _leave (): void {
    this._stream = undefined
    this._reporter.close()
    this._orphanedMs = this._options.clock.readMonotonicMs()
    this._orphanTimer = this._options.clock.schedule(SEARCH_MS, () => this._onOrphaned.fire())
    this._address = ''
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

  private _checkBeat (version: ICatalogueVersion): void {
    if (compareVersions(version, this._options.store.version) >= 0) return
    throw new FeedError('the source holds an older version', 'choose another source')
  }

  /** Records that the source doesn't know are dropped when nobody has confirmed them after a while. */
  private _startConfirmation (records: readonly EndpointRecord[]): void {
    const { endpoints, clock } = this._options
    const known = new Set(records.map(record => record.targetId))
    const doubtful = endpoints.getRecords().filter(record => !known.has(record.targetId) && !this._reporter.isOwn(record))
    if (doubtful.length === 0) return
    this._store.add(clock.schedule(UNCONFIRMED_MS, () => {
      endpoints.remove(doubtful.filter(record => endpoints.getRecord(record.targetId) === record).map(record => record.targetId))
    }))
  }

  private async _confirmFirst (): Promise<void> {
    if (this._isConfirmed || this._options.isMesh) return
    const reply = await this.confirm()
    if (!reply.confirmed || this._isConfirmed) return
    this._floor = reply.version ?? NO_VERSION
    const finish = (): void => {
      const isBehind = compareVersions(this._options.store.version, this._floor) < 0
      if (this._isConfirmed || isBehind || this._options.store.version.epoch === 0) return
      this._isConfirmed = true
      watch.dispose()
      this._options.log.info('catalogue_confirmed', { version: this._options.store.version.version })
      this._onReady.fire()
    }
    const watch = this._store.add(this._options.store.onChanged(finish))
    finish()
  }

  private async _runReports (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      await this._options.clock.waitTick(EVIDENCE_MS)
      this._reporter.sendDue()
      if (this._stream !== undefined && !this._isConfirmed) void this._confirmFirst()
    }
  }

  private _listSources (): string[] {
    const controls = this._finder.shuffle(this._options.directory.listAddresses())
    return this._level === LEAF_LEVEL ? [...this._relays.slice(0, 2), ...controls] : controls
  }
}
