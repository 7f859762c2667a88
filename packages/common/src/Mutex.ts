/**
 * Synchronization of asynchronous tasks.
 */

/** Runs asynchronous sections one at a time, in the order of the calls. */
export class Mutex {
  private _tail: Promise<unknown> = Promise.resolve()
  private _isClosed = false

  /**
   * Runs a section after all earlier ones have ended, also if they failed.
   * @param section - the exclusive work
   * @returns the result of the section; rejects if the mutex was closed before
   */
  async run<T>(section: () => Promise<T>): Promise<T> {
    if (this._isClosed) throw new Error('the mutex is closed')
    const result = this._tail.then(section)
    this._tail = result.catch(() => undefined)
    return await result
  }

  /** Rejects later sections and waits until the earlier ones have ended. */
  async close (): Promise<void> {
    this._isClosed = true
    await this._tail
  }
}

/** Wakes up one waiting task; a notification without a waiting task is kept for the next one. */
export class Signal {
  private _isSet = false
  private _wake: (() => void) | undefined

  /** Wakes up the waiting task, or the next one that waits. */
  notify (): void {
    this._isSet = true
    this._wake?.()
  }

  /**
   * Waits for a notification.
   * @param timeout - a promise that ends the wait, too
   */
  async wait (timeout?: Promise<void>): Promise<void> {
    if (!this._isSet) {
      const woken = new Promise<void>(resolve => { this._wake = resolve })
      await (timeout === undefined ? woken : Promise.race([woken, timeout]))
      this._wake = undefined
    }
    this._isSet = false
  }
}
