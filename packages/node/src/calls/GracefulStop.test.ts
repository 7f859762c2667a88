import { expect, test } from 'vitest'
import { GracefulStop } from './GracefulStop.js'

const STARTED_MS = 10_000
const LATE_DEADLINE_MS = 60_000
const stop = new GracefulStop(STARTED_MS, 6_000)

test('call of unknown run time may start until half of the timeout', () => {
  expect(stop.computeLatestStartMs(0, LATE_DEADLINE_MS)).toBe(STARTED_MS + 3_000)
})

test('short call may start later than a long one', () => {
  expect(stop.computeLatestStartMs(100, LATE_DEADLINE_MS)).toBe(STARTED_MS + 5_400)
  expect(stop.computeLatestStartMs(1, LATE_DEADLINE_MS)).toBeLessThan(STARTED_MS + 5_550)
  expect(stop.computeLatestStartMs(2_000, LATE_DEADLINE_MS)).toBe(STARTED_MS + 3_000)
})

test('call whose deadline comes before the cut may start at any time', () => {
  expect(stop.computeLatestStartMs(2_000, STARTED_MS + 5_640)).toBe(STARTED_MS + 5_800)
  expect(stop.computeLatestStartMs(2_000, STARTED_MS + 5_641)).toBe(STARTED_MS + 3_000)
})

test('remaining time of a call is limited to that of the process', () => {
  expect(stop.computeMaxRemainingMs(STARTED_MS + 3_000)).toBe(2_640)
  expect(stop.computeMaxRemainingMs(STARTED_MS + 5_800)).toBe(0)
})

test('calls are cut before the process may be killed', () => {
  expect(stop.cutAtMs).toBe(STARTED_MS + 5_800)
  expect(new GracefulStop(STARTED_MS, 1_000).cutAtMs).toBe(STARTED_MS + 900)
  expect(new GracefulStop(STARTED_MS, 0).cutAtMs).toBe(STARTED_MS)
})

test('retry delay lasts until the next process may be ready', () => {
  expect(stop.computeRetryAfterMs(STARTED_MS + 3_000)).toBe(3_800)
  expect(stop.computeRetryAfterMs(STARTED_MS + 5_900)).toBe(1_000)
})

test('process has time left once it waits for nobody any more', () => {
  expect(stop.awaitClosedUntilMs).toBe(STARTED_MS + 5_600)
  expect(new GracefulStop(STARTED_MS, 0).awaitClosedUntilMs).toBe(STARTED_MS)
})
