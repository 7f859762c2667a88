/**
 * Expected times of calls by the reports of the targets, which measure them from the calls of all callers.
 */
import type { ITargetLoad } from '../CallLoad.js'
import type { TargetState } from './TargetState.js'

/** Weight of the newest report in the averages. */
const REPORT_WEIGHT = 0.05
/** Age of a report up to which it alone counts, and half-life of its weight afterwards. */
const FRESH_MS = 1_000
const HALF_LIFE_MS = 2_000

interface IRouteAverage {
  ownMs: number
  nestedMs: number
  reports: number
}

/** Compares the reports of each target with the average of all, so that a report of one route holds for the others. */
export class ReportedTimes {
  private readonly _routes = new Map<string, IRouteAverage>()

  /**
   * Records what a target reported with a response. A report without times, as of a process of an earlier version, changes nothing.
   * @param state - the target
   * @param route - key of the route of the call
   * @param load - report of the target's own process
   * @param nowMs - monotonic time in milliseconds
   */
  recordLoad (state: TargetState, route: string, { expectedMs = 0, nestedMs = 0, room = 0 }: ITargetLoad, nowMs: number): void {
    if (room > 0) state.reportedRoom = { calls: room, atMs: nowMs }
    if (expectedMs <= 0) return
    const average = this._updateAverage(route, expectedMs, nestedMs)
    state.reportedSpeed = { slowness: expectedMs / average.ownMs, atMs: nowMs }
  }

  /**
   * Computes the expected time of a call in a slot. Nested calls take the same time whichever target makes them, so their average
   * over all targets counts.
   * @param state - the target
   * @param route - key of the route
   * @param learnedMs - expected time without reports, in milliseconds, which replaces the report gradually as that grows old
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds
   */
  computeServiceMs ({ reportedSpeed }: TargetState, route: string, learnedMs: number, nowMs: number): number {
    const average = this._routes.get(route)
    if (average === undefined || reportedSpeed === undefined) return learnedMs
    const weight = 0.5 ** (Math.max(0, nowMs - reportedSpeed.atMs - FRESH_MS) / HALF_LIFE_MS)
    const reportedMs = average.ownMs * reportedSpeed.slowness + average.nestedMs
    return learnedMs + (reportedMs - learnedMs) * weight
  }

  private _updateAverage (route: string, expectedMs: number, nestedMs: number): IRouteAverage {
    let average = this._routes.get(route)
    if (average === undefined) {
      average = { ownMs: 0, nestedMs: 0, reports: 0 }
      this._routes.set(route, average)
    }
    const weight = Math.max(REPORT_WEIGHT, 1 / ++average.reports)
    average.ownMs += (expectedMs - average.ownMs) * weight
    average.nestedMs += (nestedMs - average.nestedMs) * weight
    return average
  }
}
