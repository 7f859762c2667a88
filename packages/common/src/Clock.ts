/**
 * Time as an interface, so that every decision on time can be tested without waiting.
 */
import { toDisposable, type IDisposable } from './Disposable.js'

/** Source of time and timers. */
export interface IClock {
  /** @returns milliseconds from an arbitrary start; never runs back */
  readMonotonicMs (): number
  /** @returns the wall time, which may step in either direction */
  readWallTime (): Date
  /**
   * Calls back once after a delay.
   * @param delayMs - delay in milliseconds
   * @param callback - called at most once
   * @returns cancels the call when disposed
   */
  schedule (delayMs: number, callback: () => void): IDisposable
  /**
   * Waits for a delay.
   * @param delayMs - delay in milliseconds
   * @param signal - ends the wait early without an error
   */
  sleep (delayMs: number, signal?: AbortSignal): Promise<void>
  /**
   * Waits for the next tick of a period, at most one period. All that wait for it are woken up by one timer.
   * @param periodMs - time between two ticks in milliseconds
   */
  waitTick (periodMs: number): Promise<void>
}

/** Base of clocks: builds {@link sleep} and {@link waitTick} from {@link schedule}. */
export abstract class Clock implements IClock {
  /** The next tick of each period that is waited for. */
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

/** The clock of the machine. */
export class SystemClock extends Clock {
  readMonotonicMs (): number {
    return performance.now()
  }

  readWallTime (): Date {
    return new Date()
  }

  schedule (delayMs: number, callback: () => void): IDisposable {
    const timer = setTimeout(callback, delayMs)
    return toDisposable(() => clearTimeout(timer))
  }
}

/**
 * Bounds the wait for a promise.
 * @param clock - source of time
 * @param timeoutMs - longest wait in milliseconds
 * @param work - the promise; its later outcome is ignored
 * @returns the outcome of the promise; rejects when the time is over
 */
export async function waitAtMost<T> (clock: IClock, timeoutMs: number, work: Promise<T>): Promise<T> {
  return await new Promise<T>((resolve, reject) => {
    const timer = clock.schedule(timeoutMs, () => reject(new Error(`no answer within ${timeoutMs} ms`)))
    work.then(resolve, reject).finally(() => timer.dispose())
  })
}
