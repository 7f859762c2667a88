/**
 * Files on a disk that fills up: nothing counts as written that is not, and the log does not grow without bound.
 */
import { mkdtemp, readdir, rm, stat, type FileHandle } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LogEntryKind, type LogEntry } from '@lagoonswitch/schema'
import { ManualClock, NullLog, SeededRandom } from '@lagoonswitch/common'
import { FileStorage } from './FileStorage.js'
import { RaftGroup } from './RaftGroup.js'
import type { RaftTransport } from './RaftTransport.js'
import { StateMachine } from './StateMachine.js'

/** Bytes that the disk still takes; a write of more is cut short, and the next one fails. */
let freeBytes = Infinity

type WriteAt = (data: Buffer, offset: number, length: number, position: number) => Promise<{ bytesWritten: number }>

vi.mock('node:fs/promises', async importOriginal => {
  const original = await importOriginal<typeof import('node:fs/promises')>()
  const limitWrites = (handle: FileHandle): void => {
    const write = handle.write.bind(handle) as WriteAt
    const writeSome: WriteAt = async (data, offset, length, position) => {
      if (length > 0 && freeBytes === 0) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' })
      const allowed = Math.min(length, freeBytes)
      freeBytes -= allowed
      return await write(data, offset, allowed, position)
    }
    Object.assign(handle, { write: writeSome })
  }
  return {
    ...original,
    open: async (...args: Parameters<typeof original.open>) => {
      const handle = await original.open(...args)
      limitWrites(handle)
      return handle
    }
  }
})

let folder: string

beforeEach(async () => {
  freeBytes = Infinity
  folder = await mkdtemp(join(tmpdir(), 'full-disk-'))
})

afterEach(async () => { await rm(folder, { recursive: true }) })

function createEntry (index: number, bytes = 100): LogEntry {
  return { index, term: 1, kind: LogEntryKind.LOG_ENTRY_KIND_COMMAND, data: Buffer.alloc(bytes, index) }
}

async function countStored (): Promise<number> {
  freeBytes = Infinity
  const storage = new FileStorage(join(folder, 'g'))
  const { entries } = await storage.load()
  await storage.close()
  return entries.length
}

test.each([0, 1, 50, 130, 199])('append that does not fit on the disk fails: %s bytes left', async bytes => {
  const storage = new FileStorage(join(folder, 'g'))
  await storage.load()
  await storage.append([createEntry(1)])
  freeBytes = bytes
  await expect(storage.append([createEntry(2), createEntry(3)])).rejects.toThrow(/no space/)
  await storage.close()
  expect(await countStored()).toBeLessThan(3)
  const again = new FileStorage(join(folder, 'g'))
  const { entries } = await again.load()
  await again.append([createEntry(entries.length + 1)])
  await again.close()
  expect(await countStored()).toBe(entries.length + 1)
})

/** State of a fixed size, as a catalogue has whose entries change again and again. */
class FixedStateMachine extends StateMachine {
  private _state: Uint8Array = new Uint8Array()

  apply (command: Uint8Array): Uint8Array {
    this._state = command
    return new Uint8Array()
  }

  takeSnapshot (): Uint8Array { return this._state }
  restoreSnapshot (state: Uint8Array): void { this._state = state }
}

/** Disk of a control VM on the platform. */
const DISK_BYTES = 256 * 1_048_576

test('log and snapshots of large changes stay within the disk', async () => {
  const clock = new ManualClock()
  const group = new RaftGroup({
    group: 'g',
    name: 'c1',
    initialMembers: [{ name: 'c1', address: 'c1' }],
    automatic: undefined,
    heartbeatMs: 100,
    electionTimeoutMs: 1_000,
    snapshotEntries: 4_096,
    clock,
    random: new SeededRandom(1),
    log: new NullLog(),
    storage: new FileStorage(join(folder, 'g')),
    transport: {} as RaftTransport,
    stateMachine: new FixedStateMachine()
  })
  await group.start()
  while (!group.isReadyLeader) await clock.advance(100)
  let largest = 0
  // Publications of 200 kB, as of some thousand routes that all change; 400 MB in all.
  for (let round = 0; round < 100; round++) {
    const results = await Promise.all(Array.from({ length: 20 }, async () => await group.propose(Buffer.alloc(200_000, round))))
    expect(results.every(result => result.ok)).toBe(true)
    largest = Math.max(largest, await measureFolder(join(folder, 'g')))
  }
  await group.close()
  expect(largest).toBeLessThan(DISK_BYTES / 2)
}, 60_000)

async function measureFolder (path: string): Promise<number> {
  const names = await readdir(path)
  const sizes = await Promise.all(names.map(async name => await stat(join(path, name)).then(({ size }) => size, () => 0)))
  return sizes.reduce((sum, size) => sum + size, 0)
}
