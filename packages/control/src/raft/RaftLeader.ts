/**
 * The leader of a group for one term: one task writes entries to the disk, and one task per peer replicates them.
 */
import { Signal, waitAtMost, type IDisposable } from '@lagoonswitch/common'
import {
  LogEntryKind, Members, SnapshotFile, type AppendReply, type AppendRequest, type LogEntry, type Member
} from '@lagoonswitch/schema'
import { RaftPeer } from './RaftPeer.js'
import type { Replica } from './Replica.js'

/** Size from which on a batch is sent on a connection of its own, with heartbeats beside it. */
const MIN_BULK_BYTES = 16_384
const SNAPSHOT_TIMEOUT_MS = 10_000

interface IReadBarrier {
  readonly createdMs: number
  readonly resolve: (confirmed: boolean) => void
}

/** Leads until it is disposed; replies that arrive later have no effect. */
export class RaftLeader implements IDisposable {
  private readonly _peers = new Map<string, RaftPeer>()
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
    const nowMs = this._replica.options.clock.readMonotonicMs()
    return this._peers.get(replicaId)?.getSilenceMs(nowMs) ?? nowMs - this._startedMs
  }

  /**
   * @param replicaId - a peer
   * @returns true once it has answered this leader
   */
  hasAnswered (replicaId: string): boolean {
    return this._peers.get(replicaId)?.hasAnswered === true
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
      peer.stop()
      this._peers.delete(id)
    }
    for (const member of membersById.values()) {
      if (member.replicaId === this._replica.replicaId) continue
      const known = this._peers.get(member.replicaId)
      if (known !== undefined) {
        known.member = member
        continue
      }
      const { log, options: { clock, electionTimeoutMs } } = this._replica
      const peer = new RaftPeer(member, log.lastIndex + 1, clock.readMonotonicMs(), electionTimeoutMs)
      this._peers.set(member.replicaId, peer)
      void this._runPeer(peer)
    }
  }

  dispose (): void {
    this._isActive = false
    for (const peer of this._peers.values()) peer.stop()
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

  private async _runPeer (peer: RaftPeer): Promise<void> {
    const { clock, heartbeatMs } = this._replica.options
    while (peer.isActive && this._isActive) {
      const isAnswered = await this._replicateTo(peer)
      if (!peer.isActive || !this._isActive) return
      if (!isAnswered || peer.isLackingAcknowledged) {
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

  private _hasWaitingReadBarrier (peer: RaftPeer): boolean {
    for (const barrier of this._readBarriers) {
      if (barrier.createdMs > peer.lastAckedSendMs) return true
    }
    return false
  }

  private async _replicateTo (peer: RaftPeer): Promise<boolean> {
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
    this._recordAnswer(peer, sentMs)
    return true
  }

  private async _sendEntries (peer: RaftPeer): Promise<boolean> {
    const { options } = this._replica
    const prevIndex = peer.nextIndex - 1
    const entries = peer.pickBatch(this._replica.log)
    const request = this._createAppend(peer, prevIndex, entries)
    const bytes = entries.reduce((sum, { data }) => sum + data.length, 0)
    const { pace, member: { address } } = peer
    const reply = bytes < MIN_BULK_BYTES
      ? await waitAtMost(options.clock, options.electionTimeoutMs, options.transport.sendAppend(address, request))
      : await this._sendPart(peer, bytes, pace.timeoutMs, options.transport.sendBulk(address, request, pace.timeoutMs))
    if (!this._isAccepted(peer, reply)) return false
    peer.isLackingAcknowledged = !reply.success && reply.matchIndex < peer.matchIndex
    if (reply.success) {
      peer.matchIndex = Math.max(peer.matchIndex, prevIndex + entries.length)
      peer.nextIndex = peer.matchIndex + 1
    } else {
      peer.nextIndex = Math.max(1, Math.min(prevIndex, reply.matchIndex + 1))
    }
    return true
  }

  private _createAppend ({ member }: RaftPeer, prevIndex: number, entries: LogEntry[]): AppendRequest {
    const { log, commitIndex, options, replicaId } = this._replica
    return {
      group: options.group,
      toReplica: member.replicaId,
      term: this._term,
      leader: replicaId,
      prevIndex,
      prevTerm: log.getTerm(prevIndex) ?? 0,
      entries,
      commitIndex
    }
  }

  /** Tells whether the peer is the addressed replica and in this term. */
  private _isAccepted (peer: RaftPeer, reply: AppendReply): boolean {
    peer.isReplaced = !reply.known
    if (reply.known && reply.term > this._term) this._onHigherTerm(reply.term)
    return reply.known && reply.term <= this._term
  }

  /** Waits for the answer to a part that may take long, while heartbeats show both sides that the other one is there. */
  private async _sendPart<T> (peer: RaftPeer, bytes: number, timeoutMs: number, answer: Promise<T>): Promise<T> {
    const { clock } = this._replica.options
    const sentMs = clock.readMonotonicMs()
    const ended = new AbortController()
    void this._runHeartbeats(peer, ended.signal)
    try {
      const reply = await waitAtMost(clock, timeoutMs, answer)
      peer.pace.recordAnswer(bytes, clock.readMonotonicMs() - sentMs)
      return reply
    } catch (error) {
      peer.pace.recordFailure(bytes, clock.readMonotonicMs() - sentMs)
      throw error
    } finally {
      ended.abort()
    }
  }

  private async _runHeartbeats (peer: RaftPeer, ended: AbortSignal): Promise<void> {
    const { clock, heartbeatMs, electionTimeoutMs, transport } = this._replica.options
    for (;;) {
      await clock.sleep(heartbeatMs, ended)
      if (ended.aborted || !peer.isActive || !this._isActive) return
      const sentMs = clock.readMonotonicMs()
      try {
        const beat = transport.sendAppend(peer.member.address, this._createAppend(peer, peer.matchIndex, []))
        const reply = await waitAtMost(clock, electionTimeoutMs, beat)
        if (!this._isActive || !this._isAccepted(peer, reply)) return
        this._recordAnswer(peer, sentMs)
      } catch {
        // The peer counts as silent until a later heartbeat or the part is answered.
      }
    }
  }

  private _recordAnswer (peer: RaftPeer, sentMs: number): void {
    peer.lastAckedSendMs = Math.max(peer.lastAckedSendMs, sentMs)
    this._advanceCommit()
    this._resolveReadBarriers()
  }

  private async _sendSnapshot (peer: RaftPeer): Promise<boolean> {
    const { snapshot, options, replicaId } = this._replica
    if (snapshot === undefined) return false
    const file = SnapshotFile.encode(snapshot).finish()
    const { lastIndex } = snapshot.header
    if (peer.snapshot?.lastIndex !== lastIndex) peer.snapshot = { lastIndex, offset: 0 }
    const progress = peer.snapshot
    do {
      const { offset } = progress
      const chunk = file.subarray(offset, offset + peer.pace.partBytes)
      const reply = await this._sendPart(peer, chunk.length, SNAPSHOT_TIMEOUT_MS, options.transport.sendSnapshot(peer.member.address, {
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
      progress.offset = reply.success ? offset + chunk.length : 0
      if (!reply.success || !peer.isActive || !this._isActive) return false
    } while (progress.offset < file.length)
    peer.snapshot = undefined
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
