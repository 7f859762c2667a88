/**
 * What a node holds of one account: its lease, and the calls that wait for a token.
 */
import type { IRandom } from '@lagoonswitch/common'
import type { AccountUse, UsageLease } from '@lagoonswitch/schema'
import { RecentUse } from './RecentUse.js'
import { RateShare } from './RateShare.js'
import { TokenBucket } from './TokenBucket.js'
import { LEASE_VALIDITY_MS, computeLeasableRate, computeReserve, type ICap, type ICapTolerance } from './CapRules.js'

/** Longest time over which unused tokens of a lease are collected; a little more than the time between two reports. */
const MAX_OVERFLOW_AGE_MS = 600
/** Time after which a token is asked for again, as the message or its answer is probably lost. */
const REPEAT_ASK_MS = 40

/** A call that waits for a token. */
export interface ICapWaiter {
  readonly sinceMs: number
  /** True once the call has ended or was decided. */
  isDone: boolean
  /** When a token was last asked for, in milliseconds; undefined if none was. */
  askedMs?: number
  readonly onDecided: (decision: ICapDecision) => void
}

/** Decision on a call: admitted, beyond the cap, or not decided in time. */
export interface ICapDecision {
  readonly kind: 'admitted' | 'refused' | 'undecided'
  /** Where the token came from. */
  readonly source: 'lease' | 'spare' | 'recent' | 'reserve' | 'fallback' | 'none'
  /** Time until a token is expected, in milliseconds; 0 if admitted. */
  readonly waitMs: number
}

/** How a rate is shared without a leader. */
export interface IShareContext {
  /** True for the share of the whole rate. */
  readonly isWhole: boolean
  /** Nodes that share the rate. */
  readonly nodes: number
  readonly tolerance: ICapTolerance
  /** Time from which no leader answered, in milliseconds. */
  readonly lostMs: number
  readonly random: IRandom
}

/**
 * Account of a node. Answers steady demand: calls within the lease are admitted without a message. Scales the lease at once when
 * the catalogue lowers the cap, so that a lowered cap needs no leader.
 */
export class NodeLease {
  private readonly _bucket: TokenBucket
  private _sequence = 0
  private _epoch = 0
  private _capRate = 0
  private _grantedRate = 0
  private _grantedBurst = 0
  private _expiresMs = -Infinity
  /** Share of the rate of an account while no leader is reached; undefined while leaders answer. */
  private _share: RateShare | undefined
  private _reserveUsed = 0
  private _reserveUsedMs = -Infinity
  private _reportedMs = -Infinity
  private _returned = 0
  private _returnedMs = 0
  private _calls = 0
  readonly waiters: ICapWaiter[] = []
  /** Tokens that leaders granted lately. */
  readonly recentUse = new RecentUse()
  /** Time before which no token is asked for, in milliseconds. */
  nextAskMs = -Infinity

  /**
   * @param name - of the account
   * @param _cap - of the account in the catalogue
   * @param nowMs - current time in milliseconds
   */
  constructor (readonly name: string, private _cap: ICap, nowMs: number) {
    this._bucket = new TokenBucket(0, 0, nowMs)
  }

  /** Rate of the lease in calls per second; 0 without one. */
  get leasedRate (): number {
    return this._bucket.rate
  }

  /** True if the next report has to carry this account. */
  get isInUse (): boolean {
    return this._calls > 0 || this._returned > 0 || this._sequence > 0 || this.waiters.length > 0
  }

  /**
   * Applies a changed cap of the catalogue.
   * @param cap - of the account
   * @param nowMs - current time in milliseconds
   */
  changeCap (cap: ICap, nowMs: number): void {
    if (cap.rate === this._cap.rate && cap.burst === this._cap.burst) return
    this._cap = cap
    this._share = undefined
    this._applyScale(nowMs)
  }

  /**
   * Computes when a token must be asked for. A call is not asked for again while its answer may be under way: the second message would
   * take another token, or be refused, and the refusal would stop the calls behind it.
   * @returns time in milliseconds; Infinity if no call waits
   */
  computeAskMs (): number {
    let askMs = Infinity
    for (const { isDone, askedMs } of this.waiters) {
      if (!isDone) askMs = Math.min(askMs, askedMs === undefined ? -Infinity : askedMs + REPEAT_ASK_MS)
    }
    return Math.max(this.nextAskMs, askMs)
  }

  /** Counts a call that requests admission. */
  countCall (): void {
    this._calls++
  }

  /**
   * Takes a token of the lease.
   * @param nowMs - current time in milliseconds
   * @returns true if there was one
   */
  takeToken (nowMs: number): boolean {
    this.expire(nowMs)
    return this._bucket.take(1, nowMs) === 1
  }

  /**
   * Takes a token of the node's share of the rate, which applies without a leader: of what is never leased while leases may be valid,
   * of the whole rate later.
   * @param context - how the rate is shared, and since when
   * @param nowMs - current time in milliseconds
   * @returns milliseconds until there is a token; 0 if one was taken
   */
  takeShare ({ isWhole, nodes, tolerance, lostMs, random }: IShareContext, nowMs: number): number {
    const known = this._share?.rule
    if (this._share === undefined || known?.isWhole !== isWhole || known.nodes !== nodes) {
      this._share = new RateShare({ cap: this._cap, tolerance, isWhole, nodes }, known === undefined && !isWhole ? lostMs : nowMs, random)
    }
    return this._share.take(nowMs)
  }

