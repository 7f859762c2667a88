import { expect, test } from 'vitest'
import { PlannedStop } from './PlannedStop.js'

const STARTED_MS = 10_000
const stop = new PlannedStop(STARTED_MS, 6_000)

test('call of unknown length has half of the timeout to end', () => {
  expect(stop.computeLatestBeginMs(0)).toBe(STARTED_MS + 3_000)
})

test('short call may begin later than a long one', () => {
  expect(stop.computeLatestBeginMs(100)).toBe(STARTED_MS + 5_300)
  expect(stop.computeLatestBeginMs(2_000)).toBe(STARTED_MS + 3_000)
})

test('cut leaves time before the process may be killed', () => {
  expect(stop.cutAtMs).toBe(STARTED_MS + 5_800)
  expect(new PlannedStop(STARTED_MS, 1_000).cutAtMs).toBe(STARTED_MS + 900)
  expect(new PlannedStop(STARTED_MS, 0).cutAtMs).toBe(STARTED_MS)
})

test('caller is told to come back once the process may have ended', () => {
  expect(stop.computeRetryAfterMs(STARTED_MS + 3_000)).toBe(2_800)
  expect(stop.computeRetryAfterMs(STARTED_MS + 5_500)).toBe(1_000)
})
