import { expect, test } from 'vitest'
import { SeededRandom } from '../Random.js'
import { SequentialTest } from './SequentialTest.js'
import { MoveComparison } from './MoveComparison.js'
import { type IOutcomes } from './OutcomeSums.js'
import { VersionComparison } from './VersionComparison.js'
import { computeBucket, computeBucketEndMs, LATENCY_BUCKETS } from './LatencyScale.js'

const ALPHA = 0.05

function drawEvents (random: SeededRandom, calls: number, rate: number): number {
  let events = 0
  for (let call = 0; call < calls; call++) if (random.draw() < rate) events++
  return events
}

function createOutcomes (targetId: string, calls: number, failures: number, bucket = 20): IOutcomes {
  return { route: 'r', targetId, calls, failures, latency: new Map([[bucket, calls]]) }
}

test('rate of false alarms stays at or below alpha at any time', () => {
  const random = new SeededRandom(1)
  let alarms = 0
  for (let run = 0; run < 400; run++) {
    const statistic = new SequentialTest()
    for (let window = 0; window < 200; window++) {
      // A fault common to both versions occurs periodically.
      const rate = window % 50 < 10 ? 0.3 : 0.01
      statistic.addWindow(10, drawEvents(random, 10, rate), 50, drawEvents(random, 50, rate))
    }
    if (statistic.isRejected(ALPHA)) alarms++
  }
  expect(alarms / 400).toBeLessThanOrEqual(ALPHA)
})

test('finds a version that fails more often', () => {
  const random = new SeededRandom(2)
  const statistic = new SequentialTest()
  for (let window = 0; window < 60; window++) statistic.addWindow(5, drawEvents(random, 5, 0.2), 50, drawEvents(random, 50, 0.01))
  expect(statistic.isRejected(0.001)).toBe(true)
})

test('finds no fault of the version when a single target fails', () => {
  const comparison = new VersionComparison()
  for (let window = 0; window < 100; window++) {
    comparison.addWindow([createOutcomes('n1', 5, 4), createOutcomes('n2', 5, 0), createOutcomes('n3', 5, 0)],
      [createOutcomes('o1', 50, 0)])
  }
  expect(comparison.findFault(0.01)).toBeUndefined()
})

test('finds a fault that all targets of the version show', () => {
  const comparison = new VersionComparison()
  for (let window = 0; window < 10; window++) {
    comparison.addWindow([createOutcomes('n1', 5, 2), createOutcomes('n2', 5, 2)], [createOutcomes('o1', 50, 0)])
  }
  expect(comparison.findFault(0.01)).toMatchObject({ kind: 'failures' })
})

test('keeps the evidence when another target joins', () => {
  const comparison = new VersionComparison()
  for (let window = 0; window < 10; window++) {
    comparison.addWindow([createOutcomes('n1', 5, 2), createOutcomes('n2', 5, 2)], [createOutcomes('o1', 50, 0)])
  }
  comparison.addWindow([createOutcomes('n3', 1, 0)], [createOutcomes('o1', 50, 0)])
  expect(comparison.findFault(0.01)).toBeDefined()
})

test('combines windows that hold calls to one version only', () => {
  const comparison = new VersionComparison()
  for (let window = 0; window < 40; window++) {
    comparison.addWindow([createOutcomes('n1', 1, 1)], [])
    comparison.addWindow([], [createOutcomes('o1', 1, 0)])
  }
  expect(comparison.findFault(0.01)).toBeDefined()
})

test('new version is no longer suspected once the old one fails as often', () => {
  const comparison = new VersionComparison()
  comparison.addWindow([createOutcomes('n1', 10, 2), createOutcomes('n2', 10, 2)], [createOutcomes('o1', 100, 0)])
  expect(comparison.isSuspected()).toBe(true)
  expect(comparison.findFault(0.01)).toBeUndefined()
  comparison.addWindow([createOutcomes('n1', 100, 0), createOutcomes('n2', 100, 0)], [createOutcomes('o1', 1_000, 20)])
  expect(comparison.isSuspected()).toBe(false)
})

test('new version is not suspected when a single target fails', () => {
  const comparison = new VersionComparison()
  comparison.addWindow([createOutcomes('n1', 10, 5), createOutcomes('n2', 10, 0)], [createOutcomes('o1', 100, 0)])
  expect(comparison.isSuspected()).toBe(false)
})

