/**
 * Token bucket whose rate and depth may change.
 */

const MS_PER_SECOND = 1_000
/** Covers rounding errors of the fill, so that a caller that waits exactly as long as it was told finds its token. */
const ROUNDING = 1e-6
/** Largest debt in multiples of the depth; a larger one would stop an account for long after a loss of the leader. */
const MAX_DEBT_RATIO = 2

/** Tokens of one account at one place; starts empty. */
export class TokenBucket {
  private _tokens = 0
  private _lastFullMs = -Infinity
  private _overflow = 0

  /**
   * @param _rate - tokens per second
   * @param _depth - largest number of tokens
   * @param _filledMs - time from which it fills, in milliseconds
   */
  constructor (private _rate: number, private _depth: number, private _filledMs: number) {}

  get rate (): number {
    return this._rate
  }

  get depth (): number {
    return this._depth
  }

  /**
   * Changes the rate and the depth from now on; tokens beyond the depth are lost.
   * @param rate - tokens per second
   * @param depth - largest number of tokens
   * @param nowMs - current time in milliseconds
   */
  change (rate: number, depth: number, nowMs: number): void {
    this.readTokens(nowMs)
    this._rate = rate
    this._depth = depth
    this._tokens = Math.min(this._tokens, depth)
  }

  /**
   * @param nowMs - current time in milliseconds
   * @returns number of tokens
   */
  readTokens (nowMs: number): number {
    const passedMs = nowMs - this._filledMs
    if (passedMs > 0) {
      this._tokens += this._rate * passedMs / MS_PER_SECOND
      this._filledMs = nowMs
    }
    if (this._tokens >= this._depth) {
      this._overflow += this._tokens - this._depth
      this._tokens = this._depth
      this._lastFullMs = nowMs
    }
    return this._tokens
  }

  /**
   * Reads the tokens that did not fit in since the last call, and forgets them.
   * @param nowMs - current time in milliseconds
   * @returns a whole number; a fraction remains for the next call
   */
  takeOverflow (nowMs: number): number {
    this.readTokens(nowMs)
    const whole = Math.floor(this._overflow)
    this._overflow -= whole
    return whole
  }

  /**
   * Takes tokens.
   * @param wanted - number of tokens
   * @param nowMs - current time in milliseconds
   * @returns number of tokens taken, a whole number up to the wanted one
   */
  take (wanted: number, nowMs: number): number {
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.readTokens(nowMs) + ROUNDING)))
    if (taken > 0) this._tokens = Math.max(0, this._tokens - taken)
    return taken
  }

  /**
   * Charges tokens that were used without asking; the bucket may owe up to its depth and as much again.
   * @param count - number of tokens
   * @param nowMs - current time in milliseconds
   */
  charge (count: number, nowMs: number): void {
    this._tokens = Math.max(-MAX_DEBT_RATIO * this._depth, this.readTokens(nowMs) - count)
  }

  /**
   * Puts back tokens that were not used. If the bucket has been full since they were taken, it would hold no more with them.
   * @param count - number of tokens
   * @param takenMs - time at which they were taken, in milliseconds
   * @param nowMs - current time in milliseconds
   */
  putBack (count: number, takenMs: number, nowMs: number): void {
    const tokens = this.readTokens(nowMs)
    if (this._lastFullMs <= takenMs) this._tokens = Math.min(this._depth, tokens + count)
  }

  /**
   * Computes when the next token is there.
   * @param nowMs - current time in milliseconds
   * @returns milliseconds from now; Infinity if the bucket doesn't fill
   */
  computeWaitMs (nowMs: number): number {
    const missing = 1 - this.readTokens(nowMs)
    if (missing <= 0) return 0
    return this._rate <= 0 || this._depth < 1 ? Infinity : missing / this._rate * MS_PER_SECOND
  }
}
