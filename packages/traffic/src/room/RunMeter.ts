/**
 * Measures the calls that one target runs, for the expected times that are reported to callers.
 */
import type { IClock, Metrics } from '@lagoonswitch/common'
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
   * @param _metrics - for the times of runs, and the number of runs that are not measured
   * @param _targetId - of the target
   */
  constructor (
    private readonly _clock: IClock, private readonly _pauses: PauseMeter, private readonly _metrics: Metrics,
    private readonly _targetId: string
  ) {
    this._times = new RunTimes(_clock)
  }

  /**
   * Records a run if its time says something about the target.
   * @param run - that has sent the head of its response
   * @returns times for the report to the caller
   */
  recordRun (run: IMeasuredRun): IReportedTimes {
    const { route, startedMs, nestedMs } = run
    const obstacle = this._findObstacle(run)
    this._metrics.count('runs_measured_total', obstacle ?? 'measured')
    if (nestedMs === undefined || obstacle === 'unknown') return UNKNOWN_TIMES
    const ownMs = this._clock.readMonotonicMs() - startedMs - nestedMs
    if (obstacle === undefined && ownMs > 0) {
      this._times.recordRun(route, ownMs)
      this._metrics.getLatencyFamily('run_own_duration', 'target').record(this._targetId, ownMs)
    }
    return { expectedMs: this._times.computeExpectedMs(route), nestedMs }
  }

  /** Finds why the time of a run says nothing about the target; errors take another time than the work of the route. */
  private _findObstacle ({ route, startedMs, nestedMs, isRequestWhole, status }: IMeasuredRun): string | undefined {
    if (route === '' || nestedMs === undefined) return 'unknown'
    if (!isRequestWhole) return 'request'
    if (status >= FIRST_ERROR_STATUS) return 'error'
    return this._pauses.hasPausedSince(startedMs) ? 'pause' : undefined
  }
}
