/**
 * One node's share of the rate of an account while no leader is reached.
 */
import type { IRandom } from '@lagoonswitch/common'
import { computeLeasableBurst, computeLeasableRate, computeReserve, type ICap, type ICapTolerance } from './CapRules.js'

const MS_PER_SECOND = 1_000

/** How a rate is shared. */
export interface IShareRule {
  readonly cap: ICap
  readonly tolerance: ICapTolerance
  /** True for the share of the whole rate, false for that of what is never leased. */
  readonly isWhole: boolean
  /** Nodes that share the rate. */
  readonly nodes: number
}

/**
 * Tokens at a fixed rate, one at a time. Answers the loss of all leaders under any load: a token that is not used in time is lost, since
 * an account that is small beside the number of nodes would otherwise have more tokens at all nodes together than its cap allows.
 */
export class RateShare {
  private readonly _intervalMs: number
  private readonly _usableMs: number
  private _startedMs: number

  /**
   * @param rule - how the rate is shared
   * @param startedMs - time from which no leader granted, in milliseconds
   * @param random - draws a delay, so that the nodes don't have their tokens at the same time
   */
  constructor (readonly rule: IShareRule, startedMs: number, random: IRandom) {
    const { cap, tolerance, isWhole, nodes } = rule
    const rate = cap.rate - (isWhole ? 0 : computeLeasableRate(cap.rate))
    // Without a leader nobody uses the burst of the spare bucket, and the part of the tolerance that is no reserve.
    const usableTokens = cap.burst + computeLeasableBurst(cap, tolerance) - nodes * computeReserve(cap, tolerance, nodes)
    this._intervalMs = nodes / rate * MS_PER_SECOND
    this._usableMs = usableTokens >= nodes ? Infinity : usableTokens / rate * MS_PER_SECOND
    this._startedMs = startedMs + random.draw() * this._intervalMs
  }

  /**
   * Takes the token.
   * @param nowMs - current time in milliseconds
   * @returns milliseconds until there is a token; 0 if it was taken
   */
  take (nowMs: number): number {
    const cycleMs = this._intervalMs + this._usableMs
    const passedMs = nowMs - this._startedMs
    if (passedMs > cycleMs) this._startedMs += Math.floor(passedMs / cycleMs) * cycleMs
    const waitMs = this._startedMs + this._intervalMs - nowMs
    if (waitMs > 0) return waitMs
    this._startedMs = nowMs
    return 0
  }
}
