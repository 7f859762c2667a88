/**
 * Compares the new version of a service with the old one, by route and kind of fault, and distinguishes a
 * faulty version from a single faulty target.
 */
import { computeBucket, computeBucketEndMs, LATENCY_BUCKETS } from './LatencyScale.js'
import { OutcomeSums, countCalls, mergeOutcomes, sumOutcomes, type ICallTotals, type IOutcomes } from './OutcomeSums.js'
import { SequentialTest } from './SequentialTest.js'

/** Quantiles of the old version's latency that serve as thresholds above which a call is slow. */
const SLOW_QUANTILES = [0.5, 0.9, 0.99] as const
/** Windows before a reset of the regression tests whose calls to the old version still count after it. */
const RECENT_WINDOWS = 8
/** Indexes of the tests of a route: 0 for failures, then one for each quantile of the latency. */
const TEST_INDEXES = [0, ...SLOW_QUANTILES.map((_, index) => index + 1)]
/** Calls to the old version that are needed before its rates and latencies serve as a baseline. */
const MIN_BASELINE_CALLS = 50
/** Limits of a baseline that is handed on: calls of one route, which fit into 32 bits, and number of routes. */
const MAX_BASELINE_CALLS = 1_000_000_000
const MAX_BASELINE_ROUTES = 50
/** Difference in latency that no caller notices. */
const LATENCY_SLACK_MS = 1
/** Key for all routes together, which gather evidence sooner than a single route. */
const ALL_ROUTES = '*'

/** A fault of the new version. */
export interface IVersionFault {
  /** Where the fault shows: on a route, or over all routes. */
  readonly place: string
  readonly kind: 'failures' | 'latency'
  readonly detail: string
}

/** Runs each test of the new version once with all calls, and once for each target without the calls of that target. */
class LeaveOneOutTests {
  private readonly _all = createTests()
  private readonly _byExcludedTarget = new Map<string, SequentialTest[]>()

  /**
   * Adds calls to the tests.
   * @param outcomes - calls to the new version
   * @param thresholds - buckets above which a call is slow
   * @param addTotals - adds the totals of the calls to the tests of one set
   */
  add (
    outcomes: readonly IOutcomes[], thresholds: readonly number[],
    addTotals: (tests: readonly SequentialTest[], totals: ICallTotals) => void
  ): void {
    for (const { targetId } of outcomes) this._ensureTarget(targetId)
    addTotals(this._all, sumOutcomes(outcomes, thresholds))
    for (const [excludedTargetId, tests] of this._byExcludedTarget) {
      addTotals(tests, sumOutcomes(outcomes.filter(({ targetId }) => targetId !== excludedTargetId), thresholds))
    }
  }

  /** With two or more targets, the fault must show whichever single target is left out. */
  isRejected (index: number, alpha: number): boolean {
    return this._matchesAll(index, test => test.isRejected(alpha))
  }

  isSuspected (index: number, ratio: number): boolean {
    return this._matchesAll(index, test => test.isSuspected(ratio))
  }

  private _matchesAll (index: number, matches: (test: SequentialTest) => boolean): boolean {
    const all = this._all[index]
    if (all === undefined || !matches(all)) return false
    if (this._byExcludedTarget.size < 2) return true
    return [...this._byExcludedTarget.values()].every(tests => tests[index] !== undefined && matches(tests[index]))
  }

  /** A new target has had no calls so far, so the evidence without it starts as all the evidence until now. */
  private _ensureTarget (targetId: string): void {
    if (!this._byExcludedTarget.has(targetId)) this._byExcludedTarget.set(targetId, this._all.map(test => test.clone()))
  }
}

/** Compares both versions on one route, or on all routes together. */
class RouteComparison {
  readonly oldLatencyCounts = new Array<number>(LATENCY_BUCKETS).fill(0)
  private readonly _tests = new LeaveOneOutTests()
  private _regressionTests = new LeaveOneOutTests()
  private _oldRegressionTests = createTests()
  /** Calls since the last reset of the regression tests. */
  private _newSinceReset = new OutcomeSums()
  private _oldSinceReset = new OutcomeSums()
  private _recentOldWindows: Array<readonly IOutcomes[]> = []
  private _pendingNew: IOutcomes[] = []
  private _pendingOld: IOutcomes[] = []
  newCalls = 0
  oldCalls = 0
  newFailures = 0
  oldFailures = 0

