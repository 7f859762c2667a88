/**
 * Finds the number of calls at once with which a target under congestion completes most calls.
 */
import type { IClock } from '@lagoonswitch/common'
import { RoomPolicy, type IRunSample } from './RoomPolicy.js'
import { RunTimes } from './RunTimes.js'

/**
 * Changes of the number of calls in trials, as fractions, at least one call. Near a steep decline of throughput only a large step shows
 * a clear gain; the best number itself is found by small ones.
 */
const STEPS_DOWN = [0.4, 0.1, 0.2] as const
const STEPS_UP = [0.1, 0.3] as const
/** Length of a period in usual run times: most calls that start in it also end in it. */
const PERIOD_RUNS = 2.5
const MIN_PERIOD_MS = 100
const MAX_PERIOD_MS = 2_000
/** Time between trials: short at first and after a change, then doubled after each trial that changes nothing, so that trials cost little. */
const FIRST_INTERVAL_MS = 500
const MAX_INTERVAL_MS = 30_000
/** Pairs of periods after which a trial that shows no clear gain ends. */
const MAX_PAIRS = 6
/** Calls of each kind of period before a trial is judged. */
const MIN_SAMPLES = 12
/** Standard errors by which a gain must differ from the one required (one-sided 95%). */
const CONFIDENCE = 1.65
/** Gain in log throughput that a lower number must show; where throughput is equal the higher number is kept. */
const MIN_GAIN_DOWN = 0.04
/** A higher number may show a slightly lower throughput within the error of a trial. */
const MIN_GAIN_UP = -0.02
/** Weight of the newest sample in the usual duration. */
const DURATION_WEIGHT = 0.05

interface ILogSums {
  count: number
  sum: number
  sumOfSquares: number
}

interface ITrial {
  readonly calls: number
  readonly base: ILogSums
  readonly changed: ILogSums
  /** True while the trial's own number of calls is in use, false in the periods between. */
  isChanged: boolean
  pairs: number
  periodStartedMs: number
  periodEndsMs: number
}

/**
 * Compares the present number of calls with a higher or lower one in alternating periods. Since both are measured at the same time, a
 * target that is slow at any load, a cold start or a slow phase doesn't change the result. Answers congestion only: without waiting
 * calls the number in use doesn't matter, and nothing is changed.
 */
export class LearnedRoom extends RoomPolicy {
  private readonly _times: RunTimes
  private _calls: number | undefined
  private _trial: ITrial | undefined
  private _isNextUp = false
  private _nextTrialMs = 0
  private _intervalMs = FIRST_INTERVAL_MS
  private _averageRunMs = 0
  private _runs = 0
  private _trials = 0

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {
    super()
    this._times = new RunTimes(_clock)
  }

  recordRun ({ route, startedMs, ownMs, isComparable }: IRunSample): void {
    if (!isComparable || ownMs <= 0) return
    this._runs++
    this._averageRunMs += (ownMs - this._averageRunMs) * Math.max(DURATION_WEIGHT, 1 / this._runs)
    const relative = this._times.recordRun(route, ownMs)
    if (relative === undefined || this._trial === undefined || startedMs < this._trial.periodStartedMs) return
    const sums = this._trial.isChanged ? this._trial.changed : this._trial.base
    sums.count++
    sums.sum += relative
    sums.sumOfSquares += relative * relative
  }

  computeRoom (slots: number, isCongested: boolean): number {
    const calls = Math.min(slots, this._calls ?? slots)
    const nowMs = this._clock.readMonotonicMs()
    if (this._trial === undefined) {
      if (isCongested && nowMs >= this._nextTrialMs && this._runs >= MIN_SAMPLES) this._startTrial(calls, slots, nowMs)
    } else if (nowMs >= this._trial.periodEndsMs) {
      this._endPeriod(this._trial, calls, slots, nowMs, isCongested)
    }
    if (this._trial?.isChanged === true) return Math.min(slots, this._trial.calls)
    return Math.min(slots, this._calls ?? slots)
  }

  private _startTrial (calls: number, slots: number, nowMs: number): void {
    const isUp = calls < slots && (this._isNextUp || calls === 1)
    const steps = isUp ? STEPS_UP : STEPS_DOWN
    const step = Math.max(1, Math.round((steps[this._trials++ % steps.length] as number) * calls))
    const changedCalls = isUp ? Math.min(slots, calls + step) : Math.max(1, calls - step)
    if (changedCalls === calls) return
    this._trial = {
      calls: changedCalls,
      base: { count: 0, sum: 0, sumOfSquares: 0 },
      changed: { count: 0, sum: 0, sumOfSquares: 0 },
      isChanged: false,
      pairs: 0,
      periodStartedMs: nowMs,
      periodEndsMs: nowMs + this._computePeriodMs()
    }
  }

  private _endPeriod (trial: ITrial, calls: number, slots: number, nowMs: number, isCongested: boolean): void {
    trial.pairs += trial.isChanged ? 1 : 0
    const decision = trial.isChanged || !isCongested ? decideTrial(trial, calls, isCongested) : undefined
    if (decision === undefined) {
      trial.isChanged = !trial.isChanged
      trial.periodStartedMs = nowMs
      trial.periodEndsMs = nowMs + this._computePeriodMs()
      return
    }
    this._trial = undefined
    const isUp = trial.calls > calls
    if (decision === 'change') {
      this._calls = trial.calls >= slots ? undefined : trial.calls
      this._intervalMs = 0
      this._isNextUp = isUp
    } else {
      this._intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(FIRST_INTERVAL_MS, 2 * this._intervalMs))
      this._isNextUp = !isUp
    }
    this._nextTrialMs = nowMs + this._intervalMs
  }

  private _computePeriodMs (): number {
    return Math.max(MIN_PERIOD_MS, Math.min(MAX_PERIOD_MS, PERIOD_RUNS * this._averageRunMs))
  }
}

/**
 * Judges a trial by its throughput: the number of calls at once divided by their duration.
 * @returns undefined while it is open
 */
function decideTrial (trial: ITrial, calls: number, isCongested: boolean): 'change' | 'keep' | undefined {
  if (!isCongested) return 'keep'
  const { base, changed } = trial
  const isLast = trial.pairs >= MAX_PAIRS
  if (base.count < MIN_SAMPLES || changed.count < MIN_SAMPLES) return isLast ? 'keep' : undefined
  const gain = Math.log(trial.calls / calls) - (changed.sum / changed.count - base.sum / base.count)
  const error = Math.sqrt(computeVariance(base) / base.count + computeVariance(changed) / changed.count)
  const required = trial.calls < calls ? MIN_GAIN_DOWN : MIN_GAIN_UP
  if (gain - CONFIDENCE * error > required) return 'change'
  if (gain + CONFIDENCE * error < required) return 'keep'
  if (!isLast) return undefined
  return trial.calls > calls && gain > required ? 'change' : 'keep'
}

function computeVariance ({ count, sum, sumOfSquares }: ILogSums): number {
  return Math.max(0, sumOfSquares / count - (sum / count) ** 2)
}
