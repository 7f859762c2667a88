/**
 * Until when a process that is told to stop takes calls, lets them begin at a target, and waits for their ends.
 */

/** Part of the stop timeout after which no call is taken any more. */
const REFUSE_PART = 0.7
/** Part of the stop timeout for which a call may begin however long it takes; the rest is for its end. */
const BEGIN_PART = 0.5
/** Usual times that a call needs to end with near certainty: with times spread as TargetPool assumes, 1 in 1,500 takes longer. */
const NEEDED_FACTOR = 5
/** Kept at the end for the answers that are on their way, the listeners and the log, in milliseconds; a tenth of a short timeout. */
const RESERVE_MS = 200
const RESERVE_PART = 0.1
/** A new process is hardly ready sooner, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000

/** One planned stop; its times are milliseconds of the monotonic clock. */
export class PlannedStop {
  /** From then on all calls are refused, if not sooner. */
  readonly refuseAtMs: number
  /** What still runs then is cut. */
  readonly cutAtMs: number
  private readonly _anyUntilMs: number
  private _isRefusing = false

  /**
   * @param startedMs - when the stop began
   * @param timeoutMs - after which the process may be killed
   */
  constructor (readonly startedMs: number, timeoutMs: number) {
    this.refuseAtMs = startedMs + REFUSE_PART * timeoutMs
    this.cutAtMs = startedMs + timeoutMs - Math.min(RESERVE_MS, RESERVE_PART * timeoutMs)
    this._anyUntilMs = startedMs + BEGIN_PART * timeoutMs
  }

  /** True once new calls are refused. */
  get isRefusing (): boolean {
    return this._isRefusing
  }

  /** Takes no further calls. */
  refuseCalls (): void {
    this._isRefusing = true
  }

  /**
   * Tells until when a call may begin at a target, so that it ends before it would be cut.
   * @param expectedMs - usual time of the call at the target, 0 when unknown
   * @returns time of the monotonic clock
   */
  computeLatestBeginMs (expectedMs: number): number {
    if (expectedMs === 0) return this._anyUntilMs
    return Math.max(this._anyUntilMs, this.cutAtMs - NEEDED_FACTOR * expectedMs)
  }

  /**
   * @param nowMs - time of the monotonic clock
   * @returns time after which a caller may find a new process here, in milliseconds
   */
  computeRetryAfterMs (nowMs: number): number {
    return Math.max(MIN_RETRY_AFTER_MS, this.cutAtMs - nowMs)
  }
}
