import { beforeEach, expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { EndpointRecord } from '@lagoonswitch/schema'
import { ReportedTimes } from './ReportedTimes.js'
import { TargetState } from './TargetState.js'

const LOAD = { inFlight: 1, slots: 4, queued: 0, served: 1, serviceMs: 400, isRepeatDenied: false }
const LEARNED_MS = 500
let times: ReportedTimes
let fast: TargetState
let slow: TargetState

beforeEach(() => {
  times = new ReportedTimes(new SeededRandom(1))
  const record = EndpointRecord.fromPartial({ targetId: 't', slots: 4 })
  fast = new TargetState(record, 0)
  slow = new TargetState(record, 0)
})

function report (): void {
  for (let index = 0; index < 50; index++) {
    times.recordLoad(fast, 'r', { ...LOAD, expectedMs: 100, nestedMs: 50 }, 0)
    times.recordLoad(slow, 'r', { ...LOAD, expectedMs: 300, nestedMs: 50 }, 0)
  }
}

test('reported time replaces the learned one, which returns as the report grows old', () => {
  report()
  const slowMs = [0, 1_000, 10_000, 20_000, 200_000].map(nowMs => Math.round(times.computeServiceMs(slow, 'r', LEARNED_MS, nowMs)))
  expect(Math.abs((slowMs[0] as number) - 350)).toBeLessThan(20)
  expect(slowMs[1]).toBe(slowMs[0])
  expect(Math.abs((slowMs[2] as number) - 350)).toBeLessThan(20)
  expect(Math.abs((slowMs[3] as number) - (LEARNED_MS + (slowMs[2] as number)) / 2)).toBeLessThanOrEqual(1)
  expect(slowMs[4]).toBe(LEARNED_MS)
  expect(Math.abs(times.computeServiceMs(fast, 'r', LEARNED_MS, 0) - 150)).toBeLessThan(20)
})

test('cold target that has reported is not preferred to others that have not', () => {
  const cold = new TargetState(EndpointRecord.fromPartial({ targetId: 't', slots: 4, warmupMs: 3_000 }), 0)
  times.recordLoad(cold, 'r', { ...LOAD, expectedMs: 100 }, 0)
  expect([0, 3_000].map(nowMs => times.computeServiceMs(cold, 'r', LEARNED_MS, nowMs))).toEqual([LEARNED_MS, 100])
})

test('callers with the same reports spread over targets, fewer to a slow one, more when the fast one is full', () => {
  report()
  const countSlow = (inFlight: number): number => {
    fast.recordLoad({ ...LOAD, inFlight }, 0)
    slow.recordLoad({ ...LOAD, inFlight: 0 }, 0)
    const choices = Array.from({ length: 1_000 }, () =>
      times.computeChoiceMs(slow, 'r', LEARNED_MS, 0) < times.computeChoiceMs(fast, 'r', LEARNED_MS, 0))
    return choices.filter(isSlow => isSlow).length
  }
  const [idle, full] = [countSlow(0), countSlow(4)]
  expect(idle).toBeGreaterThan(0)
  expect(idle).toBeLessThan(300)
  expect(full).toBeGreaterThan(2 * idle)
})

test('slow phase in the last report is forgotten before the usual speed of the target', () => {
  report()
  times.recordLoad(fast, 'r', { ...LOAD, expectedMs: 300, nestedMs: 50 }, 0)
  const fastMs = [0, 1_000, 7_000].map(nowMs => times.computeServiceMs(fast, 'r', LEARNED_MS, nowMs))
  expect(fastMs[0]).toBeGreaterThan(300)
  expect(fastMs[2]).toBeLessThan(210)
})

test('report on one route holds for other routes', () => {
  report()
  const third = new TargetState(slow.record, 0)
  for (let index = 0; index < 50; index++) times.recordLoad(third, 'long', { ...LOAD, expectedMs: 1_000 }, 0)
  const [fastMs, slowMs] = [fast, slow].map(state => times.computeServiceMs(state, 'long', LEARNED_MS, 0)) as [number, number]
  expect(slowMs / fastMs).toBeGreaterThan(2.5)
})

test('nested calls that take longer at one target do not make it seem slow', () => {
  report()
  times.recordLoad(slow, 'r', { ...LOAD, expectedMs: 100, nestedMs: 2_000 }, 0)
  const [fastMs, slowMs] = [fast, slow].map(state => times.computeServiceMs(state, 'r', LEARNED_MS, 0)) as [number, number]
  expect(slowMs).toBeLessThan(fastMs * 1.1)
})

test('process of an earlier version, which reports no times, is judged as before', () => {
  report()
  const old = new TargetState(slow.record, 0)
  times.recordLoad(old, 'r', { ...LOAD, expectedMs: 0, nestedMs: 0, room: 0 }, 0)
  expect([times.computeServiceMs(old, 'r', LEARNED_MS, 0), old.computeRoom(0)]).toEqual([LEARNED_MS, 4])
})

test('reported room limits the slots until the report is old', () => {
  times.recordLoad(fast, 'r', { ...LOAD, room: 2 }, 0)
  times.recordLoad(slow, 'r', { ...LOAD, room: 9 }, 0)
  expect([fast.computeRoom(0), fast.computeRoom(20_000), slow.computeRoom(0)]).toEqual([2, 4, 4])
})