  /** Counts calls to the old version that were made before this comparison began. */
  addBaseline ({ calls, failures, latency }: IOutcomes): void {
    this.oldCalls += calls
    this.oldFailures += failures
    this._addOldLatency(latency)
  }

  /** Sums up the calls to the old version that serve as its baseline, scaled down if there are very many. */
  sumBaseline (route: string): IOutcomes {
    const scale = Math.min(1, MAX_BASELINE_CALLS / Math.max(1, this.oldCalls))
    const latency = [...this.oldLatencyCounts.entries()].filter(([, count]) => count > 0)
    return {
      route,
      targetId: '',
      calls: Math.round(this.oldCalls * scale),
      failures: Math.round(this.oldFailures * scale),
      latency: new Map(latency.map(([bucket, count]) => [bucket, Math.round(count * scale)]))
    }
  }

  /** A window with calls to one version only gives no comparison, so its calls are kept until the other version has some. */
  addWindow (newOutcomes: readonly IOutcomes[], oldOutcomes: readonly IOutcomes[]): void {
    this._addToRegressionTests(newOutcomes, oldOutcomes)
    this._pendingNew = mergeOutcomes([...this._pendingNew, ...newOutcomes])
    this._pendingOld = mergeOutcomes([...this._pendingOld, ...oldOutcomes])
    if (countCalls(this._pendingNew) === 0 || countCalls(this._pendingOld) === 0) return
    this._testWindow(this._pendingNew, this._pendingOld)
    this._pendingNew = []
    this._pendingOld = []
  }

  private _testWindow (newOutcomes: readonly IOutcomes[], oldOutcomes: readonly IOutcomes[]): void {
    const thresholds = this._computeThresholds()
    const oldTotals = sumOutcomes(oldOutcomes, thresholds)
    this._tests.add(newOutcomes, thresholds, (tests, newTotals) => addToTests(tests, newTotals, oldTotals))
    const totals = sumOutcomes(newOutcomes, [])
    this.newCalls += totals.calls
    this.newFailures += totals.failures
    this.oldCalls += oldTotals.calls
    this.oldFailures += oldTotals.failures
    for (const { latency } of oldOutcomes) this._addOldLatency(latency)
  }

  private _addOldLatency (latency: ReadonlyMap<number, number>): void {
    for (const [bucket, count] of latency) this.oldLatencyCounts[bucket] = (this.oldLatencyCounts[bucket] ?? 0) + count
  }

  findFaultKind (failureAlpha: number, latencyAlpha: number): 'failures' | 'latency' | undefined {
    if (this._tests.isRejected(0, failureAlpha)) return 'failures'
    return TEST_INDEXES.slice(1).some(index => this._tests.isRejected(index, latencyAlpha)) ? 'latency' : undefined
  }

  isSuspected (ratio: number): boolean {
    return TEST_INDEXES.some(index => this._tests.isSuspected(index, ratio))
  }

  /** Tells whether the new version does worse than the old version's earlier rates, whichever single target is left out. */
  hasRegressed (alpha: number): boolean {
    return TEST_INDEXES.some(index => this._regressionTests.isRejected(index, alpha))
  }

  /** Tells the same of failures only. */
  hasFailureRegressed (alpha: number): boolean {
    return this._regressionTests.isRejected(0, alpha)
  }

  /** Tells whether the new version does worse than the old one by all calls since the last reset, even if made at different times. */
  hasRegressedAlone (alpha: number): boolean {
    const thresholds = this._computeThresholds()
    const oldTotals = sumOutcomes(this._oldSinceReset.list(), thresholds)
    const leaveOneOutTests = new LeaveOneOutTests()
    leaveOneOutTests.add(this._newSinceReset.list(), thresholds, (tests, newTotals) => addToTests(tests, newTotals, oldTotals))
    return TEST_INDEXES.some(index => leaveOneOutTests.isRejected(index, alpha))
  }

  /** Tells whether the old version does worse than its own earlier rates. */
  hasOldVersionRegressed (alpha: number): boolean {
    return this._oldRegressionTests.some(test => test.isRejected(alpha))
  }

  resetRegressionTests (): void {
    this._regressionTests = new LeaveOneOutTests()
    this._oldRegressionTests = createTests()
    this._newSinceReset = new OutcomeSums()
    this._oldSinceReset = new OutcomeSums()
    this._oldSinceReset.add(this._recentOldWindows.flat())
  }

