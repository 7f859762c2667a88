/**
 * Finds the number of calls at once with which a target under congestion completes most work.
 */
import type { IClock } from '@lagoonswitch/common'
import { RoomPolicy, type IRunSample } from './RoomPolicy.js'
import { RouteWeights } from './RouteWeights.js'
import { ThroughputCurve } from './ThroughputCurve.js'

/** Runs measured at the present number of calls before a trial, and the number at which older ones are halved in weight. */
const MIN_BASE_RUNS = 16
const MAX_BASE_RUNS = 200
/** Runs of a trial before it may end, and ratio to those before it above which more would change little. */
const MIN_TRIAL_RUNS = 6
const MAX_TRIAL_RATIO = 1.5
/** Standard errors by which a gain, or a loss, must differ from 0 for a trial to end early; a loss isn't borne for long. */
const GAIN_CONFIDENCE = 2
const LOSS_CONFIDENCE = 2
/** Time after which a trial ends in any case. */
const MAX_TRIAL_MS = 4_000
/** Time from a change of the number of calls until throughput is measured, in usual run times. */
const SETTLE_RUNS = 0.7
/** Steepness with which the value of a run falls around the time that was left for it. */
const VALUE_EXPONENT = 4
/** Value of a run that is far too late; without it, the few that are in time would decide, and these vary much. */
const LATE_VALUE = 0.1
/** Smallest relative standard deviation of one run; few runs may seem more alike than they are. */
const MIN_RUN_DEVIATION = 0.5
/** Change of the target's speed between two measurements, as standard deviation. */
const DRIFT_DEVIATION = 0.2
/** Difference of log throughput that must be expected for a change. */
const MIN_GAIN = 0.02
/** Standard deviations by which the throughput with fewer calls must exceed the present one. */
const DOWN_CONFIDENCE = 1
/** Time for which a better number is expected to be of use, in milliseconds. */
const HORIZON_MS = 16_000
/** Standard deviation of the result of a trial that is being planned. */
const PLANNED_DEVIATION = 0.2
/** Calls that trials may cost at first, and per completed call. */
const FIRST_BUDGET = 60
const BUDGET_RATIO = 0.015
/** First number of calls that is tried, relative to the slots. */
const FIRST_RATIO = 0.6
/** Time until trials are considered again when none was worth its cost. */
const IDLE_INTERVAL_MS = 500

interface IThroughput {
  /** Completed runs, weighted by the usual time of their route. */
  work: number
  runs: number
  /** Time of all slots in use, in milliseconds. */
  slotMs: number
  /** Sums of squares and products of the work and the time of runs, for the error. */
  workSquares: number
  workMs: number
  squareMs: number
}

interface ITrial {
  readonly calls: number
  readonly startedMs: number
  readonly measured: IThroughput
  /** Time at which the number of calls at the target became that of the trial; undefined before. */
  reachedMs: number | undefined
  /** Runs that ended since the start of the trial, also those that are not measured. */
  allRuns: number
}

/**
 * Tries another number of calls for a short time and keeps it if the target completes more. Compares throughput, not durations of runs
 * that ended in the trial, since those that end first are the short ones.
 */
export class LearnedRoom extends RoomPolicy {
  private readonly _weights = new RouteWeights()
  private _calls = Infinity
  private _slots = Infinity
  private _base: IThroughput = createThroughput()
  private _isBaseReached = false
  /** Runs that started before the present number of calls was reached. */
  private _runsToSkip = 0
  private _trial: ITrial | undefined
  private _curve = new ThroughputCurve(1)
  private _curveMs = 0
  private _nextTrialMs = 0
  private _budget = FIRST_BUDGET
  private _inFlight = 0
  private _isCongested = false
  private _loadedMs = 0

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {
    super()
  }

  recordRun ({ route, ownMs, nestedMs, allowedMs, isComparable }: IRunSample): void {
    this._budget += BUDGET_RATIO
    this._runsToSkip -= this._isBaseReached && this._runsToSkip > 0 ? 1 : 0
    const weight = this._weights.recordRun(route, ownMs, nestedMs, isComparable)
    if (this._trial !== undefined) this._trial.allRuns++
    const measured = this._findMeasured()
    if (measured === undefined) return
    addRun(measured, weight * computeValue(ownMs + nestedMs, allowedMs), ownMs + nestedMs)
    if (this._trial !== undefined) this._decide(this._trial)
    else if (measured.runs > MAX_BASE_RUNS) halve(measured)
  }

