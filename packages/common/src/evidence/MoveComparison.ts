/**
 * Compares both versions during a move by the outcomes of their calls, and by whether the calls keep the latency objective of their
 * route. The second shows a slow version before its slow calls have ended.
 */
import type { IOutcomes } from './OutcomeSums.js'
import { VersionComparison, type IVersionFault } from './VersionComparison.js'

const NO_LATENCY: ReadonlyMap<number, number> = new Map()

/** Each probability of a false alarm is divided between the two comparisons. */
export class MoveComparison {
  private readonly _outcomes = new VersionComparison()
  private readonly _timeliness = new VersionComparison('latency', 'missed the latency objective')
  private readonly _both = [this._outcomes, this._timeliness] as const

  /** See {@link VersionComparison.addWindow}. */
  addWindow (newOutcomes: readonly IOutcomes[], oldOutcomes: readonly IOutcomes[]): void {
    this._outcomes.addWindow(newOutcomes, oldOutcomes)
    this._timeliness.addWindow(toTimeliness(newOutcomes), toTimeliness(oldOutcomes))
  }

  /** See {@link VersionComparison.addBaseline}. */
  addBaseline (outcomes: readonly IOutcomes[]): void {
    this._outcomes.addBaseline(outcomes)
    this._timeliness.addBaseline(toTimeliness(outcomes))
  }

  /** See {@link VersionComparison.listBaseline}. */
  listBaseline (): IOutcomes[] {
    const timeliness = new Map(this._timeliness.listBaseline().map(outcomes => [outcomes.route, outcomes]))
    return this._outcomes.listBaseline().map(outcomes => ({
      ...outcomes, judged: timeliness.get(outcomes.route)?.calls ?? 0, overdue: timeliness.get(outcomes.route)?.failures ?? 0
    }))
  }

  /** See {@link VersionComparison.hasBaseline}. */
  hasBaseline (): boolean {
    return this._outcomes.hasBaseline()
  }

  /** @returns calls to the new version that have ended since the start */
  getNewCalls (): number {
    return this._outcomes.getNewCalls()
  }

  /** @returns calls to the old version that have ended since the start */
  getOldCalls (): number {
    return this._outcomes.getOldCalls()
  }

  /** See {@link VersionComparison.hasRegressed}. */
  hasRegressed (alpha: number): boolean {
    return this._both.some(comparison => comparison.hasRegressed(alpha / 2))
  }

  /** See {@link VersionComparison.hasOldVersionRegressed}. */
  hasOldVersionRegressed (alpha: number): boolean {
    return this._both.some(comparison => comparison.hasOldVersionRegressed(alpha))
  }

  /** See {@link VersionComparison.hasRegressedAlone}. */
  hasRegressedAlone (alpha: number): boolean {
    return this._both.some(comparison => comparison.hasRegressedAlone(alpha / 2))
  }

  /** See {@link VersionComparison.isSuspected}. */
  isSuspected (): boolean {
    return this._both.some(comparison => comparison.isSuspected())
  }

  /** See {@link VersionComparison.resetRegressionTests}. */
  resetRegressionTests (): void {
    for (const comparison of this._both) comparison.resetRegressionTests()
  }

  /** See {@link VersionComparison.findFault}. */
  findFault (alpha: number): IVersionFault | undefined {
    return this._outcomes.findFault(alpha / 2) ?? this._timeliness.findFault(alpha / 2)
  }

  /** See {@link VersionComparison.findFailureRegression}. */
  findFailureRegression (alpha: number): IVersionFault | undefined {
    return this._outcomes.findFailureRegression(alpha)
  }
}

/** A call that misses the latency objective counts as a failed one here. */
function toTimeliness (outcomes: readonly IOutcomes[]): IOutcomes[] {
  return outcomes.filter(({ judged = 0 }) => judged > 0).map(({ route, targetId, judged = 0, overdue = 0 }) =>
    ({ route, targetId, calls: judged, failures: overdue, latency: NO_LATENCY }))
}
