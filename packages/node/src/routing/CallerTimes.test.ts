import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { CallerTimes } from './CallerTimes.js'

test('first attempts that state nearly alike times have not waited', () => {
  const times = new CallerTimes(new ManualClock())
  expect([4_000, 3_400, 3_700].map(leftMs => times.recordLeft('r', leftMs))).toEqual([0, 0, 0])
})

test('repeat has waited for the difference', () => {
  const times = new CallerTimes(new ManualClock())
  times.recordLeft('r', 4_000)
  expect(times.recordLeft('r', 2_500)).toBe(1_500)
  expect(times.recordLeft('other', 2_500)).toBe(0)
})

test('callers that state shorter times from now on are first attempts after a while', async () => {
  const clock = new ManualClock()
  const times = new CallerTimes(clock)
  times.recordLeft('r', 4_000)
  for (let second = 0; second < 25; second++) {
    await clock.advance(1_000)
    times.recordLeft('r', 1_000)
  }
  expect(times.recordLeft('r', 1_000)).toBe(0)
})
