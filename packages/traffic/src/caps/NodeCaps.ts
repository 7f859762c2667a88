/**
 * The node's side of usage caps: admits, refuses or lets wait the calls of accounts, and decides which messages are sent when.
 */
import type { IRandom } from '@lagoonswitch/common'
import type { AccountUse, UsageReply, UsageRequest } from '@lagoonswitch/schema'
import { NodeLease, type ICapDecision, type ICapWaiter } from './NodeLease.js'
import { TokenBucket } from './TokenBucket.js'
import { LEASE_VALIDITY_MS, MAX_WAIT_MS, REPORT_INTERVAL_MS, type ICap, type ICapTolerance } from './CapRules.js'

/**
 * Time between two requests for a token while the cap leaves none; bounds the messages of a node whose callers exceed it. Calls that
 * arrive meanwhile wait for the next request, so it is shorter than the longest wait.
 */
const ASK_INTERVAL_MS = 80
/** Longest time without a request for a token, so that tokens which others return are used. */
const MAX_ASK_PAUSE_MS = 1_000
/** Time since the first unanswered message after which calls are no longer held until the longest wait. */
const CONTACT_LOST_MS = 400
/** Time after a failed message until the next one; another control VM is asked then. */
const RETRY_INTERVAL_MS = 50
/**
 * Time without an answer after which the next message is sent nevertheless: an order above the usual round trip, and short enough that
 * the calls of a lost message are asked for again before they end their wait.
 */
const ANSWER_TIME_MS = 30
/** Largest number of messages without an answer, which bounds what a slow leader receives. */
const MAX_IN_FLIGHT = 3
/**
 * Messages per second between reports, and how many may follow each other at once. Beyond that calls wait up to 50 ms for the next
 * message, so that a flood at all nodes costs the leader no more messages than it can answer: one takes it about 0.3 ms.
 */
const ASK_RATE = 20
const ASK_BURST = 5
/** Longest time that a report covers; calls that come after a longer pause are few. */
const MAX_COVERED_MS = 2 * REPORT_INTERVAL_MS
const MS_PER_SECOND = 1_000
const ROUNDING = 1e-6
/** Largest number of calls of one account that wait. */
const MAX_WAITERS = 1_024

/** Who decides about calls: leases and the leader, leases alone, or the node's share of the rate. */
export type CapMode = 'contact' | 'no-contact' | 'fallback'

/** A token that was taken for a call. */
export interface ICapPermit {
  readonly account: string
  readonly source: ICapDecision['source']
  readonly takenMs: number
}

/** Identity of a node. */
export interface ICapNode {
  readonly name: string
  /** Distinguishes starts of the node. */
  readonly incarnation: number
  readonly tolerance: ICapTolerance
  readonly random: IRandom
  /** Number of nodes known from elsewhere; the largest number that was ever known shares a rate without a leader. */
  readonly countNodes: () => number
}

/**
 * Time without a leader for which calls of accounts well below their caps go on. A flood of 7.5 times the usual that begins with the loss
 * adds four times the rate in each second, of which a window that was used to 0.75 before bears 0.75 s.
 */
const MAX_CALM_LOSS_MS = 600
const RECENT: ICapDecision = { kind: 'admitted', source: 'recent', waitMs: 0 }
const UNDECIDED: ICapDecision = { kind: 'undecided', source: 'none', waitMs: 1_000 }

/**
 * Decides on calls of capped accounts. Answers bursts beyond the leases (asks for all waiting calls in one message, one message at a
 * time), floods (asks at intervals and refuses in between), and the loss of all leaders (leases until they run out, then a share of
 * the rate).
 */
export class NodeCaps {
  private readonly _leases = new Map<string, NodeLease>()
  private readonly _asking = new Set<NodeLease>()
  /** Accounts that the next report has to carry. */
  private readonly _inUse = new Set<NodeLease>()
  private _caps: ReadonlyMap<string, ICap> = new Map()
  private _reportedMs: number
  /** When the first message that no leader has answered was sent; undefined while leaders answer. */
  private _lostMs: number | undefined
  private readonly _askBucket: TokenBucket
  private _inFlight = 0
  private _nodes = 1
  private _sentMs = -Infinity
  private _notBeforeMs = 0
  private _isConfirmDue = false
  /** Accounts near their caps by the last answer; undefined while the demand of all nodes is not known. */
  private _busyAccounts: ReadonlySet<string> | undefined

