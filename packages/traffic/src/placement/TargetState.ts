/**
 * What this process has measured of one target, and the load and times that it expects there.
 */
import type { EndpointRecord } from '@lagoonswitch/schema'
import type { ITargetLoad } from '../CallLoad.js'

/** Weights of the newest value in moving averages. */
const SLOWNESS_WEIGHT = 0.1
const SLOT_TIME_WEIGHT = 0.1
const LATENCY_WEIGHT = 0.2
/** Weight of a shorter time in the longest one, which therefore decays over some hundred calls. */
const LONGEST_RUN_WEIGHT = 0.01
/** How many times longer a call takes while its target is cold. */
export const COLD_FACTOR = 2
/** Weight of one outcome in the failure rate. */
export const FAILURE_WEIGHT = 0.15
/** Half-life of a failure rate that no call updates, so that a recovered target is tried again. */
const FAILURE_HALF_LIFE_MS = 3_000
const MIN_SLOWNESS = 0.2
const MAX_SLOWNESS = 20
/** Assumed time of a call while none has been measured. */
export const DEFAULT_SERVICE_MS = 50
/** Time for which a target that states no warm-up time is taken as cold. */
export const DEFAULT_WARMUP_MS = 10_000
/** How much longer a call takes on a target whose slots are all in use, as a fraction of its time. */
const FULL_LOAD_SLOWDOWN = 0.3
/** Time for which a load report is used. */
const LOAD_REPORT_LIFETIME_MS = 1_000
/**
 * Time after which a load report counts half against what is known of the zone. Calls take some hundred milliseconds, so after a second
 * most of those that it counted have ended.
 */
const LOAD_REPORT_HALF_LIFE_MS = 500
/** Time for which the reported number of calls is used that a target handles well; it changes less often than the load. */
const ROOM_LIFETIME_MS = 10_000

/** Runs of the calls of one route. */
export interface IRunTimes {
  readonly count: number
  /** Approximate longest time of recent ones in milliseconds, 0 if there were none. */
  readonly longestMs: number
}

const NO_RUNS: IRunTimes = { count: 0, longestMs: 0 }

/** One target as this process sees it. */
export class TargetState {
  inFlight = 0
  private _failureRate = 0
  private _failureRateUpdatedMs = 0
  calls = 0
  ejectedUntilMs = 0
  ejections = 0
  latencyMs = 0
  /** Times of calls relative to the average of all targets, by the last report and by the recent ones; undefined without one. */
  reportedSpeed: { readonly slowness: number, readonly usualSlowness: number, readonly atMs: number } | undefined
  /** Number of calls that the target handles well by the last report; undefined without one. */
  reportedRoom: { readonly calls: number, readonly atMs: number } | undefined
  private _slowness = 1
  private _averageSlotMs = 0
  private _loadReport: ITargetLoad | undefined
  private _loadReportedMs = 0
  /** Calls sent from here that had not ended when the load was reported. */
  private _inFlightAtReport = 0
  private readonly _warmAtMs: number
  /** By route. */
  private readonly _runs = new Map<string, IRunTimes>()

  /**
   * @param record - newest record from the feed
   * @param addedMs - monotonic time at which the target became known
   */
  constructor (public record: EndpointRecord, addedMs: number) {
    this._warmAtMs = addedMs + (record.warmupMs ?? DEFAULT_WARMUP_MS)
  }

  /** Age of the last load report in milliseconds; undefined when there was none. */
  getLoadReportAgeMs (nowMs: number): number | undefined {
    return this._loadReport === undefined ? undefined : nowMs - this._loadReportedMs
  }

  /** Failure rate as of the last recorded outcome; unlike {@link computeFailureRate}, without the decay since then. */
  get failureRate (): number {
    return this._failureRate
  }

  /** Tells whether the target has passed the warm-up time that it states. */
  isWarm (nowMs: number): boolean {
    return nowMs >= this._warmAtMs
  }

  /** Records whether a call failed because of the target. */
  recordOutcome (isFailure: boolean, nowMs: number): void {
    const rate = this.computeFailureRate(nowMs)
    this._failureRate = rate + ((isFailure ? 1 : 0) - rate) * FAILURE_WEIGHT
    this._failureRateUpdatedMs = nowMs
  }

  /** Clears the failure rate and the number of calls it is based on. */
  resetOutcomes (): void {
    this._failureRate = 0
    this.calls = 0
  }

  /** @returns estimated fraction of calls that fail, from recent calls */
  computeFailureRate (nowMs: number): number {
    return this._failureRate * 0.5 ** ((nowMs - this._failureRateUpdatedMs) / FAILURE_HALF_LIFE_MS)
  }

  /** Records the load that the target's own process reported. */
  recordLoad (load: ITargetLoad, nowMs: number): void {
    this._loadReport = load
    this._loadReportedMs = nowMs
    this._inFlightAtReport = this.inFlight
  }

