/**
 * Transport of messages between replicas.
 */
import type {
  AppendReply, AppendRequest, IdentifyReply, IdentifyRequest, InstallSnapshotReply, InstallSnapshotRequest,
  JoinReply, JoinRequest, VoteReply, VoteRequest
} from '@lagoonswitch/schema'

/** Sends requests to the replica at an address; a promise rejects if no reply arrives. */
export abstract class RaftTransport {
  abstract sendVote (address: string, request: VoteRequest): Promise<VoteReply>
  abstract sendAppend (address: string, request: AppendRequest): Promise<AppendReply>
  abstract sendSnapshot (address: string, request: InstallSnapshotRequest): Promise<InstallSnapshotReply>
  abstract sendIdentify (address: string, request: IdentifyRequest): Promise<IdentifyReply>
  abstract sendJoin (address: string, request: JoinRequest): Promise<JoinReply>
}
