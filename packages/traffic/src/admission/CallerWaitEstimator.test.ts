import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { CallerWaitEstimator } from './CallerWaitEstimator.js'

test('callers whose first calls state nearly equal times have not waited', () => {
  const estimator = new CallerWaitEstimator(new ManualClock())
  expect([4_000, 3_400, 3_700].map(remainingMs => estimator.recordRemainingMs('r', remainingMs))).toEqual([0, 0, 0])
})

test('caller of a repeated call has waited for the difference from the longest stated time of the route', () => {
  const estimator = new CallerWaitEstimator(new ManualClock())
  estimator.recordRemainingMs('r', 4_000)
  expect(estimator.recordRemainingMs('r', 2_500)).toBe(1_500)
  expect(estimator.recordRemainingMs('other', 2_500)).toBe(0)
})

test('callers that switch to shorter times count as making first calls after a while', async () => {
  const clock = new ManualClock()
  const estimator = new CallerWaitEstimator(clock)
  estimator.recordRemainingMs('r', 4_000)
  for (let second = 0; second < 25; second++) {
    await clock.advance(1_000)
    estimator.recordRemainingMs('r', 1_000)
  }
  expect(estimator.recordRemainingMs('r', 1_000)).toBe(0)
})
