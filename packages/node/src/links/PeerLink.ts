/**
 * The link to one other process: a connection that carries many calls.
 */
import type { IDisposable } from '@lagoonswitch/common'
import type { PeerFrame } from '@lagoonswitch/schema'
import type { ICallEvents, ICallHandle, ICallOpener, ICallRequest } from '../calls/CallTypes.js'
import { LinkConnection, SUSPECT_SILENCE_MS } from './LinkConnection.js'
import type { ILinkContext } from './LinkTypes.js'
import { OutgoingCall, type ICallLink } from './OutgoingCall.js'

const MAX_CALL_ID = 0xffff_fffe

type Frame = NonNullable<PeerFrame['frame']>

/** Opens calls to the targets on the VM of another process; connects if there is a call and no connection. */
export class PeerLink implements ICallOpener, ICallLink, IDisposable {
  private readonly _calls = new Map<number, OutgoingCall>()
  private _callsAwaitingOpen: OutgoingCall[] = []
  private _connection: LinkConnection | undefined
  private _nextCallId = 1
  /** True while the other process is stopping: new calls fail, and the first call after this connection has closed reconnects. */
  private _isDraining = false

  /**
   * @param _address - link address of the other process
   * @param _context - shared by all links
   */
  constructor (private readonly _address: string, private readonly _context: ILinkContext) {}

  open (request: ICallRequest, events: ICallEvents): ICallHandle {
    const callId = this._allocateCallId()
    const call = new OutgoingCall(this, callId, request, events, this._context.clock)
    this._calls.set(callId, call)
    if (this._isDraining) {
      // Deferred, so that the caller of this method receives its handle before the failure.
      queueMicrotask(() => call.refuse('draining'))
    } else if (!this.isReachable) {
      // Nothing of the call is sent, so that it is certain not to run; on an open connection it could run once the other process goes on.
      const reason = this._connection?.isOpen === true ? 'link-silent' : 'unreachable'
      queueMicrotask(() => call.refuse(reason))
    } else if (this._connection?.isOpen === true) {
      call.sendOpen()
    } else {
      this._callsAwaitingOpen.push(call)
      this._connection ??= new LinkConnection(this._address, this._context, {
        onOpen: () => this._handleOpen(),
        onFrame: frame => this._handleFrame(frame),
        onClose: cause => this._handleClose(cause),
        isAnswerAwaited: () => this._calls.size > 0 || this._isDraining,
        onSlowOpen: () => this._handleSlowOpen(),
        onSilent: () => this._handleSilence(),
        onBodyCreditKnown: () => { for (const call of this._calls.values()) call.applyBodyCredit() }
      })
    }
    return call
  }

  /** False while the other process has not responded for too long. */
  get isReachable (): boolean {
    return this._connection === undefined || this._connection.getSilenceMs() < SUSPECT_SILENCE_MS
  }

  /** Whether the other process grants credit for large request bodies; undefined until its first frame. */
  get isBodyCreditGranted (): boolean | undefined {
    return this._connection?.isBodyCreditGranted
  }

  /** Sends a frame of an open call. */
  sendFrame (callId: number, frame: Frame): void {
    this._connection?.send({ callId, frame })
  }

  /** Sends a part of the body of an open call; see {@link FrameSocket.sendBody}. */
  sendBody (callId: number, chunk: Buffer, isEnd: boolean, isBulk: boolean): void {
    this._connection?.sendBody(callId, chunk, isEnd, isBulk)
  }

  /** Removes a call that has ended. */
  removeCall (callId: number): void {
    this._calls.delete(callId)
    this._connection?.dropBody(callId)
  }

  reportBadStatus ({ callId, targetId }: ICallRequest, status: number): void {
    this._context.metrics.count('bad_statuses_total', 'link')
    this._context.log.warn('bad_status', { call: callId, target: targetId, status, from: 'link' })
  }

  dispose (): void {
    this._connection?.dispose()
  }

  private _allocateCallId (): number {
    while (this._calls.has(this._nextCallId)) this._nextCallId = this._nextCallId >= MAX_CALL_ID ? 1 : this._nextCallId + 1
    const id = this._nextCallId
    this._nextCallId = id >= MAX_CALL_ID ? 1 : id + 1
    return id
  }

  private _handleOpen (): void {
    const waiting = this._callsAwaitingOpen
    this._callsAwaitingOpen = []
    for (const call of waiting) call.sendOpen()
  }

  private _handleFrame ({ callId, frame }: PeerFrame): void {
    if (frame === undefined || frame.$case === 'ping') return
    if (frame.$case === 'drain') this._isDraining = true
    else this._deliver(callId, frame)
  }

  /** An answer to a call that was given up is dropped; its number has not been given to another call since. */
  private _deliver (callId: number, frame: Frame): void {
    const call = this._calls.get(callId)
    if (call !== undefined) call.handleFrame(frame)
    else if (frame.$case === 'head') this._context.metrics.count('late_answers_total', 'link')
  }

  private _handleSlowOpen (): void {
    const waiting = this._callsAwaitingOpen
    this._callsAwaitingOpen = []
    for (const call of waiting) call.refuse('unreachable')
  }

  private _handleSilence (): void {
    for (const call of [...this._calls.values()]) call.handleSilence()
  }

  private _handleClose (cause: string): void {
    const calls = [...this._calls.values()]
    if (calls.length > 0) {
      this._context.log.warn('link_calls_lost', { address: this._address, calls: calls.length, cause, draining: this._isDraining })
    }
    this._connection = undefined
    this._isDraining = false
    this._callsAwaitingOpen = []
    this._calls.clear()
    for (const call of calls) call.handleLinkLost()
  }
}
