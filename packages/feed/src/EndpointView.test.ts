import { expect, test } from 'vitest'
import fc from 'fast-check'
import { EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import { EndpointView } from './EndpointView.js'

function createRecord (targetId: string, incarnation: number, sequence: number): EndpointRecord {
  return {
    targetId,
    incarnation,
    sequence,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 's',
    version: 'v1',
    linkAddress: 'x:1',
    region: 'r',
    availabilityZone: 'z',
    slots: 1,
    node: 'n'
  }
}

test('result does not depend on the order of records', () => {
  const record = fc.record({ id: fc.constantFrom('a', 'b'), incarnation: fc.nat(3), sequence: fc.nat(5) })
  fc.assert(fc.property(fc.array(record, { maxLength: 30 }), fc.nat(), (items, rotation) => {
    const records = items.map(item => createRecord(item.id, item.incarnation, item.sequence))
    const inOrder = new EndpointView()
    const other = new EndpointView()
    inOrder.merge(records)
    const rotated = [...records.slice(rotation % (records.length + 1)), ...records]
    for (const item of rotated.reverse()) other.merge([item])
    const list = (view: EndpointView): string[] => view.getRecords().map(item => `${item.targetId} ${item.incarnation} ${item.sequence}`).sort()
    expect(list(other)).toEqual(list(inOrder))
  }), { seed: 5 })
})

test('late removal does not win over a newer announcement', () => {
  const view = new EndpointView()
  const old = createRecord('a', 1, 1)
  view.merge([old])
  view.merge([createRecord('a', 1, 2)])
  view.markGone([old])
  expect(view.getRecord('a')?.state).toBe(EndpointState.ENDPOINT_STATE_READY)
})

test('announcement with the same sequence as a removal wins', () => {
  const view = new EndpointView()
  const record = createRecord('a', 1, 1)
  view.merge([record])
  view.markGone([record])
  // A node that joins a source announces its own records with the next sequence, which the removal has used as well.
  view.merge([{ ...record, sequence: 2 }])
  expect(view.getRecord('a')?.state).toBe(EndpointState.ENDPOINT_STATE_READY)
})

test('lost target is marked as gone', () => {
  const view = new EndpointView()
  const record = createRecord('a', 1, 1)
  view.merge([record])
  view.markGone([record])
  expect(view.getRecord('a')).toMatchObject({ state: EndpointState.ENDPOINT_STATE_GONE, sequence: 2 })
})

test('event carries the origin, and repeated records cause none', () => {
  const view = new EndpointView()
  const origins: unknown[] = []
  view.onChanged(({ origin }) => origins.push(origin))
  const source = {}
  view.merge([createRecord('a', 1, 1)], source)
  view.merge([createRecord('a', 1, 1)], source)
  expect(origins).toEqual([source])
})
