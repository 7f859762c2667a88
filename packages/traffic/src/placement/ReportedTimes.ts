/**
 * Expected times of calls by the reports of the targets, which measure them from the calls of all callers.
 */
import type { IRandom } from '@lagoonswitch/common'
import type { ITargetLoad } from '../CallLoad.js'
import type { TargetState } from './TargetState.js'

/** Weight of the newest report in the averages. */
const REPORT_WEIGHT = 0.05
/**
 * For the choice of a target: exponent of the slowness, slowdown by a full load, and width of the random term of the log time. All callers
 * see nearly the same reports; if they followed them fully, all would choose the target that reports the shortest time, and its queue
 * would fill.
 */
const CHOICE_EXPONENT = 0.5
const CHOICE_SLOWDOWN = 0.3
const CHOICE_SPREAD = 0.8
/** Weight of the newest report in the usual slowness of a target. */
const USUAL_SLOWNESS_WEIGHT = 0.1
/** Age up to which the last report alone counts, and half-life of its weight against the usual slowness afterwards. */
const FRESH_MS = 1_000
const HALF_LIFE_MS = 2_000
/** Age of the last report up to which only reports count, and half-life of their weight afterwards. */
const USUAL_FRESH_MS = 10_000
const USUAL_HALF_LIFE_MS = 10_000

interface IRouteAverage {
  ownMs: number
  nestedMs: number
  reports: number
}

/** Compares the reports of each target with the average of all, so that a report of one route holds for the others. */
export class ReportedTimes {
  private readonly _routes = new Map<string, IRouteAverage>()

  /** @param _random - spreads the choices of callers that have the same reports */
  constructor (private readonly _random: IRandom) {}

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
    const slowness = expectedMs / average.ownMs
    const usual = state.reportedSpeed?.usualSlowness ?? slowness
    state.reportedSpeed = { slowness, usualSlowness: usual + (slowness - usual) * USUAL_SLOWNESS_WEIGHT, atMs: nowMs }
  }

  /**
   * Computes the expected time of a call in a slot. Nested calls take the same time whichever target makes them, so their average
   * over all targets counts. As the last report grows old, the usual one of the target replaces it and later the learned time. The
   * learned time alone would not do: it contains assumptions on load and warm-up, so that targets without calls from here would seem
   * slower than one that has just reported that it is slow.
   * @param state - the target
   * @param route - key of the route
   * @param learnedMs - expected time without reports, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds
   */
  computeServiceMs (state: TargetState, route: string, learnedMs: number, nowMs: number): number {
    return this._computeMs(state, route, learnedMs, nowMs, slowness => slowness)
  }

  /**
   * Like {@link computeServiceMs}, for the comparison of targets: differences count less, and the load and chance count as well.
   * @param state - the target
   * @param route - key of the route
   * @param learnedMs - expected time without reports, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns milliseconds
   */
  computeChoiceMs (state: TargetState, route: string, learnedMs: number, nowMs: number): number {
    const load = Math.min(1, state.countActive(nowMs) / Math.max(1, state.computeRoom(nowMs)))
    const spread = Math.exp(CHOICE_SPREAD * (this._random.draw() - 0.5))
    return this._computeMs(state, route, learnedMs, nowMs, slowness => slowness ** CHOICE_EXPONENT * (1 + CHOICE_SLOWDOWN * load) * spread)
  }

  private _computeMs (
    state: TargetState, route: string, learnedMs: number, nowMs: number, weigh: (slowness: number) => number
  ): number {
    const { reportedSpeed } = state
    const average = this._routes.get(route)
    if (average === undefined || reportedSpeed === undefined) return learnedMs
    const { slowness, usualSlowness, atMs } = reportedSpeed
    const weight = 0.5 ** (Math.max(0, nowMs - atMs - FRESH_MS) / HALF_LIFE_MS)
    const reportedMs = average.ownMs * weigh(usualSlowness + (slowness - usualSlowness) * weight) + average.nestedMs
    const expectedMs = learnedMs + (reportedMs - learnedMs) * 0.5 ** (Math.max(0, nowMs - atMs - USUAL_FRESH_MS) / USUAL_HALF_LIFE_MS)
    // Else the first targets to report of many cold ones would get all calls, as the others are assumed to be slow.
    return state.isWarm(nowMs) ? expectedMs : Math.max(learnedMs, expectedMs)
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
