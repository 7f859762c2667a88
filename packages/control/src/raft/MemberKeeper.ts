/**
 * Decides how the members of a group change by themselves: who joins, becomes a voter, or is dropped.
 *
 * One member changes at a time, and each step waits until the one before is committed. Joint consensus would
 * replace several members in one step, but needs two quorums for each entry meanwhile; with groups of five that come
 * back after a loss one after the other it gains nothing.
 */
import type { Member } from '@lagoonswitch/schema'

/** Silence after which a voter too many is dropped, in milliseconds; several heartbeats of any setting. */
const SILENT_VOTER_MS = 1_500
/** Silence after which a learner is dropped. */
const SILENT_LEARNER_MS = 5_000
/** Time for which a wish to join holds; the wish is repeated while it lasts. */
const WISH_LIFE_MS = 2_000
const MAX_LEARNERS = 3

/** What the leader knows of its peers. */
export interface IPeerKnowledge {
  readonly selfId: string
  readonly members: readonly Member[]
  /** Time since a peer last answered, in milliseconds. */
  readonly getSilenceMs: (replicaId: string) => number
  /** True when another replica answers at the address of the peer, so that its disk is gone. */
  readonly isReplaced: (replicaId: string) => boolean
  /** True when the peer holds what is committed. */
  readonly isCaughtUp: (replicaId: string) => boolean
}

interface IWish {
  readonly member: Member
  readonly atMs: number
}

/** Keeps a group at the VMs that are there. */
export class MemberKeeper {
  private readonly _wishes = new Map<string, IWish>()

  /** @param _fullVoters - voters below which a silent voter is kept, since it may come back with its disk */
  constructor (private readonly _fullVoters: number) {}

  /**
   * Notes that a replica wants to take part.
   * @param member - the replica
   * @param nowMs - monotonic time
   */
  noteWish (member: Member, nowMs: number): void {
    this._wishes.set(member.replicaId, { member, atMs: nowMs })
  }

  /**
   * Decides the next change.
   * @param peers - what the leader knows
   * @param nowMs - monotonic time
   * @returns the new member list, or undefined when nothing is to be changed
   */
  decide (peers: IPeerKnowledge, nowMs: number): Member[] | undefined {
    this._dropOldWishes(nowMs)
    return this._promote(peers) ?? this._dropReplaced(peers) ?? this._dropSilent(peers) ?? this._addLearner(peers)
  }

  private _dropOldWishes (nowMs: number): void {
    for (const [id, { atMs }] of this._wishes) {
      if (nowMs - atMs > WISH_LIFE_MS) this._wishes.delete(id)
    }
  }

  private _promote ({ members, isCaughtUp, getSilenceMs }: IPeerKnowledge): Member[] | undefined {
    const ready = members.find(({ voter, replicaId }) =>
      !voter && isCaughtUp(replicaId) && getSilenceMs(replicaId) < SILENT_VOTER_MS)
    if (ready === undefined) return undefined
    return members.map(member => member === ready ? { ...member, voter: true } : member)
  }

  /** A replica whose disk is gone never answers again; it goes once its successor votes. */
  private _dropReplaced ({ members, isReplaced, getSilenceMs }: IPeerKnowledge): Member[] | undefined {
    const gone = members.find(member => {
      const successor = members.find(other => other.address === member.address && other.replicaId !== member.replicaId)
      const isOlder = isReplaced(member.replicaId) ||
        (successor !== undefined && getSilenceMs(successor.replicaId) < getSilenceMs(member.replicaId))
      return isOlder && (!member.voter || successor?.voter === true)
    })
    return gone === undefined ? undefined : members.filter(member => member !== gone)
  }

  private _dropSilent ({ members, selfId, getSilenceMs }: IPeerKnowledge): Member[] | undefined {
    const others = members.filter(member => member.replicaId !== selfId)
      .sort((a, b) => getSilenceMs(b.replicaId) - getSilenceMs(a.replicaId))
    const hasSpare = members.filter(member => member.voter).length > this._fullVoters
    const silent = others.find(({ voter, replicaId }) =>
      voter ? hasSpare && getSilenceMs(replicaId) > SILENT_VOTER_MS : getSilenceMs(replicaId) > SILENT_LEARNER_MS)
    return silent === undefined ? undefined : members.filter(member => member !== silent)
  }

  private _addLearner ({ members }: IPeerKnowledge): Member[] | undefined {
    if (members.filter(member => !member.voter).length >= MAX_LEARNERS) return undefined
    for (const { member } of this._wishes.values()) {
      if (members.some(({ replicaId }) => replicaId === member.replicaId)) continue
      return [...members, { ...member, voter: false }]
    }
    return undefined
  }
}
