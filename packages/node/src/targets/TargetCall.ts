/**
 * One call on a target of this VM: slot, request and response.
 */
import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { IClock, IDisposable } from '@lagoonswitch/common'
import {
  DEADLINE_GRACE_MS, FLOW_WINDOW_BYTES, isFinalStatus, type FailureReason, type ICallEvents, type ICallHandle, type ICallRequest
} from '../calls/CallTypes.js'
import { BodyBlocks } from '../calls/BodyBlocks.js'
import { copyResponseHeaders } from '../calls/Headers.js'
import type { CallDialect } from '../calls/CallDialect.js'
import type { IAwaitingCall, LocalTarget } from './LocalTarget.js'
import { NestedCalls, SLOT_BODY_BYTES, type BodyCredit, type IHang, type ISlotTicket, type ITargetLoad } from '@lagoonswitch/traffic'
import type { IResponseHandler, TargetConnection } from './TargetConnections.js'

const ABORT_GRACE_MS = 10
/** Smaller chunks are combined and passed on at the end of the read, since each one passed on costs some hundred bytes and a frame. */
const SMALL_CHUNK_BYTES = 1_024
const MISDIRECTED_REQUEST = 421
const BAD_REQUEST = 400
const FIRST_REDIRECTION_STATUS = 300
/** Fraction of the average time of a route within which few of its runs end. */
const SHORTEST_TIME_RATIO = 0.5
const MIN_STATUS = 100
const MIN_FINAL_STATUS = 200

/** What is done with a call that is considered hung: retried elsewhere, ended, or left until its deadline; or why it is left alone. */
export type HangAction = 'retry' | 'end' | 'wait' | 'service-slow'

/** Reports how a target call ended or that it hangs. */
export interface ITargetCallReports {
  /** Called once; the failure is undefined after a complete response. */
  onFinished (failure: FailureReason | undefined): void
  /** Called when the target begins to receive the request. */
  onStarted? (): void
  /** Called when the call is considered hung, with the inputs of the decision. */
  onHung? (hang: IHang, action: HangAction, leftMs: number): void
  /** Called when a call that was left to wait, though considered hung, was answered. */
  onHangRefuted? (): void
}

/** Runs one call on a target. Uses plain callbacks to keep the overhead low, since every call takes this path. */
export class TargetCall implements ICallHandle, IResponseHandler, IAwaitingCall {
  private _ticket: ISlotTicket | undefined
  /** Set for a large body that arrives as credit allows. */
  private readonly _credit: BodyCredit | undefined
  private readonly _deadlineTimer: IDisposable
  private _connection: TargetConnection | undefined
  private _controller: Dispatcher.DispatchController | undefined
  private _grantedAtMs = 0
  private _isFramed = false
  /** The target states that it has not run the request; the call fails once the response has ended. */
  private _isRefusing = false
  private _isMisdirected = false
  /** The target sent a refusal without the id of the call; if it sends it again, the next call on the connection can't tell. */
  private _isRefusalWithoutId = false
  private _body: Readable | undefined
  private _queuedBody: Buffer[] = []
  /** Body of a call with credit until it is sent. */
  private readonly _creditedBody = new BodyBlocks()
  private _queuedBytes = 0
  private _isBodyEnded: boolean
  private _hasStarted = false
  private _hasEnded = false
  private _unacknowledgedBytes = 0
  private _isChunked = false
  /** Small chunks of the current read of the socket. */
  private _smallChunks: Buffer[] = []
  private readonly _deadlineAtMs: number
  /** True if a call made while the target runs this one was denied a retry for lack of budget. */
  isRepeatDenied = false
  /** Status of a response that can't have it; undefined if none arrived. */
  badStatus: number | undefined
  private readonly _nestedCalls: NestedCalls
  /** True if the whole request was there when the call got its slot. */
  private _isRequestWhole = false
  private _hangWatch: IDisposable | undefined
  /** True while the call waits on although it is considered hung. */
  private _isHung = false

