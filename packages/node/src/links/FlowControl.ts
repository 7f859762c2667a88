/**
 * Flow control for request and response bodies on a link.
 */
import { FLOW_WINDOW_BYTES } from '../calls/CallTypes.js'

/** Tracks how many bytes may be sent before the other side has to grant more. */
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
   * @param bytes - granted by the other side
   * @returns true if the sender had to wait and may continue now
   */
  refill (bytes: number): boolean {
    const wasClosed = this._remainingBytes <= 0
    this._remainingBytes += bytes
    return wasClosed && this._remainingBytes > 0
  }
}

/** Largest part of a body that does not yield to other frames, so that small bodies arrive at once. */
const URGENT_BODY_BYTES = 16_384

/** Splits a body into a start that is sent at once and the rest, which yields to other frames of the link. */
export class UrgentBytes {
  private _leftBytes: number

  /** @param isBulk - true for a body that is known to be large; all of it yields */
  constructor (isBulk: boolean) {
    this._leftBytes = isBulk ? 0 : URGENT_BODY_BYTES
  }

  /**
   * @param bytes - to be sent now
   * @returns how many of them are sent at once
   */
  take (bytes: number): number {
    const taken = Math.min(bytes, this._leftBytes)
    this._leftBytes -= taken
    return taken
  }
}

/** Accumulates acknowledged bytes, so that not every chunk causes a frame. */
export class WindowUpdates {
  private _pendingBytes = 0

  /**
   * @param bytes - processed now
   * @returns bytes to report to the other side now, or 0 for none yet
   */
  add (bytes: number): number {
    this._pendingBytes += bytes
    if (this._pendingBytes < FLOW_WINDOW_BYTES / 4) return 0
    const dueBytes = this._pendingBytes
    this._pendingBytes = 0
    return dueBytes
  }

  /** @returns all bytes not yet reported, which must be reported now */
  take (): number {
    const dueBytes = this._pendingBytes
    this._pendingBytes = 0
    return dueBytes
  }

  /** @param bytes - returned by {@link add} that cannot be reported yet */
  restore (bytes: number): void {
    this._pendingBytes += bytes
  }
}
