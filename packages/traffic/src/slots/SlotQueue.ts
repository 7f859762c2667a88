/**
 * The order in which calls get the slots of a target that become free.
 */
import type { IDisposable } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'

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
  /** False if the response will come too late for the objective of the call. */
  isTimely: boolean
  timer: IDisposable | undefined
}

/**
 * Weighted fair queue of waiting calls. Calls of the first class, which other calls wait for, go first; then calls whose response
 * can still meet its objective, where classes share the slots by weight and number of waiting calls; then late calls. Within a
 * class the oldest goes first, but under congestion the newest: if not all can be served, those that have waited least are in time.
 */
export class SlotQueue<T extends IQueuedCall> {
  /** In order of arrival. */
  private readonly _waiting: T[] = []
  private readonly _virtualTimes = new Map<CallClass, number>()
  private _consecutiveFirstClass = 0

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
   * @returns how many calls would be served before it if the oldest went first
   */
  countAhead (callClass: CallClass): number {
    if (callClass !== CallClass.CALL_CLASS_FIRST) return this._waiting.length
    return this._waiting.filter(waiter => waiter.callClass === callClass).length
  }

  /** @returns the waiter that has waited longest among those that can be in time */
  findOldestTimely (): T | undefined {
    return this._waiting.find(waiter => waiter.isTimely)
  }

  /**
   * Removes the waiter that makes room for a call of a higher class.
   * @param callClass - of the arriving call
   * @returns the newest waiter of the lowest class if that class is lower, otherwise undefined
   */
  evictLowerClass (callClass: CallClass): T | undefined {
    let lowest: T | undefined
    for (const waiter of this._waiting) {
      if (lowest === undefined || waiter.callClass >= lowest.callClass) lowest = waiter
    }
    if (lowest === undefined || lowest.callClass <= callClass) return undefined
    this.remove(lowest)
    return lowest
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
    const candidates = timely.length > 0 ? timely : ofClass
    const next = isNewestFirst ? candidates.at(-1) : candidates[0]
    if (next !== undefined) this.remove(next)
    return next
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
    this._virtualTimes.set(best, virtualTime + 1 / ((CLASS_WEIGHTS[best] ?? 1) * (counts.get(best) ?? 1)))
    return best
  }

  private _compareVirtualTimes (a: CallClass, b: CallClass): number {
    return this._getVirtualTime(a) - this._getVirtualTime(b) || a - b
  }

  private _getVirtualTime (callClass: CallClass): number {
    return this._virtualTimes.get(callClass) ?? 0
  }
}
