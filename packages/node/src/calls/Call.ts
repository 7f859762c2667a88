/**
 * One call from a caller: checks, the claim of its key, attempts, and the answer.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { IDisposable } from '@lagoonswitch/common'
import { CallClass, type RecordedAnswer } from '@lagoonswitch/schema'
import type { ClaimResult } from '../claims/ClaimsClient.js'
import { KeyHolder } from '../claims/KeyHolder.js'
import type { RetryBudget } from '../routing/RetryBudget.js'
import type { ITargetState } from '../routing/TargetPool.js'
import { Attempt } from './Attempt.js'
import type { ICallContext } from './CallContext.js'
import { hasBody, readCallHead, type ICallHead } from './CallHead.js'
import type { FailureReason, ICallEvents, ICallFailure, ICallRequest } from './CallTypes.js'
import { REPEATED_HEADER } from './Headers.js'
import { isSampled } from './CallSampling.js'
import { TargetPicker } from './TargetPicker.js'
import { sendRefusal, type IRefusal, type RefusalReason, type RunState } from './Refusal.js'

/** Attempts of one call that may fail before a target has the request. */
const MAX_SENDS = 6
const HELD_BODY_BYTES = 16_384
const RETRY_AFTER_MS = 1_000
const FIRST_SERVER_ERROR = 500
const FINAL_REASONS = new Set<FailureReason>(['deadline', 'cancelled'])
/** Failures before the request reached the target, which cost it nothing. */
const FREE_REASONS = new Set<FailureReason>([
  'no-target', 'draining', 'unreachable', 'connect', 'queue-full', 'shed', 'deadline-queue', 'no-spare'
])
/** Refusals by a queue after which another target may be asked. */
const QUEUE_REASONS = new Set<FailureReason>(['queue-full', 'shed', 'deadline-queue'])
/** Targets that one call may ask for a place in their queues; those of the first class, which others wait for, ask more. */
const MAX_QUEUES = 2
const MAX_QUEUES_FIRST = 4
/** Time left of an objective that is over; 0 would say that there is none. */
const OVER_MS = 1
const NO_BYTES = Buffer.alloc(0)
/** Name in the metrics for calls that no route matched. */
const NO_ROUTE = 'none'
const CLAIM_REFUSALS: Readonly<Record<UngrantedKind, IRefusal>> = {
  'in-progress': { reason: 'key-in-progress', run: 'run-earlier', retryAfterMs: RETRY_AFTER_MS },
  unknown: { reason: 'key-unknown', run: 'unknown', retryAfterMs: 0 },
  mismatch: { reason: 'key-mismatch', run: 'not-run', retryAfterMs: 0 },
  full: { reason: 'keys-full', run: 'not-run', retryAfterMs: RETRY_AFTER_MS },
  'no-quorum': { reason: 'no-quorum', run: 'not-run', retryAfterMs: RETRY_AFTER_MS }
}

type UngrantedKind = Exclude<ClaimResult['kind'], 'granted' | 'answered'>

/** Carries one call; plain callbacks on the way of the bytes, since every call passes here. */
export class Call implements ICallEvents {
  private readonly _startedMs: number
  /** Set by the first step; nothing else runs without it. */
  private _head!: ICallHead
  private _picker!: TargetPicker
  private _callId = ''
  private _routeKey = ''
  private _dueMs = 0
  /** Start of the body, kept so that it can be sent again. */
  private _body: Buffer = NO_BYTES
  private _isBodyHeld = false
  private _isStreaming = false
  private _attempt: Attempt | undefined
  /** Target that a repeat of a failing answer was decided for. */
  private _next: ITargetState | undefined
  /** Attempts so far, and those among them that may have run. */
  private _sends = 0
  private _runs = 0
  private _queues = 0
  private _lastFailure: ICallFailure | undefined
  private readonly _key: KeyHolder
  private _deadline: IDisposable | undefined
  /** Latest moment to begin at the target in a planned stop. */
  private _withdrawal: IDisposable | undefined
  private _hasHead = false
  private _status = 0
  /** Owner whose running calls count this one. */
  private _owner: string | undefined
  /** Answer bytes that wait in the caller's connection. */
  private _unacknowledged = 0
  private _isTraced = false
  private _isWithdrawn = false
  /** A target was passed over, since the call could not have ended there before a planned stop cuts it. */
  private _isBeginTooLate = false
  private _isDone = false
  private _isCallerGone = false
  private readonly _onCallerEnd = (): void => this._handleCallerClose()

