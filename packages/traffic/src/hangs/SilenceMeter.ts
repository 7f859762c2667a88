/**
 * Measures how long the process at the other end of a link has been silent although it should have answered.
 */
import type { IClock } from '@lagoonswitch/common'

/** Delay of a step after which this process itself is taken to have been paused; what arrived meanwhile is read after the step. */
const MAX_STEP_DELAY_MS = 50

/** Does not count time in which this process itself stood still. */
export class SilenceMeter {
  private _lastReceivedMs: number
  /** Since when an answer is awaited, in the future while what must be answered is on its way; undefined if none is. */
  private _awaitedSinceMs: number | undefined
  private _lastStepMs: number
  private _stepMs = 0

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {
    this._lastReceivedMs = _clock.readMonotonicMs()
    this._lastStepMs = this._lastReceivedMs
  }

  /** True while an answer is awaited. */
  get isAwaiting (): boolean {
    return this._awaitedSinceMs !== undefined
  }

  /** Time in milliseconds since anything was received. */
  get quietMs (): number {
    return this._clock.readMonotonicMs() - this._lastReceivedMs
  }

  /** Time in milliseconds for which an answer has been awaited; 0 if none is. It stands still from the time at which a step is overdue. */
  get awaitedMs (): number {
    if (this._awaitedSinceMs === undefined) return 0
    const latestMs = this._lastStepMs + this._stepMs + MAX_STEP_DELAY_MS
    return Math.max(0, Math.min(this._clock.readMonotonicMs(), latestMs) - this._awaitedSinceMs)
  }

  /**
   * Records that something was sent that must be answered.
   * @param transitMs - time that it may need to arrive at the other process, in milliseconds; the silence counts from then on
   */
  await (transitMs = 0): void {
    this._awaitedSinceMs ??= this._clock.readMonotonicMs() + transitMs
  }

  /** Records that bytes arrived. */
  recordReceived (): void {
    this._lastReceivedMs = this._clock.readMonotonicMs()
    this._awaitedSinceMs = undefined
  }

  /**
   * Plans the next step.
   * @param stepMs - time until then at most, in milliseconds
   */
  planStep (stepMs: number): void {
    this._stepMs = stepMs
  }

  /** Takes the planned step; the time by which it is late is a pause of this process and does not count. */
  step (): void {
    const nowMs = this._clock.readMonotonicMs()
    const delayMs = nowMs - this._lastStepMs - this._stepMs
    this._lastStepMs = nowMs
    if (this._awaitedSinceMs !== undefined && delayMs > MAX_STEP_DELAY_MS) {
      this._awaitedSinceMs = Math.max(this._awaitedSinceMs, Math.min(nowMs, this._awaitedSinceMs + delayMs))
    }
  }
}
