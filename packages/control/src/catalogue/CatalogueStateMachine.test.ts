import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { CatalogueStore } from '@lagoonswitch/feed'
import {
  CatalogueCommand, ChangeCommand, ChangeOutcome, ChangeReply, MoveStatus, parseEntry, formatEntry, type EntryEdit
} from '@lagoonswitch/schema'
import { CatalogueStateMachine } from './CatalogueStateMachine.js'

const NOW_MS = Date.UTC(2026, 0, 1)
const BY = '2026-01-01T01:00:00Z'
let store: CatalogueStore
let machine: CatalogueStateMachine
let requests = 0

function createDeclaration (name: string, extra: object = {}): object {
  return {
    entry: name,
    owner: 'beaulieu',
    class: 'first',
    limits: { slots: 9, connections: 130 },
    routes: [{ name: 'read', path: `/${name}`, methods: ['GET'], idempotency: 'safe' }],
    version: 'v1',
    ...extra
  }
}

function createEdit (name: string, expectedVersion: number, extra: object = {}): EntryEdit {
  const entry = parseEntry(createDeclaration(name, extra))
  const declaration = entry.ok ? formatEntry(entry.val) : JSON.stringify(createDeclaration(name, extra))
  return { name, expectedVersion, declaration, annotation: '' }
}

function change (edits: EntryEdit[], operator = 'ann', requestId = `request-${requests++}`): ChangeReply {
  return ChangeReply.decode(machine.apply(CatalogueCommand.encode({
    nowMs: NOW_MS, command: { $case: 'change', value: ChangeCommand.fromPartial({ requestId, operator, edits }) }
  }).finish()))
}

function decideMove (status: MoveStatus, sharePpm: number, expectedVersion = store.getMove('desk')?.version ?? 0): ChangeReply {
  return ChangeReply.decode(machine.apply(CatalogueCommand.encode({
    nowMs: NOW_MS,
    command: { $case: 'move', value: { service: 'desk', expectedVersion, status, sharePpm, reason: 'test', late: false, baseline: [] } }
  }).finish()))
}

beforeEach(() => {
  store = new CatalogueStore()
  machine = new CatalogueStateMachine(store)
  machine.apply(CatalogueCommand.encode({ nowMs: NOW_MS, command: { $case: 'bootstrap', value: { epoch: 5 } } }).finish())
})

