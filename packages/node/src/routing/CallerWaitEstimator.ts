/**
 * How long callers have been waiting already when a call arrives, concluded from the time that they say they have left.
 */
import type { IClock } from '@lagoonswitch/common'

/** Time over which the longest stated time of a route is remembered, in milliseconds; two of them, one after the other. */
const WINDOW_MS = 10_000
/** Part of the longest stated time below which a call is taken as a repeat; first attempts state nearly alike times. */
const REPEAT_RATIO = 0.75

interface ILongestTimes {
  windowEndMs: number
  previousMs: number
  currentMs: number
}

/** Keeps the longest time that callers of each route stated lately. */
export class CallerWaitEstimator {
  private readonly _longestTimes = new Map<string, ILongestTimes>()

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /**
   * Notes the time that a caller says it has left.
   * @param route - key of the route
   * @param remainingMs - as stated, in milliseconds
   * @returns how long the caller has waited in earlier attempts, in milliseconds; 0 for a first attempt
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
