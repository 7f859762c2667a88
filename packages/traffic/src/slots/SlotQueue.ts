/**
 * The order in which calls get the slots of a target that become free.
 */
import type { IDisposable } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import { AccountShares, type AccountWeightLookup } from './AccountShares.js'

/** Consecutive slots that go to calls of the first class while others wait, so that the others do not starve. */
const MAX_CONSECUTIVE_FIRST_CLASS = 8
/**
 * Weight of each waiting call by class. The weights differ little: a higher class must not be served worse than a lower one,
 * and a lower one must not bear an overload alone.
 */
const CLASS_WEIGHTS: Readonly<Partial<Record<CallClass, number>>> = {
  [CallClass.CALL_CLASS_HIGH]: 1.25,
  [CallClass.CALL_CLASS_NORMAL]: 1,
  [CallClass.CALL_CLASS_LOW]: 0.5
}

/** A call waiting in the queue. */
export interface IQueuedCall {
  readonly callClass: CallClass
  /** Name of the client account; empty for a call without one. */
  readonly account: string
  /** False if the response will come too late for the objective of the call. */
  isTimely: boolean
  timer: IDisposable | undefined
}

/**
 * Weighted fair queue of waiting calls. Calls of the first class, which other calls wait for, go first; then calls whose response
 * can still meet its objective, where classes share the slots by weight and number of waiting calls; then late calls. Within a
 * class {@link AccountShares} picks the account. Of its calls the oldest goes first, but under congestion the newest: if not all can
 * be served, those that have waited least are in time. Calls without an account count as those of one account.
 */
export class SlotQueue<T extends IQueuedCall> {
  /** In order of arrival. */
  private readonly _waiting: T[] = []
  private readonly _virtualTimes = new Map<CallClass, number>()
  private readonly _shares = new Map<CallClass, AccountShares>()
  private _consecutiveFirstClass = 0

  /** @param _findWeight - declared weights of accounts */
  constructor (private readonly _findWeight?: AccountWeightLookup) {}

  get length (): number {
    return this._waiting.length
  }

  /** @param waiter - joins the end of the queue */
  add (waiter: T): void {
    this._waiting.push(waiter)
  }

  /** Removes a waiter if it is in the queue. */
  remove (waiter: T): void {
    const index = this._waiting.indexOf(waiter)
    if (index >= 0) this._waiting.splice(index, 1)
  }

  /** @returns all waiters, which leave the queue */
  removeAll (): T[] {
    return this._waiting.splice(0)
  }

  /**
   * @param callClass - of an arriving call
   * @param account - of the arriving call
   * @returns how many calls would be served before it if the oldest went first
   */
  countAhead (callClass: CallClass, account = ''): number {
    const ofClass = this._waiting.filter(waiter => waiter.callClass === callClass)
    const isFirst = callClass === CallClass.CALL_CLASS_FIRST
    const others = isFirst ? 0 : this._countWeighing(this._waiting.filter(waiter => waiter.callClass !== callClass))
    if (!this.hasAccounts(callClass, account)) return others + ofClass.length
    return others + this._getShares(callClass).countAhead(account, countByAccount(ofClass))
  }

  /** @returns number of waiting calls of a class */
  countOfClass (callClass: CallClass): number {
    return this._waiting.filter(waiter => waiter.callClass === callClass).length
  }

  /**
   * @param callClass - of an arriving call
   * @param account - of the arriving call
   * @returns true if it, a waiting call of its class or a recent one has an account
   */
  hasAccounts (callClass: CallClass, account: string): boolean {
    return account !== '' || this._shares.get(callClass)?.hasLeads === true ||
      this._waiting.some(waiter => waiter.callClass === callClass && waiter.account !== '')
  }

  /**
   * @param account - of an arriving call
   * @returns false if weights are declared and no call of the account waits, since the order favours its call then
   */
  canMeetOverload (account: string): boolean {
    return this._findWeight?.(account) === undefined || this._waiting.some(waiter => waiter.account === account)
  }

  /**
   * Records a call that got a slot without waiting.
   * @param callClass - of the call
   */
  recordUncontended (callClass: CallClass): void {
    this._shares.get(callClass)?.recordUncontended()
  }

  /** @returns the waiter that has waited longest among those that can be in time */
  findOldestTimely (): T | undefined {
    return this._waiting.find(waiter => waiter.isTimely)
  }

