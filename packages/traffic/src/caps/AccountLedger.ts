/**
 * Allocates the rate of one account to nodes.
 */
import type { AccountAnswer, AccountUse, UsageLease } from '@lagoonswitch/schema'
import { LeaseRecord } from './LeaseRecord.js'
import { TokenBucket } from './TokenBucket.js'
import { LEASE_VALIDITY_MS, computeLeasableBurst, computeLeasableRate, type ICap, type ICapTolerance } from './CapRules.js'

/** Time between two computations of the shares; half of the time between the reports of a node. */
const PLAN_INTERVAL_MS = 250
/** Rate of a lease per call of the demand, as long as the account's rate suffices. */
const HEADROOM = 1.5
/** Smallest rate of a lease in calls per second; nodes with less demand ask for each call. */
const MIN_LEASE_RATE = 0.5
/** Smallest burst of a lease; a bucket with less depth admits no call. */
const MIN_LEASE_BURST = 1
/** Covers the difference between the speeds of the clocks of node and leader. */
const CLOCK_MARGIN_MS = 100
const MAX_WAIT_MS = 10_000
/** Share of the rate up to which the demand counts as well below the cap; usual demand is about 0.63 of it. */
const CALM_DEMAND_SHARE = 0.75

/** A message of a node and its circumstances. */
export interface IUseContext {
  /** Name and start of the node. */
  readonly node: string
  /** Time that the numbers of calls cover, in milliseconds; 0 in messages between reports. */
  readonly intervalMs: number
  /** Term of this leader. */
  readonly epoch: number
  readonly nowMs: number
  /** True while leases of an earlier leader may be in use that this one has not heard of. */
  readonly isRecovering: boolean
  readonly nextSequence: () => number
}

/**
 * Leases and the spare bucket of one account. Answers demand that is uneven over the nodes and changes: leases follow the reported
 * demand by max-min fairness with headroom, so that most calls need no message; what is not leased fills the spare bucket, which serves
 * nodes whose demand has just risen and accounts with fewer calls than nodes.
 */
export class AccountLedger {
  private readonly _records = new Map<string, LeaseRecord>()
  private readonly _spare: TokenBucket
  private _countedRate = 0
  private _countedBurst = 0
  private _plannedMs = -Infinity
  /** Rate per call of the demand, and the largest rate of a node; one of them limits. */
  private _rateFactor = 0
  private _maxRate = Infinity
  private _demand = 0

  /**
   * @param _cap - of the account
   * @param _tolerance - of the caps
   * @param startedMs - time from which this leader may grant, in milliseconds
   * @param recoveredMs - end of the recovery period, in milliseconds
   * @param nowMs - current time in milliseconds
   */
  constructor (private _cap: ICap, private readonly _tolerance: ICapTolerance, startedMs: number, recoveredMs: number, nowMs: number) {
    // An account that is used for the first time has filled its bucket since this leader began.
    this._spare = new TokenBucket(_cap.rate - computeLeasableRate(_cap.rate), Math.max(1, _cap.burst), startedMs)
    if (nowMs > recoveredMs) {
      this._spare.readTokens(recoveredMs)
      this._spare.change(_cap.rate, Math.max(1, _cap.burst), recoveredMs)
    }
  }

  /** Sum of the rates that nodes may be using, in calls per second. */
  get leasedRate (): number {
    return this._countedRate
  }

