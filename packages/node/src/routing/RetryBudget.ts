/**
 * Bounds the repeats of calls to a service over a sliding window, as this node's part of what all nodes may make.
 */
import type { IClock } from '@lagoonswitch/common'

const BUCKET_COUNT = 10
/** Part of the bound that is used; the rest covers calls that repeated runs make and nodes that come and go. */
const USED_RATIO = 0.6

/** What bounds the repeats. */
export interface IRetryBounds {
  /** Repeats per call. */
  readonly ratio: number
  readonly windowMs: number
  /** Repeats per window beside the ratio, for all nodes together. */
  readonly slack: number
  /** Nodes that share the slack, at least 1. */
  readonly countNodes: () => number
}

/** Counts calls and repeats in the window. */
export class RetryBudget {
  private readonly _calls = new Array<number>(BUCKET_COUNT + 1).fill(0)
  private readonly _repeats = new Array<number>(BUCKET_COUNT + 1).fill(0)
  private _currentBucket = 0

  /**
   * @param _bounds - of the service
   * @param _clock - source of time
   */
  constructor (private readonly _bounds: IRetryBounds, private readonly _clock: IClock) {}

  get ratio (): number {
    return this._bounds.ratio
  }

  /** Notes a call. */
  recordCall (): void {
    this._advance()
    this._add(this._calls)
  }

  /** Notes a call that a repeated run makes: it is under way, and its service sees it as a repeat. */
  recordRepeat (): void {
    this._advance()
    this._add(this._repeats)
  }

  /** @returns true when a repeat is allowed; it is spent then */
  spend (): boolean {
    if (!this.canSpend()) return false
    this._add(this._repeats)
    return true
  }

  /** @returns true when a repeat is allowed now */
  canSpend (): boolean {
    this._advance()
    const { ratio, slack, countNodes } = this._bounds
    const allowed = USED_RATIO * (ratio * sum(this._calls) + slack / Math.max(1, countNodes()))
    return sum(this._repeats) + 1 <= allowed
  }

  /** @returns repeats in the window */
  countRepeats (): number {
    this._advance()
    return sum(this._repeats)
  }

  private _advance (): void {
    const bucket = Math.floor(this._clock.readMonotonicMs() / (this._bounds.windowMs / BUCKET_COUNT))
    const steps = Math.min(BUCKET_COUNT + 1, bucket - this._currentBucket)
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % (BUCKET_COUNT + 1)
      this._calls[index] = 0
      this._repeats[index] = 0
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
