/**
 * A clock that moves only when told to, for tests and replays.
 */
import { Clock } from './Clock.js'
import { toDisposable, type IDisposable } from './Disposable.js'

interface ITimer {
  dueMs: number
  order: number
  callback: () => void
}

const MICROTASK_TURNS = 20

/** A clock under the control of its owner. */
export class ManualClock extends Clock {
  private _nowMs = 0
  private _order = 0
  private readonly _timers = new Set<ITimer>()

  /**
   * @param _wallStartMs - wall time at monotonic zero, in milliseconds since the Unix epoch
   */
  constructor (private _wallStartMs = Date.UTC(2026, 0, 1)) {
    super()
  }

  readMonotonicMs (): number {
    return this._nowMs
  }

  readWallTime (): Date {
    return new Date(this._wallStartMs + this._nowMs)
  }

  schedule (delayMs: number, callback: () => void): IDisposable {
    const timer = { dueMs: this._nowMs + Math.max(0, delayMs), order: this._order++, callback }
    this._timers.add(timer)
    return toDisposable(() => this._timers.delete(timer))
  }

  /**
   * Steps the wall time without moving timers.
   * @param deltaMs - milliseconds, negative to step back
   */
  stepWall (deltaMs: number): void {
    this._wallStartMs += deltaMs
  }

  /**
   * Moves time and runs each due timer in order, letting promises settle in between.
   * @param deltaMs - milliseconds
   */
  async advance (deltaMs: number): Promise<void> {
    const endMs = this._nowMs + deltaMs
    await this._flushMicrotasks()
    for (;;) {
      const next = this._findNext(endMs)
      if (next === undefined) break
      this._timers.delete(next)
      this._nowMs = next.dueMs
      next.callback()
      await this._flushMicrotasks()
    }
    this._nowMs = endMs
    await this._flushMicrotasks()
  }

  private _findNext (endMs: number): ITimer | undefined {
    let next: ITimer | undefined
    for (const timer of this._timers) {
      if (timer.dueMs > endMs) continue
      const isEarlier = next === undefined || timer.dueMs < next.dueMs ||
        (timer.dueMs === next.dueMs && timer.order < next.order)
      if (isEarlier) next = timer
    }
    return next
  }

  private async _flushMicrotasks (): Promise<void> {
    for (let turn = 0; turn < MICROTASK_TURNS; turn++) {
      await Promise.resolve()
    }
    await new Promise<void>(resolve => setImmediate(resolve))
  }
}
