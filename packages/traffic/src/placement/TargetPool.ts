/**
 * Chooses among the targets of a service.
 */
import type { IClock, IEvent, IRandom, Metrics } from '@lagoonswitch/common'
import { CallClass, EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import type { FailureReason, ITargetLoad } from '../CallLoad.js'
import { LocalPlacement } from './LocalPlacement.js'
import type { IPlacementCall, PlacementPolicy } from './PlacementPolicy.js'
import type { ReportedTimes } from './ReportedTimes.js'
import { COLD_FACTOR, FAILURE_WEIGHT, TargetState, DEFAULT_SERVICE_MS, computeDecayingMax } from './TargetState.js'

export type { TargetState as ITargetState } from './TargetState.js'

const EJECT_FAILURE_RATE = 0.5
const EJECT_MIN_CALLS = 5
const EJECT_BASE_MS = 2_000
const EJECT_MAX_MS = 30_000
/** Maximum fraction of a pool that may be ejected for failures. */
const MAX_EJECTED_RATIO = 0.5
/** Weights of the newest value in moving averages. */
const USUAL_TIME_WEIGHT = 0.05
const RESPONSE_BYTES_WEIGHT = 0.1
/** Fraction of the usual time within which few calls finish. */
const SHORTEST_TIME_RATIO = 0.5
/** Objective of a call that states none, in multiples of the usual time of its route. */
const ASSUMED_OBJECTIVE_FACTOR = 4
/** Runs of a route at one target from which its longest time there is known. */
const MIN_OWN_RUNS = 30
/** Runs may take longer than any of the few that are known, by this factor divided by their number. */
const FEW_RUNS_FACTOR = 5
const NO_STATES: readonly TargetState[] = []

/** Properties of a call that the choice of its target depends on. */
export interface IPickCriteria {
  /** Key of the route, for its usual time. */
  readonly route: string
  /** Time left until the response loses value, 0 if unknown. */
  readonly objectiveLeftMs: number
  /** True if the response of any target would come after the objective. */
  readonly isLate?: boolean
  /** True if targets of other zones at which the call may only use spare slots are left out, since one of them had no free slot. */
  readonly isSpareExcluded?: boolean
  readonly callClass?: CallClass
}

/** Which versions of a service may be picked. */
export interface IVersionChoice {
  /** The version; empty for all versions except the excluded one. */
  readonly version: string
  readonly excluded: string
}

/** The known targets of all services. */
export interface IEndpointSource {
  getRecords (): EndpointRecord[]
  /** Fires with the records that changed. */
  readonly onChanged: IEvent<{ readonly records: readonly EndpointRecord[] }>
}

/** Location of this process, and what the pool depends on. */
export interface ITargetPoolOptions {
  readonly region: string
  readonly availabilityZone: string
  /** Link address of this process. */
  readonly linkAddress: string
  readonly clock: IClock
  readonly random: IRandom
  readonly metrics: Metrics
  readonly endpoints: IEndpointSource
  /** False while the process at a link address does not respond. */
  readonly isReachable?: (linkAddress: string) => boolean
  /** Chooses among the targets that can be called; {@link LocalPlacement} if omitted. */
  readonly placement?: PlacementPolicy
  /** Evaluates the times and the room that targets report; undefined if only own measurements are to be used. */
  readonly reportedTimes?: ReportedTimes
}

/** The targets of a service, all and by version. */
interface IServiceTargets {
  readonly all: TargetState[]
  readonly versions: Map<string, TargetState[]>
}

interface IRouteHistory {
  usualMs: number
  responseBytes: number
  longestRunMs: number
  runs: number
}

/** Chooses the target that is most likely to respond in time, and prefers those nearby. */
export class TargetPool {
  private readonly _states = new Map<string, TargetState>()
  private readonly _services = new Map<string, IServiceTargets>()
  private readonly _routeHistories = new Map<string, IRouteHistory>()
  private readonly _placement: PlacementPolicy

  constructor (private readonly _options: ITargetPoolOptions) {
    this._placement = _options.placement ?? new LocalPlacement(_options)
    this._applyRecords(_options.endpoints.getRecords())
    _options.endpoints.onChanged(({ records }) => this._applyRecords(records))
  }

  /**
   * Picks a target.
   * @param service - name of the service
   * @param choice - version of the target, or which versions may be picked
   * @param tried - targets that this call has tried already
   * @param criteria - of the call
   * @returns the target, or undefined if none is left or worth its cost
   */
  pickTarget (
    service: string, choice: string | IVersionChoice, tried: ReadonlySet<string>, criteria?: IPickCriteria
  ): TargetState | undefined {
    const all = this._listStates(service, choice)
    if (all.length === 0) return undefined
    const nowMs = this._options.clock.readMonotonicMs()
    const untried = tried.size === 0 ? all : all.filter(state => !tried.has(state.record.targetId))
    const usable = this._filterEjected(untried, all.length, nowMs)
    return this._pickBest(usable, criteria, nowMs)
  }

  /**
   * @param service - name of the service
   * @param choice - version of the target, or which versions may be picked
   * @returns number of targets that accept calls
   */
  countTargets (service: string, choice: string | IVersionChoice): number {
    return this._listStates(service, choice).length
  }

  /** Records the start of a call. */
  recordStart (state: TargetState): void {
    state.inFlight++
  }

  /**
   * Records the end of a call.
   * @param state - the target
   * @param outcome - `good`, `failed`, or `neutral` if it says nothing about the target
   * @param latencyMs - time to the first byte of the response
   */
  recordEnd (state: TargetState, outcome: 'good' | 'failed' | 'neutral', latencyMs: number): void {
    state.inFlight--
    const nowMs = this._options.clock.readMonotonicMs()
    // Calls that were sent before the target was ejected say nothing new about it.
    if (outcome === 'neutral' || state.ejectedUntilMs > nowMs) return
    state.calls++
    state.recordOutcome(outcome === 'failed', nowMs)
    if (outcome === 'good') {
      state.recordLatency(latencyMs)
      this._placement.recordAccepted(state, this._options.clock.readMonotonicMs())
      state.ejections = state.failureRate < FAILURE_WEIGHT ? 0 : state.ejections
      return
    }
    if (state.calls >= EJECT_MIN_CALLS && state.failureRate >= EJECT_FAILURE_RATE) this._eject(state, 'failures')
  }

  /**
   * Records how long a call that got a response held its slot.
   * @param state - the target
   * @param route - key of the route
   * @param serviceMs - milliseconds
   */
  recordServiceTime (state: TargetState, route: string, serviceMs: number): void {
    const history = this._getHistory(route)
    state.recordServiceTime(serviceMs, history.usualMs, this._options.clock.readMonotonicMs())
    const usualMs = serviceMs / state.slowness
    history.usualMs += (usualMs - history.usualMs) * (history.usualMs === 0 ? 1 : USUAL_TIME_WEIGHT)
  }

  /**
   * @param state - the target
   * @param route - key of the route
   * @returns usual time of a call in a slot of the target in whole milliseconds by the calls from here, 0 if unknown; reports of the
   * target, which follow a slowdown at once, don't count, so that a call can be compared with the time before the slowdown
   */
  computeUsualMs (state: TargetState, route: string): number {
    const usualMs = this._routeHistories.get(route)?.usualMs ?? 0
    return usualMs === 0 ? 0 : Math.ceil(state.computeServiceMs(usualMs, this._options.clock.readMonotonicMs()))
  }

  /**
   * @param state - the target
   * @param route - key of the route
   * @returns expected time of a call in a slot of the target in whole milliseconds, by its reports if they are recent; 0 if unknown
   */
  computeExpectedMs (state: TargetState, route: string): number {
    const usualMs = this._routeHistories.get(route)?.usualMs ?? 0
    if (usualMs === 0) return 0
    const nowMs = this._options.clock.readMonotonicMs()
    const learnedMs = state.computeServiceMs(usualMs, nowMs)
    return Math.ceil(this._options.reportedTimes?.computeServiceMs(state, route, learnedMs, nowMs) ?? learnedMs)
  }

  /**
   * Records how long a run took until its end, even if it failed.
   * @param state - the target
   * @param route - key of the route
   * @param durationMs - milliseconds
   */
  recordRunTime (state: TargetState, route: string, durationMs: number): void {
    const history = this._getHistory(route)
    history.longestRunMs = computeDecayingMax(history.longestRunMs, durationMs)
    history.runs++
    state.recordRunTime(route, durationMs)
  }

  /**
   * @param state - the target
   * @param route - key of the route
   * @returns longest time that a run is expected to take in milliseconds, 0 if unknown; runs at other targets count until this one
   * has run many
   */
  computeLongestRunMs (state: TargetState, route: string): number {
    const history = this._routeHistories.get(route)
    if (history === undefined || history.runs === 0) return 0
    const own = state.getRunTimes(route)
    const isOwnSufficient = own.count >= MIN_OWN_RUNS
    const othersMs = isOwnSufficient ? 0 : history.longestRunMs * (own.count === 0 ? COLD_FACTOR : 1)
    return Math.max(own.longestMs, othersMs) * (1 + FEW_RUNS_FACTOR / history.runs)
  }

  /**
   * @param route - key of the route
   * @param leftMs - time left until a response loses value
   * @returns true if calls on that route seldom finish within that time
   */
  isTimeTooShort (route: string, leftMs: number): boolean {
    return leftMs < SHORTEST_TIME_RATIO * (this._routeHistories.get(route)?.usualMs ?? 0)
  }

  /**
   * Records the bytes that a call transferred.
   * @param route - key of the route
   * @param bytes - of the response body, and of the request body on a route with large ones
   */
  recordResponseBytes (route: string, bytes: number): void {
    const history = this._getHistory(route)
    history.responseBytes += (bytes - history.responseBytes) * (history.responseBytes === 0 ? 1 : RESPONSE_BYTES_WEIGHT)
  }

  /**
   * Tells whether calls from here may only use spare slots of a target. This holds for targets of other availability zones,
   * whose responses are expensive to transfer, as long as there are targets in the own zone.
   * @param state - a target
   * @param callClass - of the call; calls of the first class, which other calls wait for, are worth any cost
   * @returns true if calls must not wait there
   */
  isLimitedToSpareSlots ({ record }: TargetState, callClass: CallClass): boolean {
    if (this._isInOwnZone(record) || callClass === CallClass.CALL_CLASS_FIRST) return false
    return this._hasUsableInOwnZone(record, this._options.clock.readMonotonicMs())
  }

  /**
   * Ejects a target that cannot be reached at all.
   * @param state - the target
   */
  ejectUnreachable (state: TargetState): void {
    this._eject(state, 'unreachable')
  }

  /**
   * Records that a target did not take a call.
   * @param state - the target
   * @param reason - of the refusal
   */
  recordRefusal (state: TargetState, reason: FailureReason): void {
    this._placement.recordRefusal(state, reason, this._options.clock.readMonotonicMs())
  }

  /**
   * Records the load that a target's own process reported.
   * @param state - the target
   * @param load - the report
   * @param route - key of the route of the call that it came with
   */
  recordLoad (state: TargetState, load: ITargetLoad, route: string): void {
    const nowMs = this._options.clock.readMonotonicMs()
    state.recordLoad(load, nowMs)
    this._options.reportedTimes?.recordLoad(state, route, load, nowMs)
    this._placement.recordLoad(state, nowMs)
  }

  private _listStates (service: string, choice: string | IVersionChoice): readonly TargetState[] {
    const targets = this._services.get(service)
    if (targets === undefined) return NO_STATES
    const version = typeof choice === 'string' ? choice : choice.version
    if (version !== '') return targets.versions.get(version) ?? NO_STATES
    const excluded = typeof choice === 'string' ? '' : choice.excluded
    return excluded === '' ? targets.all : targets.all.filter(state => state.record.version !== excluded)
  }

  private _isInOwnZone (record: EndpointRecord): boolean {
    return record.availabilityZone === this._options.availabilityZone
  }

  /** Tells whether the own zone has a target of the same version that can be called. */
  private _hasUsableInOwnZone ({ service, version }: EndpointRecord, nowMs: number): boolean {
    const { isReachable } = this._options
    return this._listStates(service, version).some(({ record, ejectedUntilMs }) =>
      this._isInOwnZone(record) && ejectedUntilMs <= nowMs && isReachable?.(record.linkAddress) !== false)
  }

  private _eject (state: TargetState, reason: string): void {
    const nowMs = this._options.clock.readMonotonicMs()
    if (state.ejectedUntilMs > nowMs) return
    const ejectionMs = Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** state.ejections)
    state.ejections++
    state.ejectedUntilMs = nowMs + ejectionMs
    state.resetOutcomes()
    this._options.metrics.count('targets_ejected_total', reason)
  }

  /** Like {@link isLimitedToSpareSlots} for one choice, but looks up the targets of the own zone only once per version. */
  private _createSpareSlotsCheck (callClass: CallClass, nowMs: number): (record: EndpointRecord) => boolean {
    let version: string | undefined
    let hasUsable = false
    return record => {
      if (callClass === CallClass.CALL_CLASS_FIRST || this._isInOwnZone(record)) return false
      if (record.version !== version) {
        version = record.version
        hasUsable = this._hasUsableInOwnZone(record, nowMs)
      }
      return hasUsable
    }
  }

  /** Limits the ejected fraction, so that a fault shared by all targets does not empty the pool. */
  private _filterEjected (untried: readonly TargetState[], total: number, nowMs: number): readonly TargetState[] {
    const { isReachable } = this._options
    const reachable = isReachable === undefined ? untried : untried.filter(state => isReachable(state.record.linkAddress))
    const candidates = reachable.length > 0 ? reachable : untried
    const usable = candidates.filter(state => state.ejectedUntilMs <= nowMs)
    const ejected = candidates.length - usable.length
    if (ejected === 0) return candidates
    if (usable.length > 0 && ejected <= total * MAX_EJECTED_RATIO) return usable
    return candidates
  }

  private _pickBest (states: readonly TargetState[], criteria: IPickCriteria | undefined, nowMs: number): TargetState | undefined {
    const callClass = criteria?.callClass ?? CallClass.CALL_CLASS_NORMAL
    const history = criteria === undefined ? undefined : this._routeHistories.get(criteria.route)
    const usualMs = history?.usualMs ?? 0
    const isLate = criteria?.isLate === true
    const objectiveMs = criteria !== undefined && criteria.objectiveLeftMs > 0 && !isLate
      ? criteria.objectiveLeftMs
      : ASSUMED_OBJECTIVE_FACTOR * (usualMs > 0 ? usualMs : DEFAULT_SERVICE_MS)
    const call: IPlacementCall = {
      callClass,
      usualMs,
      computeServiceMs: this._createServiceTimes(criteria?.route ?? '', usualMs, nowMs),
      responseBytes: history?.responseBytes ?? 0,
      objectiveMs,
      isLate,
      isSpareExcluded: criteria?.isSpareExcluded === true
    }
    const placement = this._placement.pickTarget(states, call, this._createSpareSlotsCheck(callClass, nowMs), nowMs)
    if (placement?.crossing !== undefined) this._options.metrics.count('zone_crossings_total', placement.crossing)
    return placement?.state
  }

  /** Expected times at targets, by what they report if that is used. */
  private _createServiceTimes (route: string, usualMs: number, nowMs: number): (state: TargetState) => number {
    const { reportedTimes } = this._options
    return state => {
      const learnedMs = state.computeServiceMs(usualMs, nowMs)
      return reportedTimes?.computeChoiceMs(state, route, learnedMs, nowMs) ?? learnedMs
    }
  }

  private _getHistory (route: string): IRouteHistory {
    let history = this._routeHistories.get(route)
    if (history === undefined) {
      history = { usualMs: 0, responseBytes: 0, longestRunMs: 0, runs: 0 }
      this._routeHistories.set(route, history)
    }
    return history
  }

  private _applyRecords (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const known = this._states.get(record.targetId)
      if (record.state !== EndpointState.ENDPOINT_STATE_READY) {
        this._states.delete(record.targetId)
      } else if (known !== undefined && known.record.incarnation === record.incarnation) {
        known.record = record
      } else {
        this._states.set(record.targetId, new TargetState(record, this._options.clock.readMonotonicMs()))
      }
    }
    this._services.clear()
    for (const state of this._states.values()) {
      const { service, version } = state.record
      const targets = this._services.get(service) ?? { all: [], versions: new Map<string, TargetState[]>() }
      this._services.set(service, targets)
      targets.all.push(state)
      const versionStates = targets.versions.get(version)
      if (versionStates === undefined) targets.versions.set(version, [state])
      else versionStates.push(state)
    }
  }
}
