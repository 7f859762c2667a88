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

  /**
   * Sends entries that may take long, on a connection of their own if the transport has connections, so that heartbeats and votes
   * do not wait behind them.
   * @param address - of the replica
   * @param request - entries for it
   * @param _timeoutMs - longest wait for the reply, in milliseconds
   * @returns the reply
   */
  async sendBulk (address: string, request: AppendRequest, _timeoutMs: number): Promise<AppendReply> {
    return await this.sendAppend(address, request)
  }

  abstract sendSnapshot (address: string, request: InstallSnapshotRequest): Promise<InstallSnapshotReply>
  abstract sendIdentify (address: string, request: IdentifyRequest): Promise<IdentifyReply>
  abstract sendJoin (address: string, request: JoinRequest): Promise<JoinReply>
}