  /** Records the time to the first byte of a response. */
  recordLatency (latencyMs: number): void {
    this.latencyMs += (latencyMs - this.latencyMs) * (this.latencyMs === 0 ? 1 : LATENCY_WEIGHT)
  }

  /**
   * Records how long a call held its slot.
   * @param serviceMs - milliseconds
   * @param usualMs - usual time of calls on that route on a target of average speed
   */
  recordServiceTime (serviceMs: number, usualMs: number, nowMs: number): void {
    this._averageSlotMs += (serviceMs - this._averageSlotMs) * (this._averageSlotMs === 0 ? 1 : SLOT_TIME_WEIGHT)
    if (!this.isWarm(nowMs) || usualMs <= 0) return
    const slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, serviceMs / usualMs))
    this._slowness += (slowness - this._slowness) * SLOWNESS_WEIGHT
  }

  /**
   * Records how long a run took until its end, even if it failed.
   * @param route - key of the route
   * @param durationMs - milliseconds
   */
  recordRunTime (route: string, durationMs: number): void {
    const { count, longestMs } = this.getRunTimes(route)
    this._runs.set(route, { count: count + 1, longestMs: computeDecayingMax(longestMs, durationMs) })
  }

  /**
   * @param route - key of the route
   * @returns the runs on that route so far
   */
  getRunTimes (route: string): IRunTimes {
    return this._runs.get(route) ?? NO_RUNS
  }

  get slowness (): number {
    return this._slowness
  }

  /** Number of calls that hold or await a slot: those sent from here, or the last reported number if that is higher. */
  countActive (nowMs: number): number {
    const isFresh = this._loadReport !== undefined && nowMs - this._loadReportedMs < LOAD_REPORT_LIFETIME_MS
    const reportedCalls = isFresh ? (this._loadReport?.inFlight ?? 0) + (this._loadReport?.queued ?? 0) : 0
    return Math.max(this.inFlight, reportedCalls)
  }

  /** Calls per slot that were last reported; undefined when there was no report. */
  get reportedUtilization (): number | undefined {
    if (this._loadReport === undefined) return undefined
    return (this._loadReport.inFlight + this._loadReport.queued) / Math.max(1, this.record.slots)
  }

  /**
   * Estimates the calls that hold or await a slot from the last report, the calls sent from here since, and the load of the zone, which
   * counts the more, the older the report is.
   * @param zoneUtilization - calls per slot at the targets of its zone
   * @param nowMs - monotonic time in milliseconds
   * @returns number of calls, possibly fractional
   */
  computeActive (zoneUtilization: number, nowMs: number): number {
    const zoneCalls = zoneUtilization * this.record.slots
    if (this._loadReport === undefined) return Math.max(this.inFlight, zoneCalls)
    const weight = 0.5 ** ((nowMs - this._loadReportedMs) / LOAD_REPORT_HALF_LIFE_MS)
    const { inFlight, queued } = this._loadReport
    const reported = Math.max(0, inFlight + queued + this.inFlight - this._inFlightAtReport)
    return Math.max(this.inFlight, weight * reported + (1 - weight) * zoneCalls)
  }

  /** @returns calls that the target handles at once: those that it reported last if that is recent, else its slots */
  computeRoom (nowMs: number): number {
    const { slots } = this.record
    if (this.reportedRoom === undefined || nowMs - this.reportedRoom.atMs >= ROOM_LIFETIME_MS) return slots
    return Math.min(slots, this.reportedRoom.calls)
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param activeCalls - that hold or await a slot
   * @returns expected wait for a slot in milliseconds
   */
  computeWaitMs (nowMs: number, activeCalls = this.countActive(nowMs)): number {
    const slots = Math.max(1, this.computeRoom(nowMs))
    const excessCalls = activeCalls + 1 - slots
    return excessCalls <= 0 ? 0 : excessCalls / slots * (this._averageSlotMs > 0 ? this._averageSlotMs : DEFAULT_SERVICE_MS)
  }

  /**
   * @param usualMs - usual time of calls on that route, 0 if unknown
   * @returns expected time in a slot in milliseconds
   */
  computeServiceMs (usualMs: number, nowMs: number): number {
    const load = Math.min(1, this.countActive(nowMs) / Math.max(1, this.computeRoom(nowMs)))
    const coldFactor = this.isWarm(nowMs) ? 1 : COLD_FACTOR
    const known = usualMs > 0 ? usualMs * this._slowness : this.latencyMs
    const base = known > 0 ? known : DEFAULT_SERVICE_MS
    return base * coldFactor * (1 + FULL_LOAD_SLOWDOWN * load)
  }
}

/**
 * Computes the approximate longest of recent times.
 * @param knownMs - longest before, 0 for none
 * @param durationMs - newest time
 * @returns the new longest time, which decays slowly with shorter times
 */
export function computeDecayingMax (knownMs: number, durationMs: number): number {
  return durationMs >= knownMs ? durationMs : knownMs + (durationMs - knownMs) * LONGEST_RUN_WEIGHT
}
