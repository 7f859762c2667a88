/**
 * Recognizes times in which this process stood still, since durations that it measured across them are too long.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'

const STEP_MS = 50
/** Delay of a step after which this process is taken to have been paused. */
const MAX_STEP_DELAY_MS = 50

/** Steps at a short interval and remembers the last step that was late. */
export class PauseMeter implements IDisposable {
  private _lastStepMs: number
  private _lastPauseEndMs = -Infinity
  private _timer: IDisposable

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {
    this._lastStepMs = _clock.readMonotonicMs()
    this._timer = _clock.schedule(STEP_MS, () => this._step())
  }

  /**
   * @param sinceMs - monotonic time in milliseconds
   * @returns true if this process was paused at some time since then
   */
  hasPausedSince (sinceMs: number): boolean {
    // After a pause, sockets are read before the step that is late.
    return this._lastPauseEndMs > sinceMs || this._clock.readMonotonicMs() - this._lastStepMs > STEP_MS + MAX_STEP_DELAY_MS
  }

  dispose (): void {
    this._timer.dispose()
  }

  private _step (): void {
    const nowMs = this._clock.readMonotonicMs()
    if (nowMs - this._lastStepMs > STEP_MS + MAX_STEP_DELAY_MS) this._lastPauseEndMs = nowMs
    this._lastStepMs = nowMs
    this._timer = this._clock.schedule(STEP_MS, () => this._step())
  }
}
