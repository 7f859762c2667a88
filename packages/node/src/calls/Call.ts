/**
 * One call from a caller: validation, the claim of its idempotency key, attempts, and the response.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { IDisposable } from '@lagoonswitch/common'
import type { RecordedAnswer } from '@lagoonswitch/schema'
import { CallAdmission } from '../caps/CallAdmission.js'
import { CallClaim } from '../claims/CallClaim.js'
import type { ITargetState } from '@lagoonswitch/traffic'
import { Attempt } from './Attempt.js'
import { createAttemptRequest } from './AttemptRequest.js'
import { AttemptStop } from './AttemptStop.js'
import { CallBody } from './CallBody.js'
import type { ICallContext } from './CallContext.js'
import { computeObjectiveLeftMs, hasBody, readCallHead, type ICallHead } from './CallHead.js'
import { CallRetries } from './CallRetries.js'
import { CallReport } from './CallReport.js'
import { isFinalStatus, type ICallEvents, type ICallFailure, type ICallRequest, type ITargetLoad } from './CallTypes.js'
import { REPEATED_HEADER } from './Headers.js'
import { TargetPicker } from './TargetPicker.js'
import { CLAIM_REFUSALS, sendRefusal, type IRefusal, type RefusalReason, type RunState } from './Refusal.js'

const MAX_BUFFERED_BODY_BYTES = 16_384
const RETRY_AFTER_MS = 1_000
/** Time after which a call that was to be withdrawn counts as received by its target. */
const WITHDRAWAL_TIMEOUT_MS = 250

/** The connection of the caller, as far as a call has to know of it. */
export interface ICallConnection {
  /** True while a later call on the connection has been started, whose response must not be lost. */
  readonly hasStartedBehind: boolean
  /** Called before the response that closes the connection is sent. */
  onClosing (): void
  /** Called once, at the end of the call. */
  onDone (): void
}

/** Handles one call. The data path uses plain callbacks to keep the overhead per call low. */
export class Call implements ICallEvents {
  private readonly _startedMs: number
  /** Set by {@link _readHead}, which runs before everything that uses it. */
  private _head!: ICallHead
  private _picker!: TargetPicker
  private _retries!: CallRetries
  private _stop!: AttemptStop
  private readonly _report: CallReport
  private readonly _body: CallBody
  private _deadlineMs = 0
  private _attempt: Attempt | undefined
  /** Target picked in advance for the retry after an error response. */
  private _retryTarget: ITargetState | undefined
  private _lastFailure: ICallFailure | undefined
  private readonly _claim: CallClaim
  /** Undefined for calls whose account has no cap. */
  private _admission: CallAdmission | undefined
  private _deadlineTimer: IDisposable | undefined
  private _hasResponseHead = false
  private _status = 0
  /** Owner whose running calls include this one; undefined until it is admitted. */
  private _owner: string | undefined
  /** Response bytes that wait in the write buffer of the caller's connection. */
  private _unacknowledgedBytes = 0
  private _isWithdrawn = false
  private _isBodyTooLarge = false
  /** True when a target was skipped because the call could not end there before a graceful stop cuts it. */
  private _hasSkippedTarget = false
  /** True once the key of the account has been withdrawn; no target receives the call from then on. */
  private _isKeyWithdrawn = false
  /** Ends the nested call at the run that makes this call; undefined when no target of this VM makes it. */
  private _endNestedCall: (() => void) | undefined
  private _isDone = false
  private _isCallerGone = false
  private readonly _onCallerEnd = (): void => this.handleCallerClose()

