/**
 * Measures how long one call has waited for its first byte without a reason that is known.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import type { IHang, IHangLimit } from './HangDetector.js'

const STEP_MS = 50
/** Delay of a step after which this process itself is taken to have been paused; what it missed is read before the next step. */
const MAX_STEP_DELAY_MS = 50

/** A call that is watched. */
export interface IWatchedCall {
  /** True while the target has a reason not to answer: the request is still being sent, or its run waits for a nested call. */
  isBusy (): boolean
  /** True once any byte of a response has arrived. */
  hasReceived (): boolean
  /** Called once if the call would be considered hung, had not the other targets slowed down as well. */
  onServiceSlow (hang: IHang): void
  /** Called once, when the call is considered hung. */
  onHung (hang: IHang): void
}

/** Adds up the waiting time of a call in steps, so that pauses of this process and of the run don't count. */
export class HangWatch implements IDisposable {
  private _waitedMs = 0
  private _lastStepMs: number
  private _timer: IDisposable
  private _isSlownessReported = false

  /**
   * @param _clock - source of time
   * @param _findLimit - finds the times of the route, undefined while too few are known
   * @param _isServiceSlow - tells whether the other targets of the service have slowed down since a monotonic time
   * @param _call - the call
   */
  constructor (
    private readonly _clock: IClock,
    private readonly _findLimit: () => IHangLimit | undefined,
    private readonly _isServiceSlow: (sinceMs: number) => boolean,
    private readonly _call: IWatchedCall
  ) {
    this._lastStepMs = _clock.readMonotonicMs()
    this._timer = _clock.schedule(STEP_MS, () => this._step())
  }

  /** Stops watching. */
  dispose (): void {
    this._timer.dispose()
  }

  private _step (): void {
    const nowMs = this._clock.readMonotonicMs()
    const elapsedMs = nowMs - this._lastStepMs
    this._lastStepMs = nowMs
    if (this._call.hasReceived()) return
    this._timer = this._clock.schedule(STEP_MS, () => this._step())
    if (this._call.isBusy()) return
    const isLate = elapsedMs > STEP_MS + MAX_STEP_DELAY_MS
    this._waitedMs += isLate ? STEP_MS : elapsedMs
    if (!isLate) this._decide(nowMs)
  }

  private _decide (nowMs: number): void {
    const limit = this._findLimit()
    if (limit === undefined || this._waitedMs < limit.limitMs) return
    const hang = { ...limit, waitedMs: this._waitedMs }
    if (!this._isServiceSlow(nowMs - this._waitedMs)) {
      this._timer.dispose()
      this._call.onHung(hang)
    } else if (!this._isSlownessReported) {
      this._isSlownessReported = true
      this._call.onServiceSlow(hang)
    }
  }
}
