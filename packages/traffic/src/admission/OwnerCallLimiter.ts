/**
 * Limits the calls that run in this process for the entries of one owner.
 */

/** Counts running calls by owner. */
export class OwnerCallLimiter {
  private readonly _running = new Map<string, number>()

  /**
   * Admits a call.
   * @param owner - owner of the entry
   * @param limit - maximum number of concurrent calls, or undefined for no limit
   * @returns false if the owner has reached the limit; otherwise {@link release} must be called when the call ends
   */
  tryAcquire (owner: string, limit: number | undefined): boolean {
    const running = this._running.get(owner) ?? 0
    if (limit !== undefined && running >= limit) return false
    this._running.set(owner, running + 1)
    return true
  }

  /** Records the end of an admitted call. */
  release (owner: string): void {
    const running = (this._running.get(owner) ?? 1) - 1
    if (running <= 0) this._running.delete(owner)
    else this._running.set(owner, running)
  }
}
