/**
 * The link to one other process: a connection that carries many calls.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import type { PeerFrame } from '@lagoonswitch/schema'
import { FrameSocket, openLinkSocket, type IFrameListener } from '@lagoonswitch/transport'
import {
  LINK_DEADLINE_MARGIN_MS, type FailureReason, type ICallEvents, type ICallHandle, type ICallOpener, type ICallRequest, type ITargetLoad
} from '../calls/CallTypes.js'
import { WindowUpdates } from './FlowControl.js'
import type { IConnectionEvents, ILinkContext } from './LinkTypes.js'
import { createOutgoingBody, isCredited, type IBodyLink, type OutgoingBody } from './OutgoingBody.js'

const OPEN_TIMEOUT_MS = 1_000
/** Silence after which a ping is sent to the other process. */
const PING_INTERVAL_MS = 200
/** Silence after which no new calls are sent on the link: a ping interval, a round trip and a short stall. */
const SUSPECT_SILENCE_MS = 450
/** Silence after which retryable calls without a response head fail, so that they can be retried elsewhere. */
const RETRY_SILENCE_MS = 900
/** Silence after which the connection is closed. */
const MAX_SILENCE_MS = 3_000
const MAX_CALL_ID = 0xffff_fffe
const NO_BYTES = Buffer.alloc(0)

type Frame = NonNullable<PeerFrame['frame']>

/** Opens calls to the targets on the VM of another process; connects if there is a call and no connection. */
export class PeerLink implements ICallOpener, IDisposable {
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
    } else if (this._connection?.isOpen === true) {
      call.sendOpen()
    } else {
      this._callsAwaitingOpen.push(call)
      this._connection ??= new LinkConnection(this._address, this._context, {
        onOpen: () => this._handleOpen(),
        onFrame: frame => this._handleFrame(frame),
        onClose: () => this._handleClose(),
        hasCalls: () => this._calls.size > 0,
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
    else this._calls.get(callId)?.handleFrame(frame)
  }

  private _handleSilence (): void {
    for (const call of [...this._calls.values()]) call.handleSilence()
  }

  private _handleClose (): void {
    this._connection = undefined
    this._isDraining = false
    this._callsAwaitingOpen = []
    const calls = [...this._calls.values()]
    this._calls.clear()
    for (const call of calls) call.handleLinkLost()
  }
}

/** One connection of a link; detects a silent peer with pings. */
class LinkConnection implements IFrameListener, IDisposable {
  private readonly _socket: FrameSocket
  private readonly _stopping = new AbortController()
  private _lastReceivedMs: number
  /** When the first unanswered ping was sent, or the connection was requested; undefined if nothing is unanswered. */
  private _unansweredSinceMs: number | undefined
  isOpen = false
  isBodyCreditGranted: boolean | undefined

  constructor (
    private readonly _address: string, private readonly _context: ILinkContext, private readonly _events: IConnectionEvents
  ) {
    this._lastReceivedMs = _context.clock.readMonotonicMs()
    this._unansweredSinceMs = this._lastReceivedMs
    this._socket = new FrameSocket(openLinkSocket(_address, _context.credentials, () => this._handleOpen()), this, _context.bulkWindow)
    void this._runPings()
  }

  send (frame: PeerFrame): void {
    this._socket.send(frame)
  }

  sendBody (callId: number, chunk: Buffer, isEnd: boolean, isBulk: boolean): void {
    this._socket.sendBody(callId, chunk, isEnd, isBulk)
  }

  dropBody (callId: number): void {
    this._socket.dropBody(callId)
  }

  onFrame (frame: PeerFrame): void {
    this._lastReceivedMs = this._context.clock.readMonotonicMs()
    this._unansweredSinceMs = undefined
    this._events.onFrame(frame)
  }

  onBodyCreditKnown (isGranted: boolean): void {
    this.isBodyCreditGranted = isGranted
    this._events.onBodyCreditKnown()
  }

  onClose (cause: string): void {
    this._stopping.abort()
    this._context.metrics.count('links_lost_total', this.isOpen ? 'lost' : 'not-opened')
    this._context.log.debug('link_lost', { address: this._address, cause })
    this._events.onClose()
  }

  dispose (): void {
    this._stopping.abort()
    this._socket.dispose()
  }

  private _handleOpen (): void {
    this.isOpen = true
    this._lastReceivedMs = this._context.clock.readMonotonicMs()
    this._unansweredSinceMs = undefined
    this._events.onOpen()
  }

  /**
   * Time for which the other process has been silent although it should have responded; 0 while nothing is unanswered. On an open
   * connection it includes the ping interval of silence before the unanswered ping.
   */
  getSilenceMs (): number {
    if (this._unansweredSinceMs === undefined) return 0
    return this._context.clock.readMonotonicMs() - this._unansweredSinceMs + (this.isOpen ? PING_INTERVAL_MS : 0)
  }

  private async _runPings (): Promise<void> {
    const { clock } = this._context
    while (!this._stopping.signal.aborted) {
      await clock.waitTick(PING_INTERVAL_MS)
      if (this._stopping.signal.aborted) return
      if (this._checkSilence()) {
        this._socket.destroy()
        return
      }
    }
  }

  /** @returns true if the connection is to be closed */
  private _checkSilence (): boolean {
    const nowMs = this._context.clock.readMonotonicMs()
    const silentMs = this.getSilenceMs()
    if (!this.isOpen) return silentMs > OPEN_TIMEOUT_MS
    if (silentMs > MAX_SILENCE_MS) return true
    if (silentMs > RETRY_SILENCE_MS) this._events.onSilent()
    const isPingDue = nowMs - this._lastReceivedMs >= PING_INTERVAL_MS && (this._events.hasCalls() || this._unansweredSinceMs !== undefined)
    if (!isPingDue) return false
    this._unansweredSinceMs ??= nowMs
    this.send({ callId: 0, frame: { $case: 'ping', value: { reply: false } } })
    return false
  }
}

/** One call on a link. */
class OutgoingCall implements ICallHandle, IBodyLink {
  private readonly _windowUpdates = new WindowUpdates()
  private readonly _body: OutgoingBody
  private readonly _deadlineTimer: IDisposable
  private readonly _deadlineAtMs: number
  private _isSent = false
  private _hasHead = false
  private _hasEnded = false

  constructor (
    private readonly _link: PeerLink,
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
        const { status, headers, body, end, inFlight, slots, queued, served, serviceMs, repeatDenied } = frame.value
        this._hasHead = true
        this._events.onHead(status, headers, { inFlight, slots, queued, served, serviceMs, isRepeatDenied: repeatDenied })
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
        const { reason, notRun, retryAfterMs, inFlight, slots, queued } = frame.value
        const load: ITargetLoad = { inFlight, slots, queued, served: 0, serviceMs: 0, isRepeatDenied: false }
        this._finish()
        this._events.onFailure({ reason: reason as FailureReason, isNotRun: notRun, retryAfterMs }, slots > 0 ? load : undefined)
        return
      }
      default:
        this._fail('bad-frame', false)
    }
  }

  /** Fails a retryable call that has no response head yet, rather than let it wait for a silent process. */
  handleSilence (): void {
    if (this._request.isRetryable && !this._hasHead) this._fail('link-silent', !this._isSent)
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
