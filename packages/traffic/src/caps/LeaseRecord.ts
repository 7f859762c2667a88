/**
 * What the leader knows of the lease of one node for one account.
 */

interface IGrant {
  readonly sequence: number
  readonly rate: number
  readonly burst: number
  readonly expiresMs: number
}

/** Weight of the latest report in the estimate of the demand. */
const REPORT_WEIGHT = 0.3
/** Demand beyond this multiple of the estimate, and this many calls per second, replaces it at once. */
const JUMP_FACTOR = 2
const JUMP_RATE = 4
/** Time without a report after which a node counts as having no demand: three reports. */
const DEMAND_VALIDITY_MS = 1_500
const MS_PER_SECOND = 1_000

/**
 * Demand and grants of one node for one account. Answers demand that moves between nodes while answers are delayed or lost: a grant
 * counts until a later one is confirmed or it has run out, so that the sum of what nodes may use is known without asking them.
 */
export class LeaseRecord {
  private _grants: IGrant[] = []
  private _demand = 0
  private _reportedMs = -Infinity
  private _countedRate = 0
  private _countedBurst = 0

  /** Largest rate that the node may be using. */
  get countedRate (): number {
    return this._countedRate
  }

  /** Largest burst that the node may be using. */
  get countedBurst (): number {
    return this._countedBurst
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns estimated demand in calls per second
   */
  getDemand (nowMs: number): number {
    return nowMs - this._reportedMs > DEMAND_VALIDITY_MS ? 0 : this._demand
  }

  /**
   * Records the calls of a report.
   * @param calls - calls that requested admission
   * @param intervalMs - time in which they came, in milliseconds
   * @param nowMs - current time in milliseconds
   */
  recordDemand (calls: number, intervalMs: number, nowMs: number): void {
    const reported = calls * MS_PER_SECOND / intervalMs
    const isJump = calls > 1 && reported > JUMP_FACTOR * this.getDemand(nowMs) + JUMP_RATE
    const known = this.getDemand(nowMs)
    this._demand = isJump ? reported : known + REPORT_WEIGHT * (reported - known)
    this._reportedMs = nowMs
  }

  /**
   * Adds a grant that may be in use from now on.
   * @param sequence - of the grant
   * @param rate - calls per second
   * @param burst - calls
   * @param expiresMs - time at which it has run out at the node, in milliseconds
   */
  addGrant (sequence: number, rate: number, burst: number, expiresMs: number): void {
    this._grants.push({ sequence, rate, burst, expiresMs })
    this._count()
  }

  /**
   * Drops grants that are no longer in use.
   * @param sequence - the grant that the node uses; 0 if it states none
   * @param nowMs - current time in milliseconds
   */
  confirm (sequence: number, nowMs: number): void {
    this._grants = this._grants.filter(grant => grant.sequence >= sequence && grant.expiresMs > nowMs)
    this._count()
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns true if nothing needs to be remembered
   */
  isIdle (nowMs: number): boolean {
    return this._grants.length === 0 && this.getDemand(nowMs) === 0
  }

  private _count (): void {
    this._countedRate = 0
    this._countedBurst = 0
    for (const { rate, burst } of this._grants) {
      this._countedRate = Math.max(this._countedRate, rate)
      this._countedBurst = Math.max(this._countedBurst, burst)
    }
  }
}
