/**
 * What this process has seen of each target, and the choice among them.
 */
import type { IClock, IRandom, Metrics } from '@lagoonswitch/common'
import type { EndpointView } from '@lagoonswitch/feed'
import { EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import type { ITargetLoad } from '../calls/CallTypes.js'

const LATENCY_WEIGHT = 0.2
const FAILURE_WEIGHT = 0.15
const EJECT_FAILURE_RATE = 0.5
const EJECT_MIN_CALLS = 5
const EJECT_BASE_MS = 2_000
const EJECT_MAX_MS = 30_000
/** Part of a pool that may be left out for failures at most. */
const MAX_EJECTED_SHARE = 0.5
const SLOW_START_MS = 10_000
const SLOW_START_FLOOR = 0.1
const SPILL_LOAD = 0.85
/** Load up to which a target of this VM is preferred, since it saves a hop; above it others share the calls. */
const OWN_VM_LOAD = 0.5
const HINT_LIFE_MS = 1_000
const CHOICES = 2

/** One target as this process sees it. */
export interface ITargetState {
  record: EndpointRecord
  inFlight: number
  readonly addedMs: number
  latencyMs: number
  failureRate: number
  calls: number
  ejectedUntilMs: number
  ejections: number
  hint: ITargetLoad | undefined
  hintMs: number
}

/** Where this process is. */
export interface ITargetPoolOptions {
  readonly region: string
  readonly availabilityZone: string
  /** Link address of this process. */
  readonly linkAddress: string
  readonly clock: IClock
  readonly random: IRandom
  readonly metrics: Metrics
  readonly endpoints: EndpointView
}

/** Chooses the less loaded of two targets, near ones first. */
export class TargetPool {
  private readonly _states = new Map<string, ITargetState>()
  private readonly _groups = new Map<string, ITargetState[]>()

  constructor (private readonly _options: ITargetPoolOptions) {
    this._update(_options.endpoints.getRecords())
    _options.endpoints.onChanged(({ records }) => this._update(records))
  }

  /**
   * Picks a target.
   * @param service - name of the service
   * @param version - version of the target
   * @param tried - targets that this call has tried already
   * @returns the target, or undefined when none is left
   */
  pickTarget (service: string, version: string, tried: ReadonlySet<string>): ITargetState | undefined {
    const all = this._groups.get(formatGroup(service, version))
    if (all === undefined) return undefined
    const nowMs = this._options.clock.readMonotonicMs()
    const open = all.filter(state => !tried.has(state.record.targetId))
    const usable = this._filterEjected(open, all.length, nowMs)
    return this._pickNear(usable, nowMs)
  }

  /**
   * @param service - name of the service
   * @param version - version of the target
   * @returns how many targets take calls
   */
  countTargets (service: string, version: string): number {
    return this._groups.get(formatGroup(service, version))?.length ?? 0
  }

  /** Notes the start of a call. */
  recordStart (state: ITargetState): void {
    state.inFlight++
  }

  /**
   * Notes the end of a call.
   * @param state - the target
   * @param outcome - `good`, `failed`, or `neutral` when it says nothing about the target
   * @param latencyMs - time to the first byte of the answer
   */
  recordEnd (state: ITargetState, outcome: 'good' | 'failed' | 'neutral', latencyMs: number): void {
    state.inFlight--
    if (outcome === 'neutral') return
    state.calls++
    state.failureRate += ((outcome === 'failed' ? 1 : 0) - state.failureRate) * FAILURE_WEIGHT
    if (outcome === 'good') {
      state.latencyMs += (latencyMs - state.latencyMs) * (state.calls === 1 ? 1 : LATENCY_WEIGHT)
      state.ejections = state.failureRate < FAILURE_WEIGHT ? 0 : state.ejections
      return
    }
    if (state.calls >= EJECT_MIN_CALLS && state.failureRate >= EJECT_FAILURE_RATE) this._eject(state, 'failures')
  }

  /**
   * Leaves out a target that can't be reached at all.
   * @param state - the target
   */
  ejectUnreachable (state: ITargetState): void {
    this._eject(state, 'unreachable')
  }

  /** Notes the load that a target's own process reported. */
  recordLoad (state: ITargetState, load: ITargetLoad): void {
    state.hint = load
    state.hintMs = this._options.clock.readMonotonicMs()
  }

  private _eject (state: ITargetState, reason: string): void {
    const nowMs = this._options.clock.readMonotonicMs()
    if (state.ejectedUntilMs > nowMs) return
    const lengthMs = Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** state.ejections)
    state.ejections++
    state.ejectedUntilMs = nowMs + lengthMs
    state.failureRate = 0
    state.calls = 0
    this._options.metrics.count('targets_ejected_total', reason)
  }

  /** A fault that all targets share must not empty the pool, so only a part may be left out. */
  private _filterEjected (open: ITargetState[], total: number, nowMs: number): ITargetState[] {
    const usable = open.filter(state => state.ejectedUntilMs <= nowMs)
    const ejected = open.length - usable.length
    if (ejected === 0) return open
    if (usable.length > 0 && ejected <= total * MAX_EJECTED_SHARE) return usable
    return open
  }

  private _pickNear (states: readonly ITargetState[], nowMs: number): ITargetState | undefined {
    const { availabilityZone, region, linkAddress } = this._options
    const ownPick = this._pickOfTwo(states.filter(state => state.record.linkAddress === linkAddress), nowMs)
    if (ownPick !== undefined && this._computeLoad(ownPick, nowMs) < OWN_VM_LOAD) return ownPick
    const sameZone = states.filter(state => state.record.availabilityZone === availabilityZone)
    const zonePick = this._pickOfTwo(sameZone, nowMs)
    if (zonePick !== undefined && this._computeLoad(zonePick, nowMs) < SPILL_LOAD) return zonePick
    const sameRegion = states.filter(state => state.record.region === region)
    const regionPick = this._pickOfTwo(sameRegion, nowMs)
    if (regionPick !== undefined && this._computeLoad(regionPick, nowMs) < SPILL_LOAD) return regionPick
    return this._pickOfTwo(states, nowMs) ?? regionPick ?? zonePick
  }

  private _pickOfTwo (states: readonly ITargetState[], nowMs: number): ITargetState | undefined {
    let best: ITargetState | undefined
    for (let choice = 0; choice < CHOICES; choice++) {
      const state = states[Math.floor(this._options.random.draw() * states.length)]
      if (state === undefined) return undefined
      if (best === undefined || this._computeScore(state, nowMs) < this._computeScore(best, nowMs)) best = state
    }
    return best
  }

  /** Load from 0 to about 1 and more: own calls, or what the target's process last said if that is more. */
  private _computeLoad (state: ITargetState, nowMs: number): number {
    const slots = Math.max(1, state.record.slots)
    const isFresh = state.hint !== undefined && nowMs - state.hintMs < HINT_LIFE_MS
    const hinted = isFresh ? (state.hint?.inFlight ?? 0) + (state.hint?.queued ?? 0) : 0
    return Math.max(state.inFlight, hinted) / slots
  }

  private _computeScore (state: ITargetState, nowMs: number): number {
    const warmth = Math.min(1, Math.max(SLOW_START_FLOOR, (nowMs - state.addedMs) / SLOW_START_MS))
    return (this._computeLoad(state, nowMs) + 1 / Math.max(1, state.record.slots)) * (1 + state.latencyMs) / warmth
  }

  private _update (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const known = this._states.get(record.targetId)
      if (record.state !== EndpointState.ENDPOINT_STATE_READY) {
        this._states.delete(record.targetId)
      } else if (known !== undefined && known.record.incarnation === record.incarnation) {
        known.record = record
      } else {
        this._states.set(record.targetId, this._createState(record))
      }
    }
    this._groups.clear()
    for (const state of this._states.values()) {
      const key = formatGroup(state.record.service, state.record.version)
      const group = this._groups.get(key)
      if (group === undefined) this._groups.set(key, [state])
      else group.push(state)
    }
  }

  private _createState (record: EndpointRecord): ITargetState {
    return {
      record,
      inFlight: 0,
      addedMs: this._options.clock.readMonotonicMs(),
      latencyMs: 0,
      failureRate: 0,
      calls: 0,
      ejectedUntilMs: 0,
      ejections: 0,
      hint: undefined,
      hintMs: 0
    }
  }
}

function formatGroup (service: string, version: string): string {
  return `${service}\n${version}`
}
