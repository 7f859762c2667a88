/**
 * Placement that uses the room of other zones when a call would probably be late or refused in its own.
 */
import type { EndpointRecord } from '@lagoonswitch/schema'
import type { FailureReason } from '../CallLoad.js'
import { computeSpareSlots } from '../slots/SlotLimiter.js'
import {
  BYTES_PER_KB, HOP_COST, HOP_LATENCY_MS, PlacementPolicy, REGION_COST, VALUE_NOISE, type CrossingReason, type IPlacement,
  type IPlacementCall
} from './PlacementPolicy.js'
import type { TargetState } from './TargetState.js'
import { ZoneNews } from './ZoneNews.js'

/** Refusals that show that a zone has no room. */
const FULL_REASONS = new Set<FailureReason>(['queue-full', 'shed', 'deadline-queue', 'no-spare'])
/** Time to another zone and back, and speed of the links: 3.9 ms one way and 4.2 Mbit/s in the deployment with uneven demand. */
const ZONE_LATENCY_MS = 8
const LINK_BYTES_PER_MS = 500
/** Cost of leaving the zone, which only decides between nearly equal values: bytes between zones cost 0.006 of the value of a day. */
const ZONE_COST = 0.02
const ZONE_COST_PER_KB = 0.002
const MAX_ZONE_COST = 0.06
/**
 * By how much a response in time must be more probable in another zone, since a call that crosses may displace one there. In the model
 * of BalancedPlacement.test.ts 0.05 to 0.2 serve the same within 0.02; higher ones let fewer calls cross.
 */
const MIN_GAIN = 0.1
/** Expected spare slots of a target from which a call finds one there almost surely; news is old and other processes decide on the same. */
const SAFE_SPARE_SLOTS = 3
/**
 * Targets of a zone among which a call is drawn, and how much less their values may be than the best. With two targets or a range of 0.03,
 * 66 processes with old news meet at the same targets: 0.22 refused attempts per call instead of 0.13 at load 0.7 of the model.
 */
const MAX_DRAWN = 4
const DRAWN_VALUE_RANGE = 0.1

interface ICandidate {
  readonly state: TargetState
  readonly value: number
  /** Expected free slots that the call may use. */
  readonly room: number
}

/** Compares the expected probability of a response in time at home with that in other zones. */
export class BalancedPlacement extends PlacementPolicy {
  /** By service and zone. */
  private readonly _news = new Map<string, ZoneNews>()

  pickTarget (
    states: readonly TargetState[], call: IPlacementCall, isLimitedToSpare: (record: EndpointRecord) => boolean, nowMs: number
  ): IPlacement | undefined {
    const home: ICandidate[] = []
    const away: ICandidate[] = []
    for (const state of states) {
      const isLimited = isLimitedToSpare(state.record)
      if (isLimited && call.isSpareExcluded) continue
      const candidate = this._createCandidate(state, call, isLimited, nowMs)
      if (this._isInOwnZone(state)) home.push(candidate)
      else if (!isLimited || candidate.room > 0) away.push(candidate)
    }
    const bestHome = findBest(home)
    const bestAway = findBest(away)
    if (bestAway !== undefined && (bestHome === undefined || bestAway.value > bestHome.value + MIN_GAIN)) {
      const state = this._draw(away, bestAway.value)
      return { state, crossing: this._explainCrossing(bestHome, nowMs) }
    }
    return bestHome === undefined ? undefined : { state: this._draw(home, bestHome.value), crossing: undefined }
  }

  recordLoad (state: TargetState, nowMs: number): void {
    const { reportedUtilization } = state
    if (reportedUtilization !== undefined) this._getNews(state).recordLoad(reportedUtilization, nowMs)
  }

  recordRefusal (state: TargetState, reason: FailureReason, nowMs: number): void {
    if (FULL_REASONS.has(reason)) this._getNews(state).recordOutcome(true, nowMs)
  }

  recordAccepted (state: TargetState, nowMs: number): void {
    this._getNews(state).recordOutcome(false, nowMs)
  }

  private _createCandidate (state: TargetState, call: IPlacementCall, isLimited: boolean, nowMs: number): ICandidate {
    const news = this._getNews(state)
    const { slots } = state.record
    const active = state.computeActive(news.computeUtilization(nowMs), nowMs)
    const room = (isLimited ? computeSpareSlots(slots, call.callClass) : slots) - active
    const waitMs = isLimited ? 0 : state.computeWaitMs(nowMs, active)
    const isHome = this._isInOwnZone(state)
    const networkMs = isHome ? HOP_LATENCY_MS : ZONE_LATENCY_MS + call.responseBytes / LINK_BYTES_PER_MS
    const acceptedProbability = (1 - news.computeRefusedShare(nowMs)) * (isLimited ? Math.min(1, Math.max(0, room) / SAFE_SPARE_SLOTS) : 1)
    const value = this._computeValue(state, call, waitMs, networkMs, nowMs) * acceptedProbability - this._computeCost(state, call) +
      this._options.random.draw() * VALUE_NOISE
    return { state, value, room }
  }

  private _computeCost ({ record }: TargetState, { responseBytes }: IPlacementCall): number {
    const { availabilityZone, region, linkAddress } = this._options
    if (record.linkAddress === linkAddress) return 0
    if (record.availabilityZone === availabilityZone) return HOP_COST
    const zoneCost = Math.min(MAX_ZONE_COST, ZONE_COST + ZONE_COST_PER_KB * responseBytes / BYTES_PER_KB)
    return HOP_COST + zoneCost + (record.region === region ? 0 : REGION_COST)
  }

  /** Draws among the best few in proportion to their free slots, so that processes with the same old news use several targets. */
  private _draw (candidates: readonly ICandidate[], bestValue: number): TargetState {
    const good = candidates.filter(({ value }) => value >= bestValue - DRAWN_VALUE_RANGE)
      .sort((a, b) => b.value - a.value).slice(0, MAX_DRAWN)
    const total = good.reduce((sum, { room }) => sum + Math.max(0, room), 0)
    let draw = this._options.random.draw() * total
    const drawn = total > 0 ? good.find(({ room }) => (draw -= Math.max(0, room)) < 0) : undefined
    return (drawn ?? good[0] as ICandidate).state
  }

  private _explainCrossing (bestHome: ICandidate | undefined, nowMs: number): CrossingReason {
    if (bestHome === undefined) return 'no-home-target'
    return this._getNews(bestHome.state).computeRefusedShare(nowMs) > MIN_GAIN ? 'home-refuses' : 'home-late'
  }

  private _getNews ({ record }: TargetState): ZoneNews {
    const key = `${record.service}\n${record.availabilityZone}`
    let news = this._news.get(key)
    if (news === undefined) {
      news = new ZoneNews()
      this._news.set(key, news)
    }
    return news
  }
}

function findBest (candidates: readonly ICandidate[]): ICandidate | undefined {
  let best: ICandidate | undefined
  for (const candidate of candidates) if (best === undefined || candidate.value > best.value) best = candidate
  return best
}
