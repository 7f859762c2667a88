/**
 * Placement that keeps calls in their zone unless the response is worth more than its transfer.
 */
import type { EndpointRecord } from '@lagoonswitch/schema'
import { computeSpareSlots } from '../slots/SlotLimiter.js'
import {
  BYTES_PER_KB, HOP_COST, HOP_LATENCY_MS, PlacementPolicy, REGION_COST, VALUE_NOISE, type IPlacement, type IPlacementCall
} from './PlacementPolicy.js'
import type { TargetState } from './TargetState.js'

/** Cost of leaving the zone, relative to the value of a response in time, which is 1. */
const ZONE_COST = 0.12
const ZONE_COST_PER_KB = 0.12
/** Upper limit of the cost of traffic between zones. */
const MAX_ZONE_COST = 0.9
/** Value of a response that comes after the objective, relative to one in time. */
const LATE_VALUE = 0.35

/** Picks the target with the highest value less the cost of the network to it. */
export class LocalPlacement extends PlacementPolicy {
  pickTarget (
    states: readonly TargetState[], call: IPlacementCall, isLimitedToSpare: (record: EndpointRecord) => boolean, nowMs: number
  ): IPlacement | undefined {
    let best: TargetState | undefined
    let bestValue = -Infinity
    for (const state of states) {
      const expected = this._computeValue(state, call, state.computeWaitMs(nowMs), HOP_LATENCY_MS, nowMs) -
        this._computeNetworkCost(state, call)
      if (isLimitedToSpare(state.record) && !this._isWorthCrossingZones(state, call, expected, nowMs)) continue
      const value = expected + this._options.random.draw() * VALUE_NOISE
      if (value <= bestValue) continue
      best = state
      bestValue = value
    }
    return best === undefined ? undefined : { state: best, crossing: this._isInOwnZone(best) ? undefined : 'value' }
  }

  /** The load of each target is known from its state. */
  recordLoad (): void {}

  recordRefusal (): void {}

  recordAccepted (): void {}

  /** Another zone is used if the response is worth more than its transfer and a slot may be free; a refused request costs traffic too. */
  private _isWorthCrossingZones (state: TargetState, call: IPlacementCall, expectedValue: number, nowMs: number): boolean {
    const spareSlots = computeSpareSlots(state.computeRoom(nowMs), call.callClass)
    return expectedValue > 0 && !call.isSpareExcluded && state.countActive(nowMs) < spareSlots
  }

  private _computeNetworkCost (state: TargetState, { responseBytes, isLate }: IPlacementCall): number {
    const { record } = state
    const { region, linkAddress } = this._options
    if (record.linkAddress === linkAddress) return 0
    const scale = isLate ? LATE_VALUE : 1
    if (this._isInOwnZone(state)) return HOP_COST / scale
    const zoneCost = Math.min(MAX_ZONE_COST, ZONE_COST + ZONE_COST_PER_KB * responseBytes / BYTES_PER_KB)
    return (HOP_COST + zoneCost + (record.region === region ? 0 : REGION_COST)) / scale
  }
}
