/**
 * Tests that may be read at any time: whether one version does worse than another.
 *
 * Given that one event (a failure, or a slow call) happened in a short window in which both
 * versions took calls, it falls on the new version with probability
 * p = odds * n_new / (odds * n_new + n_old). The statistic is a mixture of likelihood ratios of
 * worse odds against the tolerated odds. It is a non-negative martingale when the odds are tolerated,
 * so by Ville's inequality it ever exceeds 1/alpha with probability alpha at most. A fault common
 * to both versions changes how many events there are, but not where they fall.
 */

const TOLERATED_ODDS = 1.15
const WORSE_ODDS = [1.5, 4, 16, 128] as const
const MIN_BASELINE_RATE = 0.002
const MAX_TOLERATED_RATE = 0.95
const MAX_LOG_RATIO = 700

/** Evidence that the events of one kind fall on the new version too often. */
export class SequentialTest {
  private readonly _logRatios = WORSE_ODDS.map(() => 0)
  /** Largest mixture so far; a crossing counts even when later calls go well. */
  private _peakLogMixture = 0

  /**
   * Adds one window.
   * @param newCalls - calls to the new version
   * @param newEvents - events among them
   * @param oldCalls - calls to the old version
   * @param oldEvents - events among them
   */
  addWindow (newCalls: number, newEvents: number, oldCalls: number, oldEvents: number): void {
    if (newCalls === 0 || oldCalls === 0) return
    const tolerated = computeNewVersionProbability(TOLERATED_ODDS, newCalls, oldCalls)
    for (const [index, odds] of WORSE_ODDS.entries()) {
      const worse = computeNewVersionProbability(odds, newCalls, oldCalls)
      const logRatio = newEvents * Math.log(worse / tolerated) + oldEvents * Math.log((1 - worse) / (1 - tolerated))
      this._addLogRatio(index, logRatio)
    }
    this._peakLogMixture = Math.max(this._peakLogMixture, this._computeLogMixture())
  }

  /**
   * Adds one window without calls to the old version. The old version's earlier rate stands in for them, so a
   * fault common to both versions looks like one of the new version; a rejection calls for a comparison.
   * @param newCalls - calls to the new version
   * @param newEvents - events among them
   * @param baselineRate - share of such events among earlier calls to the old version
   */
  addBaselineWindow (newCalls: number, newEvents: number, baselineRate: number): void {
    if (newCalls === 0) return
    const toleratedRate = Math.min(MAX_TOLERATED_RATE, Math.max(MIN_BASELINE_RATE, baselineRate) * TOLERATED_ODDS)
    for (const [index, odds] of WORSE_ODDS.entries()) {
      const worseRate = odds * toleratedRate / (1 - toleratedRate + odds * toleratedRate)
      const logRatio = newEvents * Math.log(worseRate / toleratedRate) +
        (newCalls - newEvents) * Math.log((1 - worseRate) / (1 - toleratedRate))
      this._addLogRatio(index, logRatio)
    }
    this._peakLogMixture = Math.max(this._peakLogMixture, this._computeLogMixture())
  }

  /** @returns a test with the same evidence */
  clone (): SequentialTest {
    const copy = new SequentialTest()
    for (const [index, value] of this._logRatios.entries()) copy._logRatios[index] = value
    copy._peakLogMixture = this._peakLogMixture
    return copy
  }

  /**
   * @param alpha - rate of false alarms that is accepted, over the whole run
   * @returns true when the new version is worse at that rate
   */
  isRejected (alpha: number): boolean {
    return this._peakLogMixture >= Math.log(1 / alpha)
  }

  /**
   * Tells whether the evidence as it stands, which later events on the old version may clear, speaks for a fault.
   * @param ratio - how many times as likely the calls must be under worse odds as under tolerated ones
   * @returns true while the new version is suspected
   */
  isSuspected (ratio: number): boolean {
    return this._computeLogMixture() >= Math.log(ratio)
  }

  private _addLogRatio (index: number, logRatio: number): void {
    this._logRatios[index] = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, (this._logRatios[index] ?? 0) + logRatio))
  }

  private _computeLogMixture (): number {
    const highest = Math.max(...this._logRatios)
    const sum = this._logRatios.reduce((total, value) => total + Math.exp(value - highest), 0)
    return highest + Math.log(sum / this._logRatios.length)
  }
}

function computeNewVersionProbability (odds: number, newCalls: number, oldCalls: number): number {
  return odds * newCalls / (odds * newCalls + oldCalls)
}
