/**
 * Share of a rate without a leader.
 */
import { expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { RateShare, type IShareRule } from './RateShare.js'

const TOLERANCE = { windowMs: 5_000, excess: 0.1, slack: 20 }
const NODES = 85

function countTokens (rule: IShareRule, atMs: number): number {
  const random = new SeededRandom(5)
  const shares = Array.from({ length: NODES }, () => new RateShare(rule, 0, random))
  return shares.filter(share => share.take(atMs) === 0).length
}

// Guards against an account of 3 calls a second that runs 85 at once, when its callers reach all nodes after a pause.
test('nodes together never hold more tokens than the cap of a small account allows', () => {
  const cap = { rate: 3.2, burst: 3.2 }
  const rule = { cap, tolerance: TOLERANCE, isWhole: true, nodes: NODES }
  for (let atMs = 0; atMs < 120_000; atMs += 500) expect(countTokens(rule, atMs)).toBeLessThanOrEqual(25)
  expect(countTokens(rule, 60_000)).toBeGreaterThan(3)
})

test('token of a large account stays until it is used', () => {
  const rule = { cap: { rate: 850, burst: 850 }, tolerance: TOLERANCE, isWhole: true, nodes: NODES }
  expect(countTokens(rule, 60_000)).toBe(NODES)
  const share = new RateShare(rule, 0, { draw: () => 0 })
  expect([share.take(40), share.take(100), share.take(150), share.take(200)]).toEqual([60, 0, 50, 0])
})
