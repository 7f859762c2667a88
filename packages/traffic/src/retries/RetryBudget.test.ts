import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { ManualClock } from '@lagoonswitch/common'
import { RetryBudget } from './RetryBudget.js'

const WINDOW_MS = 10_000
let clock: ManualClock

function createBudget (ratio: number, slack: number, nodes = 1): RetryBudget {
  return new RetryBudget({ ratio, windowMs: WINDOW_MS, slack, countNodes: () => nodes, isFirstStart: true }, clock)
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

// Guards against a node that has a whole slack at each start: four lifetimes in a window had four.
test.each([100, 2_500, 4_900, 9_000])('lifetimes of %s ms after a restart have no more than the slack of a window together', async lifeMs => {
  const slack = 30
  const spent: number[] = []
  let budget = createBudget(0, slack)
  for (let startMs = 0; startMs <= 2 * WINDOW_MS; startMs += lifeMs) {
    for (let step = 0; step < 10; step++) {
      spent.push(...new Array<number>(countSpent(budget)).fill(clock.readMonotonicMs()))
      await clock.advance(lifeMs / 10)
    }
    budget = new RetryBudget({ ratio: 0, windowMs: WINDOW_MS, slack, countNodes: () => 1, isFirstStart: false }, clock)
  }
  for (const endMs of spent) expect(spent.filter(atMs => atMs > endMs - WINDOW_MS && atMs <= endMs).length).toBeLessThanOrEqual(slack)
})

// Guards against a start of a whole group: each node sees no other at first, and had the slack of all.
test('nodes that start again beside each other have no more than the slack together, and retry within a second', async () => {
  const nodes = 10
  let seen = 1
  const budgets = Array.from({ length: nodes }, () =>
    new RetryBudget({ ratio: 0.2, windowMs: WINDOW_MS, slack: 60, countNodes: () => seen, isFirstStart: false }, clock))
  let spent = 0
  let calls = 0
  for (let step = 0; step < 10; step++) {
    for (const budget of budgets) {
      for (let call = 0; call < 2; call++) budget.recordCall()
      spent += countSpent(budget)
      calls += 2
    }
    await clock.advance(100)
    seen = Math.min(nodes, seen + 1)
  }
  expect(spent).toBeGreaterThanOrEqual(nodes)
  expect(spent).toBeLessThanOrEqual(0.2 * calls + 60)
})

test('changed ratio gives no new slack', () => {
  const budget = createBudget(0, 10)
  expect(countSpent(budget)).toBe(6)
  budget.setRatio(0.2)
  expect(budget.spend()).toBe(false)
  for (let call = 0; call < 50; call++) budget.recordCall()
  expect(countSpent(budget)).toBe(6)
})
