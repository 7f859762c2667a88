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
