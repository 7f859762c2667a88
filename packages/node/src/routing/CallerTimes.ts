/**
 * How long callers have been waiting already when a call arrives, concluded from the time that they say they have left.
 */
import type { IClock } from '@lagoonswitch/common'

/** Time over which the longest stated time of a route is remembered, in milliseconds; two of them, one after the other. */
const WINDOW_MS = 10_000
/** Part of the longest stated time below which a call is taken as a repeat; first attempts state nearly alike times. */
const REPEAT_PART = 0.75

interface ILongest {
  windowEndMs: number
  beforeMs: number
  currentMs: number
}

/** Keeps the longest time that callers of each route stated lately. */
export class CallerTimes {
  private readonly _longest = new Map<string, ILongest>()

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /**
   * Notes the time that a caller says it has left.
   * @param route - key of the route
   * @param leftMs - as stated, in milliseconds
   * @returns how long the caller has waited in earlier attempts, in milliseconds; 0 for a first attempt
   */
  recordLeft (route: string, leftMs: number): number {
    const longest = this._getLongest(route)
    longest.currentMs = Math.max(longest.currentMs, leftMs)
    const usualMs = Math.max(longest.currentMs, longest.beforeMs)
    return leftMs < REPEAT_PART * usualMs ? usualMs - leftMs : 0
  }

  private _getLongest (route: string): ILongest {
    const nowMs = this._clock.readMonotonicMs()
    let longest = this._longest.get(route)
    if (longest === undefined) {
      longest = { windowEndMs: nowMs + WINDOW_MS, beforeMs: 0, currentMs: 0 }
      this._longest.set(route, longest)
    } else if (nowMs >= longest.windowEndMs) {
      longest.beforeMs = nowMs - longest.windowEndMs < WINDOW_MS ? longest.currentMs : 0
      longest.currentMs = 0
      longest.windowEndMs = nowMs + WINDOW_MS
    }
    return longest
  }
}