test.each([[0, true], [0.2, false]])('regression at full share, %d of the later calls to the old version fail', (oldRate, isNewAlone) => {
  const comparison = new VersionComparison()
  for (let window = 0; window < 10; window++) comparison.addWindow([createOutcomes('n1', 5, 0)], [createOutcomes('o1', 50, 0)])
  comparison.resetRegressionTests()
  comparison.addWindow([createOutcomes('n1', 50, 10)], [])
  for (let window = 0; window < 8; window++) comparison.addWindow([], [createOutcomes('o1', 50, 50 * oldRate)])
  expect(comparison.hasRegressedAlone(0.05)).toBe(isNewAlone)
})

test.each([[0.5, 20, true], [0, 60, true], [0, 20, false]])(
  'comparison with a baseline finds a regression without calls to the old version: %d fail, bucket %d', (rate, bucket, isFound) => {
    const first = new VersionComparison()
    for (let window = 0; window < 10; window++) first.addWindow([createOutcomes('n1', 5, 0)], [createOutcomes('o1', 50, 0)])
    const second = new VersionComparison()
    second.addBaseline(first.listBaseline())
    expect(second.hasBaseline()).toBe(true)
    for (let window = 0; window < 4; window++) second.addWindow([createOutcomes('n1', 15, 15 * rate, bucket)], [])
    expect(second.hasRegressed(0.05)).toBe(isFound)
  })

test.each([[0.5, true], [0.1, false]])('calls that pass the latency objective show a slow version before they end: %d of them', (rate, isFound) => {
  const comparison = new MoveComparison()
  for (let window = 0; window < 12; window++) {
    const overdue = Math.round(10 * rate)
    comparison.addWindow([{ ...createOutcomes('n1', 0, 0), judged: 10, overdue }], [{ ...createOutcomes('o1', 50, 0), judged: 50, overdue: 5 }])
  }
  expect(comparison.findFault(0.01)?.kind).toBe(isFound ? 'latency' : undefined)
  expect(comparison.getNewCalls()).toBe(0)
})

test('baseline carries the calls that passed the latency objective', () => {
  const first = new MoveComparison()
  first.addWindow([{ ...createOutcomes('n1', 5, 0), judged: 5 }], [{ ...createOutcomes('o1', 400, 0), judged: 400, overdue: 40 }])
  const second = new MoveComparison()
  second.addBaseline(first.listBaseline())
  expect(second.listBaseline()).toEqual(first.listBaseline())
  for (let window = 0; window < 4; window++) second.addWindow([{ ...createOutcomes('n1', 1, 0), judged: 15, overdue: 8 }], [])
  expect(second.hasRegressed(0.05)).toBe(true)
})

test('baseline of many calls keeps its rates within 32 bits', () => {
  const comparison = new VersionComparison()
  comparison.addWindow([createOutcomes('n1', 1, 0)], [createOutcomes('o1', 8_000_000_000, 2_000_000_000)])
  const calls = 1_000_000_000
  expect(comparison.listBaseline()[0]).toMatchObject({ calls, failures: calls / 4, latency: new Map([[20, calls]]) })
})

test('finds a slower version, but no difference of less than a millisecond', () => {
  const compare = (oldMs: number, newMs: number): boolean => {
    const comparison = new VersionComparison()
    for (let window = 0; window < 200; window++) {
      comparison.addWindow([createOutcomes('n1', 5, 0, computeBucket(newMs))], [createOutcomes('o1', 20, 0, computeBucket(oldMs))])
    }
    return comparison.findFault(0.01)?.kind === 'latency'
  }
  expect(compare(20, 30)).toBe(true)
  expect(compare(0.5, 1)).toBe(false)
  expect(compare(20, 20)).toBe(false)
})

test('buckets cover every latency', () => {
  for (const ms of [0, 0.05, 0.1, 1, 10, 999, 1e9]) {
    const bucket = computeBucket(ms)
    expect(bucket).toBeLessThan(LATENCY_BUCKETS)
    if (ms < 1e5) expect(computeBucketEndMs(bucket)).toBeGreaterThanOrEqual(ms * 0.999)
  }
})
