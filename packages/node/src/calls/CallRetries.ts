/**
 * Retry policy of one call: limits on attempts, and the retry budget of its service.
 */
import { CallClass } from '@lagoonswitch/schema'
import type { RetryBudget } from '@lagoonswitch/traffic'
import type { IRoutePart } from '../routing/RouteTable.js'
import type { ICallContext } from './CallContext.js'
import type { ICallHead } from './CallHead.js'
import type { FailureReason, ICallFailure } from './CallTypes.js'

/** Maximum number of attempts of one call, including those that no target received; the maximum of the route counts only runs. */
const MAX_SENDS = 6
const MIN_SERVER_ERROR_STATUS = 500
const FINAL_REASONS = new Set<FailureReason>(['deadline', 'cancelled'])
/** Failures before the target received the request; these attempts cost it nothing. */
const UNDELIVERED_REASONS = new Set<FailureReason>([
  'no-target', 'draining', 'unreachable', 'connect', 'queue-full', 'shed', 'deadline-queue', 'no-spare', 'no-budget',
  'link-silent', 'needed-refused'
])
/** Refusals for lack of room at a target or at the services that it calls; another target may be tried. */
const QUEUE_REASONS = new Set<FailureReason>(['queue-full', 'shed', 'deadline-queue', 'needed-refused'])
/** Maximum number of queues that may refuse one call; calls of the first class may try more, since other calls wait for them. */
const MAX_QUEUE_REFUSALS = 2
const MAX_QUEUE_REFUSALS_FIRST_CLASS = 4

/** Counts the attempts of one call and decides on retries. */
export class CallRetries {
  private _queueRefusals = 0
  /** Attempts whose request reached the target. */
  private _deliveries = 0
  /** Attempts so far, and those of them that the target may have run. */
  sends = 0
  runs = 0

  /**
   * @param _context - shared by all calls
   * @param _head - of the call
   * @param _part - service that the call was routed to
   */
  constructor (
    private readonly _context: ICallContext, private readonly _head: ICallHead, private readonly _part: IRoutePart
  ) {}

  get budget (): RetryBudget {
    return this._context.getRetryBudget(this._part)
  }

  /** True when a target has received the call before, or when a repeated run makes it. */
  get isRepeat (): boolean {
    return this._deliveries > 0 || this._head.isOfRepeat
  }

  /** Records the call in the retry budget, before its first attempt. */
  recordCall (): void {
    if (this._head.parentId !== '' || this._head.depth > 0) this._context.recordCalledService(this._part)
    if (!this._head.isOfRepeat) {
      this.budget.recordCall()
      return
    }
    this.budget.recordCallOfRetry()
    this._context.metrics.count('calls_of_repeats_total', this._part.service)
  }

  /** Records an error response that is discarded because the call is retried. */
  recordFailedResponse (): void {
    this.runs++
    this._deliveries++
  }

  /** Records a failed attempt. */
  recordFailure ({ reason, isNotRun }: ICallFailure): void {
    if (!isNotRun) this.runs++
    if (!isUndelivered(reason, isNotRun)) this._deliveries++
    if (QUEUE_REASONS.has(reason)) this._queueRefusals++
  }

  /**
   * Tells whether the call may be retried after an error response. The retry budget is not checked here.
   * @param status - HTTP status of the response
   * @param isRepeatDenied - true when a nested call of the run was denied a retry by its budget
   * @returns true when the response may be discarded and the call retried
   */
  canRetryResponse (status: number, isRepeatDenied: boolean): boolean {
    const isRetryable = status >= MIN_SERVER_ERROR_STATUS && this._canRetryAfterRun() &&
      this.runs + 1 < this._head.route.maxAttempts && this._hasSendsLeft()
    if (isRetryable && isRepeatDenied) this._reportDenied('called-service')
    return isRetryable && !isRepeatDenied
  }

  /**
   * Decides whether to retry after a failure, and spends retry budget if so. A retry is free when the target never received the
   * request, so that targets that are leaving do not use up the budget.
   * @param failure - of the last attempt
   * @param remainingMs - time left for the call in milliseconds
   * @returns true when the call is to be retried
   */
  authorizeRetry ({ reason, isNotRun }: ICallFailure, remainingMs: number): boolean {
    const isRetryable = isNotRun || this._canRetryAfterRun()
    if (!isRetryable || FINAL_REASONS.has(reason) || !this._hasSendsLeft()) return false
    const maxQueueRefusals = this._head.callClass === CallClass.CALL_CLASS_FIRST ? MAX_QUEUE_REFUSALS_FIRST_CLASS : MAX_QUEUE_REFUSALS
    if (QUEUE_REASONS.has(reason) && this._queueRefusals >= maxQueueRefusals) return false
    if (isUndelivered(reason, isNotRun)) return true
    // A hung call has used up much of its time; a run that can't end in the rest would only cost budget and a slot.
    if (reason === 'hung' && this._context.pool.isTimeTooShort(this._head.route.key, remainingMs)) return false
    return this.spendBudget(reason)
  }

  /**
   * Spends retry budget for one retry, and reports a denial.
   * @param reason - of the retry
   * @returns false when the retry budget of the service is used up
   */
  spendBudget (reason: string): boolean {
    if (this.budget.spend()) return true
    this._context.reportRepeatDenied(this._head.parentId)
    this._reportDenied(reason)
    return false
  }

  private _reportDenied (reason: string): void {
    this._context.metrics.count('retries_denied_total', reason)
    this._context.log.info('repeat_denied', {
      call: this._head.callId, service: this._part.service, reason, repeats_in_window: this.budget.countRetries()
    })
  }

  /** Only the first call of a chain is retried after it may have run; at any depth a call that was not run may be retried. */
  private _canRetryAfterRun (): boolean {
    return this._head.route.isRetryable && this._head.depth === 0
  }

  private _hasSendsLeft (): boolean {
    return this.sends < MAX_SENDS && this.runs < this._head.route.maxAttempts
  }
}

/** Tells whether an attempt ended before the target received the request. */
function isUndelivered (reason: FailureReason, isNotRun: boolean): boolean {
  return isNotRun && UNDELIVERED_REASONS.has(reason)
}
