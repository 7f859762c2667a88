/**
 * Recognizes calls to which a target will not answer, by the times that other calls of the same route took there.
 */
import type { IClock } from '@lagoonswitch/common'
import { computeDecayingMax } from '../placement/TargetState.js'
import { HangWatch, type IWatchedCall } from './HangWatch.js'

/** Runs of a route from which its times are known. */
const MIN_RUNS = 30
/** A call is considered hung after this multiple of the longest recent run of its route, but not before the minimum. */
const LONGEST_RUN_FACTOR = 3
const MIN_LIMIT_MS = 250
/** Weight of the newest run in the average. */
const AVERAGE_WEIGHT = 0.1
/** Hung calls of a route in a row after which its times are forgotten: its runs may have become longer for good. */
const MAX_HANGS_IN_ROW = 5
/** Routes whose times are kept. */
const MAX_ROUTES = 256

/** Times of a route that a decision is based on; all in milliseconds. */
export interface IHangLimit {
  readonly runs: number
  readonly longestMs: number
  readonly averageMs: number
  /** Time without a first byte after which a call is considered hung. */
  readonly limitMs: number
}

/** A call that is considered hung, and why. */
export interface IHang extends IHangLimit {
  /** Time without a first byte that counted, in milliseconds. */
  readonly waitedMs: number
}

interface IRouteTimes {
  runs: number
  longestMs: number
  averageMs: number
  hangsInRow: number
}

/** Knows the times of the routes at one target; beside the target, which only its own node connects to. */
export class HangDetector {
  private readonly _routes = new Map<string, IRouteTimes>()

  /**
   * @param _clock - source of time
   * @param _isServiceSlow - tells whether the other targets of the service have slowed down since a monotonic time
   */
  constructor (private readonly _clock: IClock, private readonly _isServiceSlow: (sinceMs: number) => boolean) {}

  /**
   * Watches a call from now on.
   * @param route - key of its route
   * @param call - its state, and what to do when it is considered hung
   * @returns the watch, to be stopped at the first byte or the end of the call
   */
  watch (route: string, call: IWatchedCall): HangWatch {
    return new HangWatch(this._clock, () => this.findLimit(route), this._isServiceSlow, {
      isBusy: () => call.isBusy(),
      hasReceived: () => call.hasReceived(),
      onServiceSlow: hang => call.onServiceSlow(hang),
      onHung: hang => {
        this._recordHang(route)
        call.onHung(hang)
      }
    })
  }

  /**
   * Records the first byte of a response.
   * @param route - key of the route
   * @param durationMs - time that the call had held its slot, in milliseconds
   */
  recordFirstByte (route: string, durationMs: number): void {
    const times = this._routes.get(route) ?? this._addRoute(route)
    times.runs++
    times.longestMs = computeDecayingMax(times.longestMs, durationMs)
    times.averageMs += (durationMs - times.averageMs) * (times.runs === 1 ? 1 : AVERAGE_WEIGHT)
    times.hangsInRow = 0
  }

  /**
   * @param route - key of the route
   * @returns the times of the route, undefined while too few runs are known
   */
  findLimit (route: string): IHangLimit | undefined {
    const times = this._routes.get(route)
    if (times === undefined || times.runs < MIN_RUNS) return undefined
    const { runs, longestMs, averageMs } = times
    return { runs, longestMs, averageMs, limitMs: Math.max(MIN_LIMIT_MS, LONGEST_RUN_FACTOR * longestMs) }
  }

  private _recordHang (route: string): void {
    const times = this._routes.get(route)
    if (times !== undefined && ++times.hangsInRow >= MAX_HANGS_IN_ROW) this._routes.delete(route)
  }

  private _addRoute (route: string): IRouteTimes {
    const times = { runs: 0, longestMs: 0, averageMs: 0, hangsInRow: 0 }
    this._routes.set(route, times)
    const oldest = this._routes.keys().next().value
    if (this._routes.size > MAX_ROUTES && oldest !== undefined) this._routes.delete(oldest)
    return times
  }
}
