import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { CatalogueStore } from '@lagoonswitch/feed'
import { MoveRecord, MoveStatus } from '@lagoonswitch/schema'
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

/** One window of 250 ms: calls to both versions, of which the new one fails a part. */
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

test('outcome is in the next report, before its window has ended, and in no other', () => {
  collector.recordOutcome('desk', 'v2', 'r', 'n1', true, 5)
  expect(collector.takeEvidence()).toMatchObject([{ version: 'v2', calls: 1, failures: 1, latency: { counts: [1] } }])
  collector.endWindow()
  expect(collector.takeEvidence()).toEqual([])
})

test('clear faults cut the version within a second', () => {
  for (let window = 0; window < 4 && !collector.isVersionCut('desk'); window++) addWindow(5)
  expect(collector.isVersionCut('desk')).toBe(true)
})

test('clean version is never cut', () => {
  for (let window = 0; window < 400; window++) addWindow(0)
  expect(collector.isVersionCut('desk')).toBe(false)
})

test('cut ends, and comes again with new evidence only', async () => {
  for (let window = 0; window < 4; window++) addWindow(5)
  await clock.advance(CUT_MS)
  expect(collector.isVersionCut('desk')).toBe(false)
  addWindow(0)
  expect(collector.isVersionCut('desk')).toBe(false)
  for (let window = 0; window < 4; window++) addWindow(5)
  expect(collector.isVersionCut('desk')).toBe(true)
})

test('evidence is handed over once and only of open moves', () => {
  addWindow(5)
  const records = collector.takeEvidence()
  expect(records.filter(record => record.version === 'v2').reduce((sum, record) => sum + record.failures, 0)).toBe(5)
  expect(collector.takeEvidence()).toEqual([])
  store.commitRecords({ epoch: 1, version: 3 }, [], [{ ...MOVE, status: MoveStatus.MOVE_STATUS_TAKEN_BACK, version: 3 }])
  addWindow(5)
  expect(collector.takeEvidence()).toEqual([])
})
