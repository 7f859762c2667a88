/**
 * Model of nodes, callers and leaders for tests of usage caps: virtual time, messages that are delayed and lost, seeded.
 */
import { SeededRandom } from '@lagoonswitch/common'
import { UsageReply, type UsageRequest } from '@lagoonswitch/schema'
import { NodeCaps } from '../caps/NodeCaps.js'
import type { ICapDecision } from '../caps/NodeLease.js'
import { UsageLedger } from '../caps/UsageLedger.js'
import { TokenBucket } from '../caps/TokenBucket.js'
import { computeCapBound, type ICap, type ICapTolerance } from '../caps/CapRules.js'

export const NODES = 85
export const TOLERANCE: ICapTolerance = { windowMs: 5_000, excess: 0.1, slack: 20 }
const ACCOUNTS = 85
const LARGEST_DEMAND = 400
const SMALLEST_DEMAND = 2
/** Rate of an account per call of its usual demand. */
const RATE_PER_DEMAND = 1.6
const REQUEST_TIMEOUT_MS = 250
/** Share of the calls whose token is given back, and the longest time until then. */
const RETURNED_SHARE = 0.03
const MAX_RETURN_MS = 400
const MS_PER_SECOND = 1_000

interface IEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

interface IModelNode {
  caps: NodeCaps
  start: number
  isCut: boolean
  pausedUntilMs: number
  wakeMs: number
}

interface IModelAccount {
  readonly name: string
  readonly demand: number
  cap: ICap
  readonly admittedMs: number[]
  /**
   * A bucket with the cap of the account, from which all calls are taken: those that were admitted and those that should have been.
   * Calls that were admitted although it was empty are a debt within the tolerance, which later tokens pay first.
   */
  readonly reference: TokenBucket
  debt: number
  lost: number
  offered: number
  undecided: number
}

/** What a test may vary. */
export interface IModelOptions {
  readonly seed: number
  readonly durationMs?: number
  /** Seconds of the rate that the burst of an account holds. */
  readonly burstS?: number
  readonly lossShare?: number
  /** Largest delay of a message in milliseconds. */
  readonly maxDelayMs?: number
  /** Node of a call. */
  readonly pickNode?: (account: number, nowMs: number, random: SeededRandom) => number
  /** Demand of an account as a multiple of its usual demand. */
  readonly computeLoad?: (nowMs: number) => number
}

/** Results of a run. */
export interface IModelResult {
  readonly offered: number
  readonly admitted: number
  /** Calls within the cap that were refused, as a share of the calls within the cap. */
  readonly lostShare: number
  readonly undecided: number
  /** Largest ratio of the calls in a window to the bound. */
  readonly worstWindow: number
  readonly messages: number
}

/** Runs calls against NodeCaps and UsageLedger. */
export class CapModel {
  readonly nodes: IModelNode[] = []
  readonly accounts: IModelAccount[] = []
  readonly random: SeededRandom
  private readonly _events: IEvent[] = []
  private _order = 0
  private _nowMs = 0
  private _epoch = 0
  private _ledger: UsageLedger | undefined
  private _messages = 0
  private readonly _durationMs: number

  constructor (private readonly _options: IModelOptions) {
    this.random = new SeededRandom(_options.seed)
    this._durationMs = _options.durationMs ?? 40_000
    const exponent = Math.log(LARGEST_DEMAND / SMALLEST_DEMAND) / Math.log(ACCOUNTS)
    for (let index = 0; index < ACCOUNTS; index++) {
      const demand = LARGEST_DEMAND / (index + 1) ** exponent
      const rate = RATE_PER_DEMAND * demand
      const cap = { rate, burst: rate * (_options.burstS ?? 1) }
      this.accounts.push({
        name: `account-${index}`, demand, cap, admittedMs: [], reference: new TokenBucket(rate, cap.burst, -100_000), debt: 0, lost: 0, offered: 0, undecided: 0
      })
    }
    for (let index = 0; index < NODES; index++) {
      this.nodes.push({ caps: this._createCaps(index, 1), start: 1, isCut: false, pausedUntilMs: 0, wakeMs: Infinity })
    }
    // The first leader is long in office, as in a system that was started before its callers.
    this.elect(-20_000)
    this.accounts.forEach((_, index) => this._scheduleCall(index))
  }

