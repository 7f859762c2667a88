/**
 * Interface for time and timers, so that code that depends on time can be tested without waiting.
 */
import { toDisposable, type IDisposable } from './Disposable.js'

/** Longest delay of a timer, in milliseconds; Node.js runs a timer with a longer one at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1

/** Source of time and timers. */
export interface IClock {
  /** @returns milliseconds since an arbitrary start; never decreases */
  readMonotonicMs (): number
  /** @returns the wall-clock time, which may jump in either direction */
  readWallTime (): Date
  /**
   * Schedules a callback after a delay.
   * @param delayMs - delay in milliseconds; limited to {@link MAX_TIMER_MS}
   * @param callback - called at most once
   * @returns a disposable that cancels the callback
   */
  schedule (delayMs: number, callback: () => void): IDisposable
  /**
   * Waits for a delay.
   * @param delayMs - delay in milliseconds
   * @param signal - ends the wait early without an error
   */
  sleep (delayMs: number, signal?: AbortSignal): Promise<void>
  /**
   * Waits for the next tick of a period, at most one period. All tasks that wait for the same period share one timer.
   * @param periodMs - time between two ticks in milliseconds
   */
  waitTick (periodMs: number): Promise<void>
}

/** Base class of clocks: implements {@link sleep} and {@link waitTick} on top of {@link schedule}. */
export abstract class Clock implements IClock {
  /** The next tick of each period that a task waits for, by period in milliseconds. */
  private readonly _ticks = new Map<number, Promise<void>>()

  abstract readMonotonicMs (): number
  abstract readWallTime (): Date
  abstract schedule (delayMs: number, callback: () => void): IDisposable

  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        timer.dispose()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = this.schedule(delayMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  async waitTick (periodMs: number): Promise<void> {
    let tick = this._ticks.get(periodMs)
    if (tick === undefined) {
      tick = this.sleep(periodMs).then(() => { this._ticks.delete(periodMs) })
      this._ticks.set(periodMs, tick)
    }
    await tick
  }
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  readMonotonicMs (): number {
    return performance.now()
  }

  readWallTime (): Date {
    return new Date()
  }

  schedule (delayMs: number, callback: () => void): IDisposable {
    const timer = setTimeout(callback, Math.min(delayMs, MAX_TIMER_MS))
    return toDisposable(() => clearTimeout(timer))
  }
}

/**
 * Waits for a promise with a timeout.
 * @param clock - source of time
 * @param timeoutMs - timeout in milliseconds
 * @param work - the promise; its outcome after the timeout is ignored
 * @returns the value of the promise; rejects after the timeout
 */
export async function waitAtMost<T> (clock: IClock, timeoutMs: number, work: Promise<T>): Promise<T> {
  return await new Promise<T>((resolve, reject) => {
    const timer = clock.schedule(timeoutMs, () => reject(new Error(`no answer within ${timeoutMs} ms`)))
    work.then(resolve, reject).finally(() => timer.dispose())
  })
}
