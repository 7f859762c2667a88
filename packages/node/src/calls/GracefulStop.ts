/**
 * Until when a process that is told to stop takes calls, lets them begin at a target, and waits for their ends.
 */
import { DEADLINE_GRACE_MS, LINK_DEADLINE_MARGIN_MS } from './CallTypes.js'

/** Time after the deadline of a call until its caller has the answer. */
const RESPONSE_MARGIN_MS = DEADLINE_GRACE_MS + LINK_DEADLINE_MARGIN_MS
/** Part of the stop timeout after which no call is taken any more. */
const REFUSE_FRACTION = 0.7
/** Part of the stop timeout for which a call may begin however long it takes; the rest is for its end. */
const BEGIN_FRACTION = 0.5
/** Longest recent times that are kept for a call, since the next one may be longer, and the way to the target and back. */
const RUN_TIME_FACTOR = 1.5
const RUN_TIME_MARGIN_MS = 250
/** Kept at the end for the answers that are on their way, the listeners and the log, in milliseconds; a tenth of a short timeout. */
const MAX_RESERVE_MS = 200
const MAX_RESERVE_FRACTION = 0.1
/** Time in which the next process is ready, in milliseconds. */
const RESTART_MS = 1_000

/** One planned stop; its times are milliseconds of the monotonic clock. */
export class GracefulStop {
  /** From then on all calls are refused, if not sooner. */
  readonly refuseAtMs: number
  /** What still runs then is cut. */
  readonly cutAtMs: number
  private readonly _latestUnknownBeginMs: number
  private _isRefusing = false

  /**
   * @param startedMs - when the stop began
   * @param timeoutMs - after which the process may be killed
   */
  constructor (readonly startedMs: number, timeoutMs: number) {
    this.refuseAtMs = startedMs + REFUSE_FRACTION * timeoutMs
    this.cutAtMs = startedMs + timeoutMs - Math.min(MAX_RESERVE_MS, MAX_RESERVE_FRACTION * timeoutMs)
    this._latestUnknownBeginMs = startedMs + BEGIN_FRACTION * timeoutMs
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
   * @param longestRunMs - longest recent time of such a call at the target, 0 when unknown
   * @param deadlineMs - deadline of the call, on the monotonic clock
   * @returns time of the monotonic clock
   */
  computeLatestBeginMs (longestRunMs: number, deadlineMs: number): number {
    if (deadlineMs + RESPONSE_MARGIN_MS <= this.cutAtMs) return this.cutAtMs
    if (longestRunMs === 0) return this._latestUnknownBeginMs
    return Math.max(this._latestUnknownBeginMs, this.cutAtMs - RUN_TIME_FACTOR * longestRunMs - RUN_TIME_MARGIN_MS)
  }

  /**
   * @param nowMs - time of the monotonic clock
   * @returns longest time that a call may be handed, in milliseconds
   */
  computeMaxRemainingMs (nowMs: number): number {
    return Math.max(0, Math.floor(this.cutAtMs - RESPONSE_MARGIN_MS - nowMs))
  }

  /**
   * @param nowMs - time of the monotonic clock
   * @returns time after which a caller may find a new process here, in milliseconds
   */
  computeRetryAfterMs (nowMs: number): number {
    return Math.max(0, this.cutAtMs - nowMs) + RESTART_MS
  }
}