  private _addToRegressionTests (newOutcomes: readonly IOutcomes[], oldOutcomes: readonly IOutcomes[]): void {
    this._newSinceReset.add(newOutcomes)
    this._oldSinceReset.add(oldOutcomes)
    this._recentOldWindows = [...this._recentOldWindows, oldOutcomes].slice(-RECENT_WINDOWS)
    if (this.oldCalls < MIN_BASELINE_CALLS) return
    const thresholds = this._computeThresholds()
    this._regressionTests.add(newOutcomes, thresholds, (tests, totals) => this._addBaselineWindow(tests, totals))
    this._addBaselineWindow(this._oldRegressionTests, sumOutcomes(oldOutcomes, thresholds))
  }

  private _addBaselineWindow (tests: readonly SequentialTest[], totals: ICallTotals): void {
    tests[0]?.addBaselineWindow(totals.calls, totals.failures, this.oldFailures / this.oldCalls)
    for (const [index, quantile] of SLOW_QUANTILES.entries()) {
      tests[index + 1]?.addBaselineWindow(totals.timed, totals.slow[index] ?? 0, 1 - quantile)
    }
  }

  /** Computes the buckets above which a call is slow, one for each quantile, from calls of earlier windows only. */
  private _computeThresholds (): number[] {
    const total = this.oldLatencyCounts.reduce((sum, count) => sum + count, 0)
    if (total < MIN_BASELINE_CALLS) return []
    return SLOW_QUANTILES.map(quantile => {
      let seen = 0
      const bucket = this.oldLatencyCounts.findIndex(count => {
        seen += count
        return seen >= quantile * total
      })
      if (bucket < 0) return LATENCY_BUCKETS
      return Math.max(bucket, computeBucket(computeBucketEndMs(bucket) + LATENCY_SLACK_MS))
    })
  }
}

/** Compares both versions during one move. */
export class VersionComparison {
  private readonly _routes = new Map<string, RouteComparison>()
  private _newCalls = 0
  private _oldCalls = 0

  /**
   * @param _eventKind - kind of fault that a failure is here
   * @param _eventName - what a failed call has done
   */
  constructor (private readonly _eventKind: IVersionFault['kind'] = 'failures', private readonly _eventName = 'failed') {}

  /**
   * Adds the outcomes of one window.
   * @param newOutcomes - calls to the new version
   * @param oldOutcomes - calls to the old version
   */
  addWindow (newOutcomes: readonly IOutcomes[], oldOutcomes: readonly IOutcomes[]): void {
    const routes = new Set([...newOutcomes, ...oldOutcomes].map(outcomes => outcomes.route))
    for (const route of routes) {
      const isOfRoute = (outcomes: IOutcomes): boolean => outcomes.route === route
      this._getRoute(route).addWindow(newOutcomes.filter(isOfRoute), oldOutcomes.filter(isOfRoute))
    }
    this._getRoute(ALL_ROUTES).addWindow(newOutcomes, oldOutcomes)
    this._newCalls += countCalls(newOutcomes)
    this._oldCalls += countCalls(oldOutcomes)
  }

  /**
   * Gives the comparison calls to the old version that were made before it began, so that it knows the usual rates from the start.
   * @param outcomes - result of {@link listBaseline} of another comparison
   */
  addBaseline (outcomes: readonly IOutcomes[]): void {
    for (const outcome of outcomes) this._getRoute(outcome.route).addBaseline(outcome)
  }

  /** @returns outcomes of the old version over all routes and on the busiest ones, each over all targets */
  listBaseline (): IOutcomes[] {
    return [...this._routes].map(([route, comparison]) => comparison.sumBaseline(route))
      .filter(({ calls }) => calls > 0)
      .sort((a, b) => b.calls - a.calls)
      .slice(0, MAX_BASELINE_ROUTES)
  }

  /** @returns true once the rates of the old version are known, so that a regression of the new one can be found */
  hasBaseline (): boolean {
    return this._getRoute(ALL_ROUTES).oldCalls >= MIN_BASELINE_CALLS
  }

  /** @returns calls to the new version since the start */
  getNewCalls (): number {
    return this._newCalls
  }

  /** @returns calls to the old version since the start */
  getOldCalls (): number {
    return this._oldCalls
  }

  /**
   * Tells whether the new version does worse than the old one did before, which works even while the old one
   * gets few calls. A fault common to both versions looks the same, so a regression must be followed by a comparison
   * of both at the same time.
   * @param alpha - accepted probability of a false alarm
   * @returns true for a regression
   */
  hasRegressed (alpha: number): boolean {
    const testAlpha = this._computeTestAlpha(alpha)
    return [...this._routes.values()].some(route => route.hasRegressed(testAlpha))
  }

