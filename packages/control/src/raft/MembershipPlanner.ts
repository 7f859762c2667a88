/**
 * Plans automatic membership changes of a group: which replica joins, becomes a voter or is removed.
 *
 * Members change one at a time, and each change waits until the previous one is committed. Joint consensus could
 * replace several members in one change, but every entry needs two quorums meanwhile; it gains nothing in groups of five
 * whose members return one after the other after a loss.
 *
 * Invariant: while a voter is lost, no change makes the quorum larger. A new voter may be lost as well before the change is
 * committed, and the voters that remain would be no quorum for this change nor for any later one. So a lost voter is removed
 * before its successor becomes a voter, unless the quorum would become smaller than in a group of the desired size, since a
 * committed entry would be on fewer disks then.
 */
import type { Member } from '@lagoonswitch/schema'
import { computeQuorum } from './Quorum.js'

/** Time without an answer after which a voter is replaced by a learner that is ready, or removed if it is a surplus one. */
const MAX_VOTER_SILENCE_MS = 1_500
/** Time without an answer after which a learner is removed. */
export const MAX_LEARNER_SILENCE_MS = 5_000
/** Time for which a join request is valid; a replica repeats it until it is a voter. */
const PENDING_JOIN_LIFETIME_MS = 2_000
/** Heartbeats within which a voter in contact answers. */
const CONTACT_HEARTBEATS = 3
const MAX_LEARNERS = 3

/** The leader's knowledge of the members. */
export interface IMembershipView {
  readonly selfId: string
  readonly members: readonly Member[]
  /** Time since a peer last answered, or since it was added, in milliseconds. */
  readonly getSilenceMs: (replicaId: string) => number
  /** True once a peer has answered this leader. */
  readonly hasAnswered: (replicaId: string) => boolean
  /** True if another replica answers at the address of the peer, which means that the peer's disk is gone. */
  readonly isReplaced: (replicaId: string) => boolean
  /** True if the peer holds enough of the committed entries to become a voter. */
  readonly isCaughtUp: (replicaId: string) => boolean
}

/** Why the members change. */
export type MemberChangeReason = 'disk-lost' | 'caught-up' | 'silent' | 'joined'

/** A change of the members of a group. */
export interface IMemberChange {
  /** The new list. */
  readonly members: Member[]
  /** The members that are added, changed or removed. */
  readonly subjects: readonly Member[]
  readonly reason: MemberChangeReason
}

interface IPendingJoin {
  readonly member: Member
  readonly receivedMs: number
}

/** Plans changes that adapt the members of a group to the available VMs. */
export class MembershipPlanner {
  private readonly _pendingJoins = new Map<string, IPendingJoin>()

  /**
   * @param _desiredVoters - number of voters up to which a silent voter is kept until a learner can replace it, since it may
   * return with its disk
   * @param _heartbeatMs - interval of the leader's heartbeats in milliseconds
   */
  constructor (private readonly _desiredVoters: number, private readonly _heartbeatMs: number) {}

  /**
   * Records a join request; an earlier one from the same address is of a replica whose disk is gone.
   * @param member - the replica
   * @param nowMs - monotonic time
   */
  recordJoin (member: Member, nowMs: number): void {
    for (const [id, { member: { address } }] of this._pendingJoins) {
      if (address === member.address) this._pendingJoins.delete(id)
    }
    this._pendingJoins.set(member.replicaId, { member, receivedMs: nowMs })
  }

  /**
   * Plans the next change. New members come first, as they catch up while the other changes are made.
   * @param view - the leader's knowledge of the members
   * @param nowMs - monotonic time
   * @returns the change, or undefined if none is needed
   */
  planChange (view: IMembershipView, nowMs: number): IMemberChange | undefined {
    this._removeExpiredJoins(nowMs)
    return this._addLearners(view) ?? this._removeReplaced(view) ?? this._promoteLearner(view) ?? this._removeSilent(view)
  }

  /**
   * Tells whether a voter is to be removed before its successor becomes a voter, rather than after it.
   * @param view - the leader's knowledge of the members
   * @param replicaId - the voter
   * @returns true if it is lost and the quorum stays large enough without it
   */
  isRemovedFirst (view: IMembershipView, replicaId: string): boolean {
    const isLost = isSuperseded(view, replicaId) || view.getSilenceMs(replicaId) > MAX_VOTER_SILENCE_MS
    return isLost && this._canRemoveVoter(view.members)
  }

