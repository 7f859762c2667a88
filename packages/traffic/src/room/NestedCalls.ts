/**
 * Nested calls that one run makes, and the time during which it waits for them.
 */
import type { IClock } from '@lagoonswitch/common'

/** Adds up the time during which at least one nested call is in progress. */
export class NestedCalls {
  private _running = 0
  private _startedMs = 0
  private _endedMs = 0
  private _hasNew = false

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /** Time in milliseconds during which at least one nested call was in progress. */
  get totalMs (): number {
    return this._endedMs + (this._running > 0 ? this._clock.readMonotonicMs() - this._startedMs : 0)
  }

  /**
   * Records the start of a nested call.
   * @returns ends the nested call; further calls have no effect
   */
  start (): () => void {
    let isRunning = true
    if (this._running++ === 0) this._startedMs = this._clock.readMonotonicMs()
    this._hasNew = true
    return () => {
      if (!isRunning) return
      isRunning = false
      if (--this._running === 0) this._endedMs += this._clock.readMonotonicMs() - this._startedMs
    }
  }

  /** @returns true if a nested call is in progress or was started since this was last called */
  takeActivity (): boolean {
    const isActive = this._running > 0 || this._hasNew
    this._hasNew = false
    return isActive
  }
}