  constructor (
    private readonly _context: ICallContext,
    private readonly _request: IncomingMessage,
    private readonly _response: ServerResponse,
    private readonly _connection: ICallConnection
  ) {
    this._startedMs = _context.clock.readMonotonicMs()
    this._report = new CallReport(_context, _context.dialect.readCallId(_request.headers))
    this._body = new CallBody(_request)
    this._claim = new CallClaim(_context.claims, _context.settings.node.answerBytes)
    _response.on('close', this._onCallerEnd)
    // 'close' is emitted one event loop turn after 'end'; the call could have been sent to a target by then.
    _request.socket.on('end', this._onCallerEnd)
    _request.on('aborted', this._onCallerEnd)
    _request.on('error', () => undefined)
    _response.on('error', () => undefined)
  }

  /** Validates the call and sends it. */
  start (): void {
    if (this._isDone || !this._readHead() || !this._acquireOwnerSlot()) return
    this._deadlineTimer = this._context.clock.schedule(this._getRemainingMs(), () => this._handleDeadline())
    const { account } = this._head
    if (account === '' || !this._context.caps.isCapped(account)) {
      this._receiveBody()
      return
    }
    this._admission = new CallAdmission(this._context, account)
    this._admission.request(() => this._receiveBody(), (reason, retryAfterMs) => this._refuse(reason, 'not-run', retryAfterMs))
  }

  /** During a graceful stop, schedules the withdrawal of an attempt that would start too late to end before the process does. */
  applyStop (): void {
    if (!this._isDone && this._attempt !== undefined) this._stop.schedule(this._attempt.target, () => this._withdraw())
  }

  /** Withdraws the call if its key is no longer held, unless a target has received it; a run goes on. */
  applyAccounts (): void {
    if (this._isDone || this._isKeyWithdrawn || (this._head?.keyDigest ?? '') === '') return
    if (this._context.getAccounts().isHeld(this._head.keyDigest)) return
    this._isKeyWithdrawn = true
    if (this._attempt === undefined) this._refuseForWithdrawnKey()
    else this._attempt.handle?.withdraw()
  }

  /** Ends the call because the process ends. */
  cut (): void {
    if (this._isDone) return
    if (this._hasResponseHead) this._cutResponse('process-draining')
    else this._refuse('process-draining', this._attempt === undefined ? 'not-run' : 'unknown', RETRY_AFTER_MS)
  }

  /** Ends the call without a response, since an earlier response closes the connection. */
  drop (): void {
    if (this._isDone) return
    this._isCallerGone = true
    this._attempt?.cancel()
    this._finish('dropped', 'connection-closing')
  }

  /** Ends the call after its caller has closed the connection. */
  handleCallerClose (): void {
    if (this._isDone || this._isCallerGone) return
    this._isCallerGone = true
    // A claimed call continues, so that a later call with the same key gets the recorded answer.
    if (this._claim.isHeld && this._body.isComplete) return
    this._attempt?.cancel()
    this._finish('caller-gone', 'closed')
  }

  onHead (status: number, headers: readonly string[], { isRepeatDenied }: ITargetLoad): void {
    if (this._isDone) return
    if (this._prepareResponseRetry(status, isRepeatDenied)) {
      this._attempt?.cancel()
      this._retries.recordFailedResponse()
      this._report.reportRetry('answer', this._attempt?.target)
      this._scheduleSend()
      return
    }
    this._hasResponseHead = true
    this._status = status
    if (this._head.route.isBulkBody && this._attempt !== undefined) this._attempt.requestBytes = this._body.readBytes
    this._claim.recordHead(status, headers)
    if (this._isCallerGone) return
    this._response.writeHead(status, headers as string[])
  }

  onData (chunk: Buffer): void {
    if (this._isDone) return
    this._claim.recordChunk(chunk)
    if (this._isCallerGone || this._response.write(chunk)) {
      this._attempt?.handle?.acknowledge(chunk.length)
      return
    }
    if (this._unacknowledgedBytes === 0) this._response.once('drain', () => this._acknowledge())
    this._unacknowledgedBytes += chunk.length
  }

  onEnd (): void {
    if (this._isDone) return
    this._claim.settleAnswered()
    this._finish('answered')
    if (!this._isCallerGone) this._response.end()
    this._body.discard(this._context.clock, this._getRemainingMs())
  }

