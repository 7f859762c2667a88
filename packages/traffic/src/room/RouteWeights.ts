/**
 * Weights of runs by the usual time of their routes, so that the mix of routes doesn't change a measured throughput.
 */

/** Weights of the newest run in the average times of its route and of all routes. */
const ROUTE_WEIGHT = 0.02
const MAX_ROUTES = 256

interface IAverage {
  logMs: number
  count: number
}

/** Knows the usual times of the routes at one target. */
export class RouteWeights {
  private readonly _routes = new Map<string, IAverage>()
  private readonly _all: IAverage = { logMs: 0, count: 0 }

  /**
   * Records a run.
   * @param route - key of the route
   * @param ownMs - time without nested calls, in milliseconds
   * @param nestedMs - time of nested calls, in milliseconds, during which the target had nothing to do
   * @param isComparable - false for a run whose time says nothing
   * @returns work of the run relative to an average one
   */
  recordRun (route: string, ownMs: number, nestedMs: number, isComparable: boolean): number {
    const average = this._routes.get(route) ?? this._addRoute(route)
    if (isComparable && ownMs > 0) {
      update(average, Math.log(ownMs))
      update(this._all, average.logMs)
    }
    if (this._all.count === 0) return 1
    const nestedWork = nestedMs / Math.exp(this._all.logMs)
    return (average.count === 0 ? 1 : Math.exp(average.logMs - this._all.logMs)) + nestedWork
  }

  private _addRoute (route: string): IAverage {
    if (this._routes.size >= MAX_ROUTES) this._routes.delete(this._routes.keys().next().value as string)
    const average = { logMs: 0, count: 0 }
    this._routes.set(route, average)
    return average
  }
}

function update (average: IAverage, logMs: number): void {
  average.count++
  average.logMs += (logMs - average.logMs) * Math.max(ROUTE_WEIGHT, 1 / average.count)
}
