/**
 * Tokens that leaders granted to a node lately for one account, by which it goes on while no leader decides in time.
 */
import type { IRandom } from '@lagoonswitch/common'
import { LEASE_VALIDITY_MS } from './CapRules.js'

/**
 * Part of the recent use that goes on without a decision. All nodes together then stay below the rate and burst of the account, also in a
 * window that begins with a full burst before the leader was lost.
 */
const CONTINUED_SHARE = 0.8
/** Part of a window, and part of what may go on in a window that may do so in it. */
const SHORT_WINDOW_SHARE = 0.2
const SHORT_LIMIT_SHARE = 0.3
/** Calls in a window below which the short window says nothing. */
const MIN_SHORT_LIMIT = 4

/**
 * Answers the loss of a leader, and a leader that is too slow to decide: calls go on at the rate at which they were admitted before. An
 * account of which a leader has refused a call within the window has used up its cap, so nothing goes on.
 */
export class RecentUse {
  private readonly _grantedMs: number[] = []
  private readonly _continuedMs: number[] = []
  private _refusedMs = -Infinity
  private _unreported = 0

  /** Number of calls that are remembered. */
  get size (): number {
    return this._grantedMs.length + this._continuedMs.length
  }

  /**
   * Records a token that a leader granted and a call used.
   * @param windowMs - window of the caps in milliseconds
   * @param nowMs - current time in milliseconds
   */
  recordGrant (windowMs: number, nowMs: number): void {
    // While no leader decides, the window before its loss is needed for as long as leases are valid.
    dropBefore(this._grantedMs, nowMs - windowMs - LEASE_VALIDITY_MS)
    this._grantedMs.push(nowMs)
  }

  /** Removes the last granted token, as its call did not run. */
  removeGrant (): void {
    this._grantedMs.pop()
  }

  /**
   * Records that a leader had no token.
   * @param nowMs - current time in milliseconds
   */
  recordRefusal (nowMs: number): void {
    this._refusedMs = nowMs
  }

  /**
   * Takes a token.
   * @param windowMs - window of the caps in milliseconds
   * @param knownMs - time until which leaders decided, in milliseconds
   * @param nowMs - current time in milliseconds
   * @param random - rounds small numbers of calls, so that the sum over all nodes is kept
   * @returns true if the call may go on
   */
  take (windowMs: number, knownMs: number, nowMs: number, random: IRandom): boolean {
    dropBefore(this._grantedMs, Math.min(knownMs, nowMs) - windowMs)
    dropBefore(this._continuedMs, nowMs - windowMs)
    if (nowMs - this._refusedMs < windowMs) return false
    const limit = CONTINUED_SHARE * this._grantedMs.length
    const shortStartMs = nowMs - SHORT_WINDOW_SHARE * windowMs
    const recent = this._continuedMs.filter(atMs => atMs >= shortStartMs).length
    if (limit >= MIN_SHORT_LIMIT && recent >= SHORT_LIMIT_SHARE * limit) return false
    if (random.draw() >= limit - this._continuedMs.length) return false
    this.recordContinued(windowMs, nowMs)
    return true
  }

  /**
   * Records a call that goes on without a decision.
   * @param windowMs - window of the caps in milliseconds
   * @param nowMs - current time in milliseconds
   */
  recordContinued (windowMs: number, nowMs: number): void {
    dropBefore(this._continuedMs, nowMs - windowMs)
    this._continuedMs.push(nowMs)
    this._unreported++
  }

  /** Gives back the token of a call that did not run. */
  giveBack (): void {
    this._continuedMs.pop()
    this._unreported = Math.max(0, this._unreported - 1)
  }

  /** @returns tokens taken since the last call, which the leader charges to the account */
  takeUnreported (): number {
    const count = this._unreported
    this._unreported = 0
    return count
  }
}

function dropBefore (timesMs: number[], startMs: number): void {
  let count = 0
  while (count < timesMs.length && (timesMs[count] as number) < startMs) count++
  if (count > 0) timesMs.splice(0, count)
}
