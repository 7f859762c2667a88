/**
 * Sizes the parts in which a leader sends a large part of its log, or a snapshot, to one peer, by what the link has carried.
 */

/** Size of the first part; a new member on a slow link receives it within the time of a heartbeat's answer. */
const FIRST_PART_BYTES = 65_536
const MIN_PART_BYTES = 16_384
const MAX_PART_BYTES = 1_048_576
/** Longest wait for the answer to one part that can't be made smaller. */
const MAX_TIMEOUT_MS = 10_000
/** Fraction of the timeout within which an answer shows that the link carries larger parts. */
const FAST_FRACTION = 0.25
/** Fraction of the timeout before which a failure, such as a refused connection, says nothing about the link. */
const FAILED_AT_ONCE_FRACTION = 0.5

/** Halves the parts after a slow failure and doubles them after a fast answer, so that what has arrived stays arrived. */
export class BulkPace {
  private _partBytes = FIRST_PART_BYTES
  private _timeoutMs: number

  /** @param _usualTimeoutMs - wait for the answer to a part that the link should carry in time, in milliseconds */
  constructor (private readonly _usualTimeoutMs: number) {
    this._timeoutMs = _usualTimeoutMs
  }

  /** Size of the next part in bytes; a single entry may be larger. */
  get partBytes (): number {
    return this._partBytes
  }

  /** Wait for the answer to the next part in milliseconds. */
  get timeoutMs (): number {
    return this._timeoutMs
  }

  /**
   * Records the answer to a part.
   * @param bytes - size of the part
   * @param tookMs - time until the answer, in milliseconds
   */
  recordAnswer (bytes: number, tookMs: number): void {
    this._timeoutMs = Math.min(MAX_TIMEOUT_MS, Math.max(this._usualTimeoutMs, tookMs / FAST_FRACTION))
    const isFast = tookMs <= this._usualTimeoutMs * FAST_FRACTION
    if (isFast && bytes >= this._partBytes / 2) this._partBytes = Math.min(MAX_PART_BYTES, this._partBytes * 2)
  }

  /**
   * Records that a part was not answered.
   * @param bytes - size of the part
   * @param tookMs - time until the failure, in milliseconds
   */
  recordFailure (bytes: number, tookMs: number): void {
    if (tookMs < this._timeoutMs * FAILED_AT_ONCE_FRACTION) return
    const isSmallest = bytes > this._partBytes || this._partBytes === MIN_PART_BYTES
    this._partBytes = Math.max(MIN_PART_BYTES, this._partBytes / 2)
    if (isSmallest) this._timeoutMs = Math.min(MAX_TIMEOUT_MS, this._timeoutMs * 2)
  }
}