  /**
   * @param _node - identity
   * @param nowMs - current time in milliseconds
   */
  constructor (private readonly _node: ICapNode, nowMs: number) {
    this._reportedMs = nowMs
    this._askBucket = new TokenBucket(ASK_RATE, ASK_BURST, nowMs - MS_PER_SECOND)
  }

  /** Leases by account, for metrics. */
  get leases (): ReadonlyMap<string, NodeLease> {
    return this._leases
  }

  /**
   * Applies the caps of a catalogue.
   * @param caps - by account; accounts without one are not limited
   * @param nowMs - current time in milliseconds
   */
  setCaps (caps: ReadonlyMap<string, ICap>, nowMs: number): void {
    this._caps = caps
    for (const [name, lease] of this._leases) {
      const cap = caps.get(name)
      if (cap !== undefined) {
        lease.changeCap(cap, nowMs)
        continue
      }
      this._leases.delete(name)
      this._inUse.delete(lease)
      this._decide(lease, lease.waiters.length, () => ({ kind: 'admitted', source: 'none', waitMs: 0 }))
    }
  }

  /**
   * @param account - name of the account; may be empty
   * @returns true if its calls are limited
   */
  isCapped (account: string): boolean {
    return this._caps.has(account)
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns who decides at this time
   */
  getMode (nowMs: number): CapMode {
    const lostForMs = this._lostMs === undefined ? 0 : nowMs - this._lostMs
    if (lostForMs > LEASE_VALIDITY_MS) return 'fallback'
    return lostForMs > CONTACT_LOST_MS ? 'no-contact' : 'contact'
  }

  /**
   * Decides on a call of a capped account.
   * @param account - name of the account
   * @param nowMs - current time in milliseconds
   * @param onDecided - called later with the decision if the call has to wait
   * @returns the decision, or what waits; set its `isDone` if the call ends before it is decided
   */
  admit (account: string, nowMs: number, onDecided: ICapWaiter['onDecided']): ICapDecision | ICapWaiter {
    const lease = this._getLease(account, nowMs)
    if (lease === undefined) return { kind: 'admitted', source: 'none', waitMs: 0 }
    lease.countCall()
    this._inUse.add(lease)
    if (lease.takeToken(nowMs)) return { kind: 'admitted', source: 'lease', waitMs: 0 }
    const mode = this.getMode(nowMs)
    if (mode !== 'contact') return this._decideWithoutLeader(lease, mode === 'fallback', nowMs)
    const pauseMs = lease.nextAskMs - nowMs
    if (pauseMs > ASK_INTERVAL_MS || lease.waiters.length >= MAX_WAITERS) {
      return { kind: 'refused', source: 'none', waitMs: Math.max(pauseMs, ASK_INTERVAL_MS) }
    }
    const waiter: ICapWaiter = { sinceMs: nowMs, isDone: false, onDecided }
    lease.waiters.push(waiter)
    this._asking.add(lease)
    return waiter
  }

  /**
   * Gives back the token of a call that did not run.
   * @param permit - of the call
   * @param nowMs - current time in milliseconds
   */
  returnPermit ({ account, source, takenMs }: ICapPermit, nowMs: number): void {
    const lease = this._leases.get(account)
    if (lease === undefined) return
    lease.returnToken(source, takenMs, nowMs)
    if (lease.isInUse) this._inUse.add(lease)
  }

  /**
   * Ends the wait of calls that have waited too long.
   * @param nowMs - current time in milliseconds
   */
  expireWaiters (nowMs: number): void {
    for (const lease of this._asking) {
      const { waiters } = lease
      for (let first = waiters[0]; first !== undefined && (first.isDone || first.sinceMs <= nowMs - MAX_WAIT_MS); first = waiters[0]) {
        waiters.shift()
        if (first.isDone) continue
        first.isDone = true
        // A leader has refused a token just before, so the cap is known to be used up.
        const isRefused = lease.nextAskMs > nowMs - MAX_WAIT_MS
        first.onDecided(isRefused ? { kind: 'refused', source: 'none', waitMs: ASK_INTERVAL_MS } : this._decideAlone(lease, nowMs))
      }
      if (waiters.length === 0) this._asking.delete(lease)
    }
  }

  /**
   * Computes when the state must be looked at again.
   * @param nowMs - current time in milliseconds
   * @returns time in milliseconds at which a message is due or a wait ends; Infinity if there is nothing to do
   */
  computeNextMs (nowMs: number): number {
    let nextMs = Infinity
    const sendableMs = this._computeSendableMs()
    const askableMs = Math.max(sendableMs, nowMs + this._askBucket.computeWaitMs(nowMs))
    for (const lease of this._asking) {
      nextMs = Math.min(nextMs, (lease.waiters[0]?.sinceMs ?? Infinity) + MAX_WAIT_MS)
      nextMs = Math.min(nextMs, Math.max(lease.computeAskMs(), askableMs))
    }
    if (this._inUse.size === 0) return nextMs
    return Math.min(nextMs, Math.max(this._isConfirmDue ? nowMs : this._reportedMs + REPORT_INTERVAL_MS, sendableMs))
  }

  /**
   * Creates the message that is due. Each one ends with {@link applyReply} or {@link failRequest}.
   * @param nowMs - current time in milliseconds
   * @returns the message; undefined if none is due
   */
  createRequest (nowMs: number): UsageRequest | undefined {
    if (nowMs < this._computeSendableMs()) return undefined
    const intervalMs = nowMs - this._reportedMs
    const isReport = intervalMs >= REPORT_INTERVAL_MS
    const accounts: AccountUse[] = []
    if (isReport || this._isConfirmDue) {
      for (const lease of this._inUse) accounts.push(lease.createUse(isReport, nowMs))
    } else if (this._askBucket.readTokens(nowMs) >= 1 - ROUNDING) {
      for (const lease of this._asking) {
        if (lease.computeAskMs() <= nowMs) accounts.push(lease.createUse(false, nowMs))
      }
    }
    if (accounts.length === 0) return undefined
    if (!isReport) this._askBucket.take(1, nowMs)
    this._inFlight++
    this._sentMs = nowMs
    this._isConfirmDue = false
    if (isReport) this._reportedMs = nowMs
    const { name, incarnation } = this._node
    return { node: name, incarnation, intervalMs: isReport ? Math.min(Math.round(intervalMs), MAX_COVERED_MS) : 0, accounts }
  }

  /**
   * Applies the answer of a leader.
   * @param request - the message
   * @param reply - its answer
   * @param sentMs - time at which the message was sent, in milliseconds
   * @param nowMs - current time in milliseconds
   */
  applyReply (request: UsageRequest, reply: UsageReply, sentMs: number, nowMs: number): void {
    this._inFlight--
    this._nodes = Math.max(this._nodes, reply.nodes, this._node.countNodes())
    if (this._lostMs !== undefined) {
      this._lostMs = undefined
      for (const lease of this._leases.values()) lease.endShare()
    }
    this._busyAccounts = reply.demandKnown ? new Set(reply.busyAccounts) : undefined
    request.accounts.forEach((use, index) => {
      const answer = reply.accounts[index]
      const lease = this._leases.get(use.account)
      if (answer === undefined || lease === undefined) return
      if (lease.applyLease(answer.lease, use, reply.epoch, sentMs, nowMs)) this._isConfirmDue = true
      this._applyTokens(lease, use.asked, answer.tokens, answer.waitMs, nowMs)
      if (!lease.isInUse) this._inUse.delete(lease)
    })
  }

  /**
   * Handles a message that no leader has answered in time.
   * @param sentMs - time at which the message was sent, in milliseconds
   * @param nowMs - current time in milliseconds
   */
  failRequest (sentMs: number, nowMs: number): void {
    this._inFlight--
    this._notBeforeMs = nowMs + RETRY_INTERVAL_MS
    this._lostMs ??= sentMs
    // Its calls are not reported again: the time that they came in is not part of the next report either.
    this._isConfirmDue = true
  }

  private _applyTokens (lease: NodeLease, asked: number, tokens: number, waitMs: number, nowMs: number): void {
    const unused = tokens - this._decide(lease, tokens, () => {
      lease.recentUse.recordGrant(this._node.tolerance.windowMs, nowMs)
      return { kind: 'admitted', source: 'spare', waitMs: 0 }
    })
    for (let token = 0; token < unused; token++) lease.returnToken('spare', nowMs, nowMs)
    if (tokens >= asked) return
    lease.recentUse.recordRefusal(nowMs)
    const pauseMs = Math.min(MAX_ASK_PAUSE_MS, Math.max(ASK_INTERVAL_MS, waitMs))
    lease.nextAskMs = nowMs + pauseMs
    // Calls that came after the message can't wait for a pause that is longer than their wait.
    const refused = pauseMs > ASK_INTERVAL_MS ? lease.waiters.length : asked - tokens
    this._decide(lease, refused, () => ({ kind: 'refused', source: 'none', waitMs: Math.max(1, waitMs) }))
  }

  private _decideWithoutLeader (lease: NodeLease, isWhole: boolean, nowMs: number): ICapDecision {
    const { tolerance, random } = this._node
    if (!isWhole && this._takeRecent(lease, nowMs)) return RECENT
    const waitMs = lease.takeShare({ isWhole, nodes: this._countNodes(), tolerance, lostMs: this._lostMs ?? nowMs, random }, nowMs)
    if (waitMs === 0) return { kind: 'admitted', source: 'fallback', waitMs }
    return isWhole ? { kind: 'refused', source: 'fallback', waitMs } : this._decideAlone(lease, nowMs)
  }

  /** Decides on a call of which no leader has decided in time. */
  private _decideAlone (lease: NodeLease, nowMs: number): ICapDecision {
    if (this._takeRecent(lease, nowMs)) return RECENT
    const isTaken = lease.takeReserve(this._node.tolerance, this._countNodes(), nowMs)
    return isTaken ? { kind: 'admitted', source: 'reserve', waitMs: 0 } : UNDECIDED
  }

  private _takeRecent (lease: NodeLease, nowMs: number): boolean {
    const { tolerance, random } = this._node
    const lostForMs = this._lostMs === undefined ? 0 : nowMs - this._lostMs
    if (lostForMs <= MAX_CALM_LOSS_MS && this._busyAccounts?.has(lease.name) === false) {
      lease.recentUse.recordContinued(tolerance.windowMs, nowMs)
      return true
    }
    return lease.recentUse.take(tolerance.windowMs, this._lostMs ?? nowMs, nowMs, random)
  }

  /** A node that is cut off knows fewer and fewer others, so the number never falls. */
  private _countNodes (): number {
    this._nodes = Math.max(this._nodes, this._node.countNodes())
    return this._nodes
  }

  private _computeSendableMs (): number {
    if (this._inFlight === 0) return this._notBeforeMs
    return this._inFlight >= MAX_IN_FLIGHT ? Infinity : Math.max(this._notBeforeMs, this._sentMs + ANSWER_TIME_MS)
  }

  /** Decides on the calls that have waited longest; returns how many there were. */
  private _decide (lease: NodeLease, limit: number, createDecision: () => ICapDecision): number {
    let count = 0
    while (count < limit) {
      const waiter = lease.waiters.shift()
      if (waiter === undefined) break
      if (waiter.isDone) continue
      waiter.isDone = true
      waiter.onDecided(createDecision())
      count++
    }
    if (lease.waiters.length === 0) this._asking.delete(lease)
    return count
  }

  private _getLease (account: string, nowMs: number): NodeLease | undefined {
    const known = this._leases.get(account)
    if (known !== undefined) return known
    const cap = this._caps.get(account)
    if (cap === undefined) return undefined
    const lease = new NodeLease(account, cap, nowMs)
    this._leases.set(account, lease)
    return lease
  }
}
