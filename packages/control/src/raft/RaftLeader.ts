/**
 * The leader of a group for one term: one task writes entries to the disk, and one task per peer replicates them.
 */
import { Signal, waitAtMost, type IDisposable } from '@lagoonswitch/common'
import { LogEntryKind, Members, SnapshotFile, type LogEntry, type Member } from '@lagoonswitch/schema'
import type { Replica } from './Replica.js'

const MAX_BATCH_ENTRIES = 1_024
const MAX_BATCH_BYTES = 1_048_576
const SNAPSHOT_TIMEOUT_MS = 10_000
const SNAPSHOT_CHUNK_BYTES = 524_288

interface IPeer {
  member: Member
  nextIndex: number
  matchIndex: number
  /** Monotonic time at which the last answered request was sent. */
  lastAckedSendMs: number
  /** Monotonic time at which this leader began to replicate to the peer. */
  readonly addedMs: number
  readonly wakeSignal: Signal
  isActive: boolean
  /** True if a replica with another id answered at the address. */
  isReplaced: boolean
}

interface IReadBarrier {
  readonly createdMs: number
  readonly resolve: (confirmed: boolean) => void
}

/** Leads until it is disposed; replies that arrive later have no effect. */
export class RaftLeader implements IDisposable {
  private readonly _peers = new Map<string, IPeer>()
  private readonly _writeSignal = new Signal()
  private readonly _readBarriers = new Set<IReadBarrier>()
  private readonly _startedMs: number
  private readonly _firstIndexOfTerm: number
  private _isActive = true

  /**
   * @param _replica - state of this replica
   * @param _term - term of this leadership
   * @param _onHigherTerm - called when a peer is in a higher term
   */
  constructor (
    private readonly _replica: Replica,
    private readonly _term: number,
    private readonly _onHigherTerm: (term: number) => void
  ) {
    this._startedMs = _replica.options.clock.readMonotonicMs()
    this._firstIndexOfTerm = _replica.log.lastIndex + 1
    this.updatePeers()
    this.appendEntry(LogEntryKind.LOG_ENTRY_KIND_NOOP, new Uint8Array())
    void this._runWriter()
  }

  /** True once an entry of this term is committed, so that the commit index is current. */
  get isReady (): boolean {
    return this._isActive && this._replica.commitIndex >= this._firstIndexOfTerm
  }

  /**
   * Appends an entry to the log in memory and wakes the tasks that make it durable.
   * @param kind - kind of the entry
   * @param data - its content
   * @returns the entry
   */
  appendEntry (kind: LogEntryKind, data: Uint8Array): LogEntry {
    const { log } = this._replica
    const entry: LogEntry = { index: log.lastIndex + 1, term: this._term, kind, data: data as Buffer }
    log.push(entry)
    if (kind === LogEntryKind.LOG_ENTRY_KIND_MEMBERS) {
      this._replica.updateMembers()
      this.updatePeers()
    }
    this._writeSignal.notify()
    this._wakePeers()
    return entry
  }

  /**
   * Waits until a quorum has answered a request that was sent after this call began.
   * @returns false when the leadership ended first
   */
  async confirmLeadership (): Promise<boolean> {
    if (!this._isActive) return false
    if (this._computeQuorumAckMs() === Infinity) return true
    return await new Promise<boolean>(resolve => {
      this._readBarriers.add({ createdMs: this._replica.options.clock.readMonotonicMs(), resolve })
      this._wakePeers()
    })
  }

  /** @returns true while a quorum answered within the election timeout */
  hasQuorumContact (): boolean {
    return this.getQuorumContactAgeMs() < this._replica.options.electionTimeoutMs
  }

  /** @returns time since the last request to which a quorum has answered, in milliseconds */
  getQuorumContactAgeMs (): number {
    const quorumAckMs = Math.max(this._computeQuorumAckMs(), this._startedMs)
    return Math.max(0, this._replica.options.clock.readMonotonicMs() - quorumAckMs)
  }

  /**
   * @param replicaId - a peer
   * @returns last log index that the peer is known to hold
   */
  getMatchIndex (replicaId: string): number {
    return this._peers.get(replicaId)?.matchIndex ?? 0
  }

