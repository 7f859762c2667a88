/**
 * Limits the retries of calls to a service over a sliding window: this node's part of the budget of all nodes.
 */
import type { IClock } from '@lagoonswitch/common'

const BUCKET_COUNT = 10
/** Fraction of the limit that is used; the rest covers calls that targets make while they run a retry, and nodes that join or leave. */
const USED_RATIO = 0.6
/**
 * Fraction of this node's slack that is there at the end of the first window after a restart. The lifetime before may have spent a whole
 * slack within the same window; `USED_RATIO` of both is below the limit.
 */
const RESTART_RATIO = 0.5

/** Limits of the retries of a service. */
export interface IRetryBounds {
  /** Retries per call. */
  readonly ratio: number
  readonly windowMs: number
  /** Retries per window in addition to the ratio, for all nodes together. */
  readonly slack: number
  /** Nodes that share the slack, at least 1. */
  readonly countNodes: () => number
  /** False if this process may have run before, so that retries of the last window are not known. The slack then grows from 0. */
  readonly isFirstStart: boolean
}

/** Counts calls and retries in the window. */
export class RetryBudget {
  private readonly _calls = new Array<number>(BUCKET_COUNT + 1).fill(0)
  private readonly _retries = new Array<number>(BUCKET_COUNT + 1).fill(0)
  private readonly _startMs: number
  private _currentBucket = 0
  private _ratio: number

  /**
   * @param _bounds - of the service
   * @param _clock - source of time
   */
  constructor (private readonly _bounds: IRetryBounds, private readonly _clock: IClock) {
    this._startMs = _clock.readMonotonicMs()
    this._ratio = _bounds.ratio
  }

  /**
   * Changes the ratio; what was counted stays, so that a change gives no new slack.
   * @param ratio - retries per call
   */
  setRatio (ratio: number): void {
    this._ratio = ratio
  }

  /** Records a call. */
  recordCall (): void {
    this._advance()
    this._add(this._calls)
  }

  /**
   * Records a call that a target makes while it runs a retry. It counts as a retry even if the budget is spent: the retry that makes
   * it is already in progress, and its service sees it as a retry.
   */
  recordCallOfRetry (): void {
    this._advance()
    this._add(this._retries)
  }

  /** @returns true if a retry is allowed; it is then deducted from the budget */
  spend (): boolean {
    if (!this.canSpend()) return false
    this._add(this._retries)
    return true
  }

  /** @returns true if a retry is allowed now; nothing is deducted */
  canSpend (): boolean {
    this._advance()
    const { slack, countNodes } = this._bounds
    const ownSlack = this._computeSlackRatio() * slack / Math.max(1, countNodes())
    const allowed = USED_RATIO * (this._ratio * sum(this._calls) + ownSlack)
    return sum(this._retries) + 1 <= allowed
  }

  /** @returns number of retries in the window */
  countRetries (): number {
    this._advance()
    return sum(this._retries)
  }

  /** Grows with the age, so that several lifetimes within a window have no more together than one of that length. */
  private _computeSlackRatio (): number {
    const windows = (this._clock.readMonotonicMs() - this._startMs) / this._bounds.windowMs
    return !this._bounds.isFirstStart && windows < 1 ? RESTART_RATIO * windows : 1
  }

  private _advance (): void {
    const bucket = Math.floor(this._clock.readMonotonicMs() / (this._bounds.windowMs / BUCKET_COUNT))
    const steps = Math.min(BUCKET_COUNT + 1, bucket - this._currentBucket)
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % (BUCKET_COUNT + 1)
      this._calls[index] = 0
      this._retries[index] = 0
    }
    this._currentBucket = bucket
  }

  private _add (counts: number[]): void {
    const index = this._currentBucket % (BUCKET_COUNT + 1)
    counts[index] = (counts[index] ?? 0) + 1
  }
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}
