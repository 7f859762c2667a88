/**
 * Everything that a control VM runs: the replicated groups, the source of the feed and the moves.
 */
import { join } from 'node:path'
import type { UntypedServiceImplementation } from '@grpc/grpc-js'
import {
  DisposableStore, Emitter, Err, NoQuorumError, Ok, formatError, type IClock, type IDisposable, type ILog,
  type IRandom, type Metrics, type Result
} from '@lagoonswitch/common'
import { CatalogueStore, ControlDirectory, EndpointView, FeedHub, RELAY_LEVEL } from '@lagoonswitch/feed'
import {
  CatalogueCommand, ChangeCommand, ChangeOutcome, ChangeReply, ConfirmReply, ControlService, EndpointState,
  FeedClient as FeedStub, FeedService, MoveStatus, RaftService, UsageCapsService,
  type ConfirmRequest, type Evidence, type ISettings,
  type ProposeReply, type ProposeRequest, type ReportReply
} from '@lagoonswitch/schema'
import { LeaderClient, createUnaryHandler, sendUnary, type IPeerChannels, type IServiceRegistry } from '@lagoonswitch/transport'
import { UsageServer } from './caps/UsageServer.js'
import { CatalogueStateMachine, isMoveOpen } from './catalogue/CatalogueStateMachine.js'
import { ClaimsStateMachine } from './claims/ClaimsStateMachine.js'
import { EndpointMesh } from './EndpointMesh.js'
import { Publisher, type IPublicationDraft, type OrderOutcome } from './catalogue/Publisher.js'
import { EvidenceRouter } from './moves/EvidenceRouter.js'
import { MoveController } from './moves/MoveController.js'
import { FileStorage } from './raft/FileStorage.js'
import { GrpcTransport, createRaftHandlers } from './raft/GrpcTransport.js'
import { RaftGroup } from './raft/RaftGroup.js'
import type { RaftStorage } from './raft/RaftStorage.js'
import type { IAutomaticMembership, IRaftStatus } from './raft/RaftTypes.js'
import type { StateMachine } from './raft/StateMachine.js'

/** Name of the group that holds the catalogue. */
const CATALOGUE_GROUP = 'catalogue'
/**
 * Entries of the catalogue's log between two snapshots, unless the settings state fewer: a publication of some hundred routes takes
 * milliseconds to apply, and a control VM that restarts applies all that follow its snapshot before it serves.
 */
const CATALOGUE_SNAPSHOT_ENTRIES = 64
const CHANGE_TIMEOUT_MS = 10_000
const CONFIRM_TIMEOUT_MS = 3_000
const RETRY_INTERVAL_MS = 200

/** Edits of single entries by one operator. */
export interface IEntryChange {
  readonly requestId: string
  readonly operator: string
  readonly edits: Array<{ name: string, expectedVersion: number, declaration: string }>
}

/** Configuration and dependencies of a {@link ControlRole}. */
export interface IControlRoleOptions {
  readonly settings: ISettings
  readonly peerAddress: string
  /** Peer addresses of the control VMs named in the settings. */
  readonly seedAddresses: readonly string[]
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
  /** Creates the storage of a group; by default files in the data folder. */
  readonly createStorage?: (group: string) => RaftStorage
}

