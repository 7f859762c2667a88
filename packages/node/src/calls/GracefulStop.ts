/**
 * Timing of a graceful stop: how long a stopping process accepts calls, starts attempts, and waits for running calls.
 */
import { DEADLINE_GRACE_MS, LINK_DEADLINE_MARGIN_MS } from './CallTypes.js'

/** Time after the deadline of a call by which its caller has the response. */
const RESPONSE_MARGIN_MS = DEADLINE_GRACE_MS + LINK_DEADLINE_MARGIN_MS
/** Fraction of the stop timeout after which new calls are refused at the latest, except nested ones. */
const REFUSE_FRACTION = 0.7
/** Fraction of the stop timeout during which an attempt may start whatever its expected run time; it has the rest to end. */
const UNCONDITIONAL_START_FRACTION = 0.5
/**
 * Time reserved for an attempt: a multiple of the longest recent run time, since the next run may take longer, plus a margin
 * for the round trip to the target.
 */
const RUN_TIME_FACTOR = 1.5
const RUN_TIME_MARGIN_MS = 250
/**
 * Time reserved at the end for responses in transit, closing the listeners and flushing the log; limited to a fraction of the
 * timeout when that is short.
 */
const MAX_RESERVE_MS = 200
const MAX_RESERVE_FRACTION = 0.1
/** Expected time from the end of this process until the next one at its address is ready. */
const RESTART_MS = 1_000

/** One graceful stop; times are in milliseconds on the monotonic clock. */
export class GracefulStop {
  /** Latest time at which the process starts to refuse new calls; nested calls are still served, since running calls wait for them. */
  readonly refuseAtMs: number
  /** Time at which calls that are still running are cut. */
  readonly cutAtMs: number
  /** Time until which the process waits for callers and other processes to close their connections; what follows needs the reserve. */
  readonly awaitClosedUntilMs: number
  private readonly _unconditionalStartUntilMs: number
  private _isRefusing = false

  /**
   * @param startedMs - time at which the stop began
   * @param timeoutMs - time in milliseconds after which the process may be killed
   */
  constructor (readonly startedMs: number, timeoutMs: number) {
    this.refuseAtMs = startedMs + REFUSE_FRACTION * timeoutMs
    const reserveMs = Math.min(MAX_RESERVE_MS, MAX_RESERVE_FRACTION * timeoutMs)
    this.cutAtMs = startedMs + timeoutMs - reserveMs
    this.awaitClosedUntilMs = this.cutAtMs - reserveMs
    this._unconditionalStartUntilMs = startedMs + UNCONDITIONAL_START_FRACTION * timeoutMs
  }

  /** True once new calls are refused, except nested ones. */
  get isRefusing (): boolean {
    return this._isRefusing
  }

  /** Refuses new calls from now on, except nested ones. */
  refuseCalls (): void {
    this._isRefusing = true
  }

  /**
   * Computes the latest time at which an attempt may start at a target and still end before it would be cut.
   * @param longestRunMs - longest recent run time of the route at the target in milliseconds, 0 when unknown
   * @param deadlineMs - deadline of the call, on the monotonic clock
   * @returns time on the monotonic clock
   */
  computeLatestStartMs (longestRunMs: number, deadlineMs: number): number {
    if (deadlineMs + RESPONSE_MARGIN_MS <= this.cutAtMs) return this.cutAtMs
    if (longestRunMs === 0) return this._unconditionalStartUntilMs
    return Math.max(this._unconditionalStartUntilMs, this.cutAtMs - RUN_TIME_FACTOR * longestRunMs - RUN_TIME_MARGIN_MS)
  }

  /**
   * Computes the longest deadline that an attempt may be given.
   * @param nowMs - time on the monotonic clock
   * @returns remaining time in milliseconds
   */
  computeMaxRemainingMs (nowMs: number): number {
    return Math.max(0, Math.floor(this.cutAtMs - RESPONSE_MARGIN_MS - nowMs))
  }

  /**
   * Computes when a caller may expect a new process at this address.
   * @param nowMs - time on the monotonic clock
   * @returns delay in milliseconds
   */
  computeRetryAfterMs (nowMs: number): number {
    return Math.max(0, this.cutAtMs - nowMs) + RESTART_MS
  }
}
