/**
 * Draws that cover the interval from 0 to 1 evenly, so that even a few calls are split close to their weights.
 */
import type { IRandom } from '@lagoonswitch/common'

/** Fractional part of the golden ratio; its multiples modulo 1 are spread evenly, however many are taken. */
const GOLDEN_RATIO_STEP = 0.618_033_988_749_894_9
/** Sequences that are kept; beyond that all start anew, at other random points. */
const MAX_SEQUENCES = 4_096

/** One sequence of draws for each key, each starting at a random point. */
export class BalancedDraws {
  private readonly _positions = new Map<string, number>()

  /** @param _random - source of the starting points, so that the sequences of several processes differ */
  constructor (private readonly _random: IRandom) {}

  /**
   * @param key - what is split, such as a route
   * @returns the next number of its sequence, from 0 (included) to 1 (excluded)
   */
  draw (key: string): number {
    const last = this._positions.get(key)
    if (last === undefined && this._positions.size >= MAX_SEQUENCES) this._positions.clear()
    const next = last === undefined ? this._random.draw() : (last + GOLDEN_RATIO_STEP) % 1
    this._positions.set(key, next)
    return next
  }
}
