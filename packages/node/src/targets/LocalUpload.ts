/**
 * A call with a large body whose caller is on the VM of its target: the body follows the same rules as one that comes over a link.
 */
import type { ICallEvents, ICallFailure, ICallHandle, ICallOpener, ICallRequest, ITargetLoad } from '../calls/CallTypes.js'
import { OfferedBody } from '../calls/OfferedBody.js'

const NO_BYTES = Buffer.alloc(0)

/** Both ends of a body: offers it to the target's side, and sends what that grants. */
export class LocalUpload implements ICallHandle, ICallEvents {
  private readonly _body: OfferedBody
  private readonly _handle: ICallHandle
  private _isClosed = false

  /**
   * @param opener - of the target
   * @param request - with the start of the body
   * @param _events - of the call
   */
  constructor (opener: ICallOpener, request: ICallRequest, private readonly _events: ICallEvents) {
    this._body = new OfferedBody({
      onOffer: bytes => this._handle.offerBody?.(bytes),
      onSend: (chunk, isEnd) => {
        if (chunk.length > 0) this._handle.sendBody(chunk)
        if (isEnd) this._handle.endBody()
      },
      onDrain: () => _events.onBodyDrain()
    })
    this._handle = opener.open({ ...request, body: NO_BYTES }, this)
    if (!this._isClosed) this._body.push(request.body)
  }

  sendBody (chunk: Buffer): boolean { return this._body.push(chunk) }
  endBody (): void { this._body.end() }
  withdraw (): void { this._handle.withdraw() }
  acknowledge (bytes: number): void { this._handle.acknowledge(bytes) }
  onHead (status: number, headers: readonly string[], load: ITargetLoad): void { this._events.onHead(status, headers, load) }
  onData (chunk: Buffer): void { this._events.onData(chunk) }
  onBodyCredit (bytes: number): void { this._body.addCredit(bytes) }

  /** The target's side asks for more by granting credit. */
  onBodyDrain (): void {}

  cancel (): void {
    this._close()
    this._handle.cancel()
  }

  onEnd (): void {
    this._close()
    this._events.onEnd()
  }

  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void {
    this._close()
    this._events.onFailure(failure, load)
  }

  private _close (): void {
    this._isClosed = true
    this._body.close()
  }
}
