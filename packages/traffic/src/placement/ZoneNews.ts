/**
 * What this process has heard of the load of the targets of one service in one zone.
 */

/**
 * Time after which a report counts half. Demand that swings by 55% in waves of 15 s changes by up to 23% of its mean per second, so
 * reports of a second ago say little.
 */
const REPORT_HALF_LIFE_MS = 500
/** Time after which a refusal counts half. */
const REFUSAL_HALF_LIFE_MS = 400
/** Weight of one outcome in the share of refused calls. */
const REFUSAL_WEIGHT = 0.3
/** Load that is assumed without news, and its weight in reports. It leaves room for a few calls, whose responses bring news. */
const ASSUMED_UTILIZATION = 0.6
const ASSUMED_WEIGHT = 0.5

/** Averages of reports and refusals that decay with age. */
export class ZoneNews {
  private _weight = 0
  private _sum = 0
  private _reportedMs = 0
  private _refusedShare = 0
  private _refusedMs = 0

  /**
   * Records a load report.
   * @param utilization - calls per slot at the target
   * @param nowMs - monotonic time in milliseconds
   */
  recordLoad (utilization: number, nowMs: number): void {
    const decay = 0.5 ** ((nowMs - this._reportedMs) / REPORT_HALF_LIFE_MS)
    this._weight = this._weight * decay + 1
    this._sum = this._sum * decay + utilization
    this._reportedMs = nowMs
  }

  /**
   * Records whether a target took a call.
   * @param isRefused - false if it did
   * @param nowMs - monotonic time in milliseconds
   */
  recordOutcome (isRefused: boolean, nowMs: number): void {
    const share = this.computeRefusedShare(nowMs)
    this._refusedShare = share + ((isRefused ? 1 : 0) - share) * REFUSAL_WEIGHT
    this._refusedMs = nowMs
  }

  /** @returns expected calls per slot, 1 or more if calls wait */
  computeUtilization (nowMs: number): number {
    const decay = 0.5 ** ((nowMs - this._reportedMs) / REPORT_HALF_LIFE_MS)
    return (this._sum * decay + ASSUMED_UTILIZATION * ASSUMED_WEIGHT) / (this._weight * decay + ASSUMED_WEIGHT)
  }

  /** @returns share of calls that are refused there, which decays with the time since the last call */
  computeRefusedShare (nowMs: number): number {
    return this._refusedShare * 0.5 ** ((nowMs - this._refusedMs) / REFUSAL_HALF_LIFE_MS)
  }
}
