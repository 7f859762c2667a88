import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { CatalogueStore } from '@lagoonswitch/feed'
import { EndpointRecord, MoveRecord, MoveStatus } from '@lagoonswitch/schema'
import { EvidenceCollector } from './EvidenceCollector.js'

const CUT_MS = 15_000
const MOVE = MoveRecord.fromPartial({
  service: 'desk',
  from: 'v1',
  to: 'v2',
  byMs: 1,
  startedMs: 1,
  status: MoveStatus.MOVE_STATUS_RUNNING,
  sharePpm: 100_000,
  stepStartedMs: 1,
  reason: '',
  version: 2,
  late: false
})
let clock: ManualClock
let store: CatalogueStore
let collector: EvidenceCollector

/** Adds a window of 250 ms with calls to both versions, some of which fail on the new version. */
function addWindow (newFailures: number): void {
  for (let call = 0; call < 90; call++) collector.recordOutcome('desk', 'v1', 'r', 'o1', false, 5)
  for (let call = 0; call < 10; call++) collector.recordOutcome('desk', 'v2', 'r', `n${call % 2}`, call < newFailures, 5)
  collector.endWindow()
}

beforeEach(() => {
  clock = new ManualClock()
  store = new CatalogueStore()
  store.commitRecords({ epoch: 1, version: 2 }, [], [MOVE])
  collector = new EvidenceCollector(store, clock, new NullLog(), new Metrics())
})

test('outcome is reported once, in the next report, even before its window has ended', () => {
  collector.recordOutcome('desk', 'v2', 'r', 'n1', true, 5)
  expect(collector.takeEvidence()).toMatchObject([{ version: 'v2', calls: 1, failures: 1, latency: { counts: [1] } }])
  collector.endWindow()
  expect(collector.takeEvidence()).toEqual([])
})

test('version with many failures is cut within a second', () => {
  for (let window = 0; window < 4 && !collector.isVersionCut('desk'); window++) addWindow(5)
  expect(collector.isVersionCut('desk')).toBe(true)
})

test('version without failures is never cut', () => {
  for (let window = 0; window < 400; window++) addWindow(0)
  expect(collector.isVersionCut('desk')).toBe(false)
})

test('cut expires, and only new evidence cuts the version again', async () => {
  for (let window = 0; window < 4; window++) addWindow(5)
  await clock.advance(CUT_MS)
  expect(collector.isVersionCut('desk')).toBe(false)
  addWindow(0)
  expect(collector.isVersionCut('desk')).toBe(false)
  for (let window = 0; window < 4; window++) addWindow(5)
  expect(collector.isVersionCut('desk')).toBe(true)
})

/** Gives the new version all calls, as after a small share without a fault. */
function startFullShare (): void {
  for (let window = 0; window < 20; window++) addWindow(0)
  const status = MoveStatus.MOVE_STATUS_WATCHING
  store.commitRecords({ epoch: 1, version: 3 }, [], [{ ...MOVE, status, sharePpm: 1_000_000, version: 3 }])
}

/** Adds a window with calls to the new version only. */
function addFullShareWindow (failures: number): void {
  for (let call = 0; call < 6; call++) collector.recordOutcome('desk', 'v2', 'r', `n${call % 2}`, call < failures, 5)
  collector.endWindow()
}

test('version that fails once it has all calls is cut without a decision of the leader', async () => {
  startFullShare()
  for (let window = 0; window < 4; window++) addFullShareWindow(3)
  expect(collector.isVersionCut('desk')).toBe(true)
  await clock.advance(CUT_MS)
  expect(collector.isVersionCut('desk')).toBe(false)
  for (let window = 0; window < 4; window++) addFullShareWindow(3)
  expect(collector.isVersionCut('desk')).toBe(true)
})

test.each([[0, 0], [1, 40]])('version that has all calls is not cut for %d failures in %d windows', (failures, period) => {
  startFullShare()
  for (let window = 0; window < 400; window++) addFullShareWindow(period > 0 && window % period === 0 ? failures : 0)
  expect(collector.isVersionCut('desk')).toBe(false)
})

test('attempt that passes its latency objective is reported before it ends, and once', async () => {
  const target = EndpointRecord.fromPartial({ service: 'desk', version: 'v2', targetId: 'n1' })
  const slow = collector.awaitResponse(target, 'r', clock.readMonotonicMs() + 300)
  const fast = collector.awaitResponse(target, 'r', clock.readMonotonicMs() + 300)
  const cancelled = collector.awaitResponse(target, 'r', clock.readMonotonicMs() + 300)
  await clock.advance(100)
  if (fast !== undefined) collector.recordResponse(fast, true)
  if (cancelled !== undefined) collector.recordResponse(cancelled, false)
  collector.endWindow()
  expect(collector.takeEvidence()).toMatchObject([{ version: 'v2', calls: 0, judged: 1, overdue: 0 }])
  await clock.advance(200)
  collector.endWindow()
  expect(collector.takeEvidence()).toMatchObject([{ calls: 0, judged: 1, overdue: 1 }])
  if (slow !== undefined) collector.recordResponse(slow, true)
  expect(collector.takeEvidence()).toEqual([])
})

test('attempt is not judged while no move is open', () => {
  store.commitRecords({ epoch: 1, version: 3 }, [], [{ ...MOVE, status: MoveStatus.MOVE_STATUS_DONE, version: 3 }])
  const target = EndpointRecord.fromPartial({ service: 'desk', version: 'v2', targetId: 'n1' })
  expect(collector.awaitResponse(target, 'r', 0)).toBeUndefined()
})

test('evidence is reported once and only for moves in progress', () => {
  addWindow(5)
  const records = collector.takeEvidence()
  expect(records.filter(record => record.version === 'v2').reduce((sum, record) => sum + record.failures, 0)).toBe(5)
  expect(collector.takeEvidence()).toEqual([])
  store.commitRecords({ epoch: 1, version: 3 }, [], [{ ...MOVE, status: MoveStatus.MOVE_STATUS_TAKEN_BACK, version: 3 }])
  addWindow(5)
  expect(collector.takeEvidence()).toEqual([])
})
