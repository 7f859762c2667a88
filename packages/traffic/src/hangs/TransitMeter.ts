/**
 * Estimates when large frames of a link have arrived, which the other process confirms only as a whole.
 */
import type { IClock } from '@lagoonswitch/common'

/** Speed that a link has at least: 4 Mbit/s, slightly below the slowest known links of nodes (4.2 Mbit/s). */
const LOW_SPEED_BYTES_PER_MS = 500
/** Number that stands for a ping among the calls; no call has it. */
const PING_ID = 0

interface ISentFrame {
  readonly callId: number
  readonly arrivalMs: number
}

/**
 * Computes the time that bytes need on a slow link.
 * @param bytes - that are on their way
 * @returns time in milliseconds
 */
export function computeTransitMs (bytes: number): number {
  return bytes / LOW_SPEED_BYTES_PER_MS
}

/** Keeps large frames and pings until the other process has answered one of them or a later one. */
export class TransitMeter {
  /** In the order in which they were sent, with the latest times at which they arrive at a low speed. */
  private readonly _frames: ISentFrame[] = []

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /** Time in milliseconds until all large frames have arrived at a low speed; 0 if none is unconfirmed. */
  get leftMs (): number {
    return Math.max(0, (this._frames.at(-1)?.arrivalMs ?? 0) - this._clock.readMonotonicMs())
  }

  /**
   * Records a large frame that opens a call.
   * @param callId - of the call
   * @param bytes - of the frame
   */
  recordSent (callId: number, bytes: number): void {
    const nowMs = this._clock.readMonotonicMs()
    // A call that was cancelled is never answered.
    while (this._isOverdueCall(this._frames[0], nowMs)) this._frames.shift()
    const startMs = nowMs + this.leftMs
    this._frames.push({ callId, arrivalMs: startMs + computeTransitMs(bytes) })
  }

  /** Records a ping; pings are answered in their order. */
  recordPing (): void {
    this.recordSent(PING_ID, 0)
  }

  /**
   * Records a frame of the other process, which has received everything up to the frame that it answers.
   * @param callId - of the call
   */
  recordAnswer (callId: number): void {
    if (this._frames.length === 0) return
    this._frames.splice(0, this._frames.findIndex(frame => frame.callId === callId) + 1)
  }

  /** Records the answer to the earliest ping. */
  recordPingAnswer (): void {
    this.recordAnswer(PING_ID)
  }

  private _isOverdueCall (frame: ISentFrame | undefined, nowMs: number): boolean {
    return frame !== undefined && frame.callId !== PING_ID && frame.arrivalMs <= nowMs
  }
}