  /** Sum of the bursts that nodes may be using, in calls. */
  get leasedBurst (): number {
    return this._countedBurst
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns tokens in the spare bucket
   */
  readSpareTokens (nowMs: number): number {
    return this._spare.readTokens(nowMs)
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns true if the demand of all nodes is not well below the cap, or tokens are owed
   */
  isBusy (nowMs: number): boolean {
    return this._demand > CALM_DEMAND_SHARE * this._cap.rate || this._spare.readTokens(nowMs) < 1
  }

  /**
   * Applies a changed cap.
   * @param cap - of the account
   * @param isRecovering - true while leases may be unknown
   * @param nowMs - current time in milliseconds
   */
  changeCap (cap: ICap, isRecovering: boolean, nowMs: number): void {
    if (cap.rate === this._cap.rate && cap.burst === this._cap.burst) return
    this._cap = cap
    this._plannedMs = -Infinity
    this._fillSpare(isRecovering, nowMs)
  }

  /**
   * Handles what a node states about this account.
   * @param use - statement of the node
   * @param context - of the message
   * @returns the answer: a lease, tokens, or the time until there is one
   */
  handleUse (use: AccountUse, context: IUseContext): AccountAnswer {
    const { nowMs, isRecovering } = context
    if (nowMs - this._plannedMs >= PLAN_INTERVAL_MS) this._plan(nowMs)
    const lease = this._handleLease(use, context)
    this._fillSpare(isRecovering, nowMs)
    if (use.continued > 0) this._spare.charge(use.continued, nowMs)
    if (use.returned > 0) this._spare.putBack(use.returned, nowMs - use.returnedAgeMs, nowMs)
    const tokens = use.asked > 0 ? this._spare.take(use.asked, nowMs) : 0
    const waitMs = tokens < use.asked ? Math.ceil(Math.min(MAX_WAIT_MS, this._spare.computeWaitMs(nowMs))) : 0
    return { lease, tokens, waitMs }
  }

  private _handleLease (use: AccountUse, context: IUseContext): UsageLease | undefined {
    const { node, nowMs, intervalMs, epoch, isRecovering } = context
    const record = this._records.get(node) ?? new LeaseRecord()
    this._records.set(node, record)
    this._update(record, () => {
      if (use.epoch === epoch) record.confirm(use.sequence, nowMs)
      // The node drops this lease when it learns of the new leader, or uses it until it runs out.
      else if (use.rate > 0) record.addGrant(0, use.rate, use.burst, nowMs + LEASE_VALIDITY_MS + CLOCK_MARGIN_MS)
    })
    if (intervalMs === 0) return undefined
    const known = record.getDemand(nowMs)
    record.recordDemand(use.calls, intervalMs, nowMs)
    this._demand += record.getDemand(nowMs) - known
    const { rate, burst } = isRecovering ? this._limitLease(record, use.rate, use.burst) : this._computeLease(record, nowMs)
    if (rate === 0 && use.rate === 0) return undefined
    const sequence = context.nextSequence()
    this._update(record, () => record.addGrant(sequence, rate, burst, nowMs + LEASE_VALIDITY_MS + CLOCK_MARGIN_MS))
    return { sequence, rate, burst, capRate: this._cap.rate }
  }

  private _computeLease (record: LeaseRecord, nowMs: number): { rate: number, burst: number } {
    const demand = record.getDemand(nowMs)
    const leasableBurst = computeLeasableBurst(this._cap, this._tolerance)
    const wantedBurst = Math.max(MIN_LEASE_BURST, leasableBurst * demand / Math.max(demand, this._demand))
    return this._limitLease(record, Math.min(this._rateFactor * demand, this._maxRate), wantedBurst)
  }

  /** Limits the lease of a node to what the others leave of the rate and of the bursts. */
  private _limitLease (record: LeaseRecord, wantedRate: number, wantedBurst: number): { rate: number, burst: number } {
    const freeRate = computeLeasableRate(this._cap.rate) - (this._countedRate - record.countedRate)
    const freeBurst = computeLeasableBurst(this._cap, this._tolerance) - (this._countedBurst - record.countedBurst)
    const rate = Math.min(wantedRate, freeRate)
    const burst = Math.min(wantedBurst, freeBurst)
    return rate >= MIN_LEASE_RATE && burst >= MIN_LEASE_BURST ? { rate, burst } : { rate: 0, burst: 0 }
  }

  private _update (record: LeaseRecord, change: () => void): void {
    const { countedRate, countedBurst } = record
    change()
    this._countedRate += record.countedRate - countedRate
    this._countedBurst += record.countedBurst - countedBurst
  }

  private _fillSpare (isRecovering: boolean, nowMs: number): void {
    const leased = isRecovering ? Math.max(this._countedRate, computeLeasableRate(this._cap.rate)) : this._countedRate
    this._spare.change(Math.max(0, this._cap.rate - leased), Math.max(1, this._cap.burst), nowMs)
  }

  /** Drops what has run out, and computes the shares by demand. */
  private _plan (nowMs: number): void {
    this._plannedMs = nowMs
    this._countedRate = 0
    this._countedBurst = 0
    const demands: number[] = []
    for (const [node, record] of this._records) {
      record.confirm(0, nowMs)
      if (record.isIdle(nowMs)) {
        this._records.delete(node)
        continue
      }
      this._countedRate += record.countedRate
      this._countedBurst += record.countedBurst
      demands.push(record.getDemand(nowMs))
    }
    const leasable = computeLeasableRate(this._cap.rate)
    this._demand = demands.reduce((sum, demand) => sum + demand, 0)
    const isSufficient = this._demand <= leasable
    this._rateFactor = isSufficient ? Math.min(HEADROOM, leasable / Math.max(this._demand, Number.MIN_VALUE)) : 1
    this._maxRate = isSufficient ? Infinity : computeFairLevel(demands, leasable)
  }
}

/**
 * Computes the level of max-min fairness.
 * @param demands - of the nodes; their sum exceeds the total
 * @param total - what is shared
 * @returns the most that a node gets
 */
export function computeFairLevel (demands: readonly number[], total: number): number {
  const sorted = [...demands].sort((a, b) => a - b)
  let left = total
  for (const [index, demand] of sorted.entries()) {
    const level = left / (sorted.length - index)
    if (demand >= level) return level
    left -= demand
  }
  return Infinity
}