test('two edits of the same version give one winner and one conflict', () => {
  expect(change([createEdit('desk', 0)], 'ann').outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  const lost = change([createEdit('desk', 0, { owner: 'other' })], 'bob')
  expect(lost.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_CONFLICT)
  expect(lost.winnerOperator).toBe('ann')
  expect(lost.winner?.version).toBe(2)
})

test('repeated change gets the first reply', () => {
  const first = change([createEdit('desk', 0)], 'ann', 'request-same')
  change([createEdit('desk', 2, { owner: 'other' })])
  const again = change([createEdit('desk', 0)], 'ann', 'request-same')
  expect(again).toEqual({ ...first, repeated: true })
})

// On a platform a service declares no version and no move; its limits may change while an ordered move runs.
test('change of a declaration does not end an ordered move', () => {
  change([createEdit('desk', 0, { version: undefined })])
  machine.apply(CatalogueCommand.encode({
    nowMs: NOW_MS, command: { $case: 'order', value: { service: 'desk', from: 'v1', to: 'v2', withinMs: 12_000 } }
  }).finish())
  const reply = change([createEdit('desk', 2, { version: undefined, limits: { slots: 9, connections: 99 } })])
  expect(reply.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  expect(store.getMove('desk')).toMatchObject({ status: MoveStatus.MOVE_STATUS_RUNNING, to: 'v2' })
})

test('withdrawal is in the snapshot and does not change the version', () => {
  const value = { targetId: 't1', node: 'n1', targetBorn: 7, instance: '', withdrawnMs: NOW_MS, recordedMs: 0 }
  const { version } = store
  machine.apply(CatalogueCommand.encode({ nowMs: NOW_MS, command: { $case: 'withdrawal', value } }).finish())
  expect(store.version).toEqual(version)
  const restored = new CatalogueStateMachine(new CatalogueStore())
  restored.restoreSnapshot(machine.takeSnapshot())
  expect(restored.withdrawals.listOf(['n1'])).toEqual([{ ...value, recordedMs: NOW_MS }])
})

test('repeated change gets the first reply after a snapshot', () => {
  const first = change([createEdit('desk', 0)], 'ann', 'request-same')
  const copy = new CatalogueStateMachine(new CatalogueStore())
  copy.restoreSnapshot(machine.takeSnapshot())
  machine = copy
  expect(change([createEdit('desk', 0)], 'ann', 'request-same')).toEqual({ ...first, repeated: true })
})

test('request id that another operator used is refused', () => {
  change([createEdit('desk', 0)], 'ann', 'request-same')
  const other = change([createEdit('desk', 0)], 'bob', 'request-same')
  expect(other.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_REQUEST_REUSED)
})

test('invalid edit refuses the whole change', () => {
  const reply = change([createEdit('desk', 0), createEdit('press', 0, { unknown: 1 })])
  expect(reply.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_INVALID)
  expect(reply.message).toMatch(/press.*unknown/i)
  expect(store.view.entries.size).toBe(0)
})

test('dangling reference is refused', () => {
  const routes = [{ name: 'read', path: '/x', methods: ['GET'], idempotency: 'safe', service: 'nowhere' }]
  expect(change([createEdit('desk', 0, { routes })]).message).toMatch(/no entry is named nowhere/)
})

test('removing a referenced entry is refused', () => {
  const routes = [{ name: 'read', path: '/x', methods: ['GET'], idempotency: 'safe', service: 'desk' }]
  change([createEdit('desk', 0), createEdit('front', 0, { routes })])
  const reply = change([{ name: 'desk', expectedVersion: 2, declaration: '' }])
  expect(reply.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_INVALID)
  expect(store.view.entries.has('desk')).toBe(true)
})

test('move in the past is refused', () => {
  const move = { to: 'v2', by: '2025-12-31T00:00:00Z' }
  expect(change([createEdit('desk', 0, { move })]).message).toMatch(/in the past; set a later time/)
})

test('impossible limits are refused', () => {
  const reply = change([createEdit('desk', 0, { limits: { slots: 20, connections: 10 } })])
  expect(reply.message).toMatch(/20 slots can't be used with 10 connections/)
})

test('version changes only through a move', () => {
  change([createEdit('desk', 0)])
  expect(change([createEdit('desk', 2, { version: 'v2' })]).message).toMatch(/declare a move to v2/)
  change([createEdit('desk', 2, { move: { to: 'v2', by: BY } })])
  decideMove(MoveStatus.MOVE_STATUS_DONE, 1_000_000)
  const version = store.getRecord('desk')?.version ?? 0
  expect(change([createEdit('desk', version, { version: 'v2' })]).outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
})

test('decision of a deposed leader is refused as a conflict', () => {
  change([createEdit('desk', 0, { move: { to: 'v2', by: BY } })])
  const seen = store.getMove('desk')?.version ?? 0
  decideMove(MoveStatus.MOVE_STATUS_TAKEN_BACK, 0)
  const late = decideMove(MoveStatus.MOVE_STATUS_RUNNING, 500_000, seen)
  expect(late.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_CONFLICT)
  expect(store.getMove('desk')?.status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('random bytes as a command change nothing and throw no error', () => {
  change([createEdit('desk', 0)])
  const before = store.view
  fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), bytes => {
    expect(ChangeReply.decode(machine.apply(bytes)).outcome).not.toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
    expect(store.view).toBe(before)
  }), { seed: 13, numRuns: 2_000 })
})

test('withdrawn move is taken back', () => {
  change([createEdit('desk', 0, { move: { to: 'v2', by: BY } })])
  change([createEdit('desk', 2)])
  expect(store.getMove('desk')?.status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(store.getMove('desk')?.reason).toMatch(/withdrawn/)
})

test('accounts are edited one by one, and no edit gives two accounts the same key', () => {
  const createAccountEdit = (account: string, digit: string, expectedVersion = 0): EntryEdit => ({
    name: `account/${account}`, expectedVersion, declaration: JSON.stringify({ account, key_digests: [digit.repeat(64)] }), annotation: ''
  })
  expect(change([createAccountEdit('x', 'a')]).outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  const refused = change([createAccountEdit('y', 'a')])
  expect(refused.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_INVALID)
  expect(refused.message).toMatch(/the account x has the same key/)
  expect(change([{ ...createAccountEdit('y', 'b'), name: 'account/z' }]).outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_INVALID)
  const { version } = store.getRecord('account/x') ?? { version: 0 }
  const passed = change([{ ...createAccountEdit('x', 'a', version), declaration: '' }, createAccountEdit('y', 'a')])
  expect(passed.outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  const copy = new CatalogueStateMachine(new CatalogueStore())
  copy.restoreSnapshot(machine.takeSnapshot())
  expect([...copy.store.view.accounts.keys()]).toEqual(['y'])
})