  constructor (
    private readonly _target: LocalTarget,
    private readonly _request: ICallRequest,
    private readonly _events: ICallEvents,
    private readonly _clock: IClock,
    private readonly _dialect: CallDialect,
    private readonly _reports: ITargetCallReports
  ) {
    this._isBodyEnded = _request.isBodyComplete
    this._nestedCalls = new NestedCalls(_clock)
    this._deadlineAtMs = _clock.readMonotonicMs() + _request.remainingMs
    this._deadlineTimer = _clock.schedule(_request.remainingMs + DEADLINE_GRACE_MS, () => this._fail('deadline'))
    if (_request.isBulkBody === true && !_request.isBodyComplete) {
      this._credit = _target.bodyCredit.open(_request.bodyBytes ?? 0, bytes => this._events.onBodyCredit?.(bytes))
      _target.awaitingCalls.add(this)
    } else {
      this._acquireSlot(_request.remainingMs, _request.objectiveMs)
    }
  }

  get hasEnded (): boolean {
    return this._hasEnded
  }

  /** Refuses a call that has not asked for a slot yet. */
  refuse (reason: FailureReason): void {
    this._refuse(reason, 0)
  }

  offerBody (bytes: number): void {
    if (!this._hasEnded) this._credit?.offer(bytes)
  }

  sendBody (chunk: Buffer): boolean {
    if (this._hasEnded) return true
    this._queuedBytes += chunk.length
    if (this._credit !== undefined) return this._receiveCredited(chunk, this._credit)
    if (this._body !== undefined) return this._body.push(chunk)
    this._queuedBody.push(chunk)
    return this._queuedBytes < FLOW_WINDOW_BYTES
  }

  endBody (): void {
    this._isBodyEnded = true
    this._body?.push(null)
    this._acquireSlotForBody()
  }

  cancel (): void {
    if (this._hasEnded) return
    this._finish('cancelled', true)
    this._controller?.abort(new Error('cancelled'))
  }

  withdraw (): void {
    if (!this._hasStarted) this._fail('cancelled')
  }

  acknowledge (bytes: number): void {
    this._unacknowledgedBytes -= bytes
    if (this._unacknowledgedBytes < FLOW_WINDOW_BYTES) this._connection?.resume()
  }

  /**
   * Records that the run makes a nested call, during which it is not considered hung.
   * @returns ends the nested call; further calls have no effect
   */
  startNestedCall (): () => void {
    return this._nestedCalls.start()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    if (this._hasEnded) {
      controller.abort(new Error('cancelled'))
      return
    }
    this._hasStarted = true
    this._reports.onStarted?.()
  }