  recordLoad (inFlight: number, isCongested: boolean): void {
    const nowMs = this._clock.readMonotonicMs()
    const measured = this._findMeasured()
    if (measured !== undefined) measured.slotMs += this._inFlight * (nowMs - this._loadedMs)
    this._loadedMs = nowMs
    this._inFlight = inFlight
    this._isCongested = isCongested
    if (this._trial !== undefined) this._updateReached(this._trial, nowMs)
    else if (inFlight >= this._baseCalls) this._isBaseReached = true
  }

  computeRoom (slots: number): number {
    if (slots !== this._slots) this._restart(slots)
    const nowMs = this._clock.readMonotonicMs()
    if (this._trial === undefined) this._startTrial(nowMs)
    else if (nowMs - this._trial.startedMs > MAX_TRIAL_MS) this._endTrial(this._trial)
    return this._trial?.calls ?? this._baseCalls
  }

  private get _baseCalls (): number {
    return Math.min(this._slots, this._calls)
  }

  private _restart (slots: number): void {
    this._slots = slots
    this._curve = new ThroughputCurve(slots)
    this._curveMs = this._clock.readMonotonicMs()
    this._trial = undefined
    this._resetBase()
  }

  private _resetBase (): void {
    this._base = createThroughput()
    this._isBaseReached = false
    this._runsToSkip = this._baseCalls
  }

  private _updateReached (trial: ITrial, nowMs: number): void {
    const isReached = trial.calls < this._baseCalls ? this._inFlight <= trial.calls : this._inFlight >= trial.calls
    if (isReached) trial.reachedMs ??= nowMs
  }

  /** Throughput is measured while all allowed calls are at the target. */
  private _findMeasured (): IThroughput | undefined {
    if (this._trial !== undefined) return this._isSettled(this._trial) ? this._trial.measured : undefined
    return this._isBaseReached && this._runsToSkip === 0 && (this._isCongested || this._inFlight >= this._baseCalls - 1) ? this._base : undefined
  }

  /** Runs in progress at a change are all old or all new, so that they end at another rate than usual. */
  private _isSettled ({ reachedMs = Infinity }: ITrial): boolean {
    return this._clock.readMonotonicMs() - reachedMs > SETTLE_RUNS * this._base.slotMs / this._base.runs
  }

  private _startTrial (nowMs: number): void {
    if (!this._isCongested || nowMs < this._nextTrialMs || this._base.runs < MIN_BASE_RUNS || this._budget <= 0) return
    this._curve.advance(nowMs - this._curveMs)
    this._curveMs = nowMs
    const calls = this._selectTrial()
    if (calls === undefined) {
      this._nextTrialMs = nowMs + IDLE_INTERVAL_MS
      return
    }
    this._trial = { calls, startedMs: nowMs, measured: createThroughput(), reachedMs: undefined, allRuns: 0 }
    this._updateReached(this._trial, nowMs)
  }

  /** Selects the trial that is expected to gain most over its cost. */
  private _selectTrial (): number | undefined {
    const base = this._baseCalls
    const runMs = this._base.slotMs / this._base.runs
    let best: number | undefined
    let bestValue = 0
    // The first one is far away, where a slowdown by load shows clearly.
    if (!this._curve.isTried(base)) return Math.max(1, Math.round(FIRST_RATIO * base)) % base || undefined
    const middle = this._curve.findMiddleAbove(base)
    if (middle !== undefined) return middle
    for (let calls = 1; calls <= this._slots; calls++) {
      if (calls === base) continue
      const { mean, variance } = this._curve.compare(calls, base)
      const deviation = variance / Math.sqrt(variance + PLANNED_DEVIATION ** 2)
      const trialMs = runMs * (SETTLE_RUNS + Math.abs(base - calls) / base + MIN_BASE_RUNS / calls)
      const value = computeExpectedGain(mean, deviation) * HORIZON_MS - Math.max(0.02, 1 - Math.exp(mean)) * trialMs
      if (value <= bestValue) continue
      best = calls
      bestValue = value
    }
    return best
  }

