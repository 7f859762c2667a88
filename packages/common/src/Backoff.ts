/**
 * Backoff between attempts.
 */
import type { IRandom } from './Random.js'

const GROWTH_FACTOR = 3

/** Decorrelated jitter: each wait is drawn between the base and three times the last wait, up to the longest wait. */
export class Backoff {
  private _lastMs: number

  /**
   * @param _baseMs - shortest wait in milliseconds
   * @param _maxMs - longest wait in milliseconds
   * @param _random - source of randomness for the jitter
   */
  constructor (private readonly _baseMs: number, private readonly _maxMs: number, private readonly _random: IRandom) {
    this._lastMs = _baseMs
  }

  /**
   * Computes the next wait.
   * @param requestedMs - wait that the peer asked for, added to the backoff, in milliseconds
   * @returns the wait in milliseconds
   */
  computeNextMs (requestedMs = 0): number {
    const span = Math.max(0, this._lastMs * GROWTH_FACTOR - this._baseMs)
    this._lastMs = Math.min(this._maxMs, this._baseMs + this._random.draw() * span)
    return this._lastMs + requestedMs
  }

  /** Starts again from the shortest wait, after a success. */
  reset (): void {
    this._lastMs = this._baseMs
  }
}
