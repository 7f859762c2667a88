/**
 * State of a replica that does not depend on its role: term, vote, log, members and applied commands.
 */
import { Emitter, Mutex, toBuffer, type ILog } from '@lagoonswitch/common'
import { LogEntryKind, Members, type LogEntry, type Member } from '@lagoonswitch/schema'
import { RaftLog } from './RaftLog.js'
import type { IRaftOptions, ISnapshot } from './RaftTypes.js'

/** After a snapshot the log keeps `snapshotEntries` divided by this, for followers that lag behind the snapshot. */
const TRAILING_ENTRIES_DIVISOR = 4
/** Bytes of applied entries after which a snapshot is taken even if they are few, which bounds the log on disk and in memory. */
const MAX_SNAPSHOT_LOG_BYTES = 16 * 1_048_576

/** Called with the result of a command once its entry is applied. */
export type AppliedListener = (entry: LogEntry, result: Uint8Array) => void

/** Durable and applied state of a replica, without elections. */
export class Replica {
  /** Serializes everything that touches the storage. */
  readonly lock = new Mutex()
  readonly onFailed = new Emitter<Error>()
  readonly onMembersChanged = new Emitter<readonly Member[]>()
  readonly onApplied = new Emitter<{ entry: LogEntry, result: Uint8Array }>()
  /** Replaced by {@link load}. */
  log = new RaftLog(0, 0, [])
  replicaId = ''
  term = 0
  votedFor = ''
  commitIndex = 0
  /** Last index that is synced to the disk. */
  syncedIndex = 0
  members: readonly Member[] = []
  membersIndex = 0
  private _appliedIndex = 0
  private _snapshot: ISnapshot | undefined
  private _isSnapshotting = false
  /** Bytes of the entries that were applied after the last snapshot. */
  private _appliedBytes = 0
  private _hasFailed = false

  constructor (readonly options: IRaftOptions) {}

  get hasFailed (): boolean {
    return this._hasFailed
  }

  get appliedIndex (): number {
    return this._appliedIndex
  }

  get snapshot (): ISnapshot | undefined {
    return this._snapshot
  }

  get events (): ILog {
    return this.options.log
  }

  /** @returns members that count for a quorum */
  get voters (): readonly Member[] {
    return this.members.filter(member => member.voter)
  }

  get isVoter (): boolean {
    return this.voters.some(member => member.replicaId === this.replicaId)
  }

  /** Reads the durable state; rejects when it is damaged. */
  async load (): Promise<void> {
    const durable = await this.options.storage.load()
    this.replicaId = durable.replicaId
    this.term = durable.hardState.term
    this.votedFor = durable.hardState.votedFor
    this.log = new RaftLog(durable.baseIndex, durable.baseTerm, durable.entries)
    this.syncedIndex = this.log.lastIndex
    if (durable.snapshot !== undefined) {
      await this._dropLogWithout(durable.snapshot)
      this._restore(durable.snapshot)
    }
    this.updateMembers()
  }

  /**
   * Syncs a new term and vote; the lock must be held.
   * @param term - not lower than the current one
   * @param votedFor - replica id, or empty
   */
  async saveTermAndVote (term: number, votedFor: string): Promise<void> {
    await this._awaitWrite(this.options.storage.saveHardState({ term, votedFor }))
    this.term = term
    this.votedFor = votedFor
  }

  /**
   * Syncs entries that are in the log already; the lock must be held.
   * @param entries - the first one directly follows syncedIndex
   */
  async syncEntries (entries: readonly LogEntry[]): Promise<void> {
    const [first] = entries
    if (first === undefined) return
    if (first.index !== this.syncedIndex + 1) {
      throw await this._markFailed(new Error(`entry ${first.index} doesn't follow ${this.syncedIndex}, the last one on the disk`))
    }
    await this._awaitWrite(this.options.storage.append(entries))
    this.syncedIndex += entries.length
  }

  /**
   * Removes a suffix from log and disk; the lock must be held.
   * @param index - first entry to remove
   */
  async truncateFrom (index: number): Promise<void> {
    if (index <= this.commitIndex) {
      throw await this._markFailed(new Error(`refusing to remove the committed entry ${index}`))
    }
    await this._awaitWrite(this.options.storage.truncateFrom(index))
    this.log.truncateFrom(index)
    this.syncedIndex = Math.min(this.syncedIndex, this.log.lastIndex)
    this.updateMembers()
  }

  /**
   * Resumes after a failed write with the state that the disk actually holds; the lock must be held. Applied entries were
   * committed and stay applied.
   * @returns false if the disk still cannot be written
   */
  async recover (): Promise<boolean> {
    const { storage } = this.options
    try {
      await storage.close()
      const durable = await storage.load()
      await storage.saveHardState(durable.hardState)
      this.log = new RaftLog(durable.baseIndex, durable.baseTerm, durable.entries)
      this.syncedIndex = this.log.lastIndex
      this.term = durable.hardState.term
      this.votedFor = durable.hardState.votedFor
    } catch {
      return false
    }
    this._hasFailed = false
    this.updateMembers()
    return true
  }

  /** Removes entries that were never synced to this disk. */
  dropUnsynced (): void {
    this.log.truncateFrom(this.syncedIndex + 1)
    this.updateMembers()
  }

  /** Adopts the latest member list of the log or the snapshot, whether committed or not. */
  updateMembers (): void {
    for (let index = this.log.lastIndex; index > this.log.baseIndex; index--) {
      const entry = this.log.getEntry(index)
      if (entry?.kind === LogEntryKind.LOG_ENTRY_KIND_MEMBERS) {
        this.members = Members.decode(entry.data).members
        this.membersIndex = index
        this.onMembersChanged.fire(this.members)
        return
      }
    }
    this.members = this._snapshot?.header.members?.members ?? []
    this.membersIndex = this._snapshot?.header.lastIndex ?? 0
    this.onMembersChanged.fire(this.members)
  }

