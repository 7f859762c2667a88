import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { ManualClock } from '@lagoonswitch/common'
import { RetryBudget } from './RetryBudget.js'

const WINDOW_MS = 10_000
let clock: ManualClock

function createBudget (ratio: number, slack: number, nodes = 1): RetryBudget {
  return new RetryBudget({ ratio, windowMs: WINDOW_MS, slack, countNodes: () => nodes }, clock)
}

function countSpent (budget: RetryBudget, tries = 1_000): number {
  let spent = 0
  while (spent < tries && budget.spend()) spent++
  return spent
}

beforeEach(() => { clock = new ManualClock() })

test('nodes share the slack', () => {
  expect(countSpent(createBudget(0, 60))).toBeLessThanOrEqual(60)
  expect(countSpent(createBudget(0, 60, 10))).toBeLessThanOrEqual(6)
  expect(countSpent(createBudget(0, 60, 10))).toBeGreaterThan(0)
})

test('calls add to the budget of retries', () => {
  const budget = createBudget(0.2, 0)
  for (let call = 0; call < 100; call++) budget.recordCall()
  const spent = countSpent(budget)
  expect(spent).toBeGreaterThan(5)
  expect(spent).toBeLessThanOrEqual(20)
})

test('spent budget is available again after the window', async () => {
  const budget = createBudget(0, 10)
  const first = countSpent(budget)
  expect(budget.spend()).toBe(false)
  await clock.advance(WINDOW_MS * 1.2)
  expect(countSpent(budget)).toBe(first)
})

test('no sliding window contains more retries than the limit', async () => {
  const step = fc.record({ waitMs: fc.nat(900), calls: fc.nat(20), tries: fc.nat(10) })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 80 }), async steps => {
    clock = new ManualClock()
    const budget = createBudget(0.2, 12)
    const spent: number[] = []
    const calls: number[] = []
    for (const { waitMs, calls: count, tries } of steps) {
      await clock.advance(waitMs)
      const nowMs = clock.readMonotonicMs()
      for (let call = 0; call < count; call++) {
        budget.recordCall()
        calls.push(nowMs)
      }
      for (let attempt = 0; attempt < tries; attempt++) if (budget.spend()) spent.push(nowMs)
    }
    for (const end of spent) {
      const isIn = (atMs: number): boolean => atMs > end - WINDOW_MS && atMs <= end
      const bound = 0.2 * calls.filter(atMs => atMs > end - 2 * WINDOW_MS && atMs <= end).length + 12
      expect(spent.filter(isIn).length).toBeLessThanOrEqual(bound)
    }
  }), { seed: 3, numRuns: 100 })
})
