/**
 * When refused callers are asked to return.
 */
import type { IClock, IRandom } from '@lagoonswitch/common'

/** Fraction of the longest delay over which callers are spread that can't all return within it. */
const OVERFLOW_SPREAD_RATIO = 0.25

/** Gives each refused caller its own time to return, earlier ones first, at the pace at which slots become free. */
export class ReturnSchedule {
  private _lastDueMs = 0

  /**
   * @param _clock - source of time
   * @param _random - spreads callers whose times would be equal on several targets
   */
  constructor (private readonly _clock: IClock, private readonly _random: IRandom) {}

  /**
   * Allocates a time to return.
   * @param minMs - delay before which no slot is likely, in milliseconds
   * @param maxMs - longest delay that is of use to the caller
   * @param intervalMs - usual time between two slots that become free
   * @returns delay in milliseconds
   */
  allocateDelayMs (minMs: number, maxMs: number, intervalMs: number): number {
    const nowMs = this._clock.readMonotonicMs()
    const draw = this._random.draw()
    const dueMs = Math.max(nowMs + minMs, this._lastDueMs + intervalMs)
    if (dueMs + draw * intervalMs > nowMs + maxMs) {
      const startMs = Math.max(minMs, (1 - OVERFLOW_SPREAD_RATIO) * maxMs)
      return startMs + draw * (startMs < maxMs ? maxMs - startMs : intervalMs)
    }
    this._lastDueMs = dueMs
    return dueMs - nowMs + draw * intervalMs
  }
}
