/**
 * Admission of one call by the usage cap of its account.
 */
import type { ICapDecision, ICapPermit, ICapWaiter } from '@lagoonswitch/traffic'
import type { ICallContext } from '../calls/CallContext.js'
import type { RefusalReason } from '../calls/Refusal.js'

/** Called when a call is refused, with the reason and the time until a token is expected in milliseconds. */
export type OnRefused = (reason: RefusalReason, retryAfterMs: number) => void

/** Requests admission once, and gives the token back if the call doesn't run. */
export class CallAdmission {
  private _permit: ICapPermit | undefined
  private _waiter: ICapWaiter | undefined

  /**
   * @param _context - shared by all calls
   * @param _account - name of an account with a cap
   */
  constructor (private readonly _context: ICallContext, private readonly _account: string) {}

  /**
   * Requests admission; one of the callbacks is called, now or later.
   * @param onAdmitted - called if the call may run
   * @param onRefused - called if it may not
   */
  request (onAdmitted: () => void, onRefused: OnRefused): void {
    const { caps } = this._context
    const result = caps.admit(this._account, decision => this._handleDecision(decision, onAdmitted, onRefused))
    if ('kind' in result) this._handleDecision(result, onAdmitted, onRefused)
    else this._waiter = result
  }

  /** Gives the token back, or ends the wait for it. */
  giveBack (): void {
    if (this._waiter !== undefined) this._waiter.isDone = true
    if (this._permit !== undefined) this._context.caps.returnPermit(this._permit)
    this._permit = undefined
  }

  private _handleDecision ({ kind, source, waitMs }: ICapDecision, onAdmitted: () => void, onRefused: OnRefused): void {
    if (kind !== 'admitted') {
      onRefused(kind === 'refused' ? 'usage-cap' : 'cap-undecided', waitMs)
      return
    }
    this._permit = { account: this._account, source, takenMs: this._context.clock.readMonotonicMs() }
    onAdmitted()
  }
}