  /**
   * Advances the commit index and applies the entries up to it.
   * @param index - new commit index; lower values have no effect
   */
  commitTo (index: number): void {
    this.commitIndex = Math.max(this.commitIndex, Math.min(index, this.log.lastIndex))
    while (this._appliedIndex < this.commitIndex) {
      const entry = this.log.getEntry(this._appliedIndex + 1)
      if (entry === undefined) return
      this._appliedIndex++
      this._appliedBytes += entry.data.length
      const result = entry.kind === LogEntryKind.LOG_ENTRY_KIND_COMMAND
        ? this.options.stateMachine.apply(entry.data)
        : new Uint8Array()
      this.onApplied.fire({ entry, result })
    }
    this._startSnapshotIfDue()
  }

  /**
   * Replaces the log by a snapshot from the leader, and the state unless it is newer; the lock must be held. A former leader has applied
   * entries that only the others had stored, and lacks them in its log.
   * @param snapshot - a snapshot beyond the commit index, or beyond the end of the log
   */
  async installSnapshot (snapshot: ISnapshot): Promise<void> {
    await this._replaceLog(snapshot)
    if (snapshot.header.lastIndex > this._appliedIndex) this._restore(snapshot)
    else this._snapshot = snapshot
    this.updateMembers()
  }

  /** A log without the last entry of the snapshot is a remainder from before the snapshot was installed. */
  private async _dropLogWithout (snapshot: ISnapshot): Promise<void> {
    const { lastIndex, lastTerm } = snapshot.header
    if (this.log.getTerm(lastIndex) !== lastTerm) await this._replaceLog(snapshot)
  }

  private async _replaceLog (snapshot: ISnapshot): Promise<void> {
    const { lastIndex, lastTerm } = snapshot.header
    await this._awaitWrite(this.options.storage.saveSnapshot(snapshot, lastIndex, lastTerm, []))
    this.log.resetTo(lastIndex, lastTerm)
    this.syncedIndex = lastIndex
  }

  private _restore (snapshot: ISnapshot): void {
    this.options.stateMachine.restoreSnapshot(snapshot.state)
    this._snapshot = snapshot
    this._appliedIndex = snapshot.header.lastIndex
    this._appliedBytes = 0
    this.commitIndex = Math.max(this.commitIndex, this._appliedIndex)
  }

  private _startSnapshotIfDue (): void {
    const lastSnapshotIndex = this._snapshot?.header.lastIndex ?? 0
    const isDue = this._appliedIndex - lastSnapshotIndex >= this.options.snapshotEntries || this._appliedBytes >= MAX_SNAPSHOT_LOG_BYTES
    if (this._isSnapshotting || !isDue) return
    this._isSnapshotting = true
    this.lock.run(async () => { await this._takeSnapshot() })
      .catch(() => undefined)
      .finally(() => { this._isSnapshotting = false })
  }

  private async _takeSnapshot (): Promise<void> {
    const lastIndex = this._appliedIndex
    const lastTerm = this.log.getTerm(lastIndex)
    if (lastTerm === undefined) return
    const snapshot: ISnapshot = {
      header: { lastIndex, lastTerm, members: { members: this._findMembersAt(lastIndex) } },
      state: toBuffer(this.options.stateMachine.takeSnapshot())
    }
    const coveredBytes = this._appliedBytes
    // While the own disk was slow, the others may have committed entries that are not in its log yet.
    await this.syncEntries(this.log.getRange(this.syncedIndex + 1, lastIndex))
    const baseIndex = this._findTrailingBase(lastIndex)
    const baseTerm = this.log.getTerm(baseIndex) ?? lastTerm
    const kept = this.log.getRange(baseIndex + 1, this.syncedIndex)
    await this._awaitWrite(this.options.storage.saveSnapshot(snapshot, baseIndex, baseTerm, kept))
    this._snapshot = snapshot
    this._appliedBytes -= coveredBytes
    this.log.compactTo(baseIndex)
  }

  /** Finds the entry after which the log is kept when a snapshot covers it up to `lastIndex`. */
  private _findTrailingBase (lastIndex: number): number {
    const trailingEntries = Math.floor(this.options.snapshotEntries / TRAILING_ENTRIES_DIVISOR)
    const lowest = Math.max(this.log.baseIndex, lastIndex - trailingEntries)
    let bytes = 0
    let base = lastIndex
    for (; base > lowest; base--) {
      bytes += this.log.getEntry(base)?.data.length ?? 0
      if (bytes > MAX_SNAPSHOT_LOG_BYTES / TRAILING_ENTRIES_DIVISOR) break
    }
    return base
  }

  private _findMembersAt (lastIndex: number): Member[] {
    for (let index = lastIndex; index > this.log.baseIndex; index--) {
      const entry = this.log.getEntry(index)
      if (entry?.kind === LogEntryKind.LOG_ENTRY_KIND_MEMBERS) return Members.decode(entry.data).members
    }
    return this._snapshot?.header.members?.members ?? []
  }

  private async _awaitWrite (write: Promise<void>): Promise<void> {
    if (this._hasFailed) {
      // The write has begun; its failure adds nothing.
      write.catch(() => undefined)
      throw new Error('the replica has failed')
    }
    try {
      await write
    } catch (error) {
      throw await this._markFailed(error instanceof Error ? error : new Error(String(error)))
    }
  }

  private async _markFailed (error: Error): Promise<Error> {
    this._hasFailed = true
    this.onFailed.fire(error)
    return error
  }
}
