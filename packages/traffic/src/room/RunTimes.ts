/**
 * Usual duration of the calls of each route at one target, and the present speed of the target relative to it.
 */

/** Weight of the newest sample in the usual time of a route, which changes slowly. */
const ROUTE_WEIGHT = 0.02
/** Weight of the newest sample in the speed of the target, which changes within a second. */
const SPEED_WEIGHT = 0.08
/** Samples of a route before it says anything about the speed. */
const MIN_ROUTE_SAMPLES = 10
/** Log durations beyond this distance from the expected one are moved to it, since a few calls take many times the usual time. */
const MAX_LOG_DEVIATION = 1.5
/** Routes whose usual time is kept. */
const MAX_ROUTES = 256
/** Ratio of the mean to the median of durations that are spread by about a factor of two. */
const MEAN_TO_MEDIAN = 1.2

interface IRouteTimes {
  logMs: number
  count: number
}

/** Measures durations on a logarithmic scale, where slow phases and load shift all routes alike. */
export class RunTimes {
  private readonly _routes = new Map<string, IRouteTimes>()
  private _logSlowness = 0

  /**
   * Records a call.
   * @param route - key of the route
   * @param ownMs - duration in milliseconds
   * @returns log of the duration relative to the usual one of the route; undefined while that is not known
   */
  recordRun (route: string, ownMs: number): number | undefined {
    const times = this._getRoute(route)
    const relative = Math.log(ownMs) - times.logMs
    times.count++
    times.logMs += (relative - this._logSlowness) * Math.max(ROUTE_WEIGHT, 1 / times.count)
    if (times.count < MIN_ROUTE_SAMPLES) return undefined
    const deviation = Math.max(-MAX_LOG_DEVIATION, Math.min(MAX_LOG_DEVIATION, relative - this._logSlowness))
    this._logSlowness += deviation * SPEED_WEIGHT
    return relative
  }

  /**
   * @param route - key of the route
   * @returns mean duration at the present speed in milliseconds, 0 if unknown
   */
  computeExpectedMs (route: string): number {
    const times = this._routes.get(route)
    return times === undefined || times.count < MIN_ROUTE_SAMPLES ? 0 : MEAN_TO_MEDIAN * Math.exp(times.logMs + this._logSlowness)
  }

  private _getRoute (route: string): IRouteTimes {
    let times = this._routes.get(route)
    if (times === undefined) {
      if (this._routes.size >= MAX_ROUTES) this._routes.delete(this._routes.keys().next().value as string)
      times = { logMs: 0, count: 0 }
      this._routes.set(route, times)
    }
    return times
  }
}
