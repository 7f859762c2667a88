/**
 * The sending side of a large request body: announces what it has ready, and sends what it has credit for.
 */

import { BodyBlocks } from './BodyBlocks.js'

/** Bytes without credit at which the source of the body is asked to wait; one more read of it may follow. */
const MAX_READY_BYTES = 65_536
const NO_BYTES = Buffer.alloc(0)

/** Receives the events of a body. */
export interface IOfferedBodyEvents {
  onOffer (bytes: number): void
  onSend (chunk: Buffer, isEnd: boolean): void
  /** The source may go on after {@link OfferedBody.push} returned false. */
  onDrain (): void
}

/** Holds the part of a body for which there is no credit yet. */
export class OfferedBody {
  private readonly _ready = new BodyBlocks()
  private _unofferedBytes = 0
  private _creditBytes = 0
  private _isEnded = false
  private _isEndSent = false
  private _isClosed = false

  /** @param _events - receives what is to be sent */
  constructor (private readonly _events: IOfferedBodyEvents) {}

  /**
   * Adds a part of the body. It is offered at the end of this read of the caller's connection, which may add many small parts.
   * @param chunk - bytes of the body
   * @returns false if the source must wait
   */
  push (chunk: Buffer): boolean {
    if (this._isClosed || chunk.length === 0) return true
    this._ready.push(chunk)
    if (this._unofferedBytes === 0) process.nextTick(() => this._offer())
    this._unofferedBytes += chunk.length
    return this._ready.bytes < MAX_READY_BYTES
  }

  /** Ends the body after what was added. */
  end (): void {
    this._isEnded = true
    this._flush()
  }

  /** @param bytes - that may be sent in addition */
  addCredit (bytes: number): void {
    this._creditBytes += bytes
    this._flush()
    this._notifyDrain()
  }

  /** Drops what has not been sent. */
  close (): void {
    this._isClosed = true
    this._ready.takeAll()
  }

  private _offer (): void {
    const bytes = this._unofferedBytes
    this._unofferedBytes = 0
    if (this._isClosed) return
    this._events.onOffer(bytes)
    this._flush()
  }

  private _flush (): void {
    while (this._creditBytes > 0 && this._ready.bytes > 0 && !this._isClosed) {
      const chunk = this._ready.take(this._creditBytes)
      this._creditBytes -= chunk.length
      this._send(chunk)
    }
    if (this._isEnded && this._ready.bytes === 0) this._send(NO_BYTES)
  }

  private _send (chunk: Buffer): void {
    if (this._isClosed || this._isEndSent) return
    this._isEndSent = this._isEnded && this._ready.bytes === 0
    this._events.onSend(chunk, this._isEndSent)
  }

  /** Asks the source to go on if there is room; one that does not wait ignores it. */
  private _notifyDrain (): void {
    if (this._isClosed || this._ready.bytes >= MAX_READY_BYTES) return
    this._events.onDrain()
  }
}
