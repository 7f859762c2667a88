/**
 * Changes of the members of a group, by operators or automatically.
 */
import { Err, NoQuorumError, Ok, StorageError, waitAtMost, type Result } from '@lagoonswitch/common'
import {
  type IdentifyReply, type JoinReply, type JoinRequest, type LogEntry, type Member
} from '@lagoonswitch/schema'
import { GroupCreation } from './GroupCreation.js'
import { MAX_LEARNER_SILENCE_MS, MembershipPlanner, type IMembershipView } from './MembershipPlanner.js'
import type { RaftError } from './RaftGroup.js'
import type { RaftLeader } from './RaftLeader.js'
import type { IAutomaticMembership, IRaftOptions } from './RaftTypes.js'
import type { Replica } from './Replica.js'

/** Interval of membership decisions, and of join requests. */
const MEMBER_CHECK_INTERVAL_MS = 200
const JOIN_INTERVAL_MS = 300
/** Changes that may follow one another without a pause; a group of five needs fewer to replace two members. */
const MAX_SUCCESSIVE_CHANGES = 8
/** Entries that a learner may still lack when it becomes a voter; they are being sent to it. */
const MAX_PROMOTION_LAG_ENTRIES = 8

/** Functions of the group that its membership depends on. */
export interface IMembershipHost {
  readonly getLeader: () => RaftLeader | undefined
  readonly getLeaderAddress: () => string
  readonly hasLeaderContact: () => boolean
  readonly waitApplied: (entry: LogEntry) => Promise<Result<Uint8Array, RaftError>>
  readonly createNotLeaderError: () => RaftError
  /** Starts an election without waiting for the election timeout. */
  readonly startElection: () => void
}

/** Manages the members of a group until the signal is aborted. */
export class GroupMembership {
  private readonly _planner: MembershipPlanner
  private readonly _creation: GroupCreation
  private _nextAddressIndex = 0

  constructor (
    private readonly _options: IRaftOptions, private readonly _replica: Replica, private readonly _host: IMembershipHost,
    private readonly _stopping: AbortSignal
  ) {
    this._planner = new MembershipPlanner(_options.automatic?.desiredVoters ?? 1, _options.heartbeatMs)
    this._creation = new GroupCreation(_options, _replica, {
      identify: async address => await this._identify(address),
      getIdentity: () => this.handleIdentify(),
      startElection: _host.startElection
    }, _stopping)
  }

  /** Starts the tasks that create the group, join it and change its members. */
  start (): void {
    const { automatic } = this._options
    this._creation.start()
    if (automatic === undefined) return
    void this._runJoin(automatic)
    void this._runMemberChanges()
  }

  /** Returns the identity of this replica; throws while its disk is still being read, as the identity is unknown until then. */
  handleIdentify (): IdentifyReply {
    const { replicaId, members } = this._replica
    if (replicaId === '') throw new StorageError('this replica still reads its disk', 'ask again')
    const { name, automatic } = this._options
    return {
      replicaId,
      name,
      initialized: members.length > 0,
      availabilityZone: automatic?.availabilityZone ?? '',
      firstStart: automatic?.isFirstStart === true
    }
  }

  /** Records that another replica wants to join, or returns the address of the leader. */
  handleJoin ({ member }: JoinRequest): JoinReply {
    const isLeading = this._host.getLeader()?.isReady === true
    if (isLeading && member !== undefined) this._planner.recordJoin(member, this._options.clock.readMonotonicMs())
    return { noted: isLeading, leaderAddress: isLeading ? '' : this._host.getLeaderAddress() }
  }

  /**
   * Adds a VM as a learner, waits until it has caught up and makes it a voter. A voter with the
   * same name and another replica id is removed after that, or before it if that voter is lost.
   * @param name - name of the VM
   * @param address - its peer address
   * @returns nothing, or why the change was not made
   */
  async replaceMember (name: string, address: string): Promise<Result<void, RaftError>> {
    const identity = await this._identify(address)
    if (identity === undefined || identity.name !== name) {
      return Err(new StorageError(`no process named ${name} answers at ${address}`, 'start it and repeat the command'))
    }
    const { replicaId, availabilityZone } = identity
    const learner: Member = { name, replicaId, address, voter: false, availabilityZone }
    const others = (): readonly Member[] => this._replica.members.filter(member => member.replicaId !== replicaId)
    const added = await this._changeMembers(() => [...others(), learner])
    if (added.err) return added
    const caughtUp = await this._waitCaughtUp(learner)
    if (caughtUp.err) return caughtUp
    const removedFirst = await this._removeLost(name, replicaId)
    if (removedFirst.err) return removedFirst
    const promoted = await this._changeMembers(() => [...others(), { ...learner, voter: true }])
    if (promoted.err) return promoted
    const isOld = (member: Member): boolean => member.name === name && member.replicaId !== replicaId
    if (!this._replica.members.some(isOld)) return promoted
    return await this._changeMembers(() => this._replica.members.filter(member => !isOld(member)))
  }

  /**
   * Removes a VM.
   * @param name - name of the VM
   * @returns nothing, or why the change was not made
   */
  async removeMember (name: string): Promise<Result<void, RaftError>> {
    return await this._changeMembers(() => this._replica.members.filter(member => member.name !== name))
  }

  /** Removes the voter of a VM that is lost, if it is to be removed before its successor becomes a voter. */
  private async _removeLost (name: string, successorId: string): Promise<Result<void, RaftError>> {
    const leader = this._host.getLeader()
    if (leader === undefined) return Err(this._host.createNotLeaderError())
    const old = this._replica.members.find(member => member.name === name && member.replicaId !== successorId && member.voter)
    if (old === undefined || !this._planner.isRemovedFirst(this._createView(leader), old.replicaId)) return Ok(undefined)
    return await this._changeMembers(() => this._replica.members.filter(({ replicaId }) => replicaId !== old.replicaId))
  }

