/**
 * Estimate of how the throughput of a target depends on the number of calls at once, from comparisons of two numbers.
 */

/** Standard deviation of the step between two neighbouring numbers around that of a target without slowdown, and its growth per second. */
const STEP_DEVIATION = 0.25
/** Standard deviation of the part that all steps have in common: a target that slows down does so over several steps. */
const SLOPE_DEVIATION = 0.12
const STEP_VARIANCE_PER_S = 0.02 ** 2
/** Deviations beyond this many standard deviations are taken to come from another change of the target at the same time. */
const MAX_DEVIATIONS = 1.5

/** Distance of two tried numbers from which one between them is tried. */
const MIN_GAP = 3

/** Difference of the log throughput of two numbers of calls. */
export interface IEstimate {
  readonly mean: number
  readonly variance: number
}

/** A Gaussian estimate of the log throughput of all numbers, updated by each comparison; starts from a target without slowdown. */
export class ThroughputCurve {
  private readonly _means: number[]
  private readonly _covariances: number[][]
  private readonly _tried = new Set<number>()

  /** @param slots - largest number of calls */
  constructor (slots: number) {
    this._means = Array.from({ length: slots }, (_, index) => Math.log(index + 1))
    this._covariances = this._means.map((_, row) => this._means.map((_, column) => STEP_DEVIATION ** 2 * (Math.min(row, column) + 1) + SLOPE_DEVIATION ** 2 * row * column))
  }

  /**
   * @param calls - a number of calls
   * @param other - another one
   * @returns log throughput with `calls` less that with `other`
   */
  compare (calls: number, other: number): IEstimate {
    const [a, b] = [calls - 1, other - 1]
    const variance = this._get(a, a) + this._get(b, b) - 2 * this._get(a, b)
    return { mean: (this._means[a] ?? 0) - (this._means[b] ?? 0), variance: Math.max(0, variance) }
  }

  /**
   * Records a measured difference.
   * @param calls - a number of calls
   * @param other - another one
   * @param measured - log throughput with `calls` less that with `other`
   */
  recordComparison (calls: number, other: number, measured: IEstimate): void {
    this._tried.add(calls).add(other)
    const known = this.compare(calls, other)
    const innovation = measured.mean - known.mean
    const total = known.variance + measured.variance
    const excess = Math.max(1, Math.abs(innovation) / (MAX_DEVIATIONS * Math.sqrt(total)))
    const variance = total * excess
    const gains = this._means.map((_, index) => (this._get(index, calls - 1) - this._get(index, other - 1)) / variance)
    for (const [row, gain] of gains.entries()) {
      this._means[row] = (this._means[row] ?? 0) + gain * innovation
      const covariances = this._covariances[row] as number[]
      for (const [column, otherGain] of gains.entries()) covariances[column] = (covariances[column] ?? 0) - gain * otherGain * variance
    }
  }

  /** True if a number of calls was part of a comparison. */
  isTried (calls: number): boolean {
    return this._tried.has(calls)
  }

  /**
   * Finds a number of calls halfway to the next one that was tried above, where throughput may be higher than both suggest.
   * @param calls - a number of calls
   * @returns undefined if the gap is small or nothing was tried above
   */
  findMiddleAbove (calls: number): number | undefined {
    const above = Math.min(...[...this._tried].filter(other => other > calls))
    return Number.isFinite(above) && above - calls >= MIN_GAP ? Math.ceil((calls + above) / 2) : undefined
  }

  /** Lets the estimate become less certain with time. */
  advance (elapsedMs: number): void {
    const added = STEP_VARIANCE_PER_S * elapsedMs / 1_000
    for (const [row, covariances] of this._covariances.entries()) {
      for (let column = 0; column < covariances.length; column++) {
        covariances[column] = (covariances[column] ?? 0) + added * (Math.min(row, column) + 1)
      }
    }
  }

  private _get (row: number, column: number): number {
    return this._covariances[row]?.[column] ?? 0
  }
}
