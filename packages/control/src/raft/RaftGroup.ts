/**
 * One replica of a Raft group: elections, requests of other replicas, proposals and reads.
 */
import {
  DisposableStore, Emitter, Err, NoQuorumError, NotLeaderError, Ok, StorageError, formatError,
  waitAtMost, type IDisposable, type Result
} from '@lagoonswitch/common'
import {
  LogEntryKind,
  type AppendReply, type AppendRequest, type InstallSnapshotReply, type InstallSnapshotRequest,
  type LogEntry, type Member, type VoteReply, type VoteRequest
} from '@lagoonswitch/schema'
import { GroupMembership } from './GroupMembership.js'
import { IncomingSnapshot } from './IncomingSnapshot.js'
import { RaftLeader } from './RaftLeader.js'
import { Replica } from './Replica.js'
import type { IRaftOptions, IRaftStatus, RaftRole } from './RaftTypes.js'
import { VoteCollector } from './VoteCollector.js'

/** Reason why a proposal or a read has no result. */
export type RaftError = NotLeaderError | NoQuorumError | StorageError

const PROPOSE_TIMEOUT_MS = 5_000
const MAX_PENDING_PROPOSALS = 20_000
const ELECTION_CHECKS_PER_TIMEOUT = 10
/** Fraction of the election timeout after which a replica that has heard from no leader since its start begins an election. */
const FIRST_ELECTION_TIMEOUT_FRACTION = 0.25
/** Interval between attempts to use a failed disk again. */
const RECOVERY_INTERVAL_MS = 500

interface IPendingProposal {
  readonly term: number
  readonly resolve: (result: Result<Uint8Array, RaftError>) => void
}

