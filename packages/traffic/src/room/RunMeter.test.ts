import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, SeededRandom } from '@lagoonswitch/common'
import { NestedCalls } from './NestedCalls.js'
import { PauseMeter } from './PauseMeter.js'
import { RunMeter, type IMeasuredRun } from './RunMeter.js'

let clock: ManualClock
let meter: RunMeter
let random: SeededRandom
let metrics: Metrics

beforeEach(() => {
  clock = new ManualClock()
  metrics = new Metrics()
  meter = new RunMeter(clock, new PauseMeter(clock), metrics, 't')
  random = new SeededRandom(1)
})

/** Ends a run that took a time, without nested calls if not stated, and returns the expected time. */
function record (durationMs: number, fields: Partial<IMeasuredRun> = {}): number {
  const startedMs = clock.readMonotonicMs() - durationMs
  return meter.recordRun({ route: 'r', startedMs, nestedMs: 0, isRequestWhole: true, status: 200, ...fields }).expectedMs
}

/** Ends runs in intervals of 20 ms, and returns the expected time after the last one. */
async function recordMany (count: number, durationMs: number, fields: Partial<IMeasuredRun> = {}): Promise<number> {
  let expectedMs = 0
  for (let index = 0; index < count; index++) {
    await clock.advance(20)
    expectedMs = record(durationMs * (0.5 + random.draw()), fields)
  }
  return expectedMs
}

test('few runs say nothing', async () => {
  expect(await recordMany(9, 100)).toBe(0)
  expect(await recordMany(1, 100)).toBeGreaterThan(0)
})

test.each([0.5, 2, 5])('target %d times as slow is followed within 1.5 s at 50 runs a second, and back', async factor => {
  await recordMany(300, 100)
  const changedMs = await recordMany(75, 100 * factor)
  expect(changedMs / (100 * factor)).toBeGreaterThan(0.7)
  expect(changedMs / (100 * factor)).toBeLessThan(1.3)
  const restoredMs = await recordMany(75, 100)
  expect(restoredMs).toBeGreaterThan(70)
  expect(restoredMs).toBeLessThan(130)
})

test.each<[string, string, Partial<IMeasuredRun>]>([
  ['errors', 'error', { status: 500 }],
  ['requests that the caller sends slowly', 'request', { isRequestWhole: false }],
  ['calls without an id', 'unknown', { nestedMs: undefined }]
])('%s do not make the target seem slow and are counted', async (_name, reason, fields) => {
  await recordMany(50, 100)
  await recordMany(50, 1_000, fields)
  expect(metrics.readCount('runs_measured_total', reason)).toBe(50)
  expect(await recordMany(1, 100)).toBeLessThan(130)
})

test('nested calls that become slow do not make the target seem slow', async () => {
  await recordMany(50, 100)
  const startedMs = clock.readMonotonicMs()
  const nested = new NestedCalls(clock)
  const [endFirst, endSecond] = [nested.start(), nested.start()]
  await clock.advance(700)
  endFirst()
  endFirst()
  await clock.advance(200)
  endSecond()
  await clock.advance(100)
  expect(nested.totalMs).toBe(900)
  for (let index = 0; index < 30; index++) expect(record(0, { startedMs, nestedMs: nested.totalMs })).toBeLessThan(130)
})

test('slow route among fast ones does not make the target seem slow', async () => {
  await recordMany(50, 100)
  await recordMany(50, 2_000, { route: 'slow' })
  expect(await recordMany(1, 100)).toBeLessThan(140)
})

test('runs across a pause of the own process do not count, though they are read before the pause is noticed', async () => {
  const paused = new ManualClock()
  const pauses = new PauseMeter(paused)
  await paused.advance(200)
  expect(pauses.hasPausedSince(0)).toBe(false)
  let nowMs = paused.readMonotonicMs()
  paused.readMonotonicMs = () => nowMs
  nowMs += 400
  expect(pauses.hasPausedSince(nowMs - 10)).toBe(true)
})

test('speed of the last runs is forgotten while there are none', async () => {
  await recordMany(300, 100)
  await recordMany(30, 250)
  await clock.advance(10_000)
  expect(await recordMany(1, 100)).toBeLessThan(150)
})
