import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { compareVersions } from '@lagoonswitch/common'
import { CatalogueDelta, EvidenceRecord, MoveRecord, Publication, formatEntry, parseEntry, type EntryRecord } from '@lagoonswitch/schema'
import { CatalogueStore } from './CatalogueStore.js'

/** Size limit of a delta, in bytes: the control traffic of a node per second, see docs/CAPACITY.md. */
const MAX_DELTA_BYTES = 3_000
const ENTRY_COUNT = 800
let source: CatalogueStore
let copy: CatalogueStore

function createRecord (name: string, version: number, service = name): EntryRecord {
  const entry = parseEntry({
    entry: name,
    owner: 'o',
    class: 'low',
    limits: { slots: 1, connections: 1 },
    routes: [{ name: 'r', path: `/${name}`, methods: ['GET'], idempotency: 'safe', service }],
    version: `v${version}`
  })
  return { name, version, declaration: entry.ok ? formatEntry(entry.val) : '', removed: false }
}

function createTombstone (name: string, version: number): EntryRecord {
  return { name, version, declaration: '', removed: true }
}

function commit (version: number, ...records: EntryRecord[]): void {
  source.commitRecords({ epoch: 1, version }, records, [])
}

function takeDelta (): CatalogueDelta {
  const delta = source.computeDelta(copy.version)
  if (delta === undefined) throw new Error('nothing to send')
  return delta
}

beforeEach(() => {
  source = new CatalogueStore()
  copy = new CatalogueStore()
  commit(1, createRecord('a', 1))
  copy.applyDelta(takeDelta())
})

test('delta carries only changed records', () => {
  commit(2, createRecord('b', 2))
  commit(3, createRecord('b', 3))
  const delta = takeDelta()
  expect(delta.full).toBe(false)
  expect(delta.entries.map(record => record.version)).toEqual([3])
  expect(copy.applyDelta(delta).ok).toBe(true)
  expect(copy.digest).toEqual(source.digest)
})

test('delta carries a move without its baseline', () => {
  const baseline = [EvidenceRecord.fromPartial({ service: 'a', route: 'r', calls: 1_000 })]
  source.commitRecords({ epoch: 1, version: 2 }, [], [MoveRecord.fromPartial({ service: 'a', to: 'v2', version: 2, baseline })])
  const delta = takeDelta()
  expect(delta.moves).toMatchObject([{ to: 'v2', baseline: [] }])
  expect(copy.applyDelta(CatalogueDelta.decode(CatalogueDelta.encode(delta).finish())).ok).toBe(true)
  expect(copy.digest).toEqual(source.digest)
  expect(source.getContent().moves).toMatchObject([{ baseline }])
})

test('delta of one entry among many is small, whatever the order of the publication', () => {
  const names = Array.from({ length: ENTRY_COUNT }, (_, index) => `entry-${index}`)
  const publish = (version: number, ...records: EntryRecord[]): void => source.commitRecords({ epoch: 1, version }, records, [],
    Publication.fromPartial({
      number: version, digest: `content-${version}`, order: [...names].reverse(), annotation: 'x'.repeat(ENTRY_COUNT)
    }))
  publish(2, ...names.map(name => createRecord(name, 2)))
  copy.applyDelta(takeDelta()).unwrap()
  publish(3, createRecord('entry-7', 3))
  const delta = takeDelta()
  expect(CatalogueDelta.encode(delta).finish().length).toBeLessThan(MAX_DELTA_BYTES)
  copy.applyDelta(delta).unwrap()
  expect(copy.digest).toEqual(source.digest)
  expect(copy.view.publication?.digest).toBe('content-3')
  const restored = new CatalogueStore()
  restored.restoreContent(source.getContent())
  expect(restored.digest).toEqual(source.digest)
  expect(restored.view.publication?.order).toEqual([...names].reverse())
})

test('older and equal versions are refused', () => {
  const old = { ...takeDeltaOf(0), version: { epoch: 1, version: 1 } }
  expect(copy.applyDelta(old).ok).toBe(false)
  expect(copy.applyDelta({ ...old, version: { epoch: 0, version: 99 } }).ok).toBe(false)
  expect(copy.version.version).toBe(1)
})

