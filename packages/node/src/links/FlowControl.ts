/**
 * Flow control of the bodies on a link.
 */
import { FLOW_WINDOW_BYTES } from '../calls/CallTypes.js'

/** Counts bytes that the other side has not asked for yet. */
export class FlowWindow {
  private _remainingBytes = FLOW_WINDOW_BYTES

  /**
   * @param bytes - sent now
   * @returns false when the sender must wait
   */
  consume (bytes: number): boolean {
    this._remainingBytes -= bytes
    return this._remainingBytes > 0
  }

  /**
   * @param bytes - asked for by the other side
   * @returns true when the sender may go on after a wait
   */
  refill (bytes: number): boolean {
    const wasClosed = this._remainingBytes <= 0
    this._remainingBytes += bytes
    return wasClosed && this._remainingBytes > 0
  }
}

/** Collects acknowledgements, so that not every chunk causes a frame. */
export class WindowUpdates {
  private _pendingBytes = 0

  /**
   * @param bytes - passed on now
   * @returns bytes to report to the other side, 0 for not yet
   */
  add (bytes: number): number {
    this._pendingBytes += bytes
    if (this._pendingBytes < FLOW_WINDOW_BYTES / 4) return 0
    const dueBytes = this._pendingBytes
    this._pendingBytes = 0
    return dueBytes
  }

  /** @returns all bytes not reported yet, which the caller reports now */
  take (): number {
    const dueBytes = this._pendingBytes
    this._pendingBytes = 0
    return dueBytes
  }

  /** @param bytes - were due but can't be reported yet */
  restore (bytes: number): void {
    this._pendingBytes += bytes
  }
}
