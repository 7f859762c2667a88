/**
 * Raft messages over gRPC, and the server handlers that pass them to the groups.
 */
import type { UntypedServiceImplementation } from '@grpc/grpc-js'
import {
  RaftClient, type AppendReply, type AppendRequest, type IdentifyReply, type IdentifyRequest,
  type InstallSnapshotReply, type InstallSnapshotRequest, type JoinReply, type JoinRequest, type VoteReply, type VoteRequest
} from '@lagoonswitch/schema'
import { createUnaryHandler, isTimeout, sendUnary, type IPeerChannels, type UnaryMethod } from '@lagoonswitch/transport'
import type { RaftGroup } from './RaftGroup.js'
import { RaftTransport } from './RaftTransport.js'

const SNAPSHOT_TIMEOUT_MS = 10_000

/** Has a connection of its own, as clients are kept by their class. */
class BulkClient extends RaftClient {}

/** Sends over the channels of this process. */
export class GrpcTransport extends RaftTransport {
  /**
   * @param _channels - open channels
   * @param _timeoutMs - longest wait for a reply
   */
  constructor (private readonly _channels: IPeerChannels, private readonly _timeoutMs: number) {
    super()
  }

  async sendVote (address: string, request: VoteRequest): Promise<VoteReply> {
    return await this._send<VoteRequest, VoteReply>(address, client => client.vote.bind(client), request)
  }

  async sendAppend (address: string, request: AppendRequest): Promise<AppendReply> {
    return await this._send<AppendRequest, AppendReply>(address, client => client.append.bind(client), request)
  }

  override async sendBulk (address: string, request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    return await this._send<AppendRequest, AppendReply>(address, client => client.append.bind(client), request, timeoutMs, BulkClient)
  }

  async sendSnapshot (address: string, request: InstallSnapshotRequest): Promise<InstallSnapshotReply> {
    return await this._send<InstallSnapshotRequest, InstallSnapshotReply>(
      address, client => client.installSnapshot.bind(client), request, SNAPSHOT_TIMEOUT_MS, BulkClient)
  }

  async sendIdentify (address: string, request: IdentifyRequest): Promise<IdentifyReply> {
    return await this._send<IdentifyRequest, IdentifyReply>(address, client => client.identify.bind(client), request)
  }

  async sendJoin (address: string, request: JoinRequest): Promise<JoinReply> {
    return await this._send<JoinRequest, JoinReply>(address, client => client.join.bind(client), request)
  }

  /** Closes a connection on which a reply timed out, as it may stay silent forever; the next call opens a new one. */
  private async _send<Q, R> (
    address: string, bindMethod: (client: RaftClient) => UnaryMethod<Q, R>, request: Q, timeoutMs = this._timeoutMs,
    clientClass = RaftClient
  ): Promise<R> {
    try {
      return await sendUnary<Q, R>(bindMethod(this._channels.getClient(clientClass, address)), request, timeoutMs)
    } catch (error) {
      if (isTimeout(error)) this._channels.closeClient(clientClass, address)
      throw error
    }
  }
}

/**
 * Creates the handlers of the Raft service.
 * @param groups - groups of this process by name
 * @returns handlers for a gRPC server
 */
export function createRaftHandlers (groups: ReadonlyMap<string, RaftGroup>): UntypedServiceImplementation {
  const getGroup = (name: string): RaftGroup => {
    const group = groups.get(name)
    if (group === undefined) throw new Error(`no group ${name} here; check claim_shards on every process`)
    return group
  }
  return {
    vote: createUnaryHandler(async (request: VoteRequest) => await getGroup(request.group).handleVote(request)),
    append: createUnaryHandler(async (request: AppendRequest) => await getGroup(request.group).handleAppend(request)),
    installSnapshot: createUnaryHandler(async (request: InstallSnapshotRequest) =>
      await getGroup(request.group).handleInstallSnapshot(request)),
    identify: createUnaryHandler(async (request: IdentifyRequest) => getGroup(request.group).membership.handleIdentify()),
    join: createUnaryHandler(async (request: JoinRequest) => getGroup(request.group).membership.handleJoin(request))
  }
}