  onFailure (failure: ICallFailure): void {
    if (this._isDone) return
    if (this._hasResponseHead) {
      this._cutResponse(failure.reason)
      return
    }
    this._retries.recordFailure(failure)
    if (this._isKeyWithdrawn && failure.isNotRun) {
      this._refuseForWithdrawnKey()
      return
    }
    if (this._isWithdrawn && failure.isNotRun) {
      if (this._isBodyTooLarge) this._refuse('body-too-large', 'not-run', 0)
      else this._refuseForStop()
      return
    }
    if (this._canSendAgain() && this._retries.authorizeRetry(failure, this._getRemainingMs())) {
      this._lastFailure = failure
      this._report.reportRetry(failure.reason, this._attempt?.target)
      this._scheduleSend()
      return
    }
    this._refuse(failure.reason, 'not-run', failure.retryAfterMs)
  }

  onBodyDrain (): void {
    this._body.resume()
  }

  private _readHead (): boolean {
    const head = readCallHead(this._context, this._request)
    if (head.err) return this._refuseWith(head.val)
    this._head = head.val
    this._picker = new TargetPicker(this._context, head.val)
    this._retries = new CallRetries(this._context, head.val, this._picker.part)
    this._endNestedCall = this._context.startNestedCall(head.val.parentId)
    this._report.route = head.val.route.key
    this._report.account = head.val.account
    if (head.val.route.isBulkBody) this._report.body = this._body
    this._report.retries = this._retries
    this._deadlineMs = this._startedMs + head.val.timeoutMs
    this._stop = new AttemptStop(this._context, head.val.route.key, this._deadlineMs)
    return true
  }

  private _acquireOwnerSlot (): boolean {
    const { owner, limits } = this._head.route.entry
    if (!this._context.ownerCallLimiter.tryAcquire(owner, limits.owner_slots)) return this._refuse('owner-limit', 'not-run', RETRY_AFTER_MS)
    this._owner = owner
    return true
  }

  private _receiveBody (): void {
    if (!hasBody(this._request)) {
      this._body.isComplete = true
      this._claimOrSend()
      return
    }
    const { isKeyed, isBulkBody } = this._head.route
    // The stated length has been checked; a body in chunks states none.
    if (isBulkBody) this._body.limit(this._context.getCallerLimits()?.bodyBytes ?? Infinity, () => this._handleTooLargeBody())
    this._body.buffer(isKeyed ? this._context.settings.node.keyedBodyBytes : MAX_BUFFERED_BODY_BYTES, () => {
      if (isKeyed && !this._body.isComplete) this._refuse('body-too-large', 'not-run', 0)
      else this._claimOrSend()
    })
  }

  private _claimOrSend (): void {
    if (this._isDone) return
    this._retries.recordCall()
    if (this._head.route.isKeyed) {
      void this._claimKey()
      return
    }
    this._scheduleSend()
  }

  /** Sends after two immediates: on a busy thread the close of the caller's connection is read one turn after its request or a failure. */
  private _scheduleSend (): void {
    setImmediate(() => setImmediate(() => {
      if (this._isDone) return
      if (this._getRemainingMs() > 0) this._send()
      else this._refuse('deadline', 'not-run', 0)
    }))
  }

  private async _claimKey (): Promise<void> {
    const { method, url } = this._request
    const fingerprint = createHash('sha256').update(`${method} ${url}\n`).update(this._body.bytes).digest()
    const { route, account, key } = this._head
    // No account is given the recorded answer to a call of another one.
    const scope = account === '' ? route.key : `${route.key}\n${account}`
    const result = await this._context.claims.claim(scope, key, fingerprint, this._getRemainingMs())
    this._context.metrics.count('claims_total', result.kind)
    if (result.kind === 'granted') this._claim.hold(result.claim)
    if (this._isDone) {
      this._claim.settleReleased()
      return
    }
    switch (result.kind) {
      case 'granted':
        this._send()
        return
      case 'answered':
        this._sendRecordedAnswer(result.answer)
        return
      default:
        this._refuseWith(CLAIM_REFUSALS[result.kind])
    }
  }

