/**
 * The leader's side of usage caps: answers the messages of nodes.
 */
import type { AccountAnswer, UsageReply, UsageRequest } from '@lagoonswitch/schema'
import { AccountLedger } from './AccountLedger.js'
import { LEASE_VALIDITY_MS, type ICap, type ICapTolerance } from './CapRules.js'

/** Time after the start of a leadership by which all nodes have reported twice. */
const DEMAND_KNOWN_MS = 1_000
/** Interval at which the accounts are looked through for those near their caps, in milliseconds. */
const BUSY_LIST_INTERVAL_MS = 100

/**
 * Ledgers of all accounts during one leadership. Answers a change of the leader under load: for as long as leases of the earlier
 * leader may be in use, it confirms what nodes hold and grants tokens only from the part of the rate that is never leased.
 */
export class UsageLedger {
  private readonly _ledgers = new Map<string, AccountLedger>()
  /** End of the recovery period in milliseconds. */
  readonly recoveredMs: number
  private readonly _nodesHeardMs = new Map<string, number>()
  private _countedMs = -Infinity
  private _busyAccounts: string[] = []
  private _listedMs = -Infinity
  private _sequence = 0

  /**
   * @param epoch - term of the leadership
   * @param _tolerance - of the caps
   * @param _startedMs - start of the leadership in milliseconds
   */
  constructor (readonly epoch: number, private readonly _tolerance: ICapTolerance, private readonly _startedMs: number) {
    this.recoveredMs = _startedMs + LEASE_VALIDITY_MS
  }

  /** Ledgers of the accounts in use, for metrics. */
  get ledgers (): ReadonlyMap<string, AccountLedger> {
    return this._ledgers
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns true while leases of an earlier leader may be in use that this one has not heard of
   */
  isRecovering (nowMs: number): boolean {
    return nowMs < this.recoveredMs
  }

  /**
   * Answers a message.
   * @param request - of a node
   * @param findCap - finds the cap of an account in the catalogue in force; undefined if it has none
   * @param nowMs - current time in milliseconds
   * @returns the reply
   */
  handleRequest (request: UsageRequest, findCap: (account: string) => ICap | undefined, nowMs: number): UsageReply {
    const isRecovering = this.isRecovering(nowMs)
    const context = {
      node: `${request.node} ${request.incarnation}`,
      intervalMs: request.intervalMs,
      epoch: this.epoch,
      nowMs,
      isRecovering,
      nextSequence: () => ++this._sequence
    }
    this._nodesHeardMs.set(request.node, nowMs)
    const accounts = request.accounts.map((use): AccountAnswer => {
      const cap = findCap(use.account)
      if (cap === undefined) {
        this._ledgers.delete(use.account)
        return { lease: undefined, tokens: use.asked, waitMs: 0 }
      }
      return this._getLedger(use.account, cap, isRecovering, nowMs).handleUse(use, context)
    })
    return {
      leads: true,
      leaderAddress: '',
      epoch: this.epoch,
      accounts,
      nodes: this._countNodes(nowMs),
      demandKnown: nowMs - this._startedMs >= DEMAND_KNOWN_MS,
      busyAccounts: this._listBusyAccounts(nowMs)
    }
  }

  private _listBusyAccounts (nowMs: number): string[] {
    if (nowMs - this._listedMs >= BUSY_LIST_INTERVAL_MS) {
      this._listedMs = nowMs
      this._busyAccounts = [...this._ledgers].filter(([, ledger]) => ledger.isBusy(nowMs)).map(([account]) => account)
    }
    return this._busyAccounts
  }

  private _countNodes (nowMs: number): number {
    if (nowMs - this._countedMs < LEASE_VALIDITY_MS / 10) return this._nodesHeardMs.size
    this._countedMs = nowMs
    for (const [node, heardMs] of this._nodesHeardMs) {
      if (nowMs - heardMs > LEASE_VALIDITY_MS) this._nodesHeardMs.delete(node)
    }
    return this._nodesHeardMs.size
  }

  private _getLedger (account: string, cap: ICap, isRecovering: boolean, nowMs: number): AccountLedger {
    let ledger = this._ledgers.get(account)
    if (ledger === undefined) {
      ledger = new AccountLedger(cap, this._tolerance, this._startedMs, this.recoveredMs, nowMs)
      this._ledgers.set(account, ledger)
    } else {
      ledger.changeCap(cap, isRecovering, nowMs)
    }
    return ledger
  }
}
