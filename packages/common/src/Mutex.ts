/**
 * Runs asynchronous sections one after another.
 */

/** A queue of exclusive sections. */
export class Mutex {
  private _tail: Promise<unknown> = Promise.resolve()

  /**
   * Runs a section after all earlier ones have ended.
   * @param section - the exclusive work
   * @returns what the section returns
   */
  async run<T>(section: () => Promise<T>): Promise<T> {
    const result = this._tail.then(section)
    this._tail = result.catch(() => undefined)
    return await result
  }
}

/** Wakes one waiting task; a wake-up with nobody waiting is kept. */
export class Signal {
  private _isSet = false
  private _wake: (() => void) | undefined

  /** Wakes the waiting task, or the next one to wait. */
  notify (): void {
    this._isSet = true
    this._wake?.()
  }

  /**
   * Waits for a wake-up.
   * @param timeout - a promise that ends the wait as well
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
