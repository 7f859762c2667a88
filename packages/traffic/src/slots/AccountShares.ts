/**
 * How client accounts of one class share the slots of a target.
 */

/** Slots that an account may be ahead of the others, so that it is not locked out for long by calls it made while few others waited. */
const MAX_LEAD = 4
/** Accounts whose lead is kept; beyond that all leads are forgotten. */
const MAX_ACCOUNTS = 1_024
/**
 * Lowest weight of an account, relative to the mean. In the model of AccountCompetition.test.ts, with one class and an overload by 1.8,
 * the account served least gets 0.24 times the share of all with 0.25, since it waits too long for its next turn, and 0.54 with 0.5.
 */
const MIN_WEIGHT = 0.5
/**
 * Weight of an account as a power of its waiting calls, where no account has a declared rate. In the model of
 * AccountCompetition.test.ts, with one class and an overload by 1.8, the account with a quarter of all calls is served 0.32 times as often
 * as all with equal weights, and 0.42 times with these. With 1 an account would gain by sending more.
 */
const WEIGHT_EXPONENT = 0.5

/**
 * Looks up the share of slots that an account is to get.
 * @param account - name of the account; empty for calls without one
 * @returns its weight relative to the mean of all accounts, or undefined if the weights are not declared
 */
export type AccountWeightLookup = (account: string) => number | undefined

/**
 * Start-time fair queueing of accounts. The finish time of an account is kept only while it is ahead of the virtual time; an account
 * that has not waited for a while has neither credit nor debt.
 */
export class AccountShares {
  private readonly _finishTimes = new Map<string, number>()
  private _virtualTime = 0

  /** @param _findWeight - declared weights, looked up at each decision; without it accounts are weighed by their waiting calls */
  constructor (private readonly _findWeight: AccountWeightLookup = () => undefined) {}

  /** True while an account is ahead of the others. */
  get hasLeads (): boolean {
    return this._finishTimes.size > 0
  }

  /**
   * Picks the account that gets the next slot, and charges it.
   * @param counts - number of waiting calls by account, in the order of the oldest call of each; not empty
   * @returns the account
   */
  takeAccount (counts: ReadonlyMap<string, number>): string {
    let best = ''
    let bestStart = Infinity
    for (const account of counts.keys()) {
      const start = this._getStart(account)
      if (start >= bestStart) continue
      best = account
      bestStart = start
    }
    this._virtualTime = bestStart
    this._charge(best, 1 / this._getWeight(best, counts.get(best) ?? 1))
    return best
  }

  /** Records a slot that no other call was waiting for. It is not charged, and lowers the leads by one slot in total. */
  recordUncontended (): void {
    if (this._finishTimes.size === 0) return
    this._virtualTime += 1 / this._finishTimes.size
    this._dropEnded()
  }

  /**
   * @param account - of an arriving call
   * @param counts - number of waiting calls by account, without the arriving call
   * @returns how many of the waiting calls are served before it
   */
  countAhead (account: string, counts: ReadonlyMap<string, number>): number {
    const own = counts.get(account) ?? 0
    const ownWeight = this._getWeight(account, own + 1)
    // The finish time of the arriving call when it is the last one of its account.
    const finish = this._getStart(account) + (own + 1) / ownWeight
    let ahead = own
    for (const [other, count] of counts) {
      if (other === account) continue
      const share = (finish - this._getStart(other)) * this._getWeight(other, count)
      ahead += Math.min(count, Math.max(0, Math.floor(share)))
    }
    return ahead
  }

  private _getWeight (account: string, waitingCalls: number): number {
    const declared = this._findWeight(account)
    return declared === undefined ? Math.max(1, waitingCalls) ** WEIGHT_EXPONENT : Math.max(MIN_WEIGHT, declared)
  }

  private _getStart (account: string): number {
    return Math.max(this._virtualTime, this._finishTimes.get(account) ?? 0)
  }

  private _charge (account: string, cost: number): void {
    if (this._finishTimes.size >= MAX_ACCOUNTS) this._finishTimes.clear()
    this._finishTimes.set(account, Math.min(this._virtualTime + MAX_LEAD, this._getStart(account) + cost))
    this._dropEnded()
  }

  private _dropEnded (): void {
    for (const [account, finish] of this._finishTimes) {
      if (finish <= this._virtualTime) this._finishTimes.delete(account)
    }
  }
}