  get nowMs (): number {
    return this._nowMs
  }

  /** Runs an action at a time. */
  at (atMs: number, run: () => void): void {
    const event = { atMs, order: this._order++, run }
    let index = this._events.length
    this._events.push(event)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isEarlier(event, this._events[parent] as IEvent)) break
      this._events[index] = this._events[parent] as IEvent
      index = parent
    }
    this._events[index] = event
  }

  /** Ends the current leadership. */
  stopLeader (): void {
    this._ledger = undefined
  }

  /** Starts a leadership without memory. */
  elect (startedMs = this._nowMs): void {
    this._ledger = new UsageLedger(++this._epoch, TOLERANCE, startedMs)
  }

  /** Restarts a node without memory. */
  restartNode (index: number): void {
    const node = this._getNode(index)
    node.start++
    node.caps = this._createCaps(index, node.start)
  }

  /** Changes the caps of all accounts in the catalogue; nodes learn of it after up to two seconds. */
  scaleCaps (factor: number): void {
    for (const account of this.accounts) {
      account.cap = { rate: account.cap.rate * factor, burst: account.cap.burst * factor }
      account.reference.change(account.cap.rate, account.cap.burst, this._nowMs)
    }
    const caps = this._createCapMap()
    for (const node of this.nodes) {
      this.at(this._nowMs + 2_000 * this.random.draw(), () => node.caps.setCaps(caps, this._nowMs))
    }
  }

  /**
   * Runs until the end.
   * @param boundFromMs - time from which windows are checked against the cap in force at the end
   */
  run (boundFromMs = 0): IModelResult {
    for (;;) {
      const event = this._pop()
      if (event === undefined || event.atMs > this._durationMs) break
      this._nowMs = event.atMs
      event.run()
    }
    const sum = (read: (account: IModelAccount) => number): number => this.accounts.reduce((total, account) => total + read(account), 0)
    const admitted = sum(account => account.admittedMs.length)
    const lost = sum(account => account.lost)
    return {
      offered: sum(account => account.offered),
      admitted,
      lostShare: lost / (admitted + lost),
      undecided: sum(account => account.undecided),
      worstWindow: Math.max(...this.accounts.map(account => findWorstWindow(account, boundFromMs))),
      messages: this._messages
    }
  }

  private _pop (): IEvent | undefined {
    const first = this._events[0]
    const last = this._events.pop()
    if (first === undefined || last === undefined || this._events.length === 0) return first
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= this._events.length) break
      const right = this._events[child + 1]
      if (right !== undefined && isEarlier(right, this._events[child] as IEvent)) child++
      if (!isEarlier(this._events[child] as IEvent, last)) break
      this._events[index] = this._events[child] as IEvent
      index = child
    }
    this._events[index] = last
    return first
  }

  private _createCapMap (): Map<string, ICap> {
    return new Map(this.accounts.map(({ name, cap }) => [name, cap]))
  }

  private _createCaps (index: number, start: number): NodeCaps {
    const caps = new NodeCaps({ name: `node-${index}`, incarnation: start, tolerance: TOLERANCE, random: this.random, countNodes: () => NODES }, this._nowMs)
    caps.setCaps(this._createCapMap(), this._nowMs)
    return caps
  }

  private _getNode (index: number): IModelNode {
    return this.nodes[index] as IModelNode
  }

  private _scheduleCall (index: number): void {
    const account = this.accounts[index] as IModelAccount
    const load = this._options.computeLoad?.(this._nowMs) ?? 1
    const gapMs = -Math.log(1 - this.random.draw()) / (account.demand * load) * MS_PER_SECOND
    // Redrawn at least every 100 ms, so that a change of the load is followed.
    if (gapMs > 100) {
      this.at(this._nowMs + 100, () => this._scheduleCall(index))
      return
    }
    this.at(this._nowMs + gapMs, () => {
      const picked = this._options.pickNode?.(index, this._nowMs, this.random) ?? Math.floor(this.random.draw() * NODES)
      this._call(account, picked)
      this._scheduleCall(index)
    })
  }

  private _call (account: IModelAccount, nodeIndex: number): void {
    const node = this._getNode(nodeIndex)
    // A process that stands still reads no calls.
    if (node.pausedUntilMs > this._nowMs) return
    account.offered++
    const { caps } = node
    const decided = caps.admit(account.name, this._nowMs, decision => this._end(account, node, caps, decision))
    if ('kind' in decided) this._end(account, node, caps, decided)
    this._wake(nodeIndex)
  }

  private _end (account: IModelAccount, node: IModelNode, caps: NodeCaps, decision: ICapDecision): void {
    const { _nowMs: nowMs, random } = this
    if (decision.kind === 'admitted') {
      if (random.draw() < RETURNED_SHARE) {
        const permit = { account: account.name, source: decision.source, takenMs: nowMs }
        this.at(nowMs + MAX_RETURN_MS * random.draw(), () => caps.returnPermit(permit, this._nowMs))
        return
      }
      account.admittedMs.push(nowMs)
      if (account.reference.take(1, nowMs) === 0) account.debt = Math.min(account.debt + 1, computeTolerance(account.cap))
      return
    }
    if (decision.kind === 'undecided') account.undecided++
    account.debt -= account.reference.take(Math.ceil(account.debt), nowMs)
    if (account.reference.take(1, nowMs) === 1) account.lost++
  }

  private _wake (index: number): void {
    const node = this._getNode(index)
    const { caps } = node
    const resumeMs = Math.max(this._nowMs, node.pausedUntilMs)
    if (resumeMs === this._nowMs) {
      caps.expireWaiters(this._nowMs)
      const request = caps.createRequest(this._nowMs)
      if (request !== undefined) this._send(index, caps, request)
    }
    const nextMs = Math.max(caps.computeNextMs(this._nowMs), resumeMs)
    if (nextMs === Infinity || (node.wakeMs > this._nowMs && node.wakeMs <= nextMs)) return
    node.wakeMs = Math.max(nextMs, this._nowMs + 0.1)
    this.at(node.wakeMs, () => {
      if (node.wakeMs === this._nowMs) this._wake(index)
    })
  }

  private _send (index: number, caps: NodeCaps, request: UsageRequest): void {
    const node = this._getNode(index)
    const sentMs = this._nowMs
    let isOpen = true
    this._messages++
    const close = (finish: () => void): void => {
      if (!isOpen || node.caps !== caps) return
      const resumeMs = Math.max(this._nowMs, node.pausedUntilMs)
      if (resumeMs > this._nowMs) {
        this.at(resumeMs, () => close(finish))
        return
      }
      isOpen = false
      finish()
      this._wake(index)
    }
    this.at(sentMs + REQUEST_TIMEOUT_MS, () => close(() => caps.failRequest(sentMs, this._nowMs)))
    if (this._isLost(node)) return
    this.at(sentMs + this._drawDelay(), () => {
      if (this._ledger === undefined) return
      const reply = this._ledger.handleRequest(request, name => this._findCap(name), this._nowMs)
      if (this._isLost(node)) return
      this.at(this._nowMs + this._drawDelay(), () => close(() => caps.applyReply(request, round(reply), sentMs, this._nowMs)))
    })
  }

  private _findCap (name: string): ICap | undefined {
    return this.accounts[Number(name.slice('account-'.length))]?.cap
  }

  private _isLost (node: IModelNode): boolean {
    return node.isCut || this.random.draw() < (this._options.lossShare ?? 0.002)
  }

  /** Most messages are fast, some take up to the largest delay. */
  private _drawDelay (): number {
    return 0.5 + ((this._options.maxDelayMs ?? 8) - 0.5) * this.random.draw() ** 4
  }
}

/** The rounding of rates on the wire. */
function round (reply: UsageReply): UsageReply {
  return UsageReply.decode(UsageReply.encode(reply).finish())
}

function computeTolerance (cap: ICap): number {
  return computeCapBound(cap, TOLERANCE) - computeCapBound(cap, { ...TOLERANCE, excess: 0, slack: 0 })
}

function isEarlier (a: IEvent, b: IEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}

function findWorstWindow ({ admittedMs, cap }: IModelAccount, fromMs: number): number {
  let start = 0
  let worst = 0
  for (const [end, atMs] of admittedMs.entries()) {
    while ((admittedMs[start] ?? 0) <= Math.max(atMs - TOLERANCE.windowMs, fromMs)) start++
    if (atMs > fromMs) worst = Math.max(worst, end - start + 1)
  }
  return worst / computeCapBound(cap, TOLERANCE)
}
