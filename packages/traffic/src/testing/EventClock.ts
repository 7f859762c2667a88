/**
 * A clock for models with many events, run without promises.
 */
import { Clock, toDisposable, type IDisposable } from '@lagoonswitch/common'

interface ITimer {
  readonly dueMs: number
  readonly order: number
  callback: (() => void) | undefined
}

/** Runs scheduled callbacks in the order of their time; timers are held in a binary heap. */
export class EventClock extends Clock {
  private _nowMs = 0
  private _order = 0
  private readonly _heap: ITimer[] = []

  readMonotonicMs (): number {
    return this._nowMs
  }

  readWallTime (): Date {
    return new Date(this._nowMs)
  }

  schedule (delayMs: number, callback: () => void): IDisposable {
    const timer: ITimer = { dueMs: this._nowMs + Math.max(0, delayMs), order: this._order++, callback }
    this._heap.push(timer)
    this._moveUp(this._heap.length - 1)
    return toDisposable(() => { timer.callback = undefined })
  }

  /**
   * Runs all callbacks that are due.
   * @param endMs - time at which to stop, in milliseconds
   */
  runUntil (endMs: number): void {
    for (;;) {
      const next = this._heap[0]
      if (next === undefined || next.dueMs > endMs) break
      this._removeFirst()
      this._nowMs = next.dueMs
      next.callback?.()
    }
    this._nowMs = endMs
  }

  private _removeFirst (): void {
    const last = this._heap.pop()
    if (last === undefined || this._heap.length === 0) return
    this._heap[0] = last
    let index = 0
    for (;;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) if (this._isBefore(child, least)) least = child
      if (least === index) return
      this._swap(index, least)
      index = least
    }
  }

  private _moveUp (start: number): void {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this._isBefore(index, parent)) return
      this._swap(index, parent)
      index = parent
    }
  }

  private _isBefore (a: number, b: number): boolean {
    const [first, second] = [this._heap[a], this._heap[b]]
    if (first === undefined || second === undefined) return false
    return first.dueMs < second.dueMs || (first.dueMs === second.dueMs && first.order < second.order)
  }

  private _swap (a: number, b: number): void {
    const first = this._heap[a] as ITimer
    this._heap[a] = this._heap[b] as ITimer
    this._heap[b] = first
  }
}
