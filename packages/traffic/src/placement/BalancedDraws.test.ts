import { expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { BalancedDraws } from './BalancedDraws.js'

const WINDOW_CALLS = 300
/** No window may be off by more. */
const MAX_DEVIATION = 0.1
/** Most windows are closer while a node takes 20 calls of a window or more. */
const USUAL_DEVIATION = 0.03
const MIN_CALLS_PER_NODE = 20

/** Computes the largest deviation of a part from its weight in a window of calls that arrive at random nodes. */
function measureDeviation (nodes: number, weights: readonly number[], seed: number): number {
  const random = new SeededRandom(seed)
  const draws = Array.from({ length: nodes }, () => new BalancedDraws(random))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const counts = weights.map(() => 0)
  // The window begins at any point of the sequences.
  for (let call = -200; call < WINDOW_CALLS; call++) {
    const drawn = (draws[Math.floor(random.draw() * nodes)]?.draw('route') ?? 0) * total
    if (call < 0) continue
    let upTo = 0
    const part = weights.findIndex(weight => drawn < (upTo += weight))
    counts[part] = (counts[part] ?? 0) + 1
  }
  return Math.max(...weights.map((weight, part) => Math.abs((counts[part] ?? 0) / WINDOW_CALLS - weight / total)))
}

test.each([1, 2, 15, 88, 195])('parts get their weights over all nodes together: %s nodes', nodes => {
  for (const weights of [[90, 10], [50, 50], [1, 1, 1], [7, 2, 1], [99, 1]]) {
    const deviations = Array.from({ length: 200 }, (_, seed) => measureDeviation(nodes, weights, seed + 1)).sort((a, b) => a - b)
    expect(deviations.at(-1)).toBeLessThan(MAX_DEVIATION)
    const isUsualChecked = nodes * MIN_CALLS_PER_NODE <= WINDOW_CALLS
    expect(deviations[Math.floor(deviations.length * 0.95)]).toBeLessThan(isUsualChecked ? USUAL_DEVIATION : MAX_DEVIATION)
  }
})
