/**
 * Usual duration of the calls of each route at one target, and the present speed of the target relative to it.
 */
import type { IClock } from '@lagoonswitch/common'

/** Weight of the newest sample in the usual time of a route, which changes slowly. */
const ROUTE_WEIGHT = 0.02
/** Weight of the newest sample in the speed of the target, which changes within a second. */
const SPEED_WEIGHT = 0.08
/** Weight of the newest speed in the usual one, to which the speed returns while there are no calls. */
const USUAL_SPEED_WEIGHT = 0.01
/** Time without calls for which the speed is kept, and half-life of its distance from the usual speed afterwards. */
const SPEED_LIFETIME_MS = 1_000
const SPEED_HALF_LIFE_MS = 2_000
/** Samples of a route before it says anything about the speed. */
const MIN_ROUTE_SAMPLES = 10
/** Log durations beyond this distance from the expected one are moved to it, since a few calls take many times the usual time. */
const MAX_LOG_DEVIATION = 1.5
/** Routes whose usual time is kept. */
const MAX_ROUTES = 256

interface IRouteTimes {
  logMs: number
  /** Mean square of the distance between log durations and expected ones. */
  variance: number
  count: number
}

/** Measures durations on a logarithmic scale, where slow phases and load shift all routes alike. */
export class RunTimes {
  private readonly _routes = new Map<string, IRouteTimes>()
  private _logSlowness = 0
  private _usualLogSlowness = 0
  private _samples = 0
  private _lastSampleMs = -Infinity

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /**
   * Records a call.
   * @param route - key of the route
   * @param ownMs - duration in milliseconds without nested calls, more than 0
   * @returns log of the duration relative to the usual one of the route; undefined while that is not known
   */
  recordRun (route: string, ownMs: number): number | undefined {
    const times = this._getRoute(route)
    const nowMs = this._clock.readMonotonicMs()
    this._logSlowness = this._computeLogSlowness(nowMs)
    this._lastSampleMs = nowMs
    const relative = Math.log(ownMs) - times.logMs
    const weight = Math.max(ROUTE_WEIGHT, 1 / ++times.count)
    const deviation = Math.max(-MAX_LOG_DEVIATION, Math.min(MAX_LOG_DEVIATION, relative - this._logSlowness))
    times.logMs += (times.count === 1 ? relative - this._logSlowness : deviation) * weight
    if (times.count > 1) times.variance += (deviation ** 2 - times.variance) * Math.max(ROUTE_WEIGHT, 1 / (times.count - 1))
    if (times.count < MIN_ROUTE_SAMPLES) return undefined
    this._samples++
    this._logSlowness += deviation * SPEED_WEIGHT
    this._usualLogSlowness += (this._logSlowness - this._usualLogSlowness) * Math.max(USUAL_SPEED_WEIGHT, 1 / this._samples)
    return relative
  }

  /**
   * @param route - key of the route
   * @returns mean duration at the present speed in milliseconds without nested calls, 0 if unknown
   */
  computeExpectedMs (route: string): number {
    const times = this._routes.get(route)
    if (times === undefined || times.count < MIN_ROUTE_SAMPLES) return 0
    // Mean of a lognormal distribution.
    return Math.exp(times.logMs + this._computeLogSlowness(this._clock.readMonotonicMs()) + times.variance / 2)
  }

  /** Speed of the last calls, which says less about the next call the longer they are ago. */
  private _computeLogSlowness (nowMs: number): number {
    const idleMs = Math.max(0, nowMs - this._lastSampleMs - SPEED_LIFETIME_MS)
    return this._usualLogSlowness + (this._logSlowness - this._usualLogSlowness) * 0.5 ** (idleMs / SPEED_HALF_LIFE_MS)
  }

  private _getRoute (route: string): IRouteTimes {
    let times = this._routes.get(route)
    if (times === undefined) {
      if (this._routes.size >= MAX_ROUTES) this._routes.delete(this._routes.keys().next().value as string)
      times = { logMs: 0, variance: 0, count: 0 }
      this._routes.set(route, times)
    }
    return times
  }
}