  /**
   * @param replicaId - a peer
   * @returns time since it last answered, or since it was added if it has not answered this leader yet, in milliseconds
   */
  getSilenceMs (replicaId: string): number {
    if (replicaId === this._replica.replicaId) return 0
    const peer = this._peers.get(replicaId)
    const sinceMs = peer === undefined ? this._startedMs : Math.max(peer.lastAckedSendMs, peer.addedMs)
    return this._replica.options.clock.readMonotonicMs() - sinceMs
  }

  /**
   * @param replicaId - a peer
   * @returns true once it has answered this leader
   */
  hasAnswered (replicaId: string): boolean {
    const lastAckedMs = this._peers.get(replicaId)?.lastAckedSendMs
    return lastAckedMs !== undefined && lastAckedMs > -Infinity
  }

  /**
   * @param replicaId - a peer
   * @returns true if a replica with another id answers at its address
   */
  isReplaced (replicaId: string): boolean {
    return this._peers.get(replicaId)?.isReplaced === true
  }

  /** Starts and stops peer tasks after a change of members. */
  updatePeers (): void {
    const membersById = new Map(this._replica.members.map(member => [member.replicaId, member]))
    for (const [id, peer] of this._peers) {
      if (membersById.has(id)) continue
      peer.isActive = false
      peer.wakeSignal.notify()
      this._peers.delete(id)
    }
    for (const member of membersById.values()) {
      if (member.replicaId === this._replica.replicaId) continue
      const known = this._peers.get(member.replicaId)
      if (known !== undefined) {
        known.member = member
        continue
      }
      const peer: IPeer = {
        member,
        nextIndex: this._replica.log.lastIndex + 1,
        matchIndex: 0,
        lastAckedSendMs: -Infinity,
        addedMs: this._replica.options.clock.readMonotonicMs(),
        wakeSignal: new Signal(),
        isActive: true,
        isReplaced: false
      }
      this._peers.set(member.replicaId, peer)
      void this._runPeer(peer)
    }
  }

  dispose (): void {
    this._isActive = false
    for (const peer of this._peers.values()) {
      peer.isActive = false
      peer.wakeSignal.notify()
    }
    this._writeSignal.notify()
    for (const barrier of this._readBarriers) barrier.resolve(false)
    this._readBarriers.clear()
  }

  private _wakePeers (): void {
    for (const peer of this._peers.values()) peer.wakeSignal.notify()
  }

  private async _runWriter (): Promise<void> {
    while (this._isActive) {
      await this._writeSignal.wait()
      if (!this._isActive) return
      try {
        await this._replica.lock.run(async () => { await this._writeBatch() })
      } catch {
        return
      }
      this._advanceCommit()
    }
  }

  private async _writeBatch (): Promise<void> {
    const { log, syncedIndex } = this._replica
    if (!this._isActive) return
    await this._replica.syncEntries(log.getRange(syncedIndex + 1, log.lastIndex))
  }

  private async _runPeer (peer: IPeer): Promise<void> {
    const { clock, heartbeatMs } = this._replica.options
    while (peer.isActive && this._isActive) {
      const isAnswered = await this._replicateTo(peer)
      if (!peer.isActive || !this._isActive) return
      if (!isAnswered) {
        await clock.sleep(heartbeatMs)
        continue
      }
      const hasMore = peer.nextIndex <= this._replica.log.lastIndex || this._hasWaitingReadBarrier(peer)
      if (hasMore) continue
      const pause = new AbortController()
      await peer.wakeSignal.wait(clock.sleep(heartbeatMs, pause.signal))
      pause.abort()
    }
  }

  private _hasWaitingReadBarrier (peer: IPeer): boolean {
    for (const barrier of this._readBarriers) {
      if (barrier.createdMs > peer.lastAckedSendMs) return true
    }
    return false
  }

  private async _replicateTo (peer: IPeer): Promise<boolean> {
    const sentMs = this._replica.options.clock.readMonotonicMs()
    try {
      const isDone = peer.nextIndex <= this._replica.log.baseIndex
        ? await this._sendSnapshot(peer)
        : await this._sendEntries(peer)
      if (!isDone) return false
    } catch {
      return false
    }
    if (!this._isActive) return false
    peer.lastAckedSendMs = sentMs
    this._advanceCommit()
    this._resolveReadBarriers()
    return true
  }

