/**
 * A clock that is advanced explicitly, for tests and replays.
 */
import { Clock } from './Clock.js'
import { toDisposable, type IDisposable } from './Disposable.js'

interface ITimer {
  dueMs: number
  order: number
  callback: () => void
}

/** Turns of the microtask queue that promises get to settle after each timer. */
const MICROTASK_TURNS = 20

/** A clock whose time moves only by {@link advance} and {@link stepWall}. */
export class ManualClock extends Clock {
  private _nowMs = 0
  private _order = 0
  private readonly _timers = new Set<ITimer>()

  /**
   * @param _wallStartMs - wall-clock time at monotonic time 0, in milliseconds since the Unix epoch
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
   * Shifts the wall-clock time without affecting timers.
   * @param deltaMs - shift in milliseconds, negative for a shift back
   */
  stepWall (deltaMs: number): void {
    this._wallStartMs += deltaMs
  }

  /**
   * Advances the time and runs all due timers in order, letting promises settle after each.
   * @param deltaMs - milliseconds to advance by
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