/** A replica that takes part in a group until it is disposed. */
export class RaftGroup implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _replica: Replica
  private readonly _membership: GroupMembership
  private readonly _votes: VoteCollector
  private readonly _onMembersChanged = new Emitter<readonly Member[]>()
  private readonly _pendingProposals = new Map<number, IPendingProposal>()
  private readonly _stopping = new AbortController()
  private readonly _onRoleChanged = new Emitter<RaftRole>()
  private readonly _onCommitted = new Emitter<void>()
  private _role: RaftRole = 'follower'
  private _leader: RaftLeader | undefined
  private _leaderId = ''
  private _lastLeaderContactMs = -Infinity
  private _hasHeardLeader = false
  private _electionDueMs = 0
  private readonly _incomingSnapshot = new IncomingSnapshot()
  private _closed: Promise<void> | undefined

  /** Fires when the role changes. */
  readonly onRoleChanged = this._onRoleChanged.event
  /** Fires with the members when they may have changed. */
  readonly onMembersChanged = this._onMembersChanged.event
  /** Fires after commands have been applied. */
  readonly onCommitted = this._onCommitted.event

  constructor (private readonly _options: IRaftOptions) {
    this._replica = new Replica(_options)
    this._votes = new VoteCollector(_options, this._replica, () => this._role === 'candidate', higherTerm => this._stepDown(higherTerm))
    this._membership = new GroupMembership(_options, this._replica, {
      getLeader: () => this._leader,
      getLeaderAddress: () => this.getStatus().leaderAddress,
      hasLeaderContact: () => this._hasLeaderContact(),
      waitApplied: async entry => await this._waitApplied(entry),
      createNotLeaderError: () => this._createNotLeaderError(),
      startElection: () => { this._electionDueMs = 0 }
    }, this._stopping.signal)
    this._disposables.add(this._replica.onMembersChanged.event(members => this._onMembersChanged.fire(members)))
    this._disposables.add(this._replica.onFailed.event(error => this._handleFailure(error)))
    this._disposables.add(this._replica.onApplied.event(({ entry, result }) => this._handleApplied(entry, result)))
  }

  get group (): string {
    return this._options.group
  }

  get role (): RaftRole {
    return this._role
  }

  /** True while this replica leads and has committed an entry of its term. */
  get isReadyLeader (): boolean {
    return this._leader?.isReady === true
  }

  /** True while this replica is in contact with a leader, or leads a quorum itself. */
  get isCurrent (): boolean {
    return this.contactAgeMs < this._options.electionTimeoutMs
  }

  /** Time since the last contact with the leader, or with a quorum if this replica leads, in milliseconds. */
  get contactAgeMs (): number {
    if (this._leader !== undefined) return this._leader.isReady ? this._leader.getQuorumContactAgeMs() : Infinity
    return this._options.clock.readMonotonicMs() - this._lastLeaderContactMs
  }

  /** Loads the durable state and starts to take part; rejects when the state is damaged. */
  async start (): Promise<void> {
    await this._load()
    this._resetElectionTimer()
    this._membership.start()
    void this._runElections()
  }

  /**
   * Replicates a command.
   * @param command - encoded command
   * @returns the result of the state machine, or why there is none; a {@link NoQuorumError} that is
   * indeterminate may still take effect
   */
  async propose (command: Uint8Array): Promise<Result<Uint8Array, RaftError>> {
    const leader = this._leader
    if (leader === undefined || this._role !== 'leader') return Err(this._createNotLeaderError())
    if (!leader.isReady) return Err(new NoQuorumError(false))
    if (this._pendingProposals.size >= MAX_PENDING_PROPOSALS) return Err(new NoQuorumError(false))
    const entry = leader.appendEntry(LogEntryKind.LOG_ENTRY_KIND_COMMAND, command)
    return await this._waitApplied(entry)
  }

  /**
   * Waits until the state machine covers everything committed before this call.
   * @returns nothing, or the reason why the state may be stale
   */
  async readBarrier (): Promise<Result<void, RaftError>> {
    const leader = this._leader
    if (leader === undefined) return Err(this._createNotLeaderError())
    if (!leader.isReady) return Err(new NoQuorumError(false))
    const confirmed = await waitAtMost(this._options.clock, PROPOSE_TIMEOUT_MS, leader.confirmLeadership())
      .catch(() => false)
    return confirmed ? Ok(undefined) : Err(new NoQuorumError(false))
  }

  /** Membership of this group. */
  get membership (): GroupMembership {
    return this._membership
  }

  /** @returns the state as shown to operators */
  getStatus (): IRaftStatus {
    const { replicaId, term, commitIndex, log, members, snapshot } = this._replica
    const leader = members.find(member => member.replicaId === this._leaderId)
    return {
      group: this.group,
      replicaId,
      role: this._role,
      term,
      commitIndex,
      lastIndex: log.lastIndex,
      snapshotIndex: snapshot?.header.lastIndex ?? 0,
      leaderName: leader?.name ?? '',
      leaderAddress: leader?.address ?? '',
      members
    }
  }

  /** Handles a vote request. */
  async handleVote (request: VoteRequest): Promise<VoteReply> {
    return await this._replica.lock.run(async () => {
      const replica = this._replica
      const isRefused = replica.hasFailed || request.toReplica !== replica.replicaId ||
        this._hasLeaderContact() || request.term < replica.term
      if (isRefused) return { term: replica.term, granted: false }
      const isUpToDate = this._isUpToDate(request)
      if (request.preVote) return { term: replica.term, granted: isUpToDate }
      if (request.term > replica.term) {
        this._becomeFollower()
        await replica.saveTermAndVote(request.term, isUpToDate ? request.candidate : '')
      } else if (replica.votedFor === '' && isUpToDate) {
        await replica.saveTermAndVote(request.term, request.candidate)
      }
      const granted = isUpToDate && replica.votedFor === request.candidate
      if (granted) this._resetElectionTimer()
      return { term: replica.term, granted }
    })
  }

  /** Handles entries or a heartbeat from a leader. */
  async handleAppend (request: AppendRequest): Promise<AppendReply> {
    return await this._replica.lock.run(async () => {
      const replica = this._replica
      if (replica.hasFailed) throw new StorageError('this replica has failed', 'restart the process')
      if (request.toReplica !== replica.replicaId) {
        return { term: replica.term, success: false, matchIndex: 0, known: false }
      }
      if (request.term < replica.term) {
        return { term: replica.term, success: false, matchIndex: 0, known: true }
      }
      await this._followLeader(request.term, request.leader)
      return await this._storeEntries(request)
    })
  }

  /** Handles one chunk of a snapshot from a leader. */
  async handleInstallSnapshot (request: InstallSnapshotRequest): Promise<InstallSnapshotReply> {
    return await this._replica.lock.run(async () => {
      const replica = this._replica
      const isRefused = replica.hasFailed || request.toReplica !== replica.replicaId || request.term < replica.term
      if (isRefused) return { term: replica.term, success: false }
      await this._followLeader(request.term, request.leader)
      const outcome = this._incomingSnapshot.add(request)
      if (outcome !== 'complete') return { term: replica.term, success: outcome === 'kept' }
      const file = this._incomingSnapshot.take()
      if (file.header === undefined) return { term: replica.term, success: false }
      if (file.header.lastIndex > Math.min(replica.commitIndex, replica.log.lastIndex)) {
        await replica.installSnapshot({ header: file.header, state: file.state })
        this._onCommitted.fire()
      }
      return { term: replica.term, success: true }
    })
  }

  /** Stops this replica; pending proposals end with an indeterminate {@link NoQuorumError}. */
  dispose (): void {
    void this.close().catch(() => undefined)
  }

  /** Disposes this replica and waits until its writes have ended and its storage is closed. */
  async close (): Promise<void> {
    this._closed ??= this._close()
    await this._closed
  }

  private async _close (): Promise<void> {
    this._stopping.abort()
    this._becomeFollower()
    this._disposables.dispose()
    await this._replica.lock.close()
    await this._options.storage.close()
  }

  /** With automatic membership, a replica with a damaged disk starts over with a new replica id. */
  private async _load (): Promise<void> {
    try {
      await this._replica.load()
    } catch (error) {
      if (this._options.automatic === undefined || !(error instanceof StorageError)) throw error
      this._options.log.error('replica_damaged', { group: this.group, error: error.message, consequence: 'joins as a new replica' })
      await this._options.storage.reset()
      await this._replica.load()
    }
  }

  private async _storeEntries (request: AppendRequest): Promise<AppendReply> {
    const replica = this._replica
    const { log } = replica
    const skipped = Math.max(0, log.baseIndex - request.prevIndex)
    const prevIndex = request.prevIndex + skipped
    const prevTerm = skipped > 0 ? log.baseTerm : request.prevTerm
    const entries = request.entries.slice(skipped)
    if (log.getTerm(prevIndex) !== prevTerm) {
      const matchIndexHint = prevIndex > log.lastIndex ? log.lastIndex : replica.commitIndex
      return { term: replica.term, success: false, matchIndex: matchIndexHint, known: true }
    }
    const firstNewOffset = entries.findIndex(entry => log.getTerm(entry.index) !== entry.term)
    if (firstNewOffset >= 0) {
      const added = entries.slice(firstNewOffset)
      const start = prevIndex + firstNewOffset + 1
      if (start <= log.lastIndex) await replica.truncateFrom(start)
      for (const entry of added) log.push(entry)
      await replica.syncEntries(added)
      if (added.some(entry => entry.kind === LogEntryKind.LOG_ENTRY_KIND_MEMBERS)) replica.updateMembers()
    }
    const matchIndex = prevIndex + entries.length
    const previousCommitIndex = replica.commitIndex
    replica.commitTo(Math.min(request.commitIndex, matchIndex))
    if (replica.commitIndex > previousCommitIndex) this._onCommitted.fire()
    return { term: replica.term, success: true, matchIndex, known: true }
  }

  private async _followLeader (term: number, leader: string): Promise<void> {
    const replica = this._replica
    if (this._role !== 'follower' || term > replica.term) this._becomeFollower()
    replica.dropUnsynced()
    if (term > replica.term) await replica.saveTermAndVote(term, '')
    this._leaderId = leader
    this._hasHeardLeader = true
    this._lastLeaderContactMs = this._options.clock.readMonotonicMs()
    this._resetElectionTimer()
  }

  private _isUpToDate (request: VoteRequest): boolean {
    const { lastIndex, lastTerm } = this._replica.log
    return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
  }

  private _hasLeaderContact (): boolean {
    if (this._leader !== undefined) return this._leader.hasQuorumContact()
    return this._options.clock.readMonotonicMs() - this._lastLeaderContactMs < this._options.electionTimeoutMs
  }

  /** Before the first contact with a leader the timeout may be short: if the others follow a leader, they refuse the pre-vote. */
  private _resetElectionTimer (): void {
    const { clock, electionTimeoutMs, random } = this._options
    const timeoutFraction = this._hasHeardLeader ? 1 : FIRST_ELECTION_TIMEOUT_FRACTION
    this._electionDueMs = clock.readMonotonicMs() + electionTimeoutMs * timeoutFraction * (1 + random.draw())
  }

  private async _runElections (): Promise<void> {
    const { clock, electionTimeoutMs } = this._options
    while (!this._stopping.signal.aborted) {
      await clock.sleep(electionTimeoutMs / ELECTION_CHECKS_PER_TIMEOUT, this._stopping.signal)
      if (this._stopping.signal.aborted) return
      if (this._replica.hasFailed) continue
      if (this._leader !== undefined) {
        if (!this._leader.hasQuorumContact()) this._stepDown(this._replica.term)
        continue
      }
      const isDue = this._replica.isVoter && clock.readMonotonicMs() >= this._electionDueMs
      if (isDue) await this._campaign().catch(error => this._options.log.warn('election_failed', { error: formatError(error) }))
    }
  }

  private async _campaign (): Promise<void> {
    this._setRole('candidate')
    this._resetElectionTimer()
    const preTerm = this._replica.term + 1
    if (!await this._votes.collect(preTerm, true) || this._stopping.signal.aborted) return
    const term = await this._replica.lock.run(async () => {
      if (this._hasLeaderContact() || this._role !== 'candidate' || this._replica.term !== preTerm - 1) return undefined
      this._replica.dropUnsynced()
      await this._replica.saveTermAndVote(preTerm, this._replica.replicaId)
      return preTerm
    })
    if (term === undefined || !await this._votes.collect(term, false)) return
    if (this._replica.term !== term || this._role !== 'candidate' || this._stopping.signal.aborted) return
    this._becomeLeader(term)
  }

  private _becomeLeader (term: number): void {
    this._leaderId = this._replica.replicaId
    this._hasHeardLeader = true
    this._leader = new RaftLeader(this._replica, term, higherTerm => this._stepDown(higherTerm))
    this._setRole('leader')
    this._options.log.info('leader_elected', { group: this.group, term, name: this._options.name })
  }

  /** Becomes a follower at once; the new term is synced as soon as the storage is free. */
  private _stepDown (term: number): void {
    this._becomeFollower()
    void this._replica.lock.run(async () => {
      if (this._role === 'follower') this._replica.dropUnsynced()
      if (term > this._replica.term) await this._replica.saveTermAndVote(term, '')
    }).catch(() => undefined)
  }

  private _becomeFollower (): void {
    const wasLeader = this._leader !== undefined
    this._leader?.dispose()
    this._leader = undefined
    if (wasLeader) this._leaderId = ''
    if (!this._replica.hasFailed) this._setRole('follower')
    this._resetElectionTimer()
    for (const pending of this._pendingProposals.values()) pending.resolve(Err(new NoQuorumError(true)))
    this._pendingProposals.clear()
  }

  private _setRole (role: RaftRole): void {
    if (this._role === role) return
    this._role = role
    this._onRoleChanged.fire(role)
  }

  private _handleApplied (entry: LogEntry, result: Uint8Array): void {
    const pending = this._pendingProposals.get(entry.index)
    if (pending !== undefined) {
      this._pendingProposals.delete(entry.index)
      pending.resolve(pending.term === entry.term ? Ok(result) : Err(new NoQuorumError(true)))
    }
    if (this._leader === undefined) return
    this._onCommitted.fire()
    const isRemoved = entry.kind === LogEntryKind.LOG_ENTRY_KIND_MEMBERS && !this._replica.isVoter
    if (isRemoved) this._stepDown(this._replica.term)
  }

  private _handleFailure (error: Error): void {
    this._becomeFollower()
    if (this._options.automatic !== undefined) {
      void this._runRecovery(error)
      return
    }
    this._setRole('failed')
    this._options.log.error('replica_failed', {
      group: this.group, error: formatError(error), remedy: 'repair the disk and restart, or replace this control VM'
    })
  }

  /** Suspends this replica, but not the process, until a disk that is full or rejects writes works again. */
  private async _runRecovery (cause: Error): Promise<void> {
    const { clock, log } = this._options
    log.error('replica_suspended', { group: this.group, error: formatError(cause), remedy: 'free disk space or repair the disk' })
    while (!this._stopping.signal.aborted) {
      await clock.sleep(RECOVERY_INTERVAL_MS, this._stopping.signal)
      if (this._stopping.signal.aborted) return
      const isRecovered = await this._replica.lock.run(async () => await this._replica.recover())
      if (!isRecovered) continue
      log.info('replica_resumed', { group: this.group, last_index: this._replica.log.lastIndex })
      this._resetElectionTimer()
      return
    }
  }

  private async _waitApplied (entry: LogEntry): Promise<Result<Uint8Array, RaftError>> {
    const applied = new Promise<Result<Uint8Array, RaftError>>(resolve => {
      this._pendingProposals.set(entry.index, { term: entry.term, resolve })
    })
    try {
      return await waitAtMost(this._options.clock, PROPOSE_TIMEOUT_MS, applied)
    } catch {
      this._pendingProposals.delete(entry.index)
      return Err(new NoQuorumError(true))
    }
  }

  private _createNotLeaderError (): NotLeaderError {
    const leader = this._replica.members.find(member => member.replicaId === this._leaderId)
    return new NotLeaderError(this._role === 'leader' ? '' : leader?.address ?? '')
  }
}
