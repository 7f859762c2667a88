/**
 * Interface of the policies that choose the target of a call among those that can be called.
 */
import type { IRandom } from '@lagoonswitch/common'
import type { CallClass, EndpointRecord } from '@lagoonswitch/schema'
import type { FailureReason } from '../CallLoad.js'
import type { TargetState } from './TargetState.js'

/** Cost of a hop to another VM, relative to the value of a response in time, which is 1. */
export const HOP_COST = 0.02
export const REGION_COST = 0.3
/** Amplitude of the random term that spreads calls over targets with nearly equal values. */
export const VALUE_NOISE = 0.015
export const HOP_LATENCY_MS = 1
export const BYTES_PER_KB = 1_024
/** Cost of a response that is expected to take its whole objective; a shorter time costs proportionally less. */
const LATENCY_COST = 0.05
/** Shape of the Weibull distribution that models how the times of calls vary around their mean. */
const WEIBULL_SHAPE = 1.3

/** Location of this process, and its random numbers. */
export interface IPlacementOptions {
  readonly region: string
  readonly availabilityZone: string
  /** Link address of this process. */
  readonly linkAddress: string
  readonly random: IRandom
}

/** What a policy knows of a call. */
export interface IPlacementCall {
  readonly callClass: CallClass
  /** Usual time of its route in a slot, 0 if unknown. */
  readonly usualMs: number
  /** Computes the expected time in a slot of a target in milliseconds. */
  readonly computeServiceMs: (state: TargetState) => number
  /** Usual size of a response of its route. */
  readonly responseBytes: number
  /** Time within which the response is expected, stated or assumed. */
  readonly objectiveMs: number
  /** True if the response of any target would come after the objective. */
  readonly isLate: boolean
  /** True if targets at which the call may only use spare slots are left out. */
  readonly isSpareExcluded: boolean
}

/** Why a call leaves its zone; also the label of a counter. */
export type CrossingReason = 'value' | 'no-home-target' | 'home-refuses' | 'home-late'

/** A chosen target. */
export interface IPlacement {
  readonly state: TargetState
  /** Set when the target is in another zone. */
  readonly crossing: CrossingReason | undefined
}

/** Chooses targets. */
export abstract class PlacementPolicy {
  /** @param _options - location and random numbers */
  constructor (protected readonly _options: IPlacementOptions) {}

  /**
   * Picks the target of a call.
   * @param states - targets that can be called
   * @param call - what is known of the call
   * @param isLimitedToSpare - tells whether the call may only use spare slots of a target
   * @param nowMs - monotonic time in milliseconds
   * @returns the target, or undefined if none is worth its cost
   */
  abstract pickTarget (
    states: readonly TargetState[], call: IPlacementCall, isLimitedToSpare: (record: EndpointRecord) => boolean, nowMs: number
  ): IPlacement | undefined

  /**
   * Records that the node of a target has reported its load.
   * @param state - the target, which has the report
   * @param nowMs - monotonic time in milliseconds
   */
  abstract recordLoad (state: TargetState, nowMs: number): void

  /**
   * Records that a target did not take a call.
   * @param state - the target
   * @param reason - of the refusal
   * @param nowMs - monotonic time in milliseconds
   */
  abstract recordRefusal (state: TargetState, reason: FailureReason, nowMs: number): void

  /**
   * Records that a target ran a call and responded.
   * @param state - the target
   * @param nowMs - monotonic time in milliseconds
   */
  abstract recordAccepted (state: TargetState, nowMs: number): void

  protected _isInOwnZone ({ record }: TargetState): boolean {
    return record.availabilityZone === this._options.availabilityZone
  }

  /**
   * Computes the value of sending a call to a target without the cost of the network: the probability of a response in time, less
   * that of a failure and the cost of latency.
   * @param state - the target
   * @param call - what is known of the call
   * @param waitMs - expected time until the call gets a slot
   * @param networkMs - time that the request and the response take to and fro
   * @param nowMs - monotonic time in milliseconds
   * @returns value, 1 for a certain response in no time
   */
  protected _computeValue (state: TargetState, call: IPlacementCall, waitMs: number, networkMs: number, nowMs: number): number {
    const serviceMs = call.computeServiceMs(state)
    const leftMs = Math.max(0, call.objectiveMs - waitMs - networkMs)
    const inTimeProbability = 1 - Math.exp(-((leftMs / serviceMs) ** WEIBULL_SHAPE))
    const delayRatio = Math.min(1, (waitMs + serviceMs) / call.objectiveMs)
    return inTimeProbability * (1 - state.computeFailureRate(nowMs)) - LATENCY_COST * delayRatio
  }
}
