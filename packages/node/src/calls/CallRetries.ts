/**
 * Whether a call may be sent again: how often it was sent and has run, and the budget of its service.
 */
import { CallClass } from '@lagoonswitch/schema'
import type { RetryBudget } from '../routing/RetryBudget.js'
import type { IRoutePart } from '../routing/RouteTable.js'
import type { ICallContext } from './CallContext.js'
import type { ICallHead } from './CallHead.js'
import type { FailureReason, ICallFailure } from './CallTypes.js'

/** Attempts of one call that may fail before a target has the request. */
const MAX_SENDS = 6
const MIN_SERVER_ERROR_STATUS = 500
const FINAL_REASONS = new Set<FailureReason>(['deadline', 'cancelled'])
/** Failures before the request reached the target, which cost it nothing. */
const UNDELIVERED_REASONS = new Set<FailureReason>([
  'no-target', 'draining', 'unreachable', 'connect', 'queue-full', 'shed', 'deadline-queue', 'no-spare', 'no-budget'
])
/** Refusals by a queue after which another target may be asked. */
const QUEUE_REASONS = new Set<FailureReason>(['queue-full', 'shed', 'deadline-queue'])
/** Targets that one call may ask for a place in their queues; those of the first class, which others wait for, ask more. */
const MAX_QUEUE_REFUSALS = 2
const MAX_QUEUE_REFUSALS_FIRST_CLASS = 4

/** Counts the attempts of one call. */
export class CallRetries {
  private _queueRefusals = 0
  /** Attempts that reached their target. */
  private _deliveries = 0
  /** Attempts so far, and those among them that may have run. */
  sends = 0
  runs = 0

  /**
   * @param _context - what all calls share
   * @param _head - of the call
   * @param _part - the service that the call is for
   */
  constructor (
    private readonly _context: ICallContext, private readonly _head: ICallHead, private readonly _part: IRoutePart
  ) {}

  get budget (): RetryBudget {
    return this._context.getRetryBudget(this._part)
  }

  /** True when the next attempt is not the first one that a target gets, or when a repeated run makes the call. */
  get isRepeat (): boolean {
    return this._deliveries > 0 || this._head.isOfRepeat
  }

  /** Notes the call itself, before its first attempt. */
  recordCall (): void {
    if (this._head.parentId !== '' || this._head.depth > 0) this._context.recordCalledService(this._part)
    if (!this._head.isOfRepeat) {
      this.budget.recordCall()
      return
    }
    this.budget.recordRepeat()
    this._context.metrics.count('calls_of_repeats_total', this._part.service)
  }

  /** Notes an answer in whose place the call is sent again. */
  recordFailedResponse (): void {
    this.runs++
    this._deliveries++
  }

  /** Notes a failed attempt. */
  recordFailure ({ reason, isNotRun }: ICallFailure): void {
    if (!isNotRun) this.runs++
    if (!isUndelivered(reason, isNotRun)) this._deliveries++
    if (QUEUE_REASONS.has(reason)) this._queueRefusals++
  }

  /**
   * @param status - of an answer
   * @param isRepeatDenied - a call that the run made found no budget for its repeat
   * @returns true when the call may run again in its place, budget aside
   */
  canRetryResponse (status: number, isRepeatDenied: boolean): boolean {
    const isRetryable = status >= MIN_SERVER_ERROR_STATUS && this._canRetryAfterRun() &&
      this.runs + 1 < this._head.route.maxAttempts && this._hasSendsLeft()
    if (isRetryable && isRepeatDenied) this._reportDenied('called-service')
    return isRetryable && !isRepeatDenied
  }

  /**
   * Decides on a repeat after a failure and spends the budget for it, unless the attempt cost its target nothing: a leaving
   * target must not use up the budget.
   * @param failure - of the last attempt
   * @returns true when the call is to be sent again
   */
  authorizeRetry ({ reason, isNotRun }: ICallFailure): boolean {
    const isRetryable = isNotRun || this._canRetryAfterRun()
    if (!isRetryable || FINAL_REASONS.has(reason) || !this._hasSendsLeft()) return false
    const maxQueueRefusals = this._head.callClass === CallClass.CALL_CLASS_FIRST ? MAX_QUEUE_REFUSALS_FIRST_CLASS : MAX_QUEUE_REFUSALS
    if (QUEUE_REASONS.has(reason) && this._queueRefusals >= maxQueueRefusals) return false
    if (isUndelivered(reason, isNotRun)) return true
    return this.spendBudget(reason)
  }

  /**
   * @param reason - of the repeat
   * @returns false when the budget of the service is used up
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
      call: this._head.callId, service: this._part.service, reason, repeats_in_window: this.budget.countRepeats()
    })
  }

  /** Only the first layer of a chain repeats what may have run; every layer may repeat what was not run. */
  private _canRetryAfterRun (): boolean {
    return this._head.route.isRetryable && this._head.depth === 0
  }

  private _hasSendsLeft (): boolean {
    return this.sends < MAX_SENDS && this.runs < this._head.route.maxAttempts
  }
}

/** Tells whether an attempt ended before its target had the request. */
function isUndelivered (reason: FailureReason, isNotRun: boolean): boolean {
  return isNotRun && UNDELIVERED_REASONS.has(reason)
}
