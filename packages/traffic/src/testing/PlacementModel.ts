/**
 * Model of three zones whose demand swings in waves, and of many processes that each place calls by their own news, without a network.
 */
import { Emitter, Metrics, SeededRandom, type IRandom } from '@lagoonswitch/common'
import { CallClass, EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import type { FailureReason, ITargetLoad } from '../CallLoad.js'
import type { PlacementPolicy, IPlacementOptions } from '../placement/PlacementPolicy.js'
import { TargetPool } from '../placement/TargetPool.js'
import type { TargetState } from '../placement/TargetState.js'
import { SlotLimiter, type ISlotTicket } from '../slots/SlotLimiter.js'
import { EventClock } from './EventClock.js'

const ZONES = ['a', 'b', 'c']
const TARGETS_PER_ZONE = 10
const SLOTS = 13
const DECIDERS_PER_ZONE = 22
const QUEUE_LIMIT = 32
const WAVE_MS = 15_000
const WARMUP_MS = 7_500
const RUN_MS = 30_000
const ZONE_LATENCY_MS = 3.9
const HOME_LATENCY_MS = 0.3
const RESPONSE_BYTES = 5_000
const LINK_BYTES_PER_MS = 525
/** Slowest target relative to the fastest. */
const SPEED_RANGE = 3
/** Phases in which a target runs slower. */
const SLOW_FACTOR = 2.5
const SLOW_MS = 600
const SLOW_RATIO = 0.15
const FIXED_WORK_RATIO = 0.5
const MAX_SENDS = 6
const MAX_QUEUE_REFUSALS = 2
const MAX_RETURN_RATIO = 0.34
const QUEUE_REASONS = new Set<FailureReason>(['queue-full', 'shed', 'deadline-queue'])
const MIN_RETURN_MS = 100

interface IKind {
  readonly callClass: CallClass
  readonly ratePerS: number
  readonly workMs: number
  readonly objectiveMs: number
  readonly deadlineMs: number
}

/** The kinds of the second deployment. */
const KINDS: readonly IKind[] = [
  { callClass: CallClass.CALL_CLASS_NORMAL, ratePerS: 661, workMs: 258, objectiveMs: 843, deadlineMs: 2_031 },
  { callClass: CallClass.CALL_CLASS_HIGH, ratePerS: 253, workMs: 330, objectiveMs: 1_047, deadlineMs: 2_521 },
  { callClass: CallClass.CALL_CLASS_NORMAL, ratePerS: 165, workMs: 186, objectiveMs: 629, deadlineMs: 1_518 },
  { callClass: CallClass.CALL_CLASS_LOW, ratePerS: 59.5, workMs: 206, objectiveMs: 631, deadlineMs: 1_516 }
]

/** Settings of a run. */
export interface IPlacementSettings {
  readonly seed: number
  /** Mean demand relative to what all targets can serve. */
  readonly load: number
  /** By how much the demand of a zone swings around its mean. */
  readonly amplitude: number
  readonly createPolicy: (options: IPlacementOptions) => PlacementPolicy
}

/** Results of a run. */
export interface IPlacementResult {
  calls: number
  inTime: number
  late: number
  /** Attempts that were refused. */
  refusals: number
  crossings: number
  /** Crossing attempts that were refused. */
  refusedCrossings: number
  /** Work of the busiest target relative to the mean. */
  busiest: number
}

interface ITarget {
  readonly record: EndpointRecord
  readonly limiter: SlotLimiter
  readonly factor: number
  slowUntilMs: number
  busyMs: number
}

interface IDecider {
  readonly zone: string
  readonly pool: TargetPool
}

interface ICall {
  readonly kind: IKind
  readonly decider: IDecider
  readonly arrivedMs: number
  tried: Set<string>
  sends: number
  queueRefusals: number
}

/** Runs calls that enter at deciders of three zones. */
export class PlacementModel {
  private readonly _clock = new EventClock()
  private readonly _random: IRandom
  private readonly _targets = new Map<string, ITarget>()
  private readonly _deciders: IDecider[]
  private readonly _result: IPlacementResult = {
    calls: 0, inTime: 0, late: 0, refusals: 0, crossings: 0, refusedCrossings: 0, busiest: 0
  }

  /** @param _settings - demand and policy */
  constructor (private readonly _settings: IPlacementSettings) {
    this._random = new SeededRandom(_settings.seed)
    for (const zone of ZONES) {
      for (let index = 0; index < TARGETS_PER_ZONE; index++) this._addTarget(`${zone}${index}`, zone)
    }
    const records = [...this._targets.values()].map(({ record }) => record)
    this._deciders = ZONES.flatMap(zone => Array.from({ length: DECIDERS_PER_ZONE }, (_, index) => {
      const options = {
        region: 'r', availabilityZone: zone, linkAddress: `${zone}-${index}`, random: new SeededRandom(_settings.seed * 1_000 + index)
      }
      return {
        zone,
        pool: new TargetPool({
          ...options,
          clock: this._clock,
          metrics: new Metrics(),
          endpoints: { getRecords: () => records, onChanged: new Emitter<{ records: EndpointRecord[] }>().event },
          placement: _settings.createPolicy(options)
        })
      }
    }))
  }

  /** @returns what the callers got, and where */
  run (): IPlacementResult {
    const totalRate = KINDS.reduce((sum, kind) => sum + kind.ratePerS, 0)
    const meanWorkMs = KINDS.reduce((sum, kind) => sum + kind.ratePerS * kind.workMs, 0) / totalRate
    const slowdown = 1 + SLOW_RATIO * (SLOW_FACTOR - 1)
    const capacityPerMs = [...this._targets.values()].reduce((sum, { factor }) => sum + SLOTS / (meanWorkMs * factor * slowdown), 0)
    const meanPerMs = this._settings.load * capacityPerMs / ZONES.length
    ZONES.forEach((_, index) => this._scheduleArrivals(index, meanPerMs))
    for (const target of this._targets.values()) this._scheduleSlowPhase(target)
    this._clock.runUntil(WARMUP_MS + RUN_MS + Math.max(...KINDS.map(kind => kind.deadlineMs)))
    const busy = [...this._targets.values()].map(({ busyMs }) => busyMs)
    this._result.busiest = Math.max(...busy) / (busy.reduce((sum, each) => sum + each, 0) / busy.length)
    return this._result
  }

  private _addTarget (targetId: string, zone: string): void {
    const record: EndpointRecord = {
      targetId,
      incarnation: 1,
      sequence: 1,
      state: EndpointState.ENDPOINT_STATE_READY,
      service: 's',
      version: 'v',
      linkAddress: `link-${targetId}`,
      region: 'r',
      availabilityZone: zone,
      slots: SLOTS,
      node: targetId,
      warmupMs: 0,
      targetBorn: 0,
      targetSequence: 0,
      withdrawn: false,
      instance: ''
    }
    const factor = SPEED_RANGE ** (this._random.draw() - 0.5)
    this._targets.set(targetId, {
      record, limiter: new SlotLimiter(this._clock, SLOTS), factor, slowUntilMs: 0, busyMs: 0
    })
  }

  private _scheduleSlowPhase (target: ITarget): void {
    const meanPauseMs = SLOW_MS * (1 - SLOW_RATIO) / SLOW_RATIO
    this._clock.schedule(-Math.log(1 - this._random.draw()) * meanPauseMs, () => {
      target.slowUntilMs = this._clock.readMonotonicMs() + SLOW_MS
      this._clock.schedule(SLOW_MS, () => this._scheduleSlowPhase(target))
    })
  }

  private _scheduleArrivals (zoneIndex: number, meanPerMs: number): void {
    const { amplitude } = this._settings
    const maxPerMs = meanPerMs * (1 + amplitude)
    this._clock.schedule(-Math.log(1 - this._random.draw()) / maxPerMs, () => {
      const nowMs = this._clock.readMonotonicMs()
      if (nowMs > WARMUP_MS + RUN_MS) return
      const wave = Math.sin(2 * Math.PI * (nowMs / WAVE_MS + zoneIndex / ZONES.length))
      if (this._random.draw() * (1 + amplitude) < 1 + amplitude * wave) this._startCall(zoneIndex)
      this._scheduleArrivals(zoneIndex, meanPerMs)
    })
  }

  private _startCall (zoneIndex: number): void {
    const totalRate = KINDS.reduce((sum, kind) => sum + kind.ratePerS, 0)
    let draw = this._random.draw() * totalRate
    const kind = KINDS.find(({ ratePerS }) => (draw -= ratePerS) < 0) ?? KINDS[0] as IKind
    const decider = this._deciders[zoneIndex * DECIDERS_PER_ZONE + Math.floor(this._random.draw() * DECIDERS_PER_ZONE)] as IDecider
    const call: ICall = { kind, decider, arrivedMs: this._clock.readMonotonicMs(), tried: new Set(), sends: 0, queueRefusals: 0 }
    if (this._isMeasured(call)) this._result.calls++
    this._tryTarget(call, undefined, 0)
  }

  private _isMeasured ({ arrivedMs }: ICall): boolean {
    return arrivedMs > WARMUP_MS
  }

  private _tryTarget (call: ICall, lastReason: FailureReason | undefined, lastRetryAfterMs: number): void {
    const { kind, decider: { pool, zone } } = call
    const leftMs = call.arrivedMs + kind.objectiveMs - this._clock.readMonotonicMs()
    const route = `${KINDS.indexOf(kind)}`
    const state = call.sends >= MAX_SENDS || call.queueRefusals >= MAX_QUEUE_REFUSALS
      ? undefined
      : pool.pickTarget('s', 'v', call.tried, {
        route,
        objectiveLeftMs: Math.max(1, leftMs),
        isLate: pool.isTimeTooShort(route, leftMs),
        isSpareExcluded: lastReason === 'no-spare',
        callClass: kind.callClass
      })
    if (state === undefined) {
      this._scheduleReturn(call, lastRetryAfterMs)
      return
    }
    call.sends++
    call.tried.add(state.record.targetId)
    pool.recordStart(state)
    const isCrossing = state.record.availabilityZone !== zone
    if (isCrossing && this._isMeasured(call)) this._result.crossings++
    this._clock.schedule(isCrossing ? ZONE_LATENCY_MS : HOME_LATENCY_MS, () => this._handleArrival(call, state, route))
  }

  private _handleArrival (call: ICall, state: TargetState, route: string): void {
    const { kind, decider: { pool, zone } } = call
    const target = this._targets.get(state.record.targetId) as ITarget
    const isCrossing = state.record.availabilityZone !== zone
    const latencyMs = isCrossing ? ZONE_LATENCY_MS : HOME_LATENCY_MS
    const passedMs = this._clock.readMonotonicMs() - call.arrivedMs
    const ticket: ISlotTicket = target.limiter.acquire({
      callClass: kind.callClass,
      remainingMs: kind.deadlineMs - passedMs,
      objectiveMs: Math.max(1, kind.objectiveMs - passedMs),
      expectedMs: pool.computeExpectedMs(state, route),
      isSpareOnly: pool.isLimitedToSpareSlots(state, kind.callClass),
      queueLimit: QUEUE_LIMIT,
      onGranted: () => {
        const slowness = this._clock.readMonotonicMs() < target.slowUntilMs ? SLOW_FACTOR : 1
        const variation = FIXED_WORK_RATIO - (1 - FIXED_WORK_RATIO) * Math.log(1 - this._random.draw())
        const workMs = kind.workMs * target.factor * slowness * variation
        this._clock.schedule(workMs, () => {
          ticket.release()
          target.busyMs += workMs
          const { load } = target.limiter
          this._clock.schedule(latencyMs + RESPONSE_BYTES / LINK_BYTES_PER_MS, () => this._finish(call, state, load, workMs))
        })
      },
      onRefused: (reason, retryAfterMs) => {
        const { load } = target.limiter
        if (this._isMeasured(call)) {
          this._result.refusals++
          if (isCrossing) this._result.refusedCrossings++
        }
        this._clock.schedule(latencyMs, () => {
          pool.recordLoad(state, load)
          pool.recordEnd(state, 'neutral', 0)
          pool.recordRefusal(state, reason)
          if (QUEUE_REASONS.has(reason)) call.queueRefusals++
          this._tryTarget(call, reason, retryAfterMs)
        })
      }
    })
  }

  private _finish (call: ICall, state: TargetState, load: ITargetLoad, workMs: number): void {
    const { kind, decider: { pool } } = call
    const route = `${KINDS.indexOf(kind)}`
    const passedMs = this._clock.readMonotonicMs() - call.arrivedMs
    pool.recordLoad(state, load)
    pool.recordServiceTime(state, route, workMs)
    pool.recordEnd(state, 'good', passedMs)
    pool.recordRunTime(state, route, workMs)
    pool.recordResponseBytes(route, RESPONSE_BYTES)
    if (!this._isMeasured(call)) return
    if (passedMs <= kind.objectiveMs) this._result.inTime++
    else if (passedMs <= kind.deadlineMs) this._result.late++
  }

  /** The caller returns after the stated time if that is short against its deadline. */
  private _scheduleReturn (call: ICall, retryAfterMs: number): void {
    const remainingMs = call.arrivedMs + call.kind.deadlineMs - this._clock.readMonotonicMs()
    if (remainingMs <= 0 || retryAfterMs > MAX_RETURN_RATIO * remainingMs) return
    this._clock.schedule(Math.max(retryAfterMs, MIN_RETURN_MS), () => {
      Object.assign(call, { tried: new Set(), sends: 0, queueRefusals: 0 })
      this._tryTarget(call, undefined, 0)
    })
  }
}