  private _decide (trial: ITrial): void {
    const { measured } = trial
    if (measured.runs < MIN_TRIAL_RUNS || measured.slotMs <= 0) return
    const error = Math.hypot(computeError(measured), computeError(this._base))
    const deviations = this._computeGain(trial) / error
    const isClear = deviations > GAIN_CONFIDENCE || deviations < -LOSS_CONFIDENCE
    if (isClear || measured.runs >= MAX_TRIAL_RATIO * this._base.runs) this._endTrial(trial)
  }

  private _computeGain ({ calls, measured }: ITrial): number {
    const speed = measured.work / measured.slotMs / (this._base.work / this._base.slotMs)
    return Math.log(calls / this._baseCalls * speed)
  }

  private _endTrial (trial: ITrial): void {
    const nowMs = this._clock.readMonotonicMs()
    this._trial = undefined
    const { runs, slotMs } = this._base
    this._budget -= Math.max(0, runs / slotMs * this._baseCalls * (nowMs - trial.startedMs) - trial.allRuns)
    if (trial.measured.runs > 0 && trial.measured.slotMs > 0) {
      const variance = computeError(trial.measured) ** 2 + computeError(this._base) ** 2 + DRIFT_DEVIATION ** 2
      this._curve.recordComparison(trial.calls, this._baseCalls, { mean: this._computeGain(trial), variance })
    }
    const best = this._selectBest()
    const isChanged = best !== this._baseCalls
    this._calls = best >= this._slots ? Infinity : best
    // Measured anew for each trial, so that the errors of comparisons don't depend on each other.
    this._resetBase()
    if (!isChanged) return
    this._budget = Math.max(this._budget, FIRST_BUDGET)
  }

  private _selectBest (): number {
    let best = this._baseCalls
    let bestGain = MIN_GAIN
    for (let calls = 1; calls <= this._slots; calls++) {
      const { mean, variance } = this._curve.compare(calls, this._baseCalls)
      const margin = calls < this._baseCalls ? DOWN_CONFIDENCE * Math.sqrt(variance) : 0
      if (mean <= bestGain || mean <= margin || !this._curve.isTried(calls)) continue
      best = calls
      bestGain = mean
    }
    return best
  }
}

/** Expected gain over 0 of a normally distributed difference that is used only if it is positive. */
function computeExpectedGain (mean: number, deviation: number): number {
  if (deviation <= 0) return Math.max(0, mean)
  const z = mean / deviation
  const density = Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI)
  // Logistic approximation of the normal distribution.
  return deviation * density + mean / (1 + Math.exp(-1.702 * z))
}

/** Value of a run that took a time: near 1 if it was in time. Falls gradually, so that single runs decide less. */
function computeValue (runMs: number, allowedMs: number): number {
  return allowedMs <= 0 ? 1 : LATE_VALUE + (1 - LATE_VALUE) / (1 + (runMs / allowedMs) ** VALUE_EXPONENT)
}

function createThroughput (): IThroughput {
  return { work: 0, runs: 0, slotMs: 0, workSquares: 0, workMs: 0, squareMs: 0 }
}

function addRun (measured: IThroughput, work: number, runMs: number): void {
  measured.work += work
  measured.runs++
  measured.workSquares += work * work
  measured.workMs += work * runMs
  measured.squareMs += runMs * runMs
}

/** Relative standard error of the work per slot and time, as of a ratio of two sums. */
function computeError ({ work, runs, slotMs, workSquares, workMs, squareMs }: IThroughput): number {
  const rate = work / slotMs
  const residuals = Math.max(0, workSquares - 2 * rate * workMs + rate * rate * squareMs)
  return Math.max(MIN_RUN_DEVIATION * Math.sqrt(runs), Math.sqrt(residuals) / (work / runs)) / runs
}

function halve (measured: IThroughput): void {
  measured.work /= 2
  measured.runs /= 2
  measured.slotMs /= 2
  measured.workSquares /= 2
  measured.workMs /= 2
  measured.squareMs /= 2
}
