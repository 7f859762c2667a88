/**
 * Decides how the members of a group change by themselves: who joins, becomes a voter, or is dropped.
 *
 * One member changes at a time, and each step waits until the one before is committed. Joint consensus would
 * replace several members in one step, but needs two quorums for each entry meanwhile; with groups of five that come
 * back after a loss one after the other it gains nothing.
 */
import type { Member } from '@lagoonswitch/schema'

/** Silence after which a voter too many is dropped, in milliseconds; several heartbeats of any setting. */
const MAX_VOTER_SILENCE_MS = 1_500
/** Silence after which a learner is dropped. */
const MAX_LEARNER_SILENCE_MS = 5_000
/** Time for which a wish to join holds; the wish is repeated while it lasts. */
const PENDING_JOIN_LIFETIME_MS = 2_000
const MAX_LEARNERS = 3

/** What the leader knows of its peers. */
export interface IMembershipView {
  readonly selfId: string
  readonly members: readonly Member[]
  /** Time since a peer last answered, in milliseconds. */
  readonly getSilenceMs: (replicaId: string) => number
  /** True when another replica answers at the address of the peer, so that its disk is gone. */
  readonly isReplaced: (replicaId: string) => boolean
  /** True when the peer holds what is committed. */
  readonly isCaughtUp: (replicaId: string) => boolean
}

interface IPendingJoin {
  readonly member: Member
  readonly receivedMs: number
}

/** Keeps a group at the VMs that are there. */
export class MembershipPlanner {
  private readonly _pendingJoins = new Map<string, IPendingJoin>()

  /** @param _desiredVoters - voters below which a silent voter is kept, since it may come back with its disk */
  constructor (private readonly _desiredVoters: number) {}

  /**
   * Notes that a replica wants to take part.
   * @param member - the replica
   * @param nowMs - monotonic time
   */
  recordJoin (member: Member, nowMs: number): void {
    this._pendingJoins.set(member.replicaId, { member, receivedMs: nowMs })
  }

  /**
   * Decides the next change.
   * @param view - what the leader knows
   * @param nowMs - monotonic time
   * @returns the new member list, or undefined when nothing is to be changed
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

  /** A replica whose disk is gone never answers again; it goes once its successor votes. */
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
