/**
 * Interface for random numbers, so that random choices can be reproduced from a seed.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const UINT32_RANGE = 0x1_0000_0000

/** Source of random numbers. */
export interface IRandom {
  /** @returns a number from 0 (included) to 1 (excluded) */
  draw (): number
}

/** Generates the same numbers for the same seed. */
export class SeededRandom implements IRandom {
  private readonly _generator: { next (): number }

  /** @param seed - any integer */
  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  draw (): number {
    return (this._generator.next() >>> 0) / UINT32_RANGE
  }
}

/** Random numbers of the JavaScript runtime. */
export class SystemRandom implements IRandom {
  draw (): number {
    return Math.random()
  }
}