  constructor (
    private readonly _context: ICallContext,
    private readonly _request: IncomingMessage,
    private readonly _response: ServerResponse,
    private readonly _onDone: () => void
  ) {
    this._startedMs = _context.clock.readMonotonicMs()
    this._key = new KeyHolder(_context.claims, _context.settings.node.answerBytes)
    _response.on('close', this._onCallerEnd)
    // The close follows a turn after the end is read; by then the call could have been sent on.
    _request.socket.on('end', this._onCallerEnd)
    _request.on('aborted', this._onCallerEnd)
    _request.on('error', () => undefined)
    _response.on('error', () => undefined)
  }

  /** Starts the call. */
  start (): void {
    if (!this._readHead() || !this._enterOwner()) return
    this._deadline = this._context.clock.schedule(this._getRemainingMs(), () => this._handleDeadline())
    if (!hasBody(this._request)) {
      this._isBodyHeld = true
      this._proceed()
      return
    }
    const limit = this._head.route.isKeyed ? this._context.settings.node.keyedBodyBytes : HELD_BODY_BYTES
    this._holdBody(limit)
  }

  /** Limits the time in which the call may begin at a target, so that it doesn't outlast its process. */
  applyStop (): void {
    const stop = this._context.getStop()
    if (stop === undefined || this._isDone || this._attempt === undefined) return
    const { clock } = this._context
    this._withdrawal?.dispose()
    const latestMs = stop.computeLatestBeginMs(this._context.pool.computeLongestRunMs(this._attempt.target, this._routeKey), this._dueMs)
    this._withdrawal = clock.schedule(Math.max(0, latestMs - clock.readMonotonicMs()), () => this._withdraw())
  }

  /** Ends the call, since its process ends. */
  cut (): void {
    if (this._isDone) return
    if (!this._hasHead) {
      this._refuse('process-draining', this._attempt === undefined ? 'not-run' : 'unknown', RETRY_AFTER_MS)
      return
    }
    this._key.settleUnknown()
    this._attempt?.cancel()
    this._finish('cut', 'process-draining')
    this._response.destroy()
  }

  onHead (status: number, headers: readonly string[]): void {
    if (this._isDone) return
    if (this._canRetryAnswer(status)) {
      this._attempt?.cancel()
      this._runs++
      this._noteRetry('answer')
      this._scheduleSend()
      return
    }
    this._hasHead = true
    this._status = status
    this._key.recordHead(status, headers)
    if (this._isCallerGone) return
    this._response.writeHead(status, headers as string[])
  }

  onData (chunk: Buffer): void {
    if (this._isDone) return
    this._key.recordChunk(chunk)
    if (this._isCallerGone || this._response.write(chunk)) {
      this._attempt?.handle?.acknowledge(chunk.length)
      return
    }
    if (this._unacknowledged === 0) this._response.once('drain', () => this._acknowledge())
    this._unacknowledged += chunk.length
  }

  onEnd (): void {
    if (this._isDone) return
    this._key.settleAnswered()
    this._finish('answered')
    if (!this._isCallerGone) this._response.end()
  }

  onFailure (failure: ICallFailure): void {
    if (this._isDone) return
    if (this._hasHead) {
      // A part of the answer is out; cutting the connection shows the caller that it isn't whole.
      this._key.settleUnknown()
      this._finish('cut', failure.reason)
      this._response.destroy()
      return
    }
    if (!failure.isNotRun) this._runs++
    if (this._isWithdrawn && failure.isNotRun) {
      this._refuseForStop()
      return
    }
    if (QUEUE_REASONS.has(failure.reason)) this._queues++
    if (this._canRetryFailure(failure)) {
      this._lastFailure = failure
      this._noteRetry(failure.reason)
      this._scheduleSend()
      return
    }
    this._refuse(failure.reason, 'not-run', failure.retryAfterMs)
  }

  private _noteRetry (reason: string): void {
    const { metrics, log } = this._context
    metrics.count('retries_total', reason)
    log.info('call_repeated', {
      call: this._callId,
      route: this._head.route.key,
      target: this._attempt?.target.record.targetId,
      reason,
      sends: this._sends,
      runs: this._runs,
      repeats_in_window: this._getBudget().countRepeats()
    })
  }

