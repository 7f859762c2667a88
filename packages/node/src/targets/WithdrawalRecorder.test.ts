import { beforeEach, expect, test } from 'vitest'
import { Err, ManualClock, Metrics, NoQuorumError, NullLog, Ok, type Result } from '@lagoonswitch/common'
import { CatalogueCommand, ChangeOutcome, ChangeReply, type WithdrawalRecord } from '@lagoonswitch/schema'
import type { LeaderClient } from '@lagoonswitch/transport'
import type { ITargetAnnouncement } from './LocalTarget.js'
import type { LocalTargetRegistry } from './LocalTargetRegistry.js'
import { WithdrawalRecorder } from './WithdrawalRecorder.js'

let announced: Partial<ITargetAnnouncement> | undefined
let recordedStartMs: number
let proposed: WithdrawalRecord[]
let result: Promise<Result<Uint8Array, NoQuorumError>>
let recorder: WithdrawalRecorder

function createResult (outcome: ChangeOutcome): Promise<Result<Uint8Array, NoQuorumError>> {
  return Promise.resolve(Ok(ChangeReply.encode(ChangeReply.fromPartial({ outcome })).finish()))
}

beforeEach(() => {
  announced = { bornMs: 7, instance: 'run-1' }
  recordedStartMs = 0
  proposed = []
  result = createResult(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  recorder = new WithdrawalRecorder({
    node: 'n1',
    targets: {
      getAnnouncement: () => announced, withdraw: () => true, getRecordedStartMs: () => recordedStartMs
    } as unknown as LocalTargetRegistry,
    leaderClient: {
      propose: async (_group: string, bytes: Uint8Array) => {
        const { command } = CatalogueCommand.decode(bytes)
        if (command?.$case === 'withdrawal') proposed.push(command.value)
        return await result
      }
    } as unknown as LeaderClient,
    clock: new ManualClock(),
    log: new NullLog(),
    metrics: new Metrics()
  })
})

test('withdrawal names the start and the instance of the registered target', async () => {
  expect((await recorder.withdraw('t1')).ok).toBe(true)
  expect(proposed).toMatchObject([{ targetId: 't1', node: 'n1', targetBorn: 7, instance: 'run-1' }])
})

test('withdrawal of an earlier start does not name the instance of the present one', async () => {
  await recorder.withdraw('t1', 5)
  expect(proposed).toMatchObject([{ targetBorn: 5, instance: '' }])
})

test('withdrawal of an unknown target is recorded without a start', async () => {
  announced = undefined
  expect((await recorder.withdraw('t1')).ok).toBe(true)
  expect(proposed).toMatchObject([{ targetBorn: 0, instance: '' }])
})

test('withdrawal of a target that is known by its record only is recorded as covering its start', async () => {
  announced = undefined
  recordedStartMs = Number.MAX_SAFE_INTEGER
  await recorder.withdraw('t1')
  expect(proposed).toMatchObject([{ targetBorn: 0, withdrawnMs: recordedStartMs }])
})

test('repeated withdrawal is proposed once', async () => {
  await Promise.all([recorder.withdraw('t1', 7, 1), recorder.withdraw('t1', 7, 2)])
  await recorder.withdraw('t1')
  expect(proposed).toHaveLength(1)
})

// It holds for starts before the withdrawal, so a later one covers more.
test('repeated withdrawal of an unknown target is proposed again', async () => {
  announced = undefined
  await recorder.withdraw('t1')
  await recorder.withdraw('t1')
  expect(proposed).toHaveLength(2)
})

test('withdrawal of a later start is proposed again', async () => {
  await recorder.withdraw('t1', 7)
  await recorder.withdraw('t1', 8)
  expect(proposed.map(record => record.targetBorn)).toEqual([7, 8])
})

test('withdrawal that was not recorded is proposed again', async () => {
  result = Promise.resolve(Err(new NoQuorumError(true)))
  expect((await recorder.withdraw('t1')).ok).toBe(false)
  result = createResult(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  expect((await recorder.withdraw('t1')).ok).toBe(true)
  expect(proposed).toHaveLength(2)
})

test('leader that does not know withdrawals records none', async () => {
  result = createResult(ChangeOutcome.CHANGE_OUTCOME_INVALID)
  expect((await recorder.withdraw('t1')).ok).toBe(false)
})