  /**
   * Takes a token of the reserve for calls that no leader decides on in time. It is there again a window after its last use, so that no
   * window has more of them.
   * @param tolerance - of the caps
   * @param nodes - nodes that share the reserve
   * @param nowMs - current time in milliseconds
   * @returns true if there was one
   */
  takeReserve (tolerance: ICapTolerance, nodes: number, nowMs: number): boolean {
    if (nowMs - this._reserveUsedMs > tolerance.windowMs) this._reserveUsed = 0
    if (this._reserveUsed >= computeReserve(this._cap, tolerance, nodes)) return false
    this._reserveUsed++
    this._reserveUsedMs = nowMs
    return true
  }

  /** Ends the use of the node's share; a later one starts empty. */
  endShare (): void {
    this._share = undefined
  }

  /**
   * Gives back the token of a call that did not run: to the lease, or to the leader with the next message.
   * @param source - where the token came from
   * @param takenMs - when it was taken, in milliseconds
   * @param nowMs - current time in milliseconds
   */
  returnToken (source: ICapDecision['source'], takenMs: number, nowMs: number): void {
    if (source === 'lease' && this._bucket.depth >= 1) {
      this._bucket.putBack(1, takenMs, nowMs)
    } else if (source === 'recent') {
      this.recentUse.giveBack()
    } else if (source === 'reserve') {
      this._reserveUsed = Math.max(0, this._reserveUsed - 1)
    } else if (source === 'spare' || source === 'lease') {
      if (source === 'spare') this.recentUse.removeGrant()
      this._returnedMs = this._returned === 0 ? takenMs : Math.min(this._returnedMs, takenMs)
      this._returned++
    }
  }

  /**
   * Writes the statement of this account.
   * @param isReport - true in reports, which carry the number of calls
   * @param nowMs - current time in milliseconds
   * @returns the statement
   */
  createUse (isReport: boolean, nowMs: number): AccountUse {
    this.expire(nowMs)
    if (isReport) this._returnOverflow(nowMs)
    const use: AccountUse = {
      account: this.name,
      calls: isReport ? this._calls : 0,
      sequence: this._sequence,
      rate: this._bucket.rate,
      burst: this._bucket.depth,
      asked: nowMs >= this.nextAskMs ? this._markAsked(nowMs) : 0,
      returned: this._returned,
      returnedAgeMs: this._returned === 0 ? 0 : Math.max(0, Math.floor(nowMs - this._returnedMs)),
      epoch: this._epoch,
      continued: this.recentUse.takeUnreported()
    }
    if (isReport) this._calls = 0
    this._returned = 0
    return use
  }

  /**
   * Applies the lease of an answer; an older one than the lease held has no effect.
   * @param lease - undefined if the answer has none
   * @param use - statement that was answered
   * @param epoch - of the leader that answered
   * @param sentMs - time at which the request was sent, in milliseconds
   * @param nowMs - current time in milliseconds
   * @returns true if the lease became smaller, so that the leader can use the difference once this is confirmed
   */
  applyLease (lease: UsageLease | undefined, use: AccountUse, epoch: number, sentMs: number, nowMs: number): boolean {
    if (lease === undefined) {
      const isWithdrawn = this._grantedRate === 0 && use.sequence === this._sequence && use.epoch === this._epoch
      if (isWithdrawn) this._sequence = 0
      return false
    }
    if (epoch < this._epoch || (epoch === this._epoch && lease.sequence <= this._sequence)) return false
    const previousRate = this._bucket.rate
    this._epoch = epoch
    this._sequence = lease.sequence
    this._capRate = lease.capRate
    this._grantedRate = lease.rate
    this._grantedBurst = lease.burst
    this._expiresMs = sentMs + LEASE_VALIDITY_MS
    this._applyScale(nowMs)
    return this._bucket.rate < previousRate
  }

  /**
   * Drops the lease once it has run out.
   * @param nowMs - current time in milliseconds
   */
  expire (nowMs: number): void {
    if (nowMs < this._expiresMs || this._sequence === 0) return
    this._grantedRate = 0
    this._grantedBurst = 0
    this._sequence = 0
    this._bucket.change(0, 0, nowMs)
  }

  private _markAsked (nowMs: number): number {
    let count = 0
    for (const waiter of this.waiters) {
      if (waiter.isDone || (waiter.askedMs !== undefined && nowMs - waiter.askedMs < REPEAT_ASK_MS)) continue
      waiter.askedMs = nowMs
      count++
    }
    return count
  }

  /** Gives tokens that the lease did not use since the last report to the spare bucket, if that report is recent. */
  private _returnOverflow (nowMs: number): void {
    const overflow = this._bucket.takeOverflow(nowMs)
    const isRecent = nowMs - this._reportedMs <= MAX_OVERFLOW_AGE_MS
    if (overflow > 0 && isRecent) {
      this._returnedMs = this._returned === 0 ? this._reportedMs : Math.min(this._returnedMs, this._reportedMs)
      this._returned += overflow
    }
    this._reportedMs = nowMs
  }

  private _applyScale (nowMs: number): void {
    const leasable = computeLeasableRate(this._capRate)
    const scale = leasable > 0 ? Math.min(1, computeLeasableRate(this._cap.rate) / leasable) : 0
    this._bucket.change(this._grantedRate * scale, scale > 0 ? this._grantedBurst : 0, nowMs)
  }
}
