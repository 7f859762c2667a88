/**
 * The request body of a call on a link, after the part that is sent with the opening frame.
 */
import type { PeerFrame } from '@lagoonswitch/schema'
import { FLOW_WINDOW_BYTES, type ICallRequest } from '../calls/CallTypes.js'
import { OfferedBody } from '../calls/OfferedBody.js'
import { FlowWindow, UrgentBytes } from './FlowControl.js'

const NO_BYTES = Buffer.alloc(0)

/** Sends the frames of one call. */
export interface IBodyLink {
  sendFrame (frame: NonNullable<PeerFrame['frame']>): void
  sendPart (chunk: Buffer, isEnd: boolean, isBulk: boolean): void
  /** More of the body may be added. */
  onDrain (): void
}

/** Holds what is added before the opening frame is sent; subclasses define the flow control after that. */
export abstract class OutgoingBody {
  private _heldChunks: Buffer[] = []
  private _isOpen = false
  private _isEnded = false

  /** @param _link - of the call */
  constructor (protected readonly _link: IBodyLink) {}

  /** Sends what was added before, after the opening frame. */
  open (): void {
    this._isOpen = true
    this._start()
    const heldChunks = this._heldChunks
    this._heldChunks = []
    let canAdd = true
    for (const chunk of heldChunks) canAdd = this._send(chunk)
    if (this._isEnded) this._sendEnd()
    else if (heldChunks.length > 0 && canAdd) this._link.onDrain()
  }

  /**
   * Adds a part of the body.
   * @param chunk - bytes of the body
   * @returns false if the sender must wait until the body drains
   */
  push (chunk: Buffer): boolean {
    if (this._isOpen) return this._send(chunk)
    this._heldChunks.push(chunk)
    return false
  }

  /** Ends the body. */
  end (): void {
    this._isEnded = true
    if (this._isOpen) this._sendEnd()
  }

  /** @param bytes - that the other side allows in addition */
  abstract addWindow (bytes: number): void

  /**
   * Applies what is known of the other process.
   * @param _isGranted - whether it grants credit for large bodies
   */
  applyBodyCredit (_isGranted: boolean): void {}

  /** Drops what has not been sent. */
  close (): void {
    this._heldChunks = []
  }

  protected abstract _start (): void
  protected abstract _send (chunk: Buffer): boolean
  protected abstract _sendEnd (): void
}

/** A body that is sent within a flow control window; all of it after its start yields to other frames. */
class WindowedBody extends OutgoingBody {
  private readonly _window = new FlowWindow()
  private readonly _urgentBytes = new UrgentBytes(false)

  constructor (link: IBodyLink, private readonly _firstBytes: number) {
    super(link)
  }

  addWindow (bytes: number): void {
    if (this._window.refill(bytes)) this._link.onDrain()
  }

  protected _start (): void {
    this._urgentBytes.take(this._firstBytes)
    this._window.consume(this._firstBytes)
  }

  protected _send (chunk: Buffer): boolean {
    const isUrgent = this._urgentBytes.take(chunk.length) === chunk.length
    this._link.sendPart(chunk, false, !isUrgent)
    return this._window.consume(chunk.length)
  }

  protected _sendEnd (): void {
    this._link.sendPart(NO_BYTES, true, false)
  }
}

/** A large body, all of which yields to other frames and is sent as the other process grants credit. */
class CreditedBody extends OutgoingBody {
  private readonly _offered: OfferedBody
  private _isCreditKnown = false

  constructor (link: IBodyLink, private readonly _first: Buffer) {
    super(link)
    this._offered = new OfferedBody({
      onOffer: bytes => link.sendFrame({ $case: 'offer', value: { bytes } }),
      onSend: (chunk, isEnd) => link.sendPart(chunk, isEnd, chunk.length > 0),
      onDrain: () => link.onDrain()
    })
  }

  addWindow (bytes: number): void {
    this._offered.addCredit(bytes)
  }

  /** A process that grants no credit acknowledges bytes of a flow control window instead. */
  override applyBodyCredit (isGranted: boolean): void {
    if (this._isCreditKnown) return
    this._isCreditKnown = true
    if (!isGranted) this._offered.addCredit(FLOW_WINDOW_BYTES)
  }

  override close (): void {
    super.close()
    this._offered.close()
  }

  protected _start (): void {
    this._offered.push(this._first)
  }

  protected _send (chunk: Buffer): boolean {
    return this._offered.push(chunk)
  }

  protected _sendEnd (): void {
    this._offered.end()
  }
}

/**
 * Tells whether the body of a call is sent as credit allows.
 * @param request - of the call
 * @returns false for a complete body, and for one of a route without large bodies
 */
export function isCredited ({ isBulkBody, isBodyComplete }: ICallRequest): boolean {
  return isBulkBody === true && !isBodyComplete
}

/**
 * Creates the body of a call.
 * @param request - of the call
 * @param link - sends the frames
 * @returns the body, to be opened after the opening frame
 */
export function createOutgoingBody (request: ICallRequest, link: IBodyLink): OutgoingBody {
  return isCredited(request) ? new CreditedBody(link, request.body) : new WindowedBody(link, request.body.length)
}
