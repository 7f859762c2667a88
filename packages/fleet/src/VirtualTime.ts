/**
 * Virtual time: events run in the order of their times, and no time passes while one runs.
 */
import { Clock, toDisposable, type IDisposable } from '@lagoonswitch/common'

interface IEvent {
  readonly dueMs: number
  readonly order: number
  run: (() => void) | undefined
}

/** Queue of events; equal times run in the order in which they were scheduled. */
export class VirtualTime extends Clock {
  private _nowMs = 0
  private _order = 0
  /** Binary heap, the earliest event first. */
  private readonly _heap: IEvent[] = []

  /**
   * @param _wallStartMs - wall-clock time at the start, in milliseconds since the Unix epoch
   */
  constructor (private readonly _wallStartMs = Date.UTC(2026, 0, 1)) {
    super()
  }

  readMonotonicMs (): number {
    return this._nowMs
  }

  readWallTime (): Date {
    return new Date(this._wallStartMs + this._nowMs)
  }

  schedule (delayMs: number, callback: () => void): IDisposable {
    const event: IEvent = { dueMs: this._nowMs + Math.max(0, delayMs), order: this._order++, run: callback }
    this._push(event)
    return toDisposable(() => { event.run = undefined })
  }

  /**
   * Runs all events up to a time, letting promises and streams settle after each.
   * @param endMs - time to advance to, in milliseconds from the start
   */
  async runUntil (endMs: number): Promise<void> {
    await settle()
    for (let event = this._heap[0]; event !== undefined && event.dueMs <= endMs; event = this._heap[0]) {
      this._pop()
      if (event.run === undefined) continue
      this._nowMs = event.dueMs
      event.run()
      await settle()
    }
    this._nowMs = Math.max(this._nowMs, endMs)
  }

  private _push (event: IEvent): void {
    let index = this._heap.push(event) - 1
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = this._heap[parentIndex]
      if (parent === undefined || isEarlier(parent, event)) break
      this._heap[index] = parent
      index = parentIndex
    }
    this._heap[index] = event
  }

  private _pop (): void {
    const last = this._heap.pop()
    if (last === undefined || this._heap.length === 0) return
    let index = 0
    for (;;) {
      let childIndex = 2 * index + 1
      let child = this._heap[childIndex]
      const right = this._heap[childIndex + 1]
      if (child !== undefined && right !== undefined && isEarlier(right, child)) {
        child = right
        childIndex++
      }
      if (child === undefined || isEarlier(last, child)) break
      this._heap[index] = child
      index = childIndex
    }
    this._heap[index] = last
  }
}

function isEarlier (a: IEvent, b: IEvent): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order)
}

/** Waits until all promises and stream callbacks that are due have run. */
async function settle (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}