  /**
   * Removes the waiter that makes room for a call of a higher class, or of an account with fewer waiting calls.
   * @param callClass - of the arriving call
   * @param account - of the arriving call
   * @returns the newest waiter of the account with most waiting calls in the lowest class, or undefined if it is not to make room
   */
  evictFor (callClass: CallClass, account = ''): T | undefined {
    const lowestClass = this._waiting.reduce<CallClass>((lowest, waiter) => Math.max(lowest, waiter.callClass), 0)
    if (this._waiting.length === 0 || lowestClass < callClass) return undefined
    const ofClass = this._waiting.filter(waiter => waiter.callClass === lowestClass)
    const counts = countByAccount(ofClass)
    const most = Math.max(...counts.values())
    if (lowestClass === callClass && (counts.get(account) ?? 0) >= most) return undefined
    const evicted = ofClass.findLast(waiter => counts.get(waiter.account) === most)
    if (evicted !== undefined) this.remove(evicted)
    return evicted
  }

  /**
   * Removes the waiter that gets the next slot.
   * @param isNewestFirst - true under congestion
   * @returns the waiter, or undefined if the queue is empty
   */
  takeNext (isNewestFirst: boolean): T | undefined {
    const callClass = this._pickClass()
    if (callClass === undefined) return undefined
    const ofClass = this._waiting.filter(waiter => waiter.callClass === callClass)
    const timely = ofClass.filter(waiter => waiter.isTimely)
    const candidates = this._filterByAccount(callClass, timely.length > 0 ? timely : ofClass)
    const next = isNewestFirst ? candidates.at(-1) : candidates[0]
    if (next !== undefined) this.remove(next)
    return next
  }

  /** Picks the account whose turn it is, and keeps only its waiters. */
  private _filterByAccount (callClass: CallClass, waiters: readonly T[]): readonly T[] {
    if (!this.hasAccounts(callClass, '')) return waiters
    const account = this._getShares(callClass).takeAccount(countByAccount(waiters))
    return waiters.filter(waiter => waiter.account === account)
  }

  private _getShares (callClass: CallClass): AccountShares {
    let shares = this._shares.get(callClass)
    if (shares === undefined) {
      shares = new AccountShares(this._findWeight)
      this._shares.set(callClass, shares)
    }
    return shares
  }

  private _pickClass (): CallClass | undefined {
    const others = this._waiting.filter(waiter => waiter.callClass !== CallClass.CALL_CLASS_FIRST)
    const hasFirst = others.length < this._waiting.length
    if (hasFirst && (others.length === 0 || this._consecutiveFirstClass < MAX_CONSECUTIVE_FIRST_CLASS)) {
      this._consecutiveFirstClass++
      return CallClass.CALL_CLASS_FIRST
    }
    this._consecutiveFirstClass = 0
    const timely = others.filter(waiter => waiter.isTimely)
    return this._pickFairClass(timely.length > 0 ? timely : others)
  }

  /** Picks the class with the lowest virtual time; a slot advances it the less, the more calls of the class wait. */
  private _pickFairClass (waiters: readonly T[]): CallClass | undefined {
    const counts = new Map<CallClass, number>()
    for (const { callClass } of waiters) counts.set(callClass, (counts.get(callClass) ?? 0) + 1)
    let best: CallClass | undefined
    for (const callClass of counts.keys()) {
      if (best === undefined || this._compareVirtualTimes(callClass, best) < 0) best = callClass
    }
    if (best === undefined) return undefined
    const virtualTime = this._getVirtualTime(best)
    // A class without waiting calls accumulates no credit.
    for (const callClass of counts.keys()) this._virtualTimes.set(callClass, Math.max(virtualTime, this._getVirtualTime(callClass)))
    const weighing = this._countWeighing(waiters.filter(waiter => waiter.callClass === best))
    this._virtualTimes.set(best, virtualTime + 1 / ((CLASS_WEIGHTS[best] ?? 1) * weighing))
    return best
  }

  /**
   * Counts waiting calls as they weigh for their class. Where weights are declared, the calls of an account count for no more than those
   * of the others do relative to their weights, so that it gains nothing for its class, and delays no other class, by sending more.
   */
  private _countWeighing (waiters: readonly T[]): number {
    const counts = countByAccount(this._waiting)
    const weights = new Map([...counts.keys()].map(account => [account, this._findWeight?.(account) ?? 0]))
    const sum = [...weights.values()].reduce((total, weight) => total + weight, 0)
    if (sum === 0) return waiters.length
    return waiters.reduce((total, { account }) => {
      const count = counts.get(account) ?? 1
      const weight = weights.get(account) ?? 0
      const limit = (this._waiting.length - count) * weight / (sum - weight)
      return total + (counts.size === 1 ? 1 : Math.min(1, Math.max(1, limit) / count))
    }, 0)
  }

  private _compareVirtualTimes (a: CallClass, b: CallClass): number {
    return this._getVirtualTime(a) - this._getVirtualTime(b) || a - b
  }

  private _getVirtualTime (callClass: CallClass): number {
    return this._virtualTimes.get(callClass) ?? 0
  }
}

function countByAccount (waiters: readonly IQueuedCall[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { account } of waiters) counts.set(account, (counts.get(account) ?? 0) + 1)
  return counts
}
