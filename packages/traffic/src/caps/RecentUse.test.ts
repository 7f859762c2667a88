import { expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { RecentUse } from './RecentUse.js'

const WINDOW_MS = 5_000

function createUse (grants: number): RecentUse {
  const use = new RecentUse()
  for (let index = 0; index < grants; index++) use.recordGrant(WINDOW_MS, index * WINDOW_MS / grants)
  return use
}

function countTaken (use: RecentUse, knownMs: number, startMs: number, endMs: number): number {
  const random = new SeededRandom(1)
  let taken = 0
  for (let nowMs = startMs; nowMs < endMs; nowMs += 5) if (use.take(WINDOW_MS, knownMs, nowMs, random)) taken++
  return taken
}

// Guards against a loss of the leader that refuses the calls of accounts without a lease.
test('calls go on at most at 0.8 of the recent use in any window', () => {
  const use = createUse(50)
  expect(countTaken(use, WINDOW_MS, WINDOW_MS, 2 * WINDOW_MS)).toBe(40)
  expect(countTaken(use, WINDOW_MS, 2 * WINDOW_MS, 3 * WINDOW_MS)).toBeLessThanOrEqual(40)
})

// Guards against a flood that uses up at once what may go on in a window.
test('calls of a short time are limited as well', () => {
  expect(countTaken(createUse(50), WINDOW_MS, WINDOW_MS, WINDOW_MS + 500)).toBe(12)
})

// Guards against calls beyond the cap of an account that had used it up before the leader was lost.
test('nothing goes on within a window after a refusal', () => {
  const use = createUse(50)
  use.recordRefusal(WINDOW_MS - 100)
  expect(countTaken(use, WINDOW_MS, WINDOW_MS, 2 * WINDOW_MS - 200)).toBe(0)
})

// Guards against small accounts that exceed their caps by one call at each of many nodes.
test('small numbers are rounded at random, so that the sum over nodes is kept', () => {
  let taken = 0
  const random = new SeededRandom(3)
  for (let node = 0; node < 1_000; node++) if (createUse(1).take(WINDOW_MS, WINDOW_MS, WINDOW_MS, random)) taken++
  expect(taken).toBeGreaterThan(750)
  expect(taken).toBeLessThan(850)
})

// Guards against calls that the leader never learns of, and against charging a call that did not run.
test('calls that went on are reported once, those given back are not', () => {
  const use = createUse(50)
  const random = new SeededRandom(1)
  expect(use.take(WINDOW_MS, WINDOW_MS, WINDOW_MS, random)).toBe(true)
  expect(use.take(WINDOW_MS, WINDOW_MS, WINDOW_MS, random)).toBe(true)
  use.giveBack()
  expect(use.takeUnreported()).toBe(1)
  expect(use.takeUnreported()).toBe(0)
})

// Guards against memory that grows with each call while leaders answer, and so no call goes on without a decision.
test('calls of the past are forgotten', () => {
  const use = new RecentUse()
  for (let nowMs = 0; nowMs < 600_000; nowMs += 10) {
    use.recordGrant(WINDOW_MS, nowMs)
    use.recordContinued(WINDOW_MS, nowMs)
  }
  expect(use.size).toBeLessThanOrEqual(2_005)
})
