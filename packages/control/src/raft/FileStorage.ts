/**
 * Storage in a folder: identity, hard state, log and snapshot, each synced with its directory entry.
 */
import { mkdir, open, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { StorageError, formatError } from '@lagoonswitch/common'
import { HardState, LogEntry, LogEntryKind, SnapshotFile } from '@lagoonswitch/schema'
import { RaftStorage } from './RaftStorage.js'
import { encodeRecord, scanRecords } from './RecordFile.js'
import type { IDurableState, ISnapshot } from './RaftTypes.js'

const IDENTITY_FILE = 'replica-id'
const HARD_STATE_FILE = 'hard-state'
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'
const DAMAGED_SUFFIX = '.damaged'

/** Stores the state of one replica in one folder. */
export class FileStorage extends RaftStorage {
  private _handle: FileHandle | undefined
  private _baseIndex = 0
  /** End offsets of the base record and of each entry after it. */
  private _recordEnds: number[] = []

  /** @param _folder - folder that only this group uses */
  constructor (private readonly _folder: string) {
    super()
  }

  async load (): Promise<IDurableState> {
    await mkdir(this._folder, { recursive: true })
    await syncFolder(join(this._folder, '..'))
    const replicaId = await this._loadIdentity()
    const hardState = await this._loadHardState()
    const snapshot = await this._loadSnapshot()
    const { base, entries } = await this._loadLog()
    if ((snapshot?.header.lastIndex ?? 0) < base.index) {
      throw new StorageError(`the log in ${this._folder} starts after the snapshot ends`,
        'move the data folder aside and replace this control VM with lagoonctl members replace')
    }
    return { replicaId, hardState, snapshot, baseIndex: base.index, baseTerm: base.term, entries }
  }

  async saveHardState (state: HardState): Promise<void> {
    await this._replaceFile(HARD_STATE_FILE, encodeRecord(HardState.encode(state).finish()))
  }

  async append (entries: readonly LogEntry[]): Promise<void> {
    const handle = this._getHandle()
    let end = this._recordEnds.at(-1) ?? 0
    const start = end
    const records = entries.map(entry => encodeRecord(LogEntry.encode(entry).finish()))
    await writeFully(handle, Buffer.concat(records), start)
    await handle.datasync()
    for (const record of records) {
      end += record.length
      this._recordEnds.push(end)
    }
  }

  async truncateFrom (index: number): Promise<void> {
    const keep = Math.max(1, index - this._baseIndex)
    if (keep >= this._recordEnds.length) return
    this._recordEnds.length = keep
    const handle = this._getHandle()
    await handle.truncate(this._recordEnds.at(-1) ?? 0)
    await handle.sync()
  }

  async saveSnapshot (
    snapshot: ISnapshot, baseIndex: number, baseTerm: number, entries: readonly LogEntry[]
  ): Promise<void> {
    await this._replaceFile(SNAPSHOT_FILE, encodeRecord(SnapshotFile.encode(snapshot).finish()))
    await this._replaceLog(baseIndex, baseTerm, entries)
  }

  async reset (): Promise<void> {
    await this.close()
    const damagedFolder = `${this._folder}${DAMAGED_SUFFIX}`
    await rm(damagedFolder, { recursive: true, force: true })
    await rename(this._folder, damagedFolder)
    await syncFolder(join(this._folder, '..'))
    this._baseIndex = 0
    this._recordEnds = []
  }

  async close (): Promise<void> {
    await this._handle?.close()
    this._handle = undefined
  }

  private async _loadIdentity (): Promise<string> {
    const stored = await this._readRecord(IDENTITY_FILE)
    if (stored !== undefined) return Buffer.from(stored).toString('utf8')
    const replicaId = randomUUID()
    await this._replaceFile(IDENTITY_FILE, encodeRecord(Buffer.from(replicaId, 'utf8')))
    return replicaId
  }

  private async _loadHardState (): Promise<HardState> {
    const stored = await this._readRecord(HARD_STATE_FILE)
    return stored === undefined ? { term: 0, votedFor: '' } : HardState.decode(stored)
  }

  private async _loadSnapshot (): Promise<ISnapshot | undefined> {
    const stored = await this._readRecord(SNAPSHOT_FILE)
    if (stored === undefined) return undefined
    const file = SnapshotFile.decode(stored)
    if (file.header === undefined) return undefined
    return { header: file.header, state: file.state }
  }

  private async _loadLog (): Promise<{ base: LogEntry, entries: LogEntry[] }> {
    const path = join(this._folder, LOG_FILE)
    const data = await readOptional(path)
    if (data === undefined) {
      await this._replaceLog(0, 0, [])
      return { base: createBaseEntry(0, 0), entries: [] }
    }
    const scan = scanRecords(data, path)
    if (scan.err) throw scan.val
    const records = scan.val.records.map(record => LogEntry.decode(record))
    const base = records.shift()
    if (base === undefined) {
      throw new StorageError(`${path} has no base record`,
        'move the data folder aside and replace this control VM with lagoonctl members replace')
    }
    const misplaced = records.find((entry, offset) => entry.index !== base.index + offset + 1)
    if (misplaced !== undefined) {
      throw new StorageError(`${path} holds entry ${misplaced.index} in the place of another one`,
        'move the data folder aside and replace this control VM with lagoonctl members replace')
    }
    this._baseIndex = base.index
    this._recordEnds = scan.val.ends
    this._handle = await open(path, 'r+')
    const end = this._recordEnds.at(-1) ?? 0
    if (end < data.length) {
      await this._handle.truncate(end)
      await this._handle.sync()
    }
    return { base, entries: records }
  }

  private async _readRecord (name: string): Promise<Uint8Array | undefined> {
    const path = join(this._folder, name)
    const data = await readOptional(path)
    if (data === undefined) return undefined
    const scan = scanRecords(data, path)
    if (scan.err) throw scan.val
    const record = scan.val.records[0]
    if (record === undefined) {
      throw new StorageError(`${path} is cut short`,
        'move the data folder aside and replace this control VM with lagoonctl members replace')
    }
    return record
  }

  private async _replaceLog (baseIndex: number, baseTerm: number, entries: readonly LogEntry[]): Promise<void> {
    const records = [createBaseEntry(baseIndex, baseTerm), ...entries]
      .map(entry => encodeRecord(LogEntry.encode(entry).finish()))
    await this._handle?.close()
    this._handle = undefined
    await this._replaceFile(LOG_FILE, Buffer.concat(records))
    this._handle = await open(join(this._folder, LOG_FILE), 'r+')
    this._baseIndex = baseIndex
    this._recordEnds = []
    let end = 0
    for (const record of records) {
      end += record.length
      this._recordEnds.push(end)
    }
  }

  private async _replaceFile (name: string, data: Uint8Array): Promise<void> {
    const path = join(this._folder, name)
    const temporaryPath = `${path}.new`
    await rm(temporaryPath, { force: true })
    const handle = await open(temporaryPath, 'w')
    try {
      await handle.writeFile(data)
      await handle.sync()
    } finally {
      await handle.close()
    }
    await rename(temporaryPath, path)
    await syncFolder(this._folder)
  }

  private _getHandle (): FileHandle {
    if (this._handle === undefined) {
      throw new StorageError(`the log in ${this._folder} is closed`, 'restart the process')
    }
    return this._handle
  }
}

function createBaseEntry (index: number, term: number): LogEntry {
  return { index, term, kind: LogEntryKind.LOG_ENTRY_KIND_UNSPECIFIED, data: Buffer.alloc(0) }
}

async function readOptional (path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path)
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === 'ENOENT') return undefined
    throw new StorageError(formatError(error), 'check the data folder and its permissions')
  }
}

/** Writes all of the data; a single write stores only a part of it on a disk that fills up. */
async function writeFully (handle: FileHandle, data: Buffer, start: number): Promise<void> {
  for (let offset = 0; offset < data.length;) {
    const { bytesWritten } = await handle.write(data, offset, data.length - offset, start + offset)
    offset += bytesWritten
  }
}

async function syncFolder (path: string): Promise<void> {
  const handle = await open(path, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}