  private _send (): void {
    if (this._isKeyWithdrawn) {
      this._refuseForWithdrawnKey()
      return
    }
    const target = this._retryTarget ?? this._pickTarget()
    this._retryTarget = undefined
    if (target === undefined) {
      this._refuseWithoutTarget()
      return
    }
    this._picker.markTried(target)
    this._retries.sends++
    this._report.reportSend(target, this._getRemainingMs())
    const attempt = new Attempt(this._context, this._head.route, target, this)
    this._attempt = attempt
    attempt.handle = this._context.findOpener(target.record.linkAddress)
      .open(this._createRequest(target), attempt)
    this.applyStop()
    if (!this._isDone) this._body.stream(() => this._attempt?.handle)
  }

  private _withdraw (): void {
    this._isWithdrawn = true
    this._attempt?.handle?.withdraw()
  }

  private _refuseForStop (): void {
    this._refuse('process-draining', 'not-run', this._stop.computeRetryAfterMs())
  }

  /** An earlier attempt may have run; the call must not seem refused before it ran then. */
  private _refuseForWithdrawnKey (): void {
    if (this._retries.runs > 0) {
      this._refuse(this._lastFailure?.reason ?? 'broken', 'unknown', 0)
      return
    }
    this._context.metrics.count('authorizations_total', 'credentials-withdrawn')
    if (this._context.isCatalogueCurrent()) this._refuse('credentials-withdrawn', 'not-run', 0)
    else this._refuse('accounts-not-current', 'not-run', RETRY_AFTER_MS)
  }

  /** Skips targets where the call could not end before a graceful stop cuts it. */
  private _pickTarget (): ITargetState | undefined {
    for (;;) {
      const target = this._picker.pickTarget(this._getObjectiveLeftMs(), this._lastFailure?.reason)
      if (target === undefined || !this._stop.isTooLateToStart(target)) return target
      this._hasSkippedTarget = true
      this._picker.markTried(target)
    }
  }

  private _getObjectiveLeftMs (): number {
    return computeObjectiveLeftMs(this._head, this._context.clock.readMonotonicMs() - this._startedMs)
  }

  /** Refuses a call that has no target left, with the last failure as reason, or the graceful stop if it caused a target to be skipped. */
  private _refuseWithoutTarget (): void {
    if (this._hasSkippedTarget) {
      this._refuseForStop()
      return
    }
    const { reason, retryAfterMs } = this._lastFailure ?? { reason: 'no-target' as const, retryAfterMs: RETRY_AFTER_MS }
    this._refuse(reason, 'not-run', retryAfterMs)
  }

  private _createRequest (target: ITargetState): ICallRequest {
    const { limits, owner } = this._picker.part.serviceEntry
    return createAttemptRequest({
      service: this._picker.part.service,
      owner,
      limits,
      target,
      method: this._request.method,
      path: this._request.url,
      head: this._head,
      body: this._body,
      remainingMs: this._stop.limitRemainingMs(this._getRemainingMs()),
      objectiveMs: this._getObjectiveLeftMs(),
      isRepeat: this._retries.isRepeat
    }, this._context.pool)
  }

  private _canSendAgain (): boolean {
    return this._body.isComplete && this._getRemainingMs() > 0 && !this._isCallerGone && !this._isWithdrawn && !this._isKeyWithdrawn
  }

  private _prepareResponseRetry (status: number, isRepeatDenied: boolean): boolean {
    if (!this._retries.canRetryResponse(status, isRepeatDenied) || !this._canSendAgain()) return false
    const retryTarget = this._pickTarget()
    if (retryTarget === undefined || !this._retries.spendBudget('answer')) return false
    this._retryTarget = retryTarget
    return true
  }