  private async _changeMembers (computeMembers: () => readonly Member[]): Promise<Result<void, RaftError>> {
    const leader = this._host.getLeader()
    if (leader === undefined) return Err(this._host.createNotLeaderError())
    if (!leader.canChangeMembers()) return Err(new NoQuorumError(false))
    const done = await this._host.waitApplied(leader.appendMembers(computeMembers()))
    return done.ok ? Ok(undefined) : done
  }

  private async _waitCaughtUp ({ replicaId, name, address }: Member): Promise<Result<void, RaftError>> {
    const goalIndex = this._replica.commitIndex
    for (let leader = this._host.getLeader(); leader !== undefined && !this._stopping.aborted; leader = this._host.getLeader()) {
      if (leader.getMatchIndex(replicaId) >= goalIndex) return Ok(undefined)
      if (leader.getSilenceMs(replicaId) > MAX_LEARNER_SILENCE_MS) {
        return Err(new StorageError(`${name} at ${address} stopped answering before it had caught up`, 'start it and repeat the command'))
      }
      await this._options.clock.sleep(this._options.heartbeatMs, this._stopping)
    }
    return Err(this._host.createNotLeaderError())
  }

  private async _identify (address: string): Promise<IdentifyReply | undefined> {
    const { clock, electionTimeoutMs, transport, group } = this._options
    try {
      return await waitAtMost(clock, electionTimeoutMs, transport.sendIdentify(address, { group }))
    } catch {
      return undefined
    }
  }

  /** Makes the planned membership changes one after the other while this replica leads. */
  private async _runMemberChanges (): Promise<void> {
    while (!this._stopping.aborted) {
      await this._options.clock.sleep(MEMBER_CHECK_INTERVAL_MS, this._stopping)
      for (let changes = 0; changes < MAX_SUCCESSIVE_CHANGES && await this._makeNextChange(); changes++);
    }
  }

  /** @returns true if a change was committed, so that the next one may follow at once */
  private async _makeNextChange (): Promise<boolean> {
    const { clock, log, group } = this._options
    const leader = this._host.getLeader()
    if (this._stopping.aborted || leader === undefined || !leader.canChangeMembers()) return false
    const change = this._planner.planChange(this._createView(leader), clock.readMonotonicMs())
    if (change === undefined) return false
    const { members, subjects, reason } = change
    const silenceMs = reason === 'joined' ? undefined : Math.round(Math.max(...subjects.map(({ replicaId }) => leader.getSilenceMs(replicaId))))
    const entry = leader.appendMembers(members)
    log.info('members_changed', {
      group,
      index: entry.index,
      reason,
      member: formatNames(subjects),
      replica: subjects.map(({ replicaId }) => replicaId).join('+'),
      silence_ms: silenceMs,
      voters: formatNames(members.filter(member => member.voter)),
      learners: formatNames(members.filter(member => !member.voter))
    })
    const applied = await this._host.waitApplied(entry)
    return applied.ok
  }

  private _createView (leader: RaftLeader): IMembershipView {
    return {
      selfId: this._replica.replicaId,
      members: this._replica.members,
      getSilenceMs: id => leader.getSilenceMs(id),
      hasAnswered: id => leader.hasAnswered(id),
      isReplaced: id => leader.isReplaced(id),
      isCaughtUp: id => leader.getMatchIndex(id) + MAX_PROMOTION_LAG_ENTRIES >= this._replica.commitIndex && leader.getMatchIndex(id) > 0
    }
  }

  /** Asks to join while this replica is not a voter or has no contact with a leader. */
  private async _runJoin (automatic: IAutomaticMembership): Promise<void> {
    const { clock, name, log, group } = this._options
    let leaderAddressHint = ''
    let isJoined = true
    while (!this._stopping.aborted) {
      await clock.sleep(JOIN_INTERVAL_MS, this._stopping)
      const isMember = this._replica.isVoter && this._host.hasLeaderContact()
      if (isMember !== isJoined) log.info(isMember ? 'group_joined' : 'group_left', { group, replica: this._replica.replicaId })
      isJoined = isMember
      if (isMember || this._host.getLeader() !== undefined || this._replica.hasFailed) continue
      const { replicaId } = this._replica
      const { address, availabilityZone } = automatic
      const member: Member = { name, replicaId, address, voter: false, availabilityZone }
      leaderAddressHint = await this._sendJoin(leaderAddressHint === '' ? this._selectJoinAddress(automatic) : leaderAddressHint, member)
    }
  }

  private _selectJoinAddress ({ listAddresses, address }: IAutomaticMembership): string {
    const others = listAddresses().filter(other => other !== address)
    this._nextAddressIndex++
    return others[this._nextAddressIndex % Math.max(1, others.length)] ?? ''
  }

  /** @returns address to send the next join request to, empty to select another one */
  private async _sendJoin (address: string, member: Member): Promise<string> {
    const { clock, electionTimeoutMs, transport, group } = this._options
    if (address === '') return ''
    try {
      const reply = await waitAtMost(clock, electionTimeoutMs, transport.sendJoin(address, { group, member }))
      return reply.noted ? address : reply.leaderAddress
    } catch {
      return ''
    }
  }
}

function formatNames (members: readonly Member[]): string {
  return members.map(({ name }) => name).join('+')
}