test('higher epoch wins over a higher version', () => {
  const restarted = new CatalogueStore()
  restarted.commitRecords({ epoch: 2, version: 1 }, [createRecord('z', 1)], [])
  const delta = restarted.computeDelta(copy.version)
  expect(delta?.full).toBe(true)
  expect(delta !== undefined && copy.applyDelta(delta).ok).toBe(true)
  expect([...copy.view.entries.keys()]).toEqual(['z'])
})

test('refuses the whole version when a route refers to a missing entry', () => {
  commit(2, createRecord('b', 2), createRecord('c', 2, 'b'))
  const delta = takeDelta()
  const partial = { ...delta, entries: delta.entries.filter(record => record.name !== 'b') }
  const before = copy.view
  expect(copy.applyDelta(partial).ok).toBe(false)
  expect(copy.view).toBe(before)
})

test('digest detects a changed declaration', () => {
  commit(2, createRecord('b', 2))
  const delta = takeDelta()
  const [record] = delta.entries
  const forged = { ...delta, entries: [{ ...record as EntryRecord, declaration: record?.declaration.replace('"low"', '"high"') ?? '' }] }
  expect(copy.applyDelta(forged).ok).toBe(false)
  expect(copy.view.entries.has('b')).toBe(false)
})

test('delta for another base is refused', () => {
  commit(2, createRecord('b', 2))
  commit(3, createRecord('c', 3))
  const delta = source.computeDelta({ epoch: 1, version: 2 })
  expect(delta !== undefined && copy.applyDelta(delta).ok).toBe(false)
})

test('removed entries disappear from the copy', () => {
  commit(2, createRecord('b', 2))
  copy.applyDelta(takeDelta())
  commit(3, createTombstone('b', 3))
  copy.applyDelta(takeDelta())
  expect([...copy.view.entries.keys()]).toEqual(['a'])
  expect(copy.digest).toEqual(source.digest)
})

test('sends the whole catalogue after tombstones were dropped', () => {
  for (let version = 2; version < 1_100; version++) commit(version, createTombstone(`t${version}`, version))
  const delta = takeDelta()
  expect(delta.full).toBe(true)
  expect(copy.applyDelta(delta).ok).toBe(true)
  expect(copy.digest).toEqual(source.digest)
})

test('version never decreases when deltas are reordered or repeated', () => {
  const change = fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), removed: fc.boolean() })
  const arrival = fc.record({ delta: fc.nat(30), base: fc.nat(30) })
  fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 20 }), fc.array(arrival, { maxLength: 60 }), (changes, arrivals) => {
    const origin = new CatalogueStore()
    const versions: CatalogueStore[] = []
    for (const [index, { name, removed }] of changes.entries()) {
      const version = index + 1
      origin.commitRecords({ epoch: 1, version }, [removed ? createTombstone(name, version) : createRecord(name, version)], [])
      const copyAtVersion = new CatalogueStore()
      copyAtVersion.restoreContent(origin.getContent())
      versions.push(copyAtVersion)
    }
    const receiver = new CatalogueStore()
    let last = receiver.version
    for (const { delta, base } of arrivals) {
      const sender = versions[delta % versions.length]
      const update = sender?.computeDelta({ epoch: base === 0 ? 0 : 1, version: base % versions.length })
      if (update === undefined) continue
      const before = receiver.view
      const applied = receiver.applyDelta(update)
      if (applied.err) expect(receiver.view).toBe(before)
      expect(compareVersions(receiver.version, last)).toBeGreaterThanOrEqual(0)
      last = receiver.version
      const expected = versions[receiver.version.version - 1]
      if (receiver.version.epoch > 0) expect(receiver.digest).toEqual(expected?.digest)
    }
  }), { seed: 3, numRuns: 200 })
})

function takeDeltaOf (version: number): CatalogueDelta {
  const delta = source.computeDelta({ epoch: 0, version })
  if (delta === undefined) throw new Error('nothing to send')
  return delta
}
