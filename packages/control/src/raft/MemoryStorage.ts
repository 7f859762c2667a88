/**
 * Storage in memory, for tests and for measuring how much of the time of a commit the disk takes.
 */
import { HardState, LogEntry } from '@lagoonswitch/schema'
import { RaftStorage } from './RaftStorage.js'
import type { IDurableState, ISnapshot } from './RaftTypes.js'

/** Survives the replica that uses it, but not the process. */
export class MemoryStorage extends RaftStorage {
  private _hardState: HardState = { term: 0, votedFor: '' }
  private _snapshot: ISnapshot | undefined
  private _baseIndex = 0
  private _baseTerm = 0
  private _entries: LogEntry[] = []
  /** Called before each write; a rejection makes the write fail. */
  onWrite: (kind: 'hard-state' | 'append' | 'truncate' | 'snapshot') => Promise<void> = async () => {}

  /** @param _replicaId - identity of the replica */
  constructor (private _replicaId: string) {
    super()
  }

  async load (): Promise<IDurableState> {
    return {
      replicaId: this._replicaId,
      hardState: { ...this._hardState },
      snapshot: this._snapshot,
      baseIndex: this._baseIndex,
      baseTerm: this._baseTerm,
      entries: [...this._entries]
    }
  }

  async saveHardState (state: HardState): Promise<void> {
    await this.onWrite('hard-state')
    this._hardState = { ...state }
  }

  async append (entries: readonly LogEntry[]): Promise<void> {
    await this.onWrite('append')
    this._entries.push(...entries)
  }

  async truncateFrom (index: number): Promise<void> {
    await this.onWrite('truncate')
    this._entries.length = Math.max(0, index - this._baseIndex - 1)
  }

  async saveSnapshot (
    snapshot: ISnapshot, baseIndex: number, baseTerm: number, entries: readonly LogEntry[]
  ): Promise<void> {
    await this.onWrite('snapshot')
    this._snapshot = snapshot
    this._baseIndex = baseIndex
    this._baseTerm = baseTerm
    this._entries = [...entries]
  }

  async reset (): Promise<void> {
    this._hardState = { term: 0, votedFor: '' }
    this._snapshot = undefined
    this._baseIndex = 0
    this._baseTerm = 0
    this._entries = []
    this._replicaId += '-again'
  }

  async close (): Promise<void> {}
}
