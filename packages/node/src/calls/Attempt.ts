/**
 * One attempt of a call on one target.
 */
import type { ICallContext } from './CallContext.js'
import type { ICallEvents, ICallFailure, ICallHandle, ITargetLoad } from './CallTypes.js'
import type { ICompiledRoute } from '../routing/RouteTable.js'
import type { ITargetState } from '../routing/TargetPool.js'

const FIRST_SERVER_ERROR = 500
/** Calls after which the latency of a target is taken as its usual one. */
const WARM_CALLS = 50
/** Reasons for which the target itself is not to blame. */
const NEUTRAL_REASONS = new Set(['queue-full', 'shed', 'deadline-queue', 'draining', 'cancelled', 'no-target'])

/** Passes events on and notes the outcome of the attempt once. */
export class Attempt implements ICallEvents {
  private readonly _startedMs: number
  private _isNoted = false
  private _isWarm = false
  private _hasEnded = false
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
    this._note(status >= FIRST_SERVER_ERROR ? 'failed' : 'good')
    this._events.onHead(status, headers, load)
  }

  onData (chunk: Buffer): void {
    if (!this._hasEnded) this._events.onData(chunk)
  }

  onEnd (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    this._events.onEnd()
  }

  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void {
    if (this._hasEnded) return
    this._hasEnded = true
    if (load !== undefined) this._context.pool.recordLoad(this.target, load)
    if (failure.reason === 'unreachable' || failure.reason === 'connect') {
      this._context.pool.ejectUnreachable(this.target)
    }
    this._note(NEUTRAL_REASONS.has(failure.reason) ? 'neutral' : 'failed')
    this._events.onFailure(failure, load)
  }

  onBodyDrain (): void {
    if (!this._hasEnded) this._events.onBodyDrain()
  }

  /** Gives up the attempt; no event follows. */
  cancel (): void {
    if (this._hasEnded) return
    this._hasEnded = true
    this._note('neutral')
    this.handle?.cancel()
  }

  private _note (outcome: 'good' | 'failed' | 'neutral'): void {
    if (this._isNoted) return
    this._isNoted = true
    const latencyMs = this._context.clock.readMonotonicMs() - this._startedMs
    this._context.pool.recordEnd(this.target, outcome, latencyMs)
    if (outcome === 'neutral') return
    const { service, version, targetId } = this.target.record
    this._context.evidence.record(service, version, this._route.key, targetId, outcome === 'failed',
      this._isWarm ? latencyMs : undefined)
  }
}
