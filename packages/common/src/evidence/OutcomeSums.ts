/**
 * Outcomes of calls by route and target, and their sums.
 */

/** Outcomes of one route on one target in one window. */
export interface IOutcomes {
  readonly route: string
  readonly targetId: string
  readonly calls: number
  readonly failures: number
  /** Calls by latency bucket. */
  readonly latency: ReadonlyMap<number, number>
  /** Calls that have ended within the latency objective or have passed it; those that run on are not in `calls` yet. */
  readonly judged?: number
  /** Calls that have passed the latency objective. */
  readonly overdue?: number
}

/** Calls of one version, added up over routes and targets. */
export interface ICallTotals {
  calls: number
  failures: number
  /** Calls above each threshold of slowness. */
  slow: number[]
  /** Calls whose latency is known. */
  timed: number
}

interface IOutcomeSum {
  readonly route: string
  readonly targetId: string
  calls: number
  failures: number
  readonly latency: Map<number, number>
}

/** Adds up outcomes by route and target, so that the memory needed does not grow with the number of windows. */
export class OutcomeSums {
  private readonly _sums = new Map<string, IOutcomeSum>()

  add (outcomes: readonly IOutcomes[]): void {
    for (const { route, targetId, calls, failures, latency } of outcomes) {
      const key = `${route}\n${targetId}`
      let sum = this._sums.get(key)
      if (sum === undefined) {
        sum = { route, targetId, calls: 0, failures: 0, latency: new Map() }
        this._sums.set(key, sum)
      }
      sum.calls += calls
      sum.failures += failures
      for (const [bucket, count] of latency) sum.latency.set(bucket, (sum.latency.get(bucket) ?? 0) + count)
    }
  }

  list (): IOutcomes[] {
    return [...this._sums.values()]
  }
}

/**
 * Adds up outcomes of the same route and target.
 * @param outcomes - in any order
 * @returns one outcome for each route and target
 */
export function mergeOutcomes (outcomes: readonly IOutcomes[]): IOutcomes[] {
  const sums = new OutcomeSums()
  sums.add(outcomes)
  return sums.list()
}

/**
 * @param outcomes - any outcomes
 * @returns number of calls in them
 */
export function countCalls (outcomes: readonly IOutcomes[]): number {
  return outcomes.reduce((sum, { calls }) => sum + calls, 0)
}

/**
 * Adds up outcomes over routes and targets.
 * @param outcomes - any outcomes
 * @param thresholds - buckets above which a call is slow
 * @returns the totals
 */
export function sumOutcomes (outcomes: readonly IOutcomes[], thresholds: readonly number[]): ICallTotals {
  const totals: ICallTotals = { calls: 0, failures: 0, slow: thresholds.map(() => 0), timed: 0 }
  for (const { calls, failures, latency } of outcomes) {
    totals.calls += calls
    totals.failures += failures
    for (const count of latency.values()) totals.timed += count
    for (const [index, threshold] of thresholds.entries()) {
      for (const [bucket, count] of latency) {
        if (bucket > threshold) totals.slow[index] = (totals.slow[index] ?? 0) + count
      }
    }
  }
  return totals
}
