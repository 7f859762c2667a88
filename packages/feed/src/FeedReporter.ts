/**
 * Reports of a subscriber to its source: the endpoints that it knows, evidence, and the version that it has applied.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { DisposableStore, type IClock, type IDisposable } from '@lagoonswitch/common'
import { EndpointState, type EndpointRecord, type EvidenceRecord, type FeedDown, type FeedUp } from '@lagoonswitch/schema'
import type { CatalogueStore } from './CatalogueStore.js'
import type { EndpointView } from './EndpointView.js'
import type { IFleetStatus } from './FeedHub.js'

/** Maximum time between two beats of a node whose version does not change. */
const MAX_BEAT_INTERVAL_MS = 5_000

/** The subscriber's end of a subscription. */
export type FeedStream = ClientDuplexStream<FeedUp, FeedDown>

/** Dependencies and identity of a reporter. */
export interface IFeedReporterOptions {
  readonly node: string
  /** True for a link between control VMs, which carries endpoints only. */
  readonly isMesh: boolean
  readonly clock: IClock
  readonly store: CatalogueStore
  readonly endpoints: EndpointView
  /** Returns the number of nodes and the lowest version among this process and the nodes below it. */
  readonly computeFleetStatus: () => IFleetStatus
  /** Returns the evidence collected since the last call. */
  readonly takeEvidence: () => EvidenceRecord[]
}

/** Reports to one source at a time. */
export class FeedReporter implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private _stream: FeedStream | undefined
  private _pendingEndpoints: EndpointRecord[] = []
  private _lastBeatMs = -Infinity

  /**
   * @param _options - dependencies and identity
   * @param origin - origin of the records that the source has sent, which are not sent back
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
   * Starts to report. Own records are sent with the next sequence, so that a late removal by another process cannot win.
   * @param stream - stream to the source
   * @param isForwarding - true when the records of other processes are reported as well
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

  /** Stops reporting until the next {@link open}. */
  close (): void {
    this._stream = undefined
  }

  /**
   * @param record - any record
   * @returns true when it is about a target of this process
   */
  isOwn (record: EndpointRecord): boolean {
    return record.node === this._options.node
  }

  /** Sends a beat if one is due, and the evidence collected so far. */
  sendDueReports (): void {
    if (this._stream === undefined) return
    if (this._options.clock.readMonotonicMs() - this._lastBeatMs >= MAX_BEAT_INTERVAL_MS) this.sendBeat()
    const records = this._options.takeEvidence()
    if (records.length > 0) this.send({ $case: 'evidence', value: { records } })
  }

  /** Reports the version that this process has applied. */
  sendBeat (): void {
    const { isMesh, clock, store, computeFleetStatus } = this._options
    if (isMesh) return
    this._lastBeatMs = clock.readMonotonicMs()
    const fleet = computeFleetStatus()
    this.send({ $case: 'beat', value: { applied: { ...store.version }, nodes: fleet.nodes, lowest: { ...fleet.lowest } } })
  }

  /**
   * Sends a frame, if there is a source.
   * @param frame - message
   */
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
