/**
 * Files on a disk that fills up: nothing counts as written that is not.
 */
import { mkdtemp, rm, type FileHandle } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LogEntryKind, type LogEntry } from '@lagoonswitch/schema'
import { FileStorage } from './FileStorage.js'

/** Bytes that the disk still takes; a write of more is cut short, and the next one fails. */
let freeBytes = Infinity

vi.mock('node:fs/promises', async importOriginal => {
  const original = await importOriginal<typeof import('node:fs/promises')>()
  const limitWrites = (handle: FileHandle): void => {
    const write = handle.write.bind(handle) as (data: Buffer, offset: number, length: number, position: number) => Promise<{ bytesWritten: number }>
    const writeSome = async (data: Buffer, offset = 0, length = data.length - offset, position = 0): Promise<{ bytesWritten: number }> => {
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
