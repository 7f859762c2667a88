/**
 * The order in which calls get the slots of a target that become free.
 */
import type { IDisposable } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'

/** Grants in a row that calls of the first class get while others wait, so that these don't starve. */
const MAX_CONSECUTIVE_FIRST_CLASS = 8
/**
 * Weights of a waiting call of each class. Little more than even: a higher class must not be served worse than a lower one,
 * and a lower one must not pay for it alone.
 */
const CLASS_WEIGHTS: Readonly<Partial<Record<CallClass, number>>> = {
  [CallClass.CALL_CLASS_HIGH]: 1.25,
  [CallClass.CALL_CLASS_NORMAL]: 1,
  [CallClass.CALL_CLASS_LOW]: 0.5
}

/** A call in the queue. */
export interface IQueuedCall {
  readonly callClass: CallClass
  /** False once the answer will come too late for its objective. */
  isTimely: boolean
  timer: IDisposable | undefined
}

/**
 * Waiting calls. Those of the first class, which other calls wait for, go first; then those whose answer can still come
 * within the objective, classes in turn by weight and number; then the late ones. Within a class the oldest goes first, but
 * under pressure the newest: when not all can be served, those that have waited least answer in time.
 */
export class SlotQueue<T extends IQueuedCall> {
  /** In order of arrival. */
  private readonly _waiting: T[] = []
  private readonly _virtualTimes = new Map<CallClass, number>()
  private _consecutiveFirstClass = 0

  get length (): number {
    return this._waiting.length
  }

  /** @param waiter - arrives last */
  add (waiter: T): void {
    this._waiting.push(waiter)
  }

  /** Takes a waiter out, if it is in. */
  remove (waiter: T): void {
    const index = this._waiting.indexOf(waiter)
    if (index >= 0) this._waiting.splice(index, 1)
  }

  /** @returns all that wait, which leave */
  removeAll (): T[] {
    return this._waiting.splice(0)
  }

  /**
   * @param callClass - of a call that arrives now
   * @returns how many would go before it if the oldest went first
   */
  countAhead (callClass: CallClass): number {
    if (callClass !== CallClass.CALL_CLASS_FIRST) return this._waiting.length
    return this._waiting.filter(waiter => waiter.callClass === callClass).length
  }

  /** @returns the waiter that has waited longest among those in time */
  findOldestTimely (): T | undefined {
    return this._waiting.find(waiter => waiter.isTimely)
  }

  /**
   * Takes out the waiter that gives way to a more important call.
   * @param callClass - of the call that arrives
   * @returns the newest waiter of the lowest class, if that is lower
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
   * Takes out the waiter that gets the next slot.
   * @param isNewestFirst - true under pressure
   * @returns the waiter, or undefined when nobody waits
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

  /** The class whose turn comes first; a turn costs the less the more calls of the class wait. */
  private _pickFairClass (waiters: readonly T[]): CallClass | undefined {
    const counts = new Map<CallClass, number>()
    for (const { callClass } of waiters) counts.set(callClass, (counts.get(callClass) ?? 0) + 1)
    let best: CallClass | undefined
    for (const callClass of counts.keys()) {
      if (best === undefined || this._compareVirtualTimes(callClass, best) < 0) best = callClass
    }
    if (best === undefined) return undefined
    const virtualTime = this._getVirtualTime(best)
    // A class that had nobody waiting saves no turns up.
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