  /**
   * Tells whether the old version does worse than before, too.
   * @param alpha - accepted probability of a false alarm of each test, not divided among the tests
   * @returns true for a fault that both versions have in common
   */
  hasOldVersionRegressed (alpha: number): boolean {
    return [...this._routes.values()].some(route => route.hasOldVersionRegressed(alpha))
  }

  /**
   * Tells whether the new version does worse than the old one, by all calls since the last reset. The versions
   * need not have had their calls at the same time, so a common fault that ended in between counts as a regression.
   * @param alpha - accepted probability of a false alarm
   * @returns true for a regression of the new version alone
   */
  hasRegressedAlone (alpha: number): boolean {
    const testAlpha = this._computeTestAlpha(alpha)
    return [...this._routes.values()].some(route => route.hasRegressedAlone(testAlpha))
  }

  /**
   * Tells whether the calls so far are more likely for a worse version than for one that is not worse, corrected for the
   * number of tests. This is weaker evidence than {@link findFault} needs, and events on the old version may reverse it.
   * @returns true while more calls are needed to decide
   */
  isSuspected (): boolean {
    const ratio = 1 / this._computeTestAlpha(1)
    return [...this._routes.values()].some(route => route.isSuspected(ratio))
  }

  /** Restarts the regression tests; {@link hasRegressedAlone} still counts the old version's calls in the latest windows. */
  resetRegressionTests (): void {
    for (const route of this._routes.values()) route.resetRegressionTests()
  }

  /**
   * Finds a route on which the new version does worse than the old one.
   * @param alpha - accepted probability of a false alarm over the whole move
   * @returns the fault, or undefined
   */
  findFault (alpha: number): IVersionFault | undefined {
    // One half of alpha is for failures over all routes, the other half is divided among all tests.
    const testAlpha = this._computeTestAlpha(alpha / 2)
    for (const [route, comparison] of this._routes) {
      const kind = comparison.findFaultKind(route === ALL_ROUTES ? alpha / 2 : testAlpha, testAlpha)
      if (kind === undefined) continue
      const detail = kind === 'failures'
        ? `${comparison.newFailures} of ${comparison.newCalls} calls ${this._eventName}, ` +
          `${comparison.oldFailures} of ${comparison.oldCalls} on the old version`
        : `slower than the old version in ${comparison.newCalls} calls`
      return { place: formatPlace(route), kind: kind === 'failures' ? this._eventKind : kind, detail }
    }
    return undefined
  }

  /**
   * Finds a route on which the new version fails more often than the old one did before, which works while the old one gets no calls.
   * @param alpha - accepted probability of a false alarm as long as the rate of failures that both versions have in common is steady
   * @returns the fault, or undefined
   */
  findFailureRegression (alpha: number): IVersionFault | undefined {
    const testAlpha = this._computeTestAlpha(alpha)
    const route = [...this._routes].find(([, comparison]) => comparison.hasFailureRegressed(testAlpha))?.[0]
    if (route === undefined) return undefined
    return { place: formatPlace(route), kind: 'failures', detail: 'fails more often than the old version did before' }
  }

  private _getRoute (route: string): RouteComparison {
    let comparison = this._routes.get(route)
    if (comparison === undefined) {
      comparison = new RouteComparison()
      this._routes.set(route, comparison)
    }
    return comparison
  }

  /** Divides the probability of a false alarm among all tests (Bonferroni correction). */
  private _computeTestAlpha (alpha: number): number {
    return alpha / Math.max(1, this._routes.size * TEST_INDEXES.length)
  }
}

function formatPlace (route: string): string {
  return route === ALL_ROUTES ? 'over all routes' : `on route ${route}`
}

function addToTests (tests: readonly SequentialTest[], newTotals: ICallTotals, oldTotals: ICallTotals): void {
  tests[0]?.addWindow(newTotals.calls, newTotals.failures, oldTotals.calls, oldTotals.failures)
  for (const index of newTotals.slow.keys()) {
    tests[index + 1]?.addWindow(newTotals.timed, newTotals.slow[index] ?? 0, oldTotals.timed, oldTotals.slow[index] ?? 0)
  }
}

function createTests (): SequentialTest[] {
  return TEST_INDEXES.map(() => new SequentialTest())
}
