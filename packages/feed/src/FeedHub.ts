/**
 * Sending side of the feed: serves the subscribers of a control VM or a relay.
 */
import type { ServerDuplexStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import {
  DisposableStore, NO_VERSION, compareVersions, toDisposable,
  type ICatalogueVersion, type IClock, type IDisposable, type ILog, type IRandom, type Metrics
} from '@lagoonswitch/common'
import {
  EndpointState, type ConfirmReply, type ConfirmRequest, type EndpointRecord, type EvidenceRecord, type FeedDown, type FeedUp, type Hello
} from '@lagoonswitch/schema'
import { createUnaryHandler } from '@lagoonswitch/transport'
import type { CatalogueStore } from './CatalogueStore.js'
import type { ControlDirectory } from './ControlDirectory.js'
import { EndpointView } from './EndpointView.js'

/** Interval of the beats; below one level of relays the age of a catalogue stays under the 1 s from which on it counts as old. */
const BEAT_INTERVAL_MS = 250
/** Interval at which a source that is not current checks whether it is again. */
const RECOVERY_CHECK_INTERVAL_MS = 50
const HELLO_TIMEOUT_MS = 3_000
/** Time in which changes are collected for one message, and requests for one confirmation. */
const COALESCE_DELAY_MS = 20
/** Time in which the targets of a lost subscriber can be announced again through another source. */
const GONE_DELAY_MS = 3_000
/** Wait in addition to the node's own backoff after a refusal for any other reason than that this source is not current. */
const BUSY_RETRY_MS = 500
/** Wait in addition to the node's own backoff after a refusal by a source that is not current; shorter than an election. */
const NOT_CURRENT_RETRY_MS = 20
const MAX_LISTED_RELAYS = 8
const MIN_RELAYS_PER_ZONE = 2
/** Limit of the admissions from one beat to the next, not per second: there are four beats in a second. */
const MAX_ADMISSIONS_PER_BEAT = 100

/** Level of a link of the mesh between control VMs, which carries endpoints only. */
export const MESH_LEVEL = 0
/** Level of a subscriber of a control VM, which may be a relay. */
export const RELAY_LEVEL = 1
/** Level of a subscriber of a relay. */
export const LEAF_LEVEL = 2

/** Largest age that a beat states, in milliseconds. */
const MAX_AGE_MS = 2 ** 31

type DownFrame = FeedDown['frame']

/** Dependencies and limits of a hub. */
export interface IFeedHubOptions {
  readonly name: string
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly store: CatalogueStore
  readonly endpoints: EndpointView
  readonly maxStreams: number
  /** Level of the subscribers that this hub serves. */
  readonly subscriberLevel: number
  /** True while this process is known to hold the newest version. */
  readonly isCurrent: () => boolean
  /** Returns the time since the version in the store was known to be the newest, in milliseconds. */
  readonly getAgeMs: () => number
  /** Returns a version that a quorum has confirmed after the call, and the recorded withdrawals of targets beside some nodes. */
  readonly confirm: (nodes: readonly string[]) => Promise<ConfirmReply>
  /** The control VMs, sent to subscribers so that they find others when this one fails. */
  readonly directory: ControlDirectory
  /** Receives the evidence that subscribers report. */
  readonly onEvidence: (records: readonly EvidenceRecord[]) => void
}

/** Number of the nodes below a hub and the lowest version that they have applied. */
export interface IFleetStatus {
  readonly nodes: number
  readonly lowest: ICatalogueVersion
}

interface ISubscriber {
  readonly stream: ServerDuplexStream<FeedUp, FeedDown>
  hello: Hello | undefined
  sentVersion: ICatalogueVersion
  readonly pendingEndpoints: Map<string, EndpointRecord>
  /** Newest record of each target that this subscriber has announced. */
  readonly announced: EndpointView
  flushTimer: IDisposable | undefined
  fleet: IFleetStatus
}

/** Serves a bounded number of subscribers and redirects the others. */
export class FeedHub implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _subscribers = new Set<ISubscriber>()
  private readonly _seenZones = new Set<string>()
  private readonly _stopping = new AbortController()
  private _admittedSinceBeat = 0
  private _nextConfirmation: { readonly nodes: Set<string>, readonly reply: Promise<ConfirmReply> } | undefined
  private _isDraining = false

  constructor (private readonly _options: IFeedHubOptions) {
    this._disposables.add(_options.store.onChanged(() => this._handleCatalogueChange()))
    this._disposables.add(_options.endpoints.onChanged(({ records, origin }) => this._queueEndpoints(records, origin)))
    this._disposables.add(_options.directory.onChanged(() => {
      for (const subscriber of this._subscribers) this._sendMembers(subscriber)
    }))
    this._disposables.add(toDisposable(() => this._stopping.abort()))
    void this._runBeats()
  }

  /** @returns handlers of the feed service for a gRPC server */
  createHandlers (): UntypedServiceImplementation {
    return {
      subscribe: (stream: ServerDuplexStream<FeedUp, FeedDown>) => { void this._serve(stream) },
      confirm: createUnaryHandler(async ({ nodes }: ConfirmRequest) => await this._confirmShared(nodes))
    }
  }

  /** @returns number of subscribers */
  getStreamCount (): number {
    return this._subscribers.size
  }

  /**
   * Lists relays below this hub, those nearest to a node first, in random order at equal distance.
   * @param requester - the node that looks for a relay, if known
   * @returns feed addresses, a bounded number
   */
  listRelays (requester: Hello | undefined): string[] {
    const relays: Array<{ address: string, distance: number }> = []
    for (const { hello } of this._subscribers) {
      if (hello?.level !== RELAY_LEVEL || hello.feedAddress === '') continue
      const distance = hello.availabilityZone === requester?.availabilityZone ? 0 : hello.region === requester?.region ? 1 : 2
      relays.push({ address: hello.feedAddress, distance: distance + this._options.random.draw() })
    }
    relays.sort((a, b) => a.distance - b.distance)
    return relays.slice(0, MAX_LISTED_RELAYS).map(relay => relay.address)
  }

  /** @returns number of nodes below this hub and the lowest version among them */
  computeFleetStatus (): IFleetStatus {
    let nodes = 0
    let lowest: ICatalogueVersion | undefined
    for (const { fleet, hello } of this._subscribers) {
      if (hello === undefined || hello.level === MESH_LEVEL || fleet.nodes === 0) continue
      nodes += fleet.nodes
      if (lowest === undefined || compareVersions(fleet.lowest, lowest) < 0) lowest = fleet.lowest
    }
    return { nodes, lowest: lowest ?? NO_VERSION }
  }

  /** Refuses new subscribers and redirects the current ones. */
  drain (): void {
    this._isDraining = true
    this._redirectSubscribers('draining')
  }

  /** Redirects all subscribers because this process has lost its source; they may subscribe again. */
  redirectAll (): void {
    this._redirectSubscribers('orphaned')
  }

  dispose (): void {
    for (const subscriber of this._subscribers) subscriber.stream.end()
    this._disposables.dispose()
  }

  private async _serve (stream: ServerDuplexStream<FeedUp, FeedDown>): Promise<void> {
    const subscriber: ISubscriber = {
      stream,
      hello: undefined,
      sentVersion: NO_VERSION,
      pendingEndpoints: new Map(),
      announced: new EndpointView(),
      flushTimer: undefined,
      fleet: { nodes: 0, lowest: NO_VERSION }
    }
    stream.on('error', () => undefined)
    const helloTimer = this._options.clock.schedule(HELLO_TIMEOUT_MS, () => {
      if (subscriber.hello === undefined) stream.end()
    })
    try {
      for await (const message of stream as AsyncIterable<FeedUp>) {
        this._handleFrame(subscriber, message)
      }
    } catch {
      // The stream broke; the cleanup below is the same as after a regular end.
    }
    helloTimer.dispose()
    this._remove(subscriber)
  }

  private _handleFrame (subscriber: ISubscriber, message: FeedUp): void {
    const { frame } = message
    switch (frame?.$case) {
      case 'hello':
        this._admit(subscriber, frame.value)
        return
      case 'endpoints':
        if (!this._subscribers.has(subscriber)) return
        subscriber.announced.merge(frame.value.records)
        this._options.endpoints.merge(frame.value.records, subscriber)
        return
      case 'evidence':
        this._options.onEvidence(frame.value.records)
        return
      case 'beat':
        subscriber.fleet = { nodes: frame.value.nodes, lowest: frame.value.lowest ?? NO_VERSION }
        return
      case 'badVersion':
        this._options.metrics.count('feed_bad_versions_total', 'reported')
        this._options.log.error('bad_version', { node: frame.value.node, reason: frame.value.reason })
    }
  }

  private _admit (subscriber: ISubscriber, hello: Hello): void {
    const refusal = this._findRefusal(hello)
    if (refusal !== undefined) {
      this._options.metrics.count('feed_refusals_total', refusal)
      this._redirect(subscriber, hello, refusal, refusal === 'not-current' ? NOT_CURRENT_RETRY_MS : BUSY_RETRY_MS)
      return
    }
    this._admittedSinceBeat++
    subscriber.hello = hello
    const held = hello.held ?? NO_VERSION
    const isSame = compareVersions(held, this._options.store.version) === 0 &&
      this._options.store.digest.equals(hello.digest)
    subscriber.sentVersion = isSame || compareVersions(held, this._options.store.version) < 0 ? held : NO_VERSION
    this._subscribers.add(subscriber)
    this._send(subscriber, {
      $case: 'welcome',
      value: { source: this._options.name, level: hello.level, relays: this.listRelays(hello) }
    })
    this._sendMembers(subscriber)
    this._sendBeat(subscriber)
    this._send(subscriber, {
      $case: 'endpoints',
      // A node also gets its own targets that were marked as gone, so that it can announce them again.
      value: { full: true, records: this._options.endpoints.getRecords().filter(record => isLive(record) || record.node === hello.node) }
    })
  }

  private _findRefusal (hello: Hello): string | undefined {
    const { store, isCurrent, maxStreams, subscriberLevel } = this._options
    if (this._isDraining) return 'draining'
    if (hello.level !== MESH_LEVEL) {
      if (hello.level !== subscriberLevel) return 'level'
      if (!isCurrent()) return 'not-current'
      if (compareVersions(hello.held ?? NO_VERSION, store.version) > 0) return 'behind'
      if (this._subscribers.size >= maxStreams || this._isZoneFull(hello)) return 'full'
    }
    if (this._admittedSinceBeat >= MAX_ADMISSIONS_PER_BEAT) return 'storm'
    return undefined
  }

  /** Limits the relays per availability zone, so that they are spread over all zones seen so far. */
  private _isZoneFull (hello: Hello): boolean {
    if (hello.level !== RELAY_LEVEL) return false
    this._seenZones.add(hello.availabilityZone)
    const limit = Math.max(MIN_RELAYS_PER_ZONE, Math.ceil(this._options.maxStreams / this._seenZones.size))
    let count = 0
    for (const subscriber of this._subscribers) {
      if (subscriber.hello?.availabilityZone === hello.availabilityZone) count++
    }
    return count >= limit
  }

  private _redirect (subscriber: ISubscriber, requester: Hello | undefined, reason: string, retryAfterMs: number): void {
    this._send(subscriber, { $case: 'redirect', value: { relays: this.listRelays(requester), retryAfterMs, reason } })
    subscriber.stream.end()
  }

  private _redirectSubscribers (reason: string): void {
    for (const subscriber of this._subscribers) this._redirect(subscriber, subscriber.hello, reason, 0)
  }

  private _remove (subscriber: ISubscriber): void {
    subscriber.flushTimer?.dispose()
    subscriber.stream.end()
    if (!this._subscribers.delete(subscriber)) return
    // A target with a newer record than these has been announced through another connection.
    const lostRecords = subscriber.announced.getRecords()
    if (lostRecords.length === 0) return
    this._disposables.add(this._options.clock.schedule(GONE_DELAY_MS, () => this._options.endpoints.markGone(lostRecords)))
  }

  private _handleCatalogueChange (): void {
    for (const subscriber of this._subscribers) this._scheduleFlush(subscriber)
  }

  private _queueEndpoints (records: readonly EndpointRecord[], origin: object | undefined): void {
    for (const subscriber of this._subscribers) {
      if (subscriber === origin) continue
      for (const record of records) subscriber.pendingEndpoints.set(record.targetId, record)
      this._scheduleFlush(subscriber)
    }
  }

  /** Collects changes for a moment, to send them in one message. */
  private _scheduleFlush (subscriber: ISubscriber): void {
    subscriber.flushTimer ??= this._options.clock.schedule(COALESCE_DELAY_MS, () => {
      subscriber.flushTimer = undefined
      this._sendCatalogue(subscriber)
      if (subscriber.pendingEndpoints.size === 0) return
      const records = [...subscriber.pendingEndpoints.values()]
      subscriber.pendingEndpoints.clear()
      this._send(subscriber, { $case: 'endpoints', value: { full: false, records } })
    })
  }

  private _sendMembers (subscriber: ISubscriber): void {
    const { directory } = this._options
    const members = directory.listAddresses().flatMap(address => {
      const availabilityZone = directory.getZone(address)
      return availabilityZone === undefined ? [] : [{ address, availabilityZone }]
    })
    if (members.length > 0) this._send(subscriber, { $case: 'members', value: { members } })
  }

  private _sendCatalogue (subscriber: ISubscriber): void {
    if (subscriber.hello?.level === MESH_LEVEL) return
    const delta = this._options.store.computeDelta(subscriber.sentVersion)
    if (delta === undefined) return
    subscriber.sentVersion = this._options.store.version
    this._send(subscriber, { $case: 'catalogue', value: delta })
  }

  private _send (subscriber: ISubscriber, frame: DownFrame): void {
    if (!subscriber.stream.writable) return
    subscriber.stream.write({ frame })
  }

  private async _runBeats (): Promise<void> {
    const { clock, isCurrent } = this._options
    while (!this._stopping.signal.aborted) {
      await clock.waitTick(BEAT_INTERVAL_MS)
      this._admittedSinceBeat = 0
      for (const subscriber of this._subscribers) this._sendBeat(subscriber)
      if (this._subscribers.size > 0 && !isCurrent()) await this._sendBeatsOnRecovery()
    }
  }

  /** Tells subscribers at once when this process is current again, so that they do not seek other sources. */
  private async _sendBeatsOnRecovery (): Promise<void> {
    const { clock, isCurrent } = this._options
    const endMs = clock.readMonotonicMs() + BEAT_INTERVAL_MS - RECOVERY_CHECK_INTERVAL_MS
    while (!isCurrent() && clock.readMonotonicMs() < endMs) await clock.waitTick(RECOVERY_CHECK_INTERVAL_MS)
    if (!isCurrent()) return
    for (const subscriber of this._subscribers) this._sendBeat(subscriber)
  }

  /** Sends what the beat states to be the newest version first. */
  private _sendBeat (subscriber: ISubscriber): void {
    this._sendCatalogue(subscriber)
    const { store, isCurrent, getAgeMs } = this._options
    const ageMs = Math.min(MAX_AGE_MS, Math.ceil(getAgeMs()))
    this._send(subscriber, { $case: 'beat', value: { version: { ...store.version }, current: isCurrent(), ageMs } })
  }

  /** Requests share one confirmation, which begins after the last of them has arrived. */
  private async _confirmShared (nodes: readonly string[]): Promise<ConfirmReply> {
    // A relay that is not current would have to ask the control VMs, which the requesting node does itself.
    if (this._options.subscriberLevel === LEAF_LEVEL && !this._options.isCurrent()) {
      return { confirmed: false, version: undefined, message: 'this relay is not current', withdrawals: [] }
    }
    this._nextConfirmation ??= this._scheduleConfirmation()
    for (const node of nodes) this._nextConfirmation.nodes.add(node)
    const reply = await this._nextConfirmation.reply
    return { ...reply, withdrawals: reply.withdrawals.filter(({ node }) => nodes.includes(node)) }
  }

  private _scheduleConfirmation (): { nodes: Set<string>, reply: Promise<ConfirmReply> } {
    const nodes = new Set<string>()
    const reply = this._options.clock.sleep(COALESCE_DELAY_MS).then(async () => {
      this._nextConfirmation = undefined
      return await this._options.confirm([...nodes])
    })
    return { nodes, reply }
  }
}

function isLive (record: EndpointRecord): boolean {
  return record.state !== EndpointState.ENDPOINT_STATE_GONE
}
