/**
 * Plans automatic membership changes of a group: which replica joins, becomes a voter or is removed.
 *
 * Members change one at a time, and each change waits until the previous one is committed. Joint consensus could
 * replace several members in one change, but every entry needs two quorums meanwhile; it gains nothing in groups of five
 * whose members return one after the other after a loss.
 */
import type { Member } from '@lagoonswitch/schema'

/** Time without an answer after which a surplus voter is removed; several heartbeats in any configuration. */
const MAX_VOTER_SILENCE_MS = 1_500
/** Time without an answer after which a learner is removed. */
const MAX_LEARNER_SILENCE_MS = 5_000
/** Time for which a join request is valid; a replica repeats it until it is a voter. */
const PENDING_JOIN_LIFETIME_MS = 2_000
const MAX_LEARNERS = 3

/** The leader's knowledge of the members. */
export interface IMembershipView {
  readonly selfId: string
  readonly members: readonly Member[]
  /** Time since a peer last answered, in milliseconds. */
  readonly getSilenceMs: (replicaId: string) => number
  /** True if another replica answers at the address of the peer, which means that the peer's disk is gone. */
  readonly isReplaced: (replicaId: string) => boolean
  /** True if the peer holds enough of the committed entries to become a voter. */
  readonly isCaughtUp: (replicaId: string) => boolean
}

interface IPendingJoin {
  readonly member: Member
  readonly receivedMs: number
}

/** Plans changes that adapt the members of a group to the available VMs. */
export class MembershipPlanner {
  private readonly _pendingJoins = new Map<string, IPendingJoin>()

  /** @param _desiredVoters - number of voters up to which a silent voter is kept, since it may return with its disk */
  constructor (private readonly _desiredVoters: number) {}

  /**
   * Records a join request.
   * @param member - the replica
   * @param nowMs - monotonic time
   */
  recordJoin (member: Member, nowMs: number): void {
    this._pendingJoins.set(member.replicaId, { member, receivedMs: nowMs })
  }

  /**
   * Plans the next change.
   * @param view - the leader's knowledge of the members
   * @param nowMs - monotonic time
   * @returns the new member list, or undefined if no change is needed
   */
  planChange (view: IMembershipView, nowMs: number): Member[] | undefined {
    this._removeExpiredJoins(nowMs)
    return this._promoteLearner(view) ?? this._removeReplaced(view) ?? this._removeSilent(view) ?? this._addLearner(view)
  }

  private _removeExpiredJoins (nowMs: number): void {
    for (const [id, { receivedMs }] of this._pendingJoins) {
      if (nowMs - receivedMs > PENDING_JOIN_LIFETIME_MS) this._pendingJoins.delete(id)
    }
  }

  private _promoteLearner ({ members, isCaughtUp, getSilenceMs }: IMembershipView): Member[] | undefined {
    const ready = members.find(({ voter, replicaId }) =>
      !voter && isCaughtUp(replicaId) && getSilenceMs(replicaId) < MAX_VOTER_SILENCE_MS)
    if (ready === undefined) return undefined
    return members.map(member => member === ready ? { ...member, voter: true } : member)
  }

  /** A replica whose disk is gone never answers again; it is removed once its successor is a voter. */
  private _removeReplaced ({ members, isReplaced, getSilenceMs }: IMembershipView): Member[] | undefined {
    const replaced = members.find(member => {
      const successor = members.find(other => other.address === member.address && other.replicaId !== member.replicaId)
      const isSuperseded = isReplaced(member.replicaId) ||
        (successor !== undefined && getSilenceMs(successor.replicaId) < getSilenceMs(member.replicaId))
      return isSuperseded && (!member.voter || successor?.voter === true)
    })
    return replaced === undefined ? undefined : members.filter(member => member !== replaced)
  }

  private _removeSilent ({ members, selfId, getSilenceMs }: IMembershipView): Member[] | undefined {
    const others = members.filter(member => member.replicaId !== selfId)
      .sort((a, b) => getSilenceMs(b.replicaId) - getSilenceMs(a.replicaId))
    const hasExtraVoter = members.filter(member => member.voter).length > this._desiredVoters
    const silent = others.find(({ voter, replicaId }) =>
      voter ? hasExtraVoter && getSilenceMs(replicaId) > MAX_VOTER_SILENCE_MS : getSilenceMs(replicaId) > MAX_LEARNER_SILENCE_MS)
    return silent === undefined ? undefined : members.filter(member => member !== silent)
  }

  private _addLearner ({ members }: IMembershipView): Member[] | undefined {
    if (members.filter(member => !member.voter).length >= MAX_LEARNERS) return undefined
    for (const { member } of this._pendingJoins.values()) {
      if (members.some(({ replicaId }) => replicaId === member.replicaId)) continue
      return [...members, { ...member, voter: false }]
    }
    return undefined
  }
}
