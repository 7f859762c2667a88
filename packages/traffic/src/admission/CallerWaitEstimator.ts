/**
 * Estimates how long a caller has been waiting when its call arrives, from the time that it states it has left.
 */
import type { IClock } from '@lagoonswitch/common'

/** Length of a window over which the longest stated time of a route is kept; the current window and the one before it count. */
const WINDOW_MS = 10_000
/** Fraction of the longest stated time below which a call is taken as a repeated one; first calls state nearly equal times. */
const REPEAT_RATIO = 0.75

interface ILongestTimes {
  windowEndMs: number
  previousMs: number
  currentMs: number
}

/** Keeps the longest time that callers of each route stated recently, and takes it as that of a first call. */
export class CallerWaitEstimator {
  private readonly _longestTimes = new Map<string, ILongestTimes>()

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /**
   * Records the time that a caller states it has left.
   * @param route - key of the route
   * @param remainingMs - as stated, in milliseconds
   * @returns how long the caller has waited since its first call, in milliseconds; 0 for a first call
   */
  recordRemainingMs (route: string, remainingMs: number): number {
    const longest = this._getLongestTimes(route)
    longest.currentMs = Math.max(longest.currentMs, remainingMs)
    const longestMs = Math.max(longest.currentMs, longest.previousMs)
    return remainingMs < REPEAT_RATIO * longestMs ? longestMs - remainingMs : 0
  }

  private _getLongestTimes (route: string): ILongestTimes {
    const nowMs = this._clock.readMonotonicMs()
    let longest = this._longestTimes.get(route)
    if (longest === undefined) {
      longest = { windowEndMs: nowMs + WINDOW_MS, previousMs: 0, currentMs: 0 }
      this._longestTimes.set(route, longest)
    } else if (nowMs >= longest.windowEndMs) {
      longest.previousMs = nowMs - longest.windowEndMs < WINDOW_MS ? longest.currentMs : 0
      longest.currentMs = 0
      longest.windowEndMs = nowMs + WINDOW_MS
    }
    return longest
  }
}
