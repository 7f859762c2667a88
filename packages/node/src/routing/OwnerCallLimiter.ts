/**
 * Bounds the calls that one owner's entries have running in this process.
 */

/** Counts running calls by owner. */
export class OwnerCallLimiter {
  private readonly _running = new Map<string, number>()

  /**
   * Admits a call.
   * @param owner - owner of the entry
   * @param limit - most calls at once, or undefined for no limit
   * @returns false when the owner has as many calls running; otherwise {@link release} must follow
   */
  tryAcquire (owner: string, limit: number | undefined): boolean {
    const running = this._running.get(owner) ?? 0
    if (limit !== undefined && running >= limit) return false
    this._running.set(owner, running + 1)
    return true
  }

  /** Notes the end of a call that was admitted. */
  release (owner: string): void {
    const running = (this._running.get(owner) ?? 1) - 1
    if (running <= 0) this._running.delete(owner)
    else this._running.set(owner, running)
  }
}
