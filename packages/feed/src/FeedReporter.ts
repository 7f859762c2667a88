/**
 * What a subscriber tells its source: the endpoints that it knows, evidence, and the version that it applied.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { DisposableStore, type IClock, type IDisposable } from '@lagoonswitch/common'
import { EndpointState, type EndpointRecord, type EvidenceRecord, type FeedDown, type FeedUp } from '@lagoonswitch/schema'
import type { CatalogueStore } from './CatalogueStore.js'
import type { EndpointView } from './EndpointView.js'
import type { IFleetStatus } from './FeedHub.js'

/** Longest time between two beats of a node whose version has not changed. */
const MAX_BEAT_INTERVAL_MS = 5_000

/** A subscription, as its subscriber sees it. */
export type FeedStream = ClientDuplexStream<FeedUp, FeedDown>

/** What a reporter needs to know of its process. */
export interface IFeedReporterOptions {
  readonly node: string
  /** True for a link between control VMs, which carries endpoints only. */
  readonly isMesh: boolean
  readonly clock: IClock
  readonly store: CatalogueStore
  readonly endpoints: EndpointView
  /** Versions applied by this process and those below it. */
  readonly computeFleetStatus: () => IFleetStatus
  /** Takes the evidence collected since the last call. */
  readonly takeEvidence: () => EvidenceRecord[]
}

/** Reports to one source at a time. */
export class FeedReporter implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private _stream: FeedStream | undefined
  private _pendingEndpoints: EndpointRecord[] = []
  private _lastBeatMs = -Infinity

  /**
   * @param _options - of the process
   * @param origin - where records come from that the source has sent, which are not sent back
   */
  constructor (private readonly _options: IFeedReporterOptions, origin: object) {
    const { endpoints } = _options
    this._disposables.add(endpoints.onChanged(change => {
      if (change.origin === origin || change.origin === endpoints) return
      this._pendingEndpoints.push(...change.records)
      this._sendEndpoints()
    }))
  }

  /**
   * Begins to report. Own records are sent as newer ones, so that a late removal elsewhere can't win.
   * @param stream - to the source
   * @param isForwarding - true when the source learns the records of other processes from here as well
   */
  open (stream: FeedStream, isForwarding: boolean): void {
    const { endpoints } = this._options
    this._stream = stream
    this._pendingEndpoints = []
    const own = endpoints.getRecords().filter(record => this.isOwn(record) && record.state !== EndpointState.ENDPOINT_STATE_GONE)
    endpoints.merge(own.map(record => ({ ...record, sequence: record.sequence + 1 })))
    if (isForwarding) this._pendingEndpoints.push(...endpoints.getRecords().filter(record => !this.isOwn(record)))
    this._sendEndpoints()
  }

  /** Reports nothing until the next source. */
  close (): void {
    this._stream = undefined
  }

  /** @returns true for a record of a target of this process */
  isOwn (record: EndpointRecord): boolean {
    return record.node === this._options.node
  }

  /** Sends what is due. */
  sendDue (): void {
    if (this._stream === undefined) return
    if (this._options.clock.readMonotonicMs() - this._lastBeatMs >= MAX_BEAT_INTERVAL_MS) this.sendBeat()
    const records = this._options.takeEvidence()
    if (records.length > 0) this.send({ $case: 'evidence', value: { records } })
  }

  /** Tells the version that is in place. */
  sendBeat (): void {
    const { isMesh, clock, store, computeFleetStatus } = this._options
    if (isMesh) return
    this._lastBeatMs = clock.readMonotonicMs()
    const fleet = computeFleetStatus()
    this.send({ $case: 'beat', value: { applied: { ...store.version }, nodes: fleet.nodes, lowest: { ...fleet.lowest } } })
  }

  /** Sends one frame, if there is a source. */
  send (frame: FeedUp['frame']): void {
    if (this._stream?.writable === true) this._stream.write({ frame })
  }

  dispose (): void {
    this._disposables.dispose()
  }

  private _sendEndpoints (): void {
    if (this._stream === undefined || this._pendingEndpoints.length === 0) return
    const records = this._pendingEndpoints
    this._pendingEndpoints = []
    this.send({ $case: 'endpoints', value: { full: false, records } })
  }
}
