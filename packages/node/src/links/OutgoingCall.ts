/**
 * A call on the link to another process.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import type { PeerFrame } from '@lagoonswitch/schema'
import {
  LINK_DEADLINE_MARGIN_MS, isFinalStatus, type FailureReason, type ICallEvents, type ICallHandle, type ICallRequest, type ITargetLoad
} from '../calls/CallTypes.js'
import { decodeFailure } from './FailureFrames.js'
import { WindowUpdates } from './FlowControl.js'
import { createOutgoingBody, isCredited, type IBodyLink, type OutgoingBody } from './OutgoingBody.js'

const NO_BYTES = Buffer.alloc(0)

type Frame = NonNullable<PeerFrame['frame']>

/** The link that carries a call. */
export interface ICallLink {
  /** Whether the other process grants credit for large request bodies; undefined until its first frame. */
  readonly isBodyCreditGranted: boolean | undefined
  /** Sends a frame of an open call. */
  sendFrame (callId: number, frame: Frame): void
  /** Sends a part of the body of an open call. */
  sendBody (callId: number, chunk: Buffer, isEnd: boolean, isBulk: boolean): void
  /** Removes a call that has ended. */
  removeCall (callId: number): void
  /** Reports a response head with a status that a response can't have. */
  reportBadStatus (request: ICallRequest, status: number): void
}

/** One call on a link. */
export class OutgoingCall implements ICallHandle, IBodyLink {
  private readonly _windowUpdates = new WindowUpdates()
  private readonly _body: OutgoingBody
  private readonly _deadlineTimer: IDisposable
  private readonly _deadlineAtMs: number
  private _isSent = false
  private _hasHead = false
  private _hasEnded = false

  constructor (
    private readonly _link: ICallLink,
    private readonly _callId: number,
    private readonly _request: ICallRequest,
    private readonly _events: ICallEvents,
    private readonly _clock: IClock
  ) {
    this._body = createOutgoingBody(_request, this)
    this._deadlineAtMs = _clock.readMonotonicMs() + _request.remainingMs
    this._deadlineTimer = _clock.schedule(_request.remainingMs + LINK_DEADLINE_MARGIN_MS, () => this._fail('deadline', !this._isSent))
  }

  /** Sends the call on the open link. */
  sendOpen (): void {
    if (this._hasEnded) return
    const remainingMs = Math.floor(this._deadlineAtMs - this._clock.readMonotonicMs())
    if (remainingMs <= 0) {
      this._fail('deadline', true)
      return
    }
    this._isSent = true
    const request = this._request
    const isBodyCredited = isCredited(request)
    this._link.sendFrame(this._callId, {
      $case: 'open',
      value: {
        // Listed one by one, since rest or spread properties cost tens of microseconds per call.
        service: request.service,
        version: request.version,
        targetId: request.targetId,
        method: request.method,
        path: request.path,
        headers: request.headers as string[],
        remainingMs,
        class: request.callClass,
        owner: request.owner,
        account: request.account,
        route: request.route,
        retryable: request.isRetryable,
        body: isBodyCredited ? NO_BYTES : request.body,
        bulkBody: isBodyCredited,
        bodyBytes: request.bodyBytes ?? 0,
        bodyComplete: request.isBodyComplete,
        slots: request.slots,
        connections: request.connections,
        queue: request.queue,
        callId: request.callId,
        expectedMs: request.expectedMs,
        spareOnly: request.isSpareOnly,
        repeat: request.isRepeat,
        bulk: request.isBulk,
        objectiveMs: Math.max(request.objectiveMs > 0 ? 1 : 0, Math.floor(request.objectiveMs - (request.remainingMs - remainingMs)))
      }
    })
    this._body.open()
    this.applyBodyCredit()
  }

  /** Applies whether the other process grants credit, once that is known. */
  applyBodyCredit (): void {
    const isGranted = this._link.isBodyCreditGranted
    if (isGranted !== undefined && this._isSent && !this._hasEnded) this._body.applyBodyCredit(isGranted)
  }

  /** Fails a call that was never sent. */
  refuse (reason: FailureReason): void {
    this._fail(reason, true)
  }

  sendBody (chunk: Buffer): boolean {
    return this._hasEnded || this._body.push(chunk)
  }

  endBody (): void {
    if (!this._hasEnded) this._body.end()
  }

  sendFrame (frame: Frame): void {
    this._link.sendFrame(this._callId, frame)
  }

  sendPart (chunk: Buffer, isEnd: boolean, isBulk: boolean): void {
    this._link.sendBody(this._callId, chunk, isEnd, isBulk)
  }

  onDrain (): void {
    if (!this._hasEnded) this._events.onBodyDrain()
  }

  cancel (): void {
    if (this._hasEnded) return
    if (this._isSent) this._link.sendFrame(this._callId, { $case: 'cancel', value: { reason: 'cancelled' } })
    this._finish()
  }

  withdraw (): void {
    if (this._hasEnded) return
    if (this._isSent) this._link.sendFrame(this._callId, { $case: 'withdraw', value: {} })
    else this._fail('cancelled', true)
  }

  acknowledge (bytes: number): void {
    const dueBytes = this._windowUpdates.add(bytes)
    if (dueBytes > 0 && !this._hasEnded) this._link.sendFrame(this._callId, { $case: 'window', value: { bytes: dueBytes } })
  }

  handleFrame (frame: Frame): void {
    if (this._hasEnded) return
    switch (frame.$case) {
      case 'head': {
        const { status, headers, body, end, repeatDenied, ...load } = frame.value
        if (!isFinalStatus(status)) {
          this._link.reportBadStatus(this._request, status)
          this._fail('bad-status', false)
          return
        }
        this._hasHead = true
        this._events.onHead(status, headers, { ...load, isRepeatDenied: repeatDenied })
        if (body.length > 0) this._events.onData(body)
        if (end) this._end()
        return
      }
      case 'data':
        if (frame.value.chunk.length > 0) this._events.onData(frame.value.chunk)
        if (frame.value.end) this._end()
        return
      case 'window':
        this._body.addWindow(frame.value.bytes)
        return
      case 'failure': {
        const { inFlight, slots, queued } = frame.value
        const load: ITargetLoad = { inFlight, slots, queued, served: 0, serviceMs: 0, isRepeatDenied: false }
        this._finish()
        this._events.onFailure(decodeFailure(frame.value), slots > 0 ? load : undefined)
        return
      }
      default:
        this._fail('bad-frame', false)
    }
  }

  /**
   * Fails a call that has no response head yet, rather than let it wait for a silent process. Its opening frame may be in a buffer of
   * the network, so it may run, even though it is cancelled behind that frame.
   */
  handleSilence (): void {
    if (!this._hasHead) this._fail('link-silent', !this._isSent)
  }

  /** A call whose opening frame was never sent has certainly not run. */
  handleLinkLost (): void {
    this._fail(this._isSent ? 'link-lost' : 'unreachable', !this._isSent)
  }

  private _end (): void {
    if (this._hasEnded) return
    this._finish()
    this._events.onEnd()
  }

  private _fail (reason: FailureReason, isNotRun: boolean): void {
    if (this._hasEnded) return
    if (this._isSent) this._link.sendFrame(this._callId, { $case: 'cancel', value: { reason } })
    this._finish()
    this._events.onFailure({ reason, isNotRun, retryAfterMs: 0 }, undefined)
  }

  private _finish (): void {
    this._hasEnded = true
    this._body.close()
    this._deadlineTimer.dispose()
    this._link.removeCall(this._callId)
  }
}
