import { mkdtemp, readFile, rm, truncate, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { LogEntryKind, type LogEntry } from '@lagoonswitch/schema'
import { FileStorage } from './FileStorage.js'

let folder: string
const opened: FileStorage[] = []

function openStorage (): FileStorage {
  const storage = new FileStorage(join(folder, 'g'))
  opened.push(storage)
  return storage
}

function createEntry (index: number, text = `command ${index}`): LogEntry {
  return { index, term: 1, kind: LogEntryKind.LOG_ENTRY_KIND_COMMAND, data: Buffer.from(text) }
}

async function writeEntries (count: number): Promise<void> {
  const storage = openStorage()
  await storage.load()
  for (let index = 1; index <= count; index++) await storage.append([createEntry(index)])
  await storage.close()
}

async function countEntries (): Promise<number> {
  const storage = openStorage()
  const { entries } = await storage.load()
  await storage.close()
  return entries.length
}

beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'storage-')) })
afterEach(async () => {
  for (const storage of opened.splice(0)) await storage.close()
  await rm(folder, { recursive: true })
})

test('identity, vote and entries survive a restart', async () => {
  const first = openStorage()
  const { replicaId } = await first.load()
  await first.saveHardState({ term: 7, votedFor: 'x' })
  await first.append([createEntry(1), createEntry(2)])
  await first.close()
  const again = await openStorage().load()
  expect(again.replicaId).toBe(replicaId)
  expect(again.hardState).toEqual({ term: 7, votedFor: 'x' })
  expect(again.entries.map(entry => entry.index)).toEqual([1, 2])
})

test('empty folder gets a new replica id', async () => {
  const first = await openStorage().load()
  await rm(join(folder, 'g'), { recursive: true })
  const second = await openStorage().load()
  expect(second.replicaId).not.toBe(first.replicaId)
})

test('log that ends within the last record loses only that record', async () => {
  await writeEntries(3)
  const path = join(folder, 'g', 'log')
  const whole = await readFile(path)
  const entryCount = (await (async () => {
    await truncate(path, whole.length - 1)
    return await countEntries()
  })())
  expect(entryCount).toBe(2)
  const end = (await readFile(path)).length
  for (let size = whole.length - 1; size >= end; size--) {
    await writeFile(path, whole.subarray(0, size))
    expect(await countEntries()).toBe(2)
  }
})

test('zeros after the last record are removed', async () => {
  await writeEntries(2)
  const path = join(folder, 'g', 'log')
  await writeFile(path, Buffer.concat([await readFile(path), Buffer.alloc(64)]))
  expect(await countEntries()).toBe(2)
})

test('last record of which only the start was written is removed', async () => {
  await writeEntries(3)
  const path = join(folder, 'g', 'log')
  const whole = await readFile(path)
  const start = whole.length - 20
  for (let kept = start; kept < whole.length - 8; kept++) {
    const torn = Buffer.alloc(whole.length + 16)
    whole.copy(torn, 0, 0, kept)
    await writeFile(path, torn)
    expect(await countEntries()).toBe(2)
  }
})

test('reset moves a damaged log away and generates a new replica id', async () => {
  await writeEntries(3)
  const path = join(folder, 'g', 'log')
  const damaged = await readFile(path)
  damaged[20] = (damaged[20] ?? 0) ^ 1
  await writeFile(path, damaged)
  const storage = openStorage()
  await expect(storage.load()).rejects.toThrow(/damaged/)
  await storage.reset()
  expect((await storage.load()).entries).toEqual([])
})

test('flipped bit is reported as damage, never skipped', async () => {
  await writeEntries(4)
  const path = join(folder, 'g', 'log')
  const whole = await readFile(path)
  await fc.assert(fc.asyncProperty(fc.nat(whole.length - 1), fc.integer({ min: 0, max: 7 }), async (offset, bit) => {
    const flipped = Buffer.from(whole)
    flipped[offset] = (flipped[offset] ?? 0) ^ (1 << bit)
    await writeFile(path, flipped)
    await expect(countEntries()).rejects.toThrow(/damaged.*replace this control VM/)
  }), { seed: 11, numRuns: 200 })
})

// A log that was written with entries at wrong indexes must not be read as if each entry were at the index of its position.
test.each([[[1, 2, 2, 3]], [[1, 3]], [[2, 3]]])('log whose entries are not at their indexes is damaged: %j', async indexes => {
  const storage = openStorage()
  await storage.load()
  await storage.append(indexes.map(index => createEntry(index)))
  await storage.close()
  await expect(countEntries()).rejects.toThrow(/in the place of another one.*replace this control VM/)
})

test('append continues after a removed tail', async () => {
  await writeEntries(3)
  const path = join(folder, 'g', 'log')
  await truncate(path, (await readFile(path)).length - 5)
  const storage = openStorage()
  await storage.load()
  await storage.append([createEntry(3, 'again')])
  await storage.close()
  const { entries } = await openStorage().load()
  expect(entries.map(entry => entry.data.toString())).toEqual(['command 1', 'command 2', 'again'])
})

test('truncation and snapshot survive a restart', async () => {
  await writeEntries(5)
  const storage = openStorage()
  await storage.load()
  await storage.truncateFrom(5)
  await storage.saveSnapshot({
    header: { lastIndex: 3, lastTerm: 1, members: { members: [] } }, state: Buffer.from('state')
  }, 2, 1, [createEntry(3), createEntry(4)])
  await storage.append([createEntry(5, 'new')])
  await storage.close()
  const again = await openStorage().load()
  expect(again.baseIndex).toBe(2)
  expect(again.entries.map(entry => entry.data.toString())).toEqual(['command 3', 'command 4', 'new'])
  expect(again.snapshot?.state.toString()).toBe('state')
})