  private _removeExpiredJoins (nowMs: number): void {
    for (const [id, { receivedMs }] of this._pendingJoins) {
      if (nowMs - receivedMs > PENDING_JOIN_LIFETIME_MS) this._pendingJoins.delete(id)
    }
  }

  /** Tells whether the quorum stays as large as it is, or as in a group of the desired size, without one of the voters. */
  private _canRemoveVoter (members: readonly Member[]): boolean {
    const voters = countVoters(members)
    return computeQuorum(voters - 1) >= Math.min(computeQuorum(voters), computeQuorum(this._desiredVoters))
  }

  /** A replica whose disk is gone never answers again. */
  private _removeReplaced (view: IMembershipView): IMemberChange | undefined {
    const { members } = view
    const replaced = members.find(({ voter, replicaId }) =>
      isSuperseded(view, replicaId) && (!voter || this._canRemoveVoter(members)))
    if (replaced === undefined) return undefined
    this._pendingJoins.delete(replaced.replicaId)
    return planRemoval(members, replaced, 'disk-lost')
  }

  private _promoteLearner (view: IMembershipView): IMemberChange | undefined {
    const { members, isCaughtUp, getSilenceMs } = view
    const ready = members.find(({ voter, replicaId }) =>
      !voter && isCaughtUp(replicaId) && getSilenceMs(replicaId) < MAX_VOTER_SILENCE_MS)
    if (ready === undefined) return undefined
    const voters = countVoters(members)
    if (computeQuorum(voters + 1) > computeQuorum(voters) && !this._areVotersInContact(view)) {
      return this._removeLongestSilent(view, ({ voter }) => voter, MAX_VOTER_SILENCE_MS)
    }
    return {
      members: members.map(member => member === ready ? { ...member, voter: true } : member),
      subjects: [ready],
      reason: 'caught-up'
    }
  }

  private _areVotersInContact ({ members, getSilenceMs }: IMembershipView): boolean {
    return members.every(({ voter, replicaId }) => !voter || getSilenceMs(replicaId) <= CONTACT_HEARTBEATS * this._heartbeatMs)
  }

  private _removeSilent (view: IMembershipView): IMemberChange | undefined {
    const hasExtraVoter = countVoters(view.members) > this._desiredVoters
    return this._removeLongestSilent(view, ({ voter }) => voter && hasExtraVoter, MAX_VOTER_SILENCE_MS) ??
      this._removeLongestSilent(view, ({ voter }) => !voter, MAX_LEARNER_SILENCE_MS)
  }

  private _removeLongestSilent (
    { members, selfId, getSilenceMs }: IMembershipView, matches: (member: Member) => boolean, maxSilenceMs: number
  ): IMemberChange | undefined {
    const [silent] = members
      .filter(member => member.replicaId !== selfId && matches(member) && getSilenceMs(member.replicaId) > maxSilenceMs)
      .sort((a, b) => getSilenceMs(b.replicaId) - getSilenceMs(a.replicaId))
    return silent === undefined ? undefined : planRemoval(members, silent, 'silent')
  }

  /** Adds all replicas that have asked; learners count for no quorum, so that several can come in one change. */
  private _addLearners ({ members }: IMembershipView): IMemberChange | undefined {
    const room = MAX_LEARNERS - members.length + countVoters(members)
    const added = [...this._pendingJoins.values()]
      .filter(({ member }) => members.every(({ replicaId }) => replicaId !== member.replicaId))
      .slice(0, Math.max(0, room))
      .map(({ member }) => ({ ...member, voter: false }))
    return added.length === 0 ? undefined : { members: [...members, ...added], subjects: added, reason: 'joined' }
  }
}

function countVoters (members: readonly Member[]): number {
  return members.filter(({ voter }) => voter).length
}

/** Tells whether another replica has taken the place of a member at its address. */
function isSuperseded ({ members, isReplaced, hasAnswered, getSilenceMs }: IMembershipView, replicaId: string): boolean {
  if (isReplaced(replicaId)) return true
  const member = members.find(other => other.replicaId === replicaId)
  return members.some(other => other.address === member?.address && other.replicaId !== replicaId &&
    hasAnswered(other.replicaId) && getSilenceMs(other.replicaId) < getSilenceMs(replicaId))
}

function planRemoval (members: readonly Member[], removed: Member, reason: MemberChangeReason): IMemberChange {
  return { members: members.filter(member => member !== removed), subjects: [removed], reason }
}
