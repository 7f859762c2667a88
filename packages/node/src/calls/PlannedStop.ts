/**
 * Until when a process that is told to stop takes calls, lets them begin at a target, and waits for their ends.
 */
import { DEADLINE_GRACE_MS, LATE_MARGIN_MS } from './CallTypes.js'

/** Time after the deadline of a call until its caller has the answer. */
const ANSWER_MARGIN_MS = DEADLINE_GRACE_MS + LATE_MARGIN_MS
/** Part of the stop timeout after which no call is taken any more. */
const REFUSE_PART = 0.7
/** Part of the stop timeout for which a call may begin however long it takes; the rest is for its end. */
const BEGIN_PART = 0.5
/** Longest recent times that are kept for a call, since the next one may be longer, and the way to the target and back. */
const NEEDED_FACTOR = 1.5
const NEEDED_MS = 250
/** Kept at the end for the answers that are on their way, the listeners and the log, in milliseconds; a tenth of a short timeout. */
const RESERVE_MS = 200
const RESERVE_PART = 0.1
/** Time in which the next process is ready, in milliseconds. */
const RESTART_MS = 1_000

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
   * @param longestMs - longest recent time of such a call at the target, 0 when unknown
   * @param dueMs - deadline of the call, on the monotonic clock
   * @returns time of the monotonic clock
   */
  computeLatestBeginMs (longestMs: number, dueMs: number): number {
    if (dueMs + ANSWER_MARGIN_MS <= this.cutAtMs) return this.cutAtMs
    if (longestMs === 0) return this._anyUntilMs
    return Math.max(this._anyUntilMs, this.cutAtMs - NEEDED_FACTOR * longestMs - NEEDED_MS)
  }

  /**
   * @param nowMs - time of the monotonic clock
   * @returns longest time that a call may be handed, in milliseconds
   */
  computeHandedMs (nowMs: number): number {
    return Math.max(0, Math.floor(this.cutAtMs - ANSWER_MARGIN_MS - nowMs))
  }

  /**
   * @param nowMs - time of the monotonic clock
   * @returns time after which a caller may find a new process here, in milliseconds
   */
  computeRetryAfterMs (nowMs: number): number {
    return Math.max(0, this.cutAtMs - nowMs) + RESTART_MS
  }
}