  private _acknowledge (): void {
    const bytes = this._unacknowledgedBytes
    this._unacknowledgedBytes = 0
    this._attempt?.handle?.acknowledge(bytes)
  }

  private _sendRecordedAnswer (answer: RecordedAnswer | undefined): void {
    if (answer === undefined || !isFinalStatus(answer.status)) {
      this._refuse('key-unknown', 'unknown', 0)
      return
    }
    this._finish('repeated')
    this._response.writeHead(answer.status, [...answer.headers, REPEATED_HEADER, 'true'])
    this._response.end(answer.body)
  }

  private _refuse (reason: RefusalReason, run: RunState, retryAfterMs: number): false {
    return this._refuseWith({ reason, run, retryAfterMs })
  }

  /** @returns false, so that checks can return it */
  private _refuseWith (refusal: IRefusal): false {
    if (this._isDone) return false
    const { reason } = refusal
    // If any attempt may have run, the call as a whole may have run.
    const run = refusal.run === 'not-run' && (this._report.retries?.runs ?? 0) > 0 ? 'unknown' : refusal.run
    if (run === 'not-run') this._claim.settleReleased()
    else this._claim.settleUnknown()
    this._attempt?.cancel()
    this._finish('refused', reason, run)
    this._context.metrics.count('refusals_total', reason)
    if (!this._isCallerGone) {
      const isStopping = this._context.getStop()?.isRefusing === true && !this._connection.hasStartedBehind
      const isClosing = isStopping || !this._request.complete
      if (isClosing) this._connection.onClosing()
      sendRefusal(this._response, { ...refusal, run }, isClosing, this._context.dialect)
    }
    return false
  }

  /** Ends a response of which a part has been sent; closing the connection shows the caller that it is incomplete. */
  private _cutResponse (reason: string): void {
    this._claim.settleUnknown()
    this._attempt?.cancel()
    this._finish('cut', reason)
    this._connection.onClosing()
    this._response.destroy()
  }

  /** Refuses a call whose body exceeds the limit as not run if no target has received it, which its node knows. */
  private _handleTooLargeBody (): void {
    if (this._isDone || this._hasResponseHead) return
    if (this._attempt?.handle === undefined) {
      this._refuse('body-too-large', 'not-run', 0)
      return
    }
    this._isBodyTooLarge = true
    this._context.clock.schedule(WITHDRAWAL_TIMEOUT_MS, () => {
      if (!this._isDone && !this._hasResponseHead) this._refuse('body-too-large', 'unknown', 0)
    })
    this._withdraw()
  }

  private _handleDeadline (): void {
    if (this._isDone || this._attempt !== undefined) return
    this._refuse('deadline', 'not-run', 0)
  }

  private _finish (outcome: string, reason = '', run = ''): void {
    this._isDone = true
    this._endNestedCall?.()
    if (run === 'not-run' || outcome === 'repeated' || (this._isCallerGone && this._attempt === undefined)) this._admission?.giveBack()
    this._request.socket.off('end', this._onCallerEnd)
    this._deadlineTimer?.dispose()
    if (this._owner !== undefined) this._context.ownerCallLimiter.release(this._owner)
    // Both are undefined when the head was refused.
    const stop = this._stop as AttemptStop | undefined
    stop?.dispose()
    const parentId = (this._head as ICallHead | undefined)?.parentId ?? ''
    if (parentId !== '') this._context.recordNestedCall(parentId, this._picker.part, run === 'not-run' ? reason : '')
    this._report.reportEnd({
      outcome,
      reason,
      run,
      status: this._status,
      tookMs: this._context.clock.readMonotonicMs() - this._startedMs,
      leftMs: this._deadlineMs === 0 ? undefined : this._getRemainingMs()
    }, this._attempt?.target)
    this._connection.onDone()
  }

  private _getRemainingMs (): number {
    return Math.max(0, Math.floor(this._deadlineMs - this._context.clock.readMonotonicMs()))
  }
}
