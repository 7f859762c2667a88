/**
 * Sequential test of whether a new version has events (failures, or slow calls) more often than an old one. Its result may be
 * read after every window.
 *
 * The odds are the ratio of the new version's rate of events to the old one's. In a short window in which both versions took
 * calls, each event is taken to fall on the new version with probability p = odds * n_new / (odds * n_new + n_old), independently
 * of the others. The likelihood ratio of worse odds against the tolerated ones is multiplied by p_worse / p_tolerated for each
 * event on the new version, and by (1 - p_worse) / (1 - p_tolerated) for each event on the old one. The expected value of this
 * factor is 1 if the true odds equal the tolerated ones, and less if they are lower. The statistic is the average of the ratios
 * of several worse odds: it starts at 1, is never negative, and no window raises its expected value as long as the true odds do
 * not exceed the tolerated ones. It is then a non-negative supermartingale, so by Ville's inequality the probability that it ever
 * reaches 1/alpha is at most alpha.
 * A fault common to both versions changes the number of events, but not the version that they fall on.
 */

/** Odds up to which the new version does not count as worse. */
const TOLERATED_ODDS = 1.15
/** Odds that the test compares with the tolerated ones; they cover slight as well as gross faults. */
const WORSE_ODDS = [1.5, 4, 16, 128] as const
/** Lowest rate of events assumed for the old version, a fraction of its calls; at 0 a single event would decide the test. */
const MIN_BASELINE_RATE = 0.002
/** Highest tolerated rate of events, a fraction of the calls; at 1 calls without an event would be impossible. */
const MAX_TOLERATED_RATE = 0.95
/** Bound of each logarithm, either way, so that its exponential is a normal double; the lower bound adds a negligible e^-700. */
const MAX_LOG_RATIO = 700

/** Accumulates evidence that events of one kind fall on the new version more often than tolerated. */
export class SequentialTest {
  private readonly _logRatios = WORSE_ODDS.map(() => 0)
  /** Largest logarithm of the statistic so far; once it has reached a threshold, later calls do not reverse the result. */
  private _peakLogMixture = 0

  /**
   * Adds the calls of one window; a window in which either version had none is ignored.
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
   * Adds the calls of one window to one version and compares them with the old version's earlier rate, whether or not the old
   * version had calls in the window. A fault common to both versions looks like a fault of the new one, so after a rejection
   * both versions must be compared at the same time. The worse odds here multiply the odds of the tolerated rate,
   * and the statistic has the property described above as long as the true rate does not exceed the tolerated one.
   * @param newCalls - calls to the version under test
   * @param newEvents - events among them
   * @param baselineRate - fraction of earlier calls to the old version that had such an event
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

  /** @returns a copy with the same evidence */
  clone (): SequentialTest {
    const copy = new SequentialTest()
    for (const [index, value] of this._logRatios.entries()) copy._logRatios[index] = value
    copy._peakLogMixture = this._peakLogMixture
    return copy
  }

  /**
   * Tells whether the test has ever rejected that the new version is within the tolerated odds.
   * @param alpha - accepted probability of a false alarm over the whole run
   * @returns true when the new version does worse, at that probability
   */
  isRejected (alpha: number): boolean {
    return this._peakLogMixture >= Math.log(1 / alpha)
  }

  /**
   * Tells whether the current evidence indicates a fault. Unlike a rejection, later events on the old version may reverse it.
   * @param ratio - likelihood ratio of worse odds against the tolerated ones that is required
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
