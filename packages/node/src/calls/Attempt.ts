/**
 * One attempt of a call at one target.
 */
import type { ICallContext } from './CallContext.js'
import type { FailureReason, ICallEvents, ICallFailure, ICallHandle, ITargetLoad } from './CallTypes.js'
import type { IAwaitedAttempt } from '../moves/EvidenceCollector.js'
import type { ICompiledRoute } from '../routing/RouteTable.js'
import type { IPaceTicket, ITargetState } from '@lagoonswitch/traffic'

const MIN_SERVER_ERROR_STATUS = 500
/** Calls after which a target counts as warm even before its warm-up time is over. */
const WARMUP_CALLS = 50
/** Failures that are not the fault of the target. */
const NEUTRAL_REASONS = new Set<FailureReason>([
  'queue-full', 'shed', 'deadline-queue', 'draining', 'cancelled', 'no-target', 'no-spare', 'no-budget', 'needed-refused'
])
/** Failures that count against a target when targets are picked, but not against its version. */
const TARGET_ONLY_REASONS = new Set<FailureReason>(['target-busy', 'target-replaced', 'link-silent', 'link-lost', 'unreachable', 'hung'])

/** Forwards events and records the outcome of the attempt once. */
export class Attempt implements ICallEvents {
  private readonly _startedMs: number
  private _isOutcomeRecorded = false
  private _isTargetWarm: boolean
  private _hasEnded = false
  /** Set while the latency objective of the route can judge the attempt. */
  private readonly _awaited: IAwaitedAttempt | undefined
  private _bodyBytes = 0
  /** Time in the slot of the target until the response head, and the time at which the head arrived. */
  private _serviceMs = 0
  private _headReceivedMs = 0
  private readonly _pace: IPaceTicket
  handle: ICallHandle | undefined
  /** Length of the request body on a route with large ones, 0 on others. */
  requestBytes = 0

  constructor (
    private readonly _context: ICallContext,
    private readonly _route: ICompiledRoute,
    readonly target: ITargetState,
    private readonly _events: ICallEvents
  ) {
    this._startedMs = _context.clock.readMonotonicMs()
    this._isTargetWarm = target.isWarm(this._startedMs)
    // The time that a large body takes to arrive says nothing about the target.
    if (this._isTargetWarm && _route.objectiveMs > 0 && !_route.isBulkBody) {
      this._awaited = _context.evidence.awaitResponse(target.record, _route.key, this._startedMs + _route.objectiveMs)
    }
    _context.pool.recordStart(target)
    this._pace = _context.pace.recordSend(target.record.service, target.record.targetId, !_route.isBulkBody)
  }

  onHead (status: number, headers: readonly string[], load: ITargetLoad): void {
    if (this._hasEnded) return
    this._context.pool.recordLoad(this.target, load, this._route.key)
    this._isTargetWarm ||= load.served > WARMUP_CALLS
    this._serviceMs = load.serviceMs
    this._headReceivedMs = this._context.clock.readMonotonicMs()
    this._pace.recordFirstByte(load.serviceMs, this._context.pool.computeUsualMs(this.target, this._route.key))
    const isFailed = status >= MIN_SERVER_ERROR_STATUS
    if (!isFailed) this._context.pool.recordServiceTime(this.target, this._route.key, load.serviceMs)
    this._recordOutcome(isFailed ? 'failed' : 'good', true)
    this._events.onHead(status, headers, load)
  }

  onData (chunk: Buffer): void {
    if (this._hasEnded) return
    this._bodyBytes += chunk.length
    this._events.onData(chunk)
  }

  onEnd (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    const { clock, pool } = this._context
    pool.recordRunTime(this.target, this._route.key, this._serviceMs + clock.readMonotonicMs() - this._headReceivedMs)
    pool.recordResponseBytes(this._route.key, this._bodyBytes + this.requestBytes)
    this._events.onEnd()
  }

  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void {
    if (this._hasEnded) return
    this._hasEnded = true
    if (load !== undefined) this._context.pool.recordLoad(this.target, load, this._route.key)
    if (!failure.isNotRun) {
      const { clock, pool } = this._context
      pool.recordRunTime(this.target, this._route.key, clock.readMonotonicMs() - this._startedMs)
    }
    if (failure.reason === 'unreachable' || failure.reason === 'connect') {
      this._context.pool.ejectUnreachable(this.target)
    }
    this._context.pool.recordRefusal(this.target, failure.reason)
    // The sender of a large body was too slow, or the target had no slot.
    const isSenderLate = this._route.isBulkBody && failure.isNotRun && failure.reason === 'deadline'
    this._recordOutcome(isSenderLate || NEUTRAL_REASONS.has(failure.reason) ? 'neutral' : 'failed', !TARGET_ONLY_REASONS.has(failure.reason))
    this._events.onFailure(failure, load)
  }

  onBodyDrain (): void {
    if (!this._hasEnded) this._events.onBodyDrain()
  }

  /** Cancels the attempt; no event follows. */
  cancel (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    this._recordOutcome('neutral', false)
    this.handle?.cancel()
  }

  private _recordOutcome (outcome: 'good' | 'failed' | 'neutral', isVersionEvidence: boolean): void {
    if (this._isOutcomeRecorded) return
    this._isOutcomeRecorded = true
    this._pace.end()
    const elapsedMs = this._context.clock.readMonotonicMs() - this._startedMs
    const latencyMs = this._route.isBulkBody && this._serviceMs > 0 ? this._serviceMs : elapsedMs
    this._context.pool.recordEnd(this.target, outcome, latencyMs)
    this._context.metrics.getLatencyFamily('attempt_duration', 'target').record(this.target.record.targetId, latencyMs)
    this._context.metrics.count('attempts_total', outcome)
    const isEvidence = outcome !== 'neutral' && isVersionEvidence
    if (this._awaited !== undefined) this._context.evidence.recordResponse(this._awaited, isEvidence)
    if (!isEvidence) return
    const { service, version, targetId } = this.target.record
    this._context.evidence.recordOutcome(service, version, this._route.key, targetId, outcome === 'failed',
      this._isTargetWarm ? latencyMs : undefined)
  }
}