  private async _sendEntries (peer: IPeer): Promise<boolean> {
    const { log, commitIndex, options, replicaId } = this._replica
    const prevIndex = peer.nextIndex - 1
    const entries = this._pickBatch(peer.nextIndex)
    const reply = await waitAtMost(options.clock, options.electionTimeoutMs, options.transport.sendAppend(peer.member.address, {
      group: options.group,
      toReplica: peer.member.replicaId,
      term: this._term,
      leader: replicaId,
      prevIndex,
      prevTerm: log.getTerm(prevIndex) ?? 0,
      entries,
      commitIndex
    }))
    peer.isReplaced = !reply.known
    if (!reply.known) return false
    if (reply.term > this._term) {
      this._onHigherTerm(reply.term)
      return false
    }
    if (reply.success) {
      peer.matchIndex = Math.max(peer.matchIndex, prevIndex + entries.length)
      peer.nextIndex = peer.matchIndex + 1
    } else {
      peer.nextIndex = Math.max(1, Math.min(prevIndex, reply.matchIndex + 1))
    }
    return true
  }

  private _pickBatch (from: number): LogEntry[] {
    const entries = this._replica.log.getRange(from, from + MAX_BATCH_ENTRIES - 1)
    let bytes = 0
    const end = entries.findIndex(entry => {
      bytes += entry.data.length
      return bytes > MAX_BATCH_BYTES
    })
    return end > 0 ? entries.slice(0, end) : entries.slice(0, end === 0 ? 1 : entries.length)
  }

  private async _sendSnapshot (peer: IPeer): Promise<boolean> {
    const { snapshot, options, replicaId } = this._replica
    if (snapshot === undefined) return false
    const file = SnapshotFile.encode(snapshot).finish()
    for (let offset = 0; offset < file.length || offset === 0; offset += SNAPSHOT_CHUNK_BYTES) {
      const chunk = file.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES)
      const reply = await waitAtMost(options.clock, SNAPSHOT_TIMEOUT_MS, options.transport.sendSnapshot(peer.member.address, {
        group: options.group,
        toReplica: peer.member.replicaId,
        term: this._term,
        leader: replicaId,
        header: snapshot.header,
        offset,
        chunk: chunk as Buffer,
        last: offset + chunk.length >= file.length
      }))
      if (reply.term > this._term) {
        this._onHigherTerm(reply.term)
        return false
      }
      if (!reply.success) return false
    }
    peer.matchIndex = Math.max(peer.matchIndex, snapshot.header.lastIndex)
    peer.nextIndex = peer.matchIndex + 1
    return true
  }

  private _advanceCommit (): void {
    if (!this._isActive) return
    const { log, replicaId, syncedIndex, voters } = this._replica
    const matchIndexes = voters
      .map(voter => voter.replicaId === replicaId ? syncedIndex : this.getMatchIndex(voter.replicaId))
      .sort((a, b) => b - a)
    const quorumIndex = matchIndexes[Math.floor(voters.length / 2)] ?? 0
    if (quorumIndex <= this._replica.commitIndex || log.getTerm(quorumIndex) !== this._term) return
    this._replica.commitTo(quorumIndex)
    this._wakePeers()
  }

  /** Computes the latest time such that a quorum has answered a request sent at that time or later. */
  private _computeQuorumAckMs (): number {
    const { voters, replicaId } = this._replica
    const ackTimesMs = voters
      .map(voter => voter.replicaId === replicaId ? Infinity : this._peers.get(voter.replicaId)?.lastAckedSendMs ?? -Infinity)
      .sort((a, b) => b - a)
    return ackTimesMs[Math.floor(voters.length / 2)] ?? -Infinity
  }

  private _resolveReadBarriers (): void {
    const quorumAckMs = this._computeQuorumAckMs()
    for (const barrier of this._readBarriers) {
      if (barrier.createdMs > quorumAckMs) continue
      this._readBarriers.delete(barrier)
      barrier.resolve(true)
    }
  }

  /**
   * Checks whether a member list may be proposed: one change at a time, and only after an entry of this term is committed.
   * @returns true if no other change is pending
   */
  canChangeMembers (): boolean {
    return this.isReady && this._replica.membersIndex <= this._replica.commitIndex
  }

  /**
   * Proposes a member list; only while {@link canChangeMembers} is true.
   * @param members - the new list
   * @returns the entry
   */
  appendMembers (members: readonly Member[]): LogEntry {
    return this.appendEntry(LogEntryKind.LOG_ENTRY_KIND_MEMBERS, Members.encode({ members: [...members] }).finish())
  }
}