  private _getBudget (): RetryBudget {
    return this._context.getBudget(this._picker.part)
  }

  onBodyDrain (): void {
    this._request.resume()
  }

  private _readHead (): boolean {
    this._callId = this._context.dialect.readCallId(this._request.headers)
    const head = readCallHead(this._context, this._request)
    if (head.err) {
      const { reason, run, retryAfterMs, detail } = head.val
      return this._refuse(reason, run, retryAfterMs, detail)
    }
    this._head = head.val
    this._picker = new TargetPicker(this._context, head.val)
    this._routeKey = head.val.route.key
    this._isTraced = isSampled(this._callId)
    this._dueMs = this._startedMs + head.val.allowedMs
    return true
  }

  private _enterOwner (): boolean {
    const { owner, limits } = this._head.route.entry
    if (!this._context.owners.enter(owner, limits.owner_slots)) return this._refuse('owner-limit', 'not-run', RETRY_AFTER_MS)
    this._owner = owner
    return true
  }

  private _holdBody (limit: number): void {
    const chunks: Buffer[] = []
    let bytes = 0
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk)
      bytes += chunk.length
      if (bytes <= limit) return
      stop()
      this._request.pause()
      this._body = Buffer.concat(chunks)
      if (this._head.route.isKeyed) this._refuse('body-too-large', 'not-run', 0)
      else this._proceed()
    }
    const onEnd = (): void => {
      stop()
      this._body = chunks.length === 1 ? chunks[0] ?? NO_BYTES : Buffer.concat(chunks)
      this._isBodyHeld = true
      this._proceed()
    }
    const stop = (): void => {
      this._request.off('data', onData)
      this._request.off('end', onEnd)
    }
    this._request.on('data', onData)
    this._request.on('end', onEnd)
  }

  private _proceed (): void {
    if (this._isDone) return
    this._getBudget().recordCall()
    if (this._head.route.isKeyed) {
      void this._claimKey()
      return
    }
    this._scheduleSend()
  }

  /** After a busy moment the end of the caller's connection is read one turn behind its request, or behind a failure. */
  private _scheduleSend (): void {
    setImmediate(() => setImmediate(() => {
      if (this._isDone) return
      if (this._getRemainingMs() > 0) this._send()
      else this._refuse('deadline', 'not-run', 0)
    }))
  }

  private async _claimKey (): Promise<void> {
    const { method, url } = this._request
    const fingerprint = createHash('sha256').update(`${method} ${url}\n`).update(this._body).digest()
    const result = await this._context.claims.claim(
      this._head.route.key, this._head.key, fingerprint, this._getRemainingMs())
    this._context.metrics.count('claims_total', result.kind)
    if (result.kind === 'granted') this._key.hold(result.claim)
    if (this._isDone) {
      this._key.settleReleased()
      return
    }
    switch (result.kind) {
      case 'granted':
        this._send()
        return
      case 'answered':
        this._sendRecorded(result.answer)
        return
      default: {
        const { reason, run, retryAfterMs } = CLAIM_REFUSALS[result.kind]
        this._refuse(reason, run, retryAfterMs)
      }
    }
  }

  private _send (): void {
    const target = this._next ?? this._pickTarget()
    this._next = undefined
    if (target === undefined) {
      if (this._isBeginTooLate) this._refuseForStop()
      else this._refuseWithoutTarget()
      return
    }
    this._picker.markTried(target)
    this._sends++
    if (this._isTraced) this._reportSend(target)
    const attempt = new Attempt(this._context, this._head.route, target, this)
    this._attempt = attempt
    attempt.handle = this._context.findOpener(target.record.linkAddress)
      .open(this._createRequest(target), attempt)
    if (this._context.getStop() !== undefined) this.applyStop()
    if (!this._isBodyHeld && !this._isStreaming && !this._isDone) this._streamBody()
  }

  private _isTooLateToBegin (target: ITargetState): boolean {
    const stop = this._context.getStop()
    if (stop === undefined) return false
    const latestMs = stop.computeLatestBeginMs(this._context.pool.computeLongestRunMs(target, this._routeKey), this._dueMs)
    return this._context.clock.readMonotonicMs() >= latestMs
  }

  private _withdraw (): void {
    this._isWithdrawn = true
    this._attempt?.handle?.withdraw()
  }

  private _refuseForStop (): void {
    this._refuse('process-draining', 'not-run', this._context.getStop()?.computeRetryAfterMs(this._context.clock.readMonotonicMs()) ?? 0)
  }

  /** Targets where the call could not end before a planned stop cuts it are passed over. */
  private _pickTarget (): ITargetState | undefined {
    for (;;) {
      const target = this._picker.pickTarget(this._getObjectiveLeftMs(), this._lastFailure?.reason)
      if (target === undefined || !this._isTooLateToBegin(target)) return target
      this._isBeginTooLate = true
      this._picker.markTried(target)
    }
  }

  private _reportSend (target: ITargetState): void {
    const { record } = target
    this._context.log.info('call_sent', {
      call: this._callId,
      route: this._head.route.key,
      target: record.targetId,
      node: record.node,
      known_as: `${record.incarnation}.${record.sequence}`,
      failure_rate: target.failureRate,
      in_flight: target.inFlight,
      load_age_ms: target.getHintAgeMs(this._context.clock.readMonotonicMs()),
      send: this._sends,
      left_ms: this._getRemainingMs()
    })
  }

  private _getObjectiveLeftMs (): number {
    const { objectiveMs } = this._head.route
    if (objectiveMs === 0) return 0
    const passedMs = this._head.waitedMs + this._context.clock.readMonotonicMs() - this._startedMs
    return Math.max(OVER_MS, objectiveMs - passedMs)
  }

  /** With no target left to try, the caller learns why the last one failed. */
  private _refuseWithoutTarget (): void {
    const { reason, retryAfterMs } = this._lastFailure ?? { reason: 'no-target' as const, retryAfterMs: RETRY_AFTER_MS }
    this._refuse(reason, 'not-run', retryAfterMs)
  }

  private _createRequest (target: ITargetState): ICallRequest {
    const { targetId, version } = target.record
    const { service, serviceEntry: { limits, owner } } = this._picker.part
    return {
      service,
      version,
      targetId,
      method: this._request.method ?? 'GET',
      path: this._request.url ?? '/',
      headers: this._head.headers,
      remainingMs: this._computeHandedMs(),
      callClass: this._head.callClass,
      callId: this._head.callId,
      objectiveMs: this._getObjectiveLeftMs(),
      expectedMs: this._context.pool.computeExpectedMs(target, this._head.route.key),
      isRepeatable: this._head.route.isRepeatable,
      isSpareOnly: this._context.pool.isSpare(target, this._head.callClass),
      owner,
      body: this._body,
      isBodyComplete: this._isBodyHeld,
      slots: limits.slots,
      connections: limits.connections,
      queue: limits.queue
    }
  }

  /** A call that is sent in a planned stop has the time until its process ends, so that the target itself ends it. */
  private _computeHandedMs (): number {
    const leftMs = this._getRemainingMs()
    const stop = this._context.getStop()
    return stop === undefined ? leftMs : Math.min(leftMs, stop.computeHandedMs(this._context.clock.readMonotonicMs()))
  }

  /** The rest of a body that is too large to hold goes straight on and can't be sent twice. */
  private _streamBody (): void {
    this._isStreaming = true
    this._request.on('data', (chunk: Buffer) => {
      if (this._attempt?.handle?.sendBody(chunk) === false) this._request.pause()
    })
    this._request.on('end', () => this._attempt?.handle?.endBody())
    this._request.resume()
  }

  private _canSendAgain (): boolean {
    return this._isBodyHeld && this._sends < MAX_SENDS && this._runs < this._head.route.maxAttempts &&
      this._getRemainingMs() > 0 && !this._isCallerGone && !this._isWithdrawn
  }

  private _canRetryAnswer (status: number): boolean {
    const isRepeatable = status >= FIRST_SERVER_ERROR && this._head.route.isRepeatable && this._head.depth === 0 &&
      this._runs + 1 < this._head.route.maxAttempts && this._canSendAgain()
    if (!isRepeatable) return false
    const next = this._pickTarget()
    if (next === undefined || !this._spendBudget('answer')) return false
    this._next = next
    return true
  }

  /** Only the first layer of a chain repeats what may have run; every layer may repeat what was not run. */
  private _canRetryFailure ({ reason, isNotRun }: ICallFailure): boolean {
    const isRetryable = isNotRun || (this._head.route.isRepeatable && this._head.depth === 0)
    if (!isRetryable || FINAL_REASONS.has(reason) || !this._canSendAgain()) return false
    const maxQueues = this._head.callClass === CallClass.CALL_CLASS_FIRST ? MAX_QUEUES_FIRST : MAX_QUEUES
    if (QUEUE_REASONS.has(reason) && this._queues >= maxQueues) return false
    // These attempts cost the targets nothing, and a leaving target must not use up the budget.
    if (isNotRun && FREE_REASONS.has(reason)) return true
    return this._spendBudget(reason)
  }

  private _spendBudget (reason: string): boolean {
    if (this._getBudget().spend()) return true
    this._context.metrics.count('retries_denied_total', reason)
    this._context.log.info('repeat_denied', {
      call: this._callId, service: this._picker.part.service, reason, repeats_in_window: this._getBudget().countRepeats()
    })
    return false
  }

  private _acknowledge (): void {
    const bytes = this._unacknowledged
    this._unacknowledged = 0
    this._attempt?.handle?.acknowledge(bytes)
  }

  private _sendRecorded (answer: RecordedAnswer | undefined): void {
    if (answer === undefined) {
      this._refuse('key-unknown', 'unknown', 0)
      return
    }
    this._finish('repeated')
    this._response.writeHead(answer.status, [...answer.headers, REPEATED_HEADER, 'true'])
    this._response.end(answer.body)
  }

  /** @returns false, so that checks can return it */
  private _refuse (reason: RefusalReason, run: RunState, retryAfterMs: number, detail?: string): false {
    if (this._isDone) return false
    // One attempt that may have run is enough to make the whole call doubtful.
    if (run === 'not-run' && this._runs > 0) run = 'unknown'
    if (run === 'not-run') this._key.settleReleased()
    else this._key.settleUnknown()
    this._attempt?.cancel()
    this._finish('refused', reason, run)
    this._context.metrics.count('refusals_total', reason)
    if (!this._isCallerGone) {
      const isClosing = this._context.getStop()?.isRefusing === true || !this._request.complete
      sendRefusal(this._response, { reason, run, retryAfterMs, detail }, isClosing, this._context.dialect)
    }
    return false
  }

  private _handleDeadline (): void {
    if (this._isDone || this._attempt !== undefined) return
    this._refuse('deadline', 'not-run', 0)
  }

  private _handleCallerClose (): void {
    if (this._isDone || this._isCallerGone) return
    this._isCallerGone = true
    // A claimed call goes on, so that a repeat gets its answer.
    if (this._key.isHeld && this._isBodyHeld) return
    this._attempt?.cancel()
    this._finish('caller-gone', 'closed')
  }

  private _finish (outcome: string, reason = '', run = ''): void {
    this._isDone = true
    this._request.socket.off('end', this._onCallerEnd)
    this._deadline?.dispose()
    this._withdrawal?.dispose()
    if (this._owner !== undefined) this._context.owners.leave(this._owner)
    const tookMs = this._context.clock.readMonotonicMs() - this._startedMs
    this._context.metrics.count('calls_total', reason === '' ? outcome : reason)
    this._context.metrics.getLatencies('call_duration', 'route').record(this._routeKey === '' ? NO_ROUTE : this._routeKey, tookMs)
    if (outcome !== 'answered' || this._status >= FIRST_SERVER_ERROR || this._isTraced) this._reportEnd(outcome, reason, run, tookMs)
    this._onDone()
  }

  private _reportEnd (outcome: string, reason: string, run: string, tookMs: number): void {
    const fields = {
      call: this._callId,
      outcome,
      reason,
      run,
      status: this._status,
      route: this._routeKey,
      target: this._attempt?.target.record.targetId,
      sends: this._sends,
      runs: this._runs,
      took_ms: Math.round(tookMs),
      left_ms: this._dueMs === 0 ? undefined : this._getRemainingMs(),
      catalogue: this._context.getCatalogueVersion()
    }
    this._context.log.info('call_ended', fields)
  }

  private _getRemainingMs (): number {
    return Math.max(0, Math.floor(this._dueMs - this._context.clock.readMonotonicMs()))
  }
}
