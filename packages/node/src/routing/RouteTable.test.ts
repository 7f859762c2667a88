import { expect, test } from 'vitest'
import { MAX_TIMER_MS } from '@lagoonswitch/common'
import { MoveRecord, MoveStatus, parseEntry, type IEntry } from '@lagoonswitch/schema'
import { RouteTable } from './RouteTable.js'

const DESK = createEntry('desk', 'v1')
const FRONT = createEntry('front', 'v1', [{ name: 'all', path: '/all/', idempotency: 'safe', service: 'desk' }])

function createEntry (name: string, version: string, routes: object[] = []): IEntry {
  return parseEntry({ entry: name, owner: 'o', class: 'normal', limits: { slots: 1, connections: 1 }, routes, version }).unwrap()
}

function createTable (entries: readonly IEntry[], ...moves: MoveRecord[]): RouteTable {
  return new RouteTable({
    version: { epoch: 1, version: 1 },
    entries: new Map(entries.map(entry => [entry.entry, entry])),
    moves: new Map(moves.map(move => [move.service, move])),
    publication: undefined
  })
}

function createMove (sharePpm: number): MoveRecord {
  return MoveRecord.fromPartial({
    service: 'desk', from: 'v1', to: 'v2', status: MoveStatus.MOVE_STATUS_RUNNING, sharePpm, ordered: true
  })
}

test('route of an unchanged entry follows each step of a move of its service', () => {
  const readSplit = (...moves: MoveRecord[]): unknown => createTable([DESK, FRONT], ...moves).findRoute('h', 'GET', '/all/x')?.parts[0]?.split
  expect(readSplit()).toMatchObject({ from: 'v1', to: '' })
  expect(readSplit(createMove(20_000))).toMatchObject({ to: 'v2', sharePpm: 20_000 })
  expect(readSplit(createMove(160_000))).toMatchObject({ to: 'v2', sharePpm: 160_000 })
  expect(readSplit()).toMatchObject({ from: 'v1', to: '' })
})

test('route of an unchanged entry follows a change of its service', () => {
  createTable([DESK, FRONT])
  const changed = createEntry('desk', 'v3')
  const part = createTable([changed, FRONT]).findRoute('h', 'GET', '/all/x')?.parts[0]
  expect(part?.serviceEntry).toBe(changed)
  expect(part?.split.from).toBe('v3')
})

test('route whose service was missing is found once the service exists', () => {
  const late = createEntry('late', 'v1', [{ name: 'all', path: '/late/', idempotency: 'safe', service: 'desk' }])
  expect(createTable([late]).findRoute('h', 'GET', '/late/x')).toBeUndefined()
  expect(createTable([late, DESK]).findRoute('h', 'GET', '/late/x')?.parts[0]?.service).toBe('desk')
})

test('time limits beyond a timer and 32 bits are shortened', () => {
  const route = { name: 'r', path: '/long/', idempotency: 'safe', service: 'desk', objective: '5000000s' }
  const limits = { slots: 1, connections: 1, deadline: '5000000s' }
  const entry = parseEntry({ entry: 'long', owner: 'o', class: 'normal', limits, routes: [route] }).unwrap()
  const compiled = createTable([DESK, entry]).findRoute('h', 'GET', '/long/x')
  expect(compiled).toMatchObject({ deadlineMs: MAX_TIMER_MS, objectiveMs: MAX_TIMER_MS })
})
