import { expect, test } from 'vitest'
import { WithdrawalRecord } from '@lagoonswitch/schema'
import { WithdrawalList } from './WithdrawalList.js'

const MINUTE_MS = 60_000

function createRecord (targetId: string, fields: Partial<WithdrawalRecord> = {}): WithdrawalRecord {
  return WithdrawalRecord.fromPartial({ targetId, node: 'n1', targetBorn: 5, ...fields })
}

function listIds (list: WithdrawalList): string[] {
  return list.getRecords().map(record => record.targetId)
}

test('withdrawals are listed by node', () => {
  const list = new WithdrawalList()
  list.add(createRecord('a'), 1)
  list.add(createRecord('b', { node: 'n2' }), 2)
  expect(list.listOf(['n2']).map(record => record.targetId)).toEqual(['b'])
  expect(list.listOf([])).toEqual([])
})

test('late withdrawal of an earlier start does not replace the one of a later start', () => {
  const list = new WithdrawalList()
  list.add(createRecord('a', { targetBorn: 9 }), 1)
  list.add(createRecord('a', { targetBorn: 5 }), 2)
  expect(list.getRecords()).toMatchObject([{ targetBorn: 9, recordedMs: 1 }])
})

test('withdrawals expire after ten minutes', () => {
  const list = new WithdrawalList()
  list.add(createRecord('a'), 0)
  list.add(createRecord('b'), 5 * MINUTE_MS)
  list.add(createRecord('a'), 9 * MINUTE_MS)
  list.add(createRecord('c'), 16 * MINUTE_MS)
  expect(listIds(list)).toEqual(['a', 'c'])
})

test('oldest withdrawals are dropped beyond 4096', () => {
  const list = new WithdrawalList()
  for (let index = 0; index <= 4_096; index++) list.add(createRecord(`t${index}`), index)
  expect(listIds(list)).toHaveLength(4_096)
  expect(listIds(list)[0]).toBe('t1')
})
