/**
 * Rules of usage caps that nodes and leaders share: the bound, its parts, and the times.
 */

import type { IAccount } from '@lagoonswitch/schema'

/** Cap of an account over all nodes. */
export interface ICap {
  /** Calls per second, above 0. */
  readonly rate: number
  /** Calls that may exceed the rate at once. */
  readonly burst: number
}

/** Tolerance of the caps; the same in all processes. */
export interface ICapTolerance {
  readonly windowMs: number
  /** Share by which the calls in a window may exceed the cap. */
  readonly excess: number
  /** Calls in a window in addition. */
  readonly slack: number
}

/** Time from the sending of a request until the lease that answers it runs out, in milliseconds. */
export const LEASE_VALIDITY_MS = 10_000
/** Time between two reports of a node, in milliseconds. */
export const REPORT_INTERVAL_MS = 500
/** Longest time for which a call waits for an answer, in milliseconds. */
export const MAX_WAIT_MS = 100

const MS_PER_SECOND = 1_000
/**
 * Share of a rate that is leased. The rest fills the spare bucket, which a new leader may use at once as no leases draw on it. With 0.8,
 * accounts that are spread thinly over nodes lose calls, as their leases have small bursts and use half of their rate.
 */
const LEASED_SHARE = 0.6
/**
 * Rate in calls per second that is never leased. An account this small has fewer calls than there are nodes, so that a lease would
 * seldom be where the next call is, while a message for each of its calls costs little.
 */
const UNLEASED_RATE = 20
const TOLERANCE_SHARE_OF_LEASES = 0.5

/**
 * Finds the cap of an account.
 * @param account - in the catalogue; undefined if it isn't there
 * @returns the cap; undefined if the account has none
 */
export function findCap (account: IAccount | undefined): ICap | undefined {
  const rate = account?.rate ?? 0
  return rate > 0 ? { rate, burst: account?.burst ?? 0 } : undefined
}

/**
 * Computes the largest sum of the leased rates of an account.
 * @param rate - of the account, in calls per second
 * @returns calls per second
 */
export function computeLeasableRate (rate: number): number {
  return LEASED_SHARE * Math.max(0, rate - UNLEASED_RATE)
}

/**
 * Computes the largest sum of the bursts of an account's leases: half of the tolerance.
 * @param cap - of the account
 * @param tolerance - of the caps
 * @returns calls
 */
export function computeLeasableBurst (cap: ICap, tolerance: ICapTolerance): number {
  const { windowMs, excess, slack } = tolerance
  return TOLERANCE_SHARE_OF_LEASES * ((cap.rate * windowMs / MS_PER_SECOND + cap.burst) * excess + slack)
}

/**
 * Computes how many calls a node may admit in a window when no answer comes in time: its share of the half of the tolerance that leases
 * don't use.
 * @param cap - of the account
 * @param tolerance - of the caps
 * @param nodes - nodes that share it
 * @returns calls; 0 if the share is less than one
 */
export function computeReserve (cap: ICap, tolerance: ICapTolerance, nodes: number): number {
  return Math.floor(computeLeasableBurst(cap, tolerance) / Math.max(1, nodes))
}

/**
 * Computes how many calls of an account may run in a window.
 * @param cap - of the account
 * @param tolerance - of the caps
 * @returns calls
 */
export function computeCapBound (cap: ICap, { windowMs, excess, slack }: ICapTolerance): number {
  return (cap.rate * windowMs / MS_PER_SECOND + cap.burst) * (1 + excess) + slack
}