/** The role of a control VM in this process. */
export class ControlRole implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _groups = new Map<string, RaftGroup>()
  private readonly _leaderClient: LeaderClient
  private readonly _moves: MoveController
  private readonly _evidence: EvidenceRouter
  private readonly _hub: FeedHub
  private readonly _usage: UsageServer
  private readonly _catalogueGroup: RaftGroup
  private readonly _catalogueMachine: CatalogueStateMachine
  private readonly _stopping = new AbortController()
  private readonly _onFailed = new Emitter<string>()

  private readonly _publisher: Publisher
  private readonly _mesh: EndpointMesh

  readonly directory: ControlDirectory
  readonly store = new CatalogueStore()
  readonly endpoints = new EndpointView()
  /** Fires with the name of a group whose replica in this process has failed. */
  readonly onFailed = this._onFailed.event

  constructor (private readonly _options: IControlRoleOptions) {
    const { settings, clock, random, log, metrics } = _options
    this.directory = new ControlDirectory(_options.seedAddresses)
    this._leaderClient = new LeaderClient(_options.channels, clock, () => this.directory.listAddresses())
    this._catalogueMachine = new CatalogueStateMachine(this.store)
    this._catalogueGroup = this._addGroup(CATALOGUE_GROUP, this._catalogueMachine, CATALOGUE_SNAPSHOT_ENTRIES)
    this._usage = this._disposables.add(new UsageServer({ settings, clock, log, metrics, store: this.store, group: this._catalogueGroup }))
    this._publisher = new Publisher({ clock, log, store: this.store, stateMachine: this._catalogueMachine, group: this._catalogueGroup })
    this._disposables.add(this._catalogueGroup.onMembersChanged(members => this.directory.setMembers(members)))
    for (let shard = 0; shard < settings.control.claimShards; shard++) {
      const machine = new ClaimsStateMachine({
        retentionMs: settings.control.answerRetentionMs, capacity: settings.control.claimCapacity
      })
      this._addGroup(`claims-${shard}`, machine)
      metrics.addGauge(`claims_kept_shard_${shard}`, () => machine.getSize())
    }
    this._mesh = this._disposables.add(new EndpointMesh(this.directory, this.endpoints, _options))
    this._hub = this._disposables.add(new FeedHub({
      name: settings.process.name,
      clock,
      random,
      log,
      metrics,
      store: this.store,
      endpoints: this.endpoints,
      maxStreams: settings.control.sourceStreams,
      subscriberLevel: RELAY_LEVEL,
      isCurrent: () => this._catalogueGroup.isCurrent && this.store.version.epoch > 0,
      getAgeMs: () => this._catalogueGroup.contactAgeMs,
      confirm: async nodes => await this._confirmCatalogue(nodes),
      directory: this.directory,
      onEvidence: records => this._evidence.forwardEvidence(records)
    }))
    this._moves = this._disposables.add(new MoveController({
      clock,
      log,
      metrics,
      store: this.store,
      endpoints: this.endpoints,
      exposure: { share: settings.control.moveExposure, slack: settings.control.moveExposureSlack },
      isLeader: () => this._catalogueGroup.isReadyLeader,
      propose: async command => (await this._catalogueGroup.propose(command)).ok
    }))
    this._evidence = new EvidenceRouter(this._catalogueGroup, this._moves, _options.channels, metrics)
  }

  get moves (): MoveController {
    return this._moves
  }

  get hub (): FeedHub {
    return this._hub
  }

  /**
   * Adds the gRPC services of this role.
   * @param listener - listener that is not started yet
   */
  addServices (listener: IServiceRegistry): void {
    listener.addService(RaftService, createRaftHandlers(this._groups))
    listener.addService(ControlService, this._createControlHandlers())
    listener.addService(FeedService, this._hub.createHandlers())
    listener.addService(UsageCapsService, this._usage.createHandlers())
  }

  /** Loads the durable state and starts all tasks; rejects if the state is damaged. */
  async start (): Promise<void> {
    for (const group of this._groups.values()) await group.start()
    this._moves.start()
    this._mesh.start()
    void this._runEpochBootstrap()
  }

  /**
   * Applies a change of the catalogue.
   * @param change - edits of one operator
   * @returns the reply of the state machine, or an error if no quorum answered
   */
  async applyChange (change: IEntryChange): Promise<Result<ChangeReply, NoQuorumError>> {
    const value = ChangeCommand.fromPartial(change)
    const command = CatalogueCommand.encode({ nowMs: 0, command: { $case: 'change', value } }).finish()
    const result = await this._leaderClient.propose(CATALOGUE_GROUP, command, CHANGE_TIMEOUT_MS)
    return result.ok ? Ok(ChangeReply.decode(result.val)) : result
  }

  /**
   * Waits until the catalogue of this process covers everything accepted before this call.
   * @returns nothing, or an error if no quorum answered
   */
  async refresh (): Promise<Result<void, NoQuorumError>> {
    const reply = await this._confirmCatalogue([])
    if (!reply.confirmed) return Err(new NoQuorumError(false))
    const deadlineMs = this._options.clock.readMonotonicMs() + CHANGE_TIMEOUT_MS
    while (this.store.version.version < (reply.version?.version ?? 0)) {
      if (this._options.clock.readMonotonicMs() > deadlineMs) return Err(new NoQuorumError(false))
      await this._options.clock.sleep(RETRY_INTERVAL_MS)
    }
    return Ok(undefined)
  }

  /**
   * Publishes all entries at once; only the leader does so.
   * @param draft - all entries
   * @returns the outcome, or an error if no quorum answered
   */
  async publish (draft: IPublicationDraft): Promise<Result<OrderOutcome, NoQuorumError>> {
    return await this._publisher.publish(draft)
  }

  /**
   * Counts and logs an order that cannot be parsed.
   * @param problem - what is wrong with it
   */
  reportBadOrder (problem: string): void {
    this._options.metrics.count('orders_refused_total', 'invalid')
    this._options.log.warn('order_refused', { problem })
  }

  /**
   * Starts an ordered move, which the entry of the service does not declare; only the leader does so.
   * @param service - name of the service
   * @param to - new version
   * @param withinMs - duration within which all calls must go to it
   * @returns the outcome, or an error if no quorum answered
   */
  async startMove (service: string, to: string, withinMs: number): Promise<Result<OrderOutcome, NoQuorumError>> {
    if (this._catalogueGroup.role !== 'leader') return Ok({ kind: 'elsewhere', leaderAddress: this.leaderAddress })
    const command = CatalogueCommand.encode({
      nowMs: this._options.clock.readWallTime().getTime(),
      command: { $case: 'order', value: { service, from: this._findVersionInUse(service, to), to, withinMs: Math.round(withinMs) } }
    }).finish()
    const proposed = await this._catalogueGroup.propose(command)
    if (proposed.err) return Err(proposed.val instanceof NoQuorumError ? proposed.val : new NoQuorumError(false))
    const reply = ChangeReply.decode(proposed.val)
    const { message, repeated } = reply
    switch (reply.outcome) {
      case ChangeOutcome.CHANGE_OUTCOME_ACCEPTED: return Ok({ kind: 'accepted', isRepeated: repeated })
      case ChangeOutcome.CHANGE_OUTCOME_CONFLICT: return Ok({ kind: 'conflict', message })
      default: return Ok({ kind: 'invalid', message })
    }
  }

  /**
   * Checks that this process leads and holds everything accepted before this call.
   * @returns accepted, or the address of another leader, or an error if no quorum answered
   */
  async checkCurrent (): Promise<Result<OrderOutcome, NoQuorumError>> {
    if (this._catalogueGroup.role !== 'leader') return Ok({ kind: 'elsewhere', leaderAddress: this.leaderAddress })
    const barrier = await this._catalogueGroup.readBarrier()
    return barrier.ok ? Ok({ kind: 'accepted', isRepeated: false }) : Err(new NoQuorumError(false))
  }

  /** Peer address of the leader of the catalogue, empty while none is known. */
  get leaderAddress (): string {
    return this._catalogueGroup.getStatus().leaderAddress
  }

  /** @returns the state of all groups */
  listStatus (): IRaftStatus[] {
    return [...this._groups.values()].map(group => group.getStatus())
  }

  /**
   * Replaces or adds a control VM in all groups led here.
   * @param name - name of the VM
   * @param address - its peer address
   * @returns one line for each group
   */
  async replaceMember (name: string, address: string): Promise<string[]> {
    return await this._changeGroups(async group => await group.membership.replaceMember(name, address))
  }

  /**
   * Removes a control VM from all groups led here.
   * @param name - name of the VM
   * @returns one line for each group
   */
  async removeMember (name: string): Promise<string[]> {
    return await this._changeGroups(async group => await group.membership.removeMember(name))
  }

  dispose (): void {
    this._stopping.abort()
    this._disposables.dispose()
    for (const group of this._groups.values()) group.dispose()
  }

  /** Disposes this role and waits until the storage of all groups is closed. */
  async close (): Promise<void> {
    this.dispose()
    await Promise.all([...this._groups.values()].map(async group => { await group.close() }))
  }

  private async _changeGroups (change: (group: RaftGroup) => Promise<Result<void, Error>>): Promise<string[]> {
    const lines: string[] = []
    for (const group of this._groups.values()) {
      const result = await change(group)
      lines.push(`${group.group}: ${result.ok ? 'done' : result.val.message}`)
    }
    return lines
  }

  private _addGroup (name: string, machine: StateMachine, maxSnapshotEntries = Infinity): RaftGroup {
    const { settings, clock, random, log, channels, createStorage } = this._options
    const storage = createStorage?.(name) ?? new FileStorage(join(settings.process.dataFolder, name))
    const group = new RaftGroup({
      group: name,
      name: settings.process.name,
      initialMembers: settings.control.members,
      automatic: this._createAutomaticMembership(),
      heartbeatMs: settings.control.heartbeatMs,
      electionTimeoutMs: settings.control.electionTimeoutMs,
      snapshotEntries: Math.min(maxSnapshotEntries, settings.control.snapshotEntries),
      clock,
      random,
      log,
      storage,
      transport: new GrpcTransport(channels, settings.control.electionTimeoutMs),
      stateMachine: machine
    })
    this._disposables.add(group.onRoleChanged(role => { if (role === 'failed') this._onFailed.fire(name) }))
    this._groups.set(name, group)
    return group
  }

  private _createControlHandlers (): UntypedServiceImplementation {
    return {
      propose: createUnaryHandler(async (request: ProposeRequest) => await this._handlePropose(request)),
      report: createUnaryHandler(async ({ records }: Evidence): Promise<ReportReply> => {
        this._moves.addEvidence(records)
        return {}
      })
    }
  }

  private async _handlePropose (request: ProposeRequest): Promise<ProposeReply> {
    const group = this._groups.get(request.group)
    if (group === undefined) {
      return createProposeReply({ reason: `no group ${request.group} here; check claim_shards on every process` })
    }
    const result = await group.propose(this._appendTimestamp(request.command))
    if (result.ok) return createProposeReply({ committed: true, result: result.val as Buffer })
    const { val: error } = result
    return createProposeReply({
      reason: error.message,
      leaderAddress: error.kind === 'not-leader' ? error.leaderAddress : '',
      indeterminate: error.kind === 'no-quorum' && error.indeterminate
    })
  }

  /**
   * Appends the leader's time to a command. The commands of all groups have it in the same field, and
   * the last value of a field wins when encoded messages are concatenated.
   */
  private _appendTimestamp (command: Uint8Array): Buffer {
    const nowMs = this._options.clock.readWallTime().getTime()
    return Buffer.concat([command, CatalogueCommand.encode({ nowMs, command: undefined }).finish()])
  }

  private async _confirmCatalogue (nodes: readonly string[]): Promise<ConfirmReply> {
    const barrier = await this._catalogueGroup.readBarrier()
    if (barrier.ok) {
      const withdrawals = this._catalogueMachine.withdrawals.listOf(nodes)
      return { confirmed: true, version: { ...this.store.version }, message: '', withdrawals }
    }
    const leaderAddress = barrier.val.kind === 'not-leader' ? barrier.val.leaderAddress : ''
    return leaderAddress === '' ? ConfirmReply.fromPartial({ message: barrier.val.message }) : await this._confirmAt(leaderAddress, nodes)
  }

  private async _confirmAt (address: string, nodes: readonly string[]): Promise<ConfirmReply> {
    const client = this._options.channels.getClient(FeedStub, address)
    try {
      return await sendUnary<ConfirmRequest, ConfirmReply>(client.confirm.bind(client), { nodes: [...nodes] }, CONFIRM_TIMEOUT_MS)
    } catch (error) {
      return ConfirmReply.fromPartial({ message: formatError(error) })
    }
  }

  private _createAutomaticMembership (): IAutomaticMembership | undefined {
    const { settings, peerAddress, seedAddresses } = this._options
    if (settings.control.seeds.length === 0) return undefined
    return {
      address: peerAddress,
      availabilityZone: settings.process.availabilityZone,
      initialMemberAddresses: [...seedAddresses].sort(),
      isFirstStart: settings.control.firstStart,
      desiredVoters: 2 * settings.control.toleratedLosses + 1,
      listAddresses: () => this.directory.listAddresses()
    }
  }

  /** Finds the version that gets the calls now; empty if there is not exactly one. */
  private _findVersionInUse (service: string, to: string): string {
    const declared = this.store.view.entries.get(service)?.version
    const last = this.store.getMove(service)
    if (last !== undefined && !isMoveOpen(last)) {
      return last.status === MoveStatus.MOVE_STATUS_DONE ? last.to : last.from
    }
    if (declared !== undefined) return declared
    const versions = new Set(this.endpoints.getRecords()
      .filter(record => record.service === service && record.version !== to && record.state === EndpointState.ENDPOINT_STATE_READY)
      .map(record => record.version))
    return versions.size === 1 ? [...versions][0] ?? '' : ''
  }

  /** Sets the epoch of the catalogue while this process leads a new group that has none. */
  private async _runEpochBootstrap (): Promise<void> {
    const { clock } = this._options
    while (!this._stopping.signal.aborted && this.store.version.epoch === 0) {
      if (this._catalogueGroup.isReadyLeader) {
        const epoch = clock.readWallTime().getTime()
        await this._catalogueGroup.propose(CatalogueCommand.encode({
          nowMs: epoch, command: { $case: 'bootstrap', value: { epoch } }
        }).finish())
      }
      await clock.sleep(RETRY_INTERVAL_MS, this._stopping.signal)
    }
  }
}

function createProposeReply (fields: Partial<ProposeReply>): ProposeReply {
  return { committed: false, result: Buffer.alloc(0), reason: '', leaderAddress: '', indeterminate: false, ...fields }
}
