/**
 * Types shared by the modules of the Raft implementation.
 */
import type { IClock, ILog, IRandom } from '@lagoonswitch/common'
import type { HardState, LogEntry, SnapshotHeader } from '@lagoonswitch/schema'
import type { RaftStorage } from './RaftStorage.js'
import type { RaftTransport } from './RaftTransport.js'
import type { StateMachine } from './StateMachine.js'

/** A snapshot of the state machine with its position in the log. */
export interface ISnapshot {
  readonly header: SnapshotHeader
  readonly state: Buffer
}

/** State that a replica loads from its storage at startup. */
export interface IDurableState {
  readonly replicaId: string
  readonly hardState: HardState
  readonly snapshot: ISnapshot | undefined
  readonly baseIndex: number
  readonly baseTerm: number
  readonly entries: LogEntry[]
}

/** Name and peer address of a control VM. */
export interface IMemberAddress {
  readonly name: string
  readonly address: string
}

/** Settings of a group whose members join and are replaced without an operator. */
export interface IAutomaticMembership {
  /** Peer address of this process. */
  readonly address: string
  readonly availabilityZone: string
  /** Peer addresses of the initial members, in the same order in all processes; they create the group on the first start of the system. */
  readonly initialMemberAddresses: readonly string[]
  readonly isFirstStart: boolean
  /** Number of voters that the group should have. */
  readonly desiredVoters: number
  /** Addresses of processes that may know the leader. */
  readonly listAddresses: () => readonly string[]
}

/** Configuration and dependencies of a replica. */
export interface IRaftOptions {
  readonly group: string
  /** Name of this VM. */
  readonly name: string
  /** Members of a new group; ignored once the group has started. */
  readonly initialMembers: readonly IMemberAddress[]
  /** Set if VMs join and are replaced automatically; `initialMembers` is empty then. */
  readonly automatic?: IAutomaticMembership
  readonly heartbeatMs: number
  readonly electionTimeoutMs: number
  /** Number of applied entries after which the next snapshot is taken. */
  readonly snapshotEntries: number
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly storage: RaftStorage
  readonly transport: RaftTransport
  readonly stateMachine: StateMachine
}

/** Role of a replica. A failed replica has lost its disk or cannot write to it, and takes no part in the group. */
export type RaftRole = 'follower' | 'candidate' | 'leader' | 'failed'

/** State of a replica as shown to operators. */
export interface IRaftStatus {
  readonly group: string
  readonly replicaId: string
  readonly role: RaftRole
  readonly term: number
  readonly commitIndex: number
  readonly lastIndex: number
  readonly snapshotIndex: number
  readonly leaderName: string
  readonly leaderAddress: string
  readonly members: ReadonlyArray<{ name: string, replicaId: string, address: string, voter: boolean, availabilityZone: string }>
}
