/**
 * Measures the calls that one target runs, for the expected times that are reported to callers.
 */
import type { IClock } from '@lagoonswitch/common'
import type { PauseMeter } from './PauseMeter.js'
import { RunTimes } from './RunTimes.js'

const FIRST_ERROR_STATUS = 400

/** A run that has sent the head of its response. */
export interface IMeasuredRun {
  /** Key of the route; empty if unknown. */
  readonly route: string
  /** Monotonic time in milliseconds at which the call got its slot. */
  readonly startedMs: number
  /** Time in milliseconds during which nested calls were in progress; undefined if they can't be told from other calls. */
  readonly nestedMs: number | undefined
  /** False if the target had to wait for the caller to send the request. */
  readonly isRequestWhole: boolean
  readonly status: number
}

/** Times that are reported with a response; 0 if unknown. */
export interface IReportedTimes {
  /** Time in milliseconds that such a call takes at the target now, without nested calls. */
  readonly expectedMs: number
  /** Time in milliseconds for which this call waited for nested calls. */
  readonly nestedMs: number
}

const UNKNOWN_TIMES: IReportedTimes = { expectedMs: 0, nestedMs: 0 }

/** Measures runs until the head of the response, so that callers which read slowly don't matter. */
export class RunMeter {
  private readonly _times: RunTimes

  /**
   * @param _clock - source of time
   * @param _pauses - knows when this process stood still
   */
  constructor (private readonly _clock: IClock, private readonly _pauses: PauseMeter) {
    this._times = new RunTimes(_clock)
  }

  /**
   * Records a run if its time says something about the target.
   * @param run - that has sent the head of its response
   * @returns times for the report to the caller
   */
  recordRun ({ route, startedMs, nestedMs, isRequestWhole, status }: IMeasuredRun): IReportedTimes {
    if (route === '' || nestedMs === undefined) return UNKNOWN_TIMES
    const ownMs = this._clock.readMonotonicMs() - startedMs - nestedMs
    // Errors take another time than the work of the route.
    const isComparable = isRequestWhole && status < FIRST_ERROR_STATUS && ownMs > 0 && !this._pauses.hasPausedSince(startedMs)
    if (isComparable) this._times.recordRun(route, ownMs)
    return { expectedMs: this._times.computeExpectedMs(route), nestedMs }
  }
}