  onResponseStart (
    _controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>
  ): void {
    if (this._hasEnded || (status >= MIN_STATUS && status < MIN_FINAL_STATUS)) return
    if (!isFinalStatus(status)) {
      this.badStatus = status
      this._fail('bad-status')
      return
    }
    const metadata = this._dialect.readResponseMetadata(status, headers)
    const isOtherCall = this._request.callId !== '' && metadata.callId !== this._request.callId
    // A late refusal of another call says nothing about this one.
    const isRefusalOfOtherCall = isOtherCall && metadata.callId !== undefined
    if (metadata.isNotRun && status !== BAD_REQUEST && !isRefusalOfOtherCall) {
      this._isRefusing = true
      this._isMisdirected = status === MISDIRECTED_REQUEST
      this._isRefusalWithoutId = metadata.callId === undefined
      return
    }
    if (isOtherCall && (metadata.callId !== undefined || status < FIRST_REDIRECTION_STATUS)) {
      this._fail('crossed')
      return
    }
    this._recordFirstByte()
    this._isChunked = headers['transfer-encoding'] !== undefined
    if (!this._isChunked) this._connection?.unlimitReads()
    this._isFramed = this._isChunked || headers['content-length'] !== undefined
    const serviceMs = this._clock.readMonotonicMs() - this._grantedAtMs
    this._events.onHead(status, copyResponseHeaders(headers), {
      ...this._target.slotLimiter.load, serviceMs: Math.ceil(serviceMs), isRepeatDenied: this.isRepeatDenied, ...this._measureRun(status)
    })
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._hasEnded || this._isRefusing) return
    this._connection?.countBodyBytes(chunk.length)
    this._unacknowledgedBytes += chunk.length
    if (this._isChunked && chunk.length < SMALL_CHUNK_BYTES) {
      this._bufferSmallChunk(chunk)
    } else {
      this._flushSmallChunks()
      this._events.onData(chunk)
    }
    if (this._unacknowledgedBytes >= FLOW_WINDOW_BYTES) this._connection?.pause()
  }

  onResponseEnd (): void {
    if (this._hasEnded) return
    if (this._isRefusing) {
      const reason = this._getRefusalReason()
      this._finish(reason)
      this._events.onFailure({ reason, isNotRun: true, retryAfterMs: 0 }, this._target.slotLimiter.load)
      return
    }
    if (this._connection?.isResponseComplete(this._isFramed) !== true) {
      this._fail('broken')
      return
    }
    this._flushSmallChunks()
    this._finish(undefined)
    this._events.onEnd()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this._hasEnded) return
    // The head of a refusal is sufficient; an error in its body does not matter.
    if (this._isRefusing) this._fail(this._getRefusalReason())
    else if (this._connection?.isOversized(error) === true) this._fail('oversized')
    else this._fail(this._hasStarted ? 'broken' : 'connect')
  }

  private _bufferSmallChunk (chunk: Buffer): void {
    if (this._smallChunks.length === 0) process.nextTick(() => this._flushSmallChunks())
    this._smallChunks.push(chunk)
  }

  private _flushSmallChunks (): void {
    if (this._smallChunks.length === 0) return
    const chunks = this._smallChunks
    this._smallChunks = []
    if (!this._hasEnded) this._events.onData(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))
  }

  private _receiveCredited (chunk: Buffer, credit: BodyCredit): boolean {
    if (this._body !== undefined) this._body.push(chunk)
    else this._creditedBody.push(chunk)
    // Last, since it may grant credit, and on this VM the next chunk then comes before the return.
    credit.receive(chunk.length)
    if (this._queuedBytes >= SLOT_BODY_BYTES) this._acquireSlotForBody()
    return true
  }

  /** A call with a large body asks for its slot when the body has arrived, so that a slow sender holds none. */
  private _acquireSlotForBody (): void {
    if (this._hasEnded || !this._target.awaitingCalls.delete(this)) return
    const leftMs = this._computeLeftMs()
    const { remainingMs, objectiveMs } = this._request
    this._acquireSlot(leftMs, objectiveMs === 0 ? 0 : Math.max(1, objectiveMs - (remainingMs - leftMs)))
  }

  private _acquireSlot (remainingMs: number, objectiveMs: number): void {
    const { callClass, account, expectedMs, isSpareOnly, queue } = this._request
    this._ticket = this._target.slotLimiter.acquire({
      callClass,
      account,
      remainingMs,
      objectiveMs,
      expectedMs,
      isSpareOnly,
      queueLimit: queue,
      onGranted: () => this._send(),
      onRefused: (reason, retryAfterMs) => this._refuse(reason, retryAfterMs)
    })
    if (this._hasEnded) this._ticket.release()
  }

  private _send (): void {
    if (this._hasEnded) return
    const { method, path, headers, body, targetId, isRepeat } = this._request
    this._grantedAtMs = this._clock.readMonotonicMs()
    this._isRequestWhole = this._isBodyEnded
    const leftMs = Math.max(1, this._computeLeftMs())
    const isEmpty = this._isBodyEnded && body.length === 0 && this._queuedBytes === 0
    this._connection = this._target.connections.acquire()
    this._connection.dispatch({
      method: method as Dispatcher.HttpMethod,
      path,
      headers: [...headers, ...this._dialect.formatTargetHeaders({ remainingMs: leftMs, targetId, isRepeat })],
      body: isEmpty ? null : this._createBody(body)
    }, this)
    this._watchForHang()
  }

  /** Calls without an ID are not watched: their nested calls can't be told from others. */
  private _watchForHang (): void {
    const { route, callId } = this._request
    if (this._hasEnded || route === '' || callId === '') return
    this._hangWatch = this._target.hangDetector?.watch(route, {
      isBusy: () => this._isBusy(),
      hasReceived: () => this._connection?.hasReceived === true,
      onServiceSlow: hang => this._reports.onHung?.(hang, 'service-slow', this._computeLeftMs()),
      onHung: hang => this._handleHang(hang)
    })
  }

  /** Tells whether the target has a reason not to answer yet: a nested call, or a request that has not been sent completely. */
  private _isBusy (): boolean {
    const isNested = this._nestedCalls.takeActivity()
    const isSent = this._isBodyEnded && (this._body?.readableLength ?? 0) === 0 && this._connection?.hasUnsentBytes === false
    return isNested || !isSent
  }

  private _handleHang (hang: IHang): void {
    if (this._hasEnded) return
    const leftMs = this._computeLeftMs()
    const isOver = leftMs < SHORTEST_TIME_RATIO * hang.averageMs
    const action = this._request.isRetryable ? 'retry' : isOver ? 'end' : 'wait'
    this._isHung = true
    this._reports.onHung?.(hang, action, leftMs)
    if (action !== 'wait') this._fail('hung')
  }

  private _recordFirstByte (): void {
    this._hangWatch?.dispose()
    const { route } = this._request
    if (route !== '') this._target.hangDetector?.recordFirstByte(route, this._clock.readMonotonicMs() - this._grantedAtMs)
    if (this._isHung) this._reports.onHangRefuted?.()
    this._isHung = false
  }

  /** Nested calls of a call without an ID can't be told from others. */
  private _measureRun (status: number): Partial<ITargetLoad> {
    const { route, callId } = this._request
    const { runMeter, slotLimiter } = this._target
    if (runMeter === undefined) return {}
    const times = runMeter.recordRun({
      route,
      startedMs: this._grantedAtMs,
      nestedMs: callId === '' ? undefined : this._nestedCalls.totalMs,
      isRequestWhole: this._isRequestWhole,
      status
    })
    return { ...times, room: slotLimiter.usableSlots }
  }

  private _computeLeftMs (): number {
    return Math.max(0, Math.floor(this._deadlineAtMs - this._clock.readMonotonicMs()))
  }

  private _createBody (first: Buffer): Buffer | Readable {
    if (this._credit !== undefined) this._queuedBody = this._creditedBody.takeAll()
    if (this._isBodyEnded) {
      return this._queuedBody.length === 0 ? first : Buffer.concat([first, ...this._queuedBody])
    }
    let takenBytes = 0
    const body = new Readable({
      highWaterMark: FLOW_WINDOW_BYTES,
      read: () => {
        const bytes = this._queuedBytes - body.readableLength - takenBytes
        takenBytes += bytes
        this._credit?.consume(bytes)
        this._events.onBodyDrain()
      }
    })
    if (first.length > 0) body.push(first)
    for (const chunk of this._queuedBody) body.push(chunk)
    this._queuedBody = []
    body.on('error', () => undefined)
    this._body = body
    return body
  }

  private _getRefusalReason (): FailureReason {
    return this._isMisdirected ? 'target-replaced' : 'target-busy'
  }

  private _refuse (reason: FailureReason, retryAfterMs: number): void {
    if (this._hasEnded) return
    this._finish(reason)
    this._events.onFailure({ reason, isNotRun: true, retryAfterMs }, this._target.slotLimiter.load)
  }

  private _fail (reason: FailureReason): void {
    if (this._hasEnded) return
    this._finish(reason, true)
    this._controller?.abort(new Error(reason))
    this._events.onFailure({ reason, isNotRun: this._isRefusing || !this._hasStarted, retryAfterMs: 0 }, this._target.slotLimiter.load)
  }

  private _finish (failure: FailureReason | undefined, isAborted = false): void {
    this._hasEnded = true
    this._deadlineTimer?.dispose()
    this._hangWatch?.dispose()
    this._body?.destroy()
    this._credit?.close()
    this._target.awaitingCalls.delete(this)
    this._creditedBody.takeAll()
    // The target may count the call for longer than this process does.
    if (this._isHung) this._target.slotLimiter.holdBack()
    const connection = this._connection
    const release = (): void => this._release(isAborted)
    // The target learns with a delay that the connection is closed; until then the call, or the attempt to connect, keeps its slot.
    if (isAborted && connection !== undefined) connection.discard(() => this._clock.schedule(ABORT_GRACE_MS, release))
    // Surplus bytes after the response must not reach the next call, so the connection stays unused for the rest of this event loop turn.
    else if (connection !== undefined) setImmediate(release)
    else release()
    this._reports.onFinished(failure)
  }

  private _release (isDiscarded: boolean): void {
    if (isDiscarded) this._connection?.detachHandler()
    else if (this._connection !== undefined) this._target.connections.release(this._connection, !this._isRefusalWithoutId)
    // Undefined when the call has not asked for a slot, or acquire refuses it before it returns.
    this._ticket?.release()
  }
}
