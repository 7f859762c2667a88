/**
 * The effect of a graceful stop of this process on the attempts of one call.
 */
import type { IDisposable } from '@lagoonswitch/common'
import type { ITargetState } from '@lagoonswitch/traffic'
import type { ICallContext } from './CallContext.js'
import type { GracefulStop } from './GracefulStop.js'

/** Keeps attempts from starting too late to end before the process does; without a graceful stop, nothing is too late. */
export class AttemptStop implements IDisposable {
  private _timer: IDisposable | undefined

  /**
   * @param _context - shared by all calls
   * @param _route - key of the route of the call
   * @param _deadlineMs - of the call, a monotonic time in milliseconds
   */
  constructor (private readonly _context: ICallContext, private readonly _route: string, private readonly _deadlineMs: number) {}

  /**
   * Schedules the withdrawal of an attempt at the latest time at which its target may start it; replaces an earlier schedule.
   * @param target - of the attempt
   * @param onDue - withdraws the attempt
   */
  schedule (target: ITargetState, onDue: () => void): void {
    const stop = this._context.getStop()
    if (stop === undefined) return
    const { clock } = this._context
    this._timer?.dispose()
    this._timer = clock.schedule(Math.max(0, this._computeLatestStartMs(stop, target) - clock.readMonotonicMs()), onDue)
  }

  /**
   * @param target - of a possible attempt
   * @returns true if an attempt there could not end before the process does
   */
  isTooLateToStart (target: ITargetState): boolean {
    const stop = this._context.getStop()
    return stop !== undefined && this._context.clock.readMonotonicMs() >= this._computeLatestStartMs(stop, target)
  }

  /**
   * @param leftMs - time left for the call in milliseconds
   * @returns time left for an attempt in milliseconds; less than that of the call if the process ends before it
   */
  limitRemainingMs (leftMs: number): number {
    const stop = this._context.getStop()
    return stop === undefined ? leftMs : Math.min(leftMs, stop.computeMaxRemainingMs(this._context.clock.readMonotonicMs()))
  }

  /** @returns time after which a call refused for the stop may be repeated, in milliseconds */
  computeRetryAfterMs (): number {
    return this._context.getStop()?.computeRetryAfterMs(this._context.clock.readMonotonicMs()) ?? 0
  }

  dispose (): void {
    this._timer?.dispose()
  }

  private _computeLatestStartMs (stop: GracefulStop, target: ITargetState): number {
    return stop.computeLatestStartMs(this._context.pool.computeLongestRunMs(target, this._route), this._deadlineMs)
  }
}
