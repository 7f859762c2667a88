/**
 * One attempt of a call on one target.
 */
import type { ICallContext } from './CallContext.js'
import type { FailureReason, ICallEvents, ICallFailure, ICallHandle, ITargetLoad } from './CallTypes.js'
import type { ICompiledRoute } from '../routing/RouteTable.js'
import type { ITargetState } from '../routing/TargetPool.js'

const FIRST_SERVER_ERROR = 500
/** Calls after which the latency of a target is taken as its usual one. */
const WARM_CALLS = 50
/** Reasons for which the target itself is not to blame. */
const NEUTRAL_REASONS = new Set<FailureReason>(['queue-full', 'shed', 'deadline-queue', 'draining', 'cancelled', 'no-target', 'no-spare', 'no-budget'])
/** Reasons that count against a target in the choice, but not against its version. */
const LOAD_REASONS = new Set<FailureReason>(['target-busy', 'target-replaced', 'link-silent', 'link-lost', 'unreachable'])

/** Passes events on and notes the outcome of the attempt once. */
export class Attempt implements ICallEvents {
  private readonly _startedMs: number
  private _isNoted = false
  private _isWarm = false
  private _hasEnded = false
  private _answerBytes = 0
  /** Time in the slot until the head, and when the head came. */
  private _serviceMs = 0
  private _headMs = 0
  handle: ICallHandle | undefined

  constructor (
    private readonly _context: ICallContext,
    private readonly _route: ICompiledRoute,
    readonly target: ITargetState,
    private readonly _events: ICallEvents
  ) {
    this._startedMs = _context.clock.readMonotonicMs()
    _context.pool.recordStart(target)
  }

  onHead (status: number, headers: readonly string[], load: ITargetLoad): void {
    if (this._hasEnded) return
    this._context.pool.recordLoad(this.target, load)
    this._isWarm = load.served > WARM_CALLS
    this._serviceMs = load.serviceMs
    this._headMs = this._context.clock.readMonotonicMs()
    const isFailed = status >= FIRST_SERVER_ERROR
    if (!isFailed) this._context.pool.recordService(this.target, this._route.key, load.serviceMs)
    this._note(isFailed ? 'failed' : 'good', true)
    this._events.onHead(status, headers, load)
  }

  onData (chunk: Buffer): void {
    if (this._hasEnded) return
    this._answerBytes += chunk.length
    this._events.onData(chunk)
  }

  onEnd (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    const { clock, pool } = this._context
    pool.recordRun(this.target, this._route.key, this._serviceMs + clock.readMonotonicMs() - this._headMs)
    pool.recordAnswerBytes(this._route.key, this._answerBytes)
    this._events.onEnd()
  }

  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void {
    if (this._hasEnded) return
    this._hasEnded = true
    if (load !== undefined) this._context.pool.recordLoad(this.target, load)
    if (!failure.isNotRun) {
      const { clock, pool } = this._context
      pool.recordRun(this.target, this._route.key, clock.readMonotonicMs() - this._startedMs)
    }
    if (failure.reason === 'unreachable' || failure.reason === 'connect') {
      this._context.pool.ejectUnreachable(this.target)
    }
    this._note(NEUTRAL_REASONS.has(failure.reason) ? 'neutral' : 'failed', !LOAD_REASONS.has(failure.reason))
    this._events.onFailure(failure, load)
  }

  onBodyDrain (): void {
    if (!this._hasEnded) this._events.onBodyDrain()
  }

  /** Gives up the attempt; no event follows. */
  cancel (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    this._note('neutral', false)
    this.handle?.cancel()
  }

  private _note (outcome: 'good' | 'failed' | 'neutral', isOfVersion: boolean): void {
    if (this._isNoted) return
    this._isNoted = true
    const latencyMs = this._context.clock.readMonotonicMs() - this._startedMs
    this._context.pool.recordEnd(this.target, outcome, latencyMs)
    this._context.metrics.getLatencies('attempt_duration', 'target').record(this.target.record.targetId, latencyMs)
    this._context.metrics.count('attempts_total', outcome)
    if (outcome === 'neutral' || !isOfVersion) return
    const { service, version, targetId } = this.target.record
    this._context.evidence.record(service, version, this._route.key, targetId, outcome === 'failed',
      this._isWarm ? latencyMs : undefined)
  }
}
