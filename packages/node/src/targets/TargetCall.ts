/**
 * One call on a target of this VM: slot, request, answer.
 */
import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { IClock, IDisposable } from '@lagoonswitch/common'
import {
  FLOW_WINDOW_BYTES, type FailureReason, type ICallEvents, type ICallHandle, type ICallRequest
} from '../calls/CallTypes.js'
import { DEADLINE_HEADER, copyAnswerHeaders } from '../calls/Headers.js'
import type { LocalTarget } from './LocalTarget.js'
import type { ISlotTicket } from './SlotGate.js'

const ABORT_GRACE_MS = 10

/** Carries one call; plain callbacks, since every call passes here. */
export class TargetCall implements ICallHandle, Dispatcher.DispatchHandler {
  private readonly _ticket: ISlotTicket
  private readonly _deadline: IDisposable
  private _controller: Dispatcher.DispatchController | undefined
  private _body: Readable | undefined
  private _queuedBody: Buffer[] = []
  private _queuedBytes = 0
  private _isBodyEnded: boolean
  private _hasStarted = false
  private _hasEnded = false
  private _unacknowledged = 0
  private readonly _dueMs: number

  constructor (
    private readonly _target: LocalTarget,
    private readonly _request: ICallRequest,
    private readonly _events: ICallEvents,
    private readonly _clock: IClock,
    private readonly _onFinished: () => void
  ) {
    this._isBodyEnded = _request.isBodyComplete
    this._dueMs = _clock.readMonotonicMs() + _request.remainingMs
    this._deadline = _clock.schedule(_request.remainingMs, () => this._fail('deadline'))
    this._ticket = _target.gate.acquire({
      callClass: _request.callClass,
      remainingMs: _request.remainingMs,
      queueLimit: _request.queue,
      onGranted: () => this._send(),
      onRefused: (reason, retryAfterMs) => this._refuse(reason, retryAfterMs)
    })
    if (this._hasEnded) this._ticket.release()
  }

  sendBody (chunk: Buffer): boolean {
    if (this._hasEnded) return true
    if (this._body !== undefined) return this._body.push(chunk)
    this._queuedBody.push(chunk)
    this._queuedBytes += chunk.length
    return this._queuedBytes < FLOW_WINDOW_BYTES
  }

  endBody (): void {
    this._isBodyEnded = true
    this._body?.push(null)
  }

  cancel (): void {
    if (this._hasEnded) return
    this._finish(true)
    this._controller?.abort(new Error('cancelled'))
  }

  acknowledge (bytes: number): void {
    this._unacknowledged -= bytes
    if (this._unacknowledged < FLOW_WINDOW_BYTES && this._controller?.paused === true) this._controller.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    if (this._hasEnded) {
      controller.abort(new Error('cancelled'))
      return
    }
    this._hasStarted = true
  }

  onResponseStart (
    _controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>
  ): void {
    if (this._hasEnded || status < 200) return
    this._events.onHead(status, copyAnswerHeaders(headers), this._target.gate.load)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._hasEnded) return
    this._unacknowledged += chunk.length
    this._events.onData(chunk)
    if (this._unacknowledged >= FLOW_WINDOW_BYTES) controller.pause()
  }

  onResponseEnd (): void {
    if (this._hasEnded) return
    this._finish()
    this._events.onEnd()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this._hasEnded) return
    const isConnect = 'code' in error && (error.code === 'UND_ERR_CONNECT_TIMEOUT' || error.code === 'ECONNREFUSED')
    this._fail(isConnect ? 'connect' : 'broken')
  }

  private _send (): void {
    if (this._hasEnded) return
    const { method, path, headers, body } = this._request
    const leftMs = Math.max(1, Math.floor(this._dueMs - this._clock.readMonotonicMs()))
    const isEmpty = this._isBodyEnded && body.length === 0 && this._queuedBody.length === 0
    this._target.pool.dispatch({
      method: method as Dispatcher.HttpMethod,
      path,
      headers: [...headers, DEADLINE_HEADER, String(leftMs)],
      body: isEmpty ? null : this._createBody(body)
    }, this)
  }

  private _createBody (first: Buffer): Buffer | Readable {
    if (this._isBodyEnded) {
      return this._queuedBody.length === 0 ? first : Buffer.concat([first, ...this._queuedBody])
    }
    const body = new Readable({
      highWaterMark: FLOW_WINDOW_BYTES,
      read: () => this._events.onBodyDrain()
    })
    if (first.length > 0) body.push(first)
    for (const chunk of this._queuedBody) body.push(chunk)
    this._queuedBody = []
    body.on('error', () => undefined)
    this._body = body
    return body
  }

  private _refuse (reason: FailureReason, retryAfterMs: number): void {
    if (this._hasEnded) return
    this._finish()
    this._events.onFailure({ reason, isNotRun: true, retryAfterMs }, this._target.gate.load)
  }

  private _fail (reason: FailureReason): void {
    if (this._hasEnded) return
    this._finish(true)
    this._controller?.abort(new Error(reason))
    this._events.onFailure({ reason, isNotRun: !this._hasStarted, retryAfterMs: 0 }, this._target.gate.load)
  }

  private _finish (isAborted = false): void {
    this._hasEnded = true
    this._deadline?.dispose()
    this._body?.destroy()
    // A target learns a moment later that a call was given up; until then the call holds its slot.
    if (isAborted && this._hasStarted) this._clock.schedule(ABORT_GRACE_MS, () => this._ticket.release())
    // The ticket is missing only while acquire itself refuses the call.
    else this._ticket?.release()
    this._onFinished()
  }
}
