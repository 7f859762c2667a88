/**
 * Replicas in one process, with a transport that can lose messages and cut connections, and a clock that the test advances.
 */
import { ManualClock, NullLog, SeededRandom, type IRandom } from '@lagoonswitch/common'
import type {
  AppendReply, AppendRequest, IdentifyReply, IdentifyRequest, InstallSnapshotReply, InstallSnapshotRequest,
  JoinReply, JoinRequest, VoteReply, VoteRequest
} from '@lagoonswitch/schema'
import { MemoryStorage } from '../raft/MemoryStorage.js'
import { RaftGroup } from '../raft/RaftGroup.js'
import type { IAutomaticMembership } from '../raft/RaftTypes.js'
import { RaftTransport } from '../raft/RaftTransport.js'
import { StateMachine } from '../raft/StateMachine.js'

const HEARTBEAT_MS = 100
const ELECTION_TIMEOUT_MS = 1_000
const SNAPSHOT_TIMEOUT_MS = 10_000
const CLOCK_STEP_MS = 50
const DESIRED_VOTERS = 5

/** State machine that records the applied commands in order. */
export class ListStateMachine extends StateMachine {
  commands: string[] = []

  apply (command: Uint8Array): Uint8Array {
    this.commands.push(Buffer.from(command).toString())
    return Buffer.from(String(this.commands.length))
  }

  takeSnapshot (): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands))
  }

  restoreSnapshot (state: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(state).toString()) as string[]
  }
}

/** A VM with the replica that runs on it and the storage that survives the replica. */
export class FakeVm {
  storage: MemoryStorage
  stateMachine = new ListStateMachine()
  group: RaftGroup | undefined
  private _diskCount = 1

  constructor (readonly name: string) {
    this.storage = new MemoryStorage(`${name}-disk-1`)
  }

  /** Replaces the storage with an empty one. */
  loseDisk (): void {
    this._diskCount++
    this.storage = new MemoryStorage(`${this.name}-disk-${this._diskCount}`)
  }
}

class FaultyTransport extends RaftTransport {
  constructor (private readonly _cluster: FakeCluster, private readonly _from: string) {
    super()
  }

  async sendVote (address: string, request: VoteRequest): Promise<VoteReply> {
    return await this._deliver(address, group => group.handleVote(request))
  }

  async sendAppend (address: string, request: AppendRequest): Promise<AppendReply> {
    return await this._sendEntries(address, request, ELECTION_TIMEOUT_MS)
  }

  override async sendBulk (address: string, request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    return await this._sendEntries(address, request, timeoutMs)
  }

  async sendSnapshot (address: string, request: InstallSnapshotRequest): Promise<InstallSnapshotReply> {
    return await this._deliver(address, group => group.handleInstallSnapshot(request), request.chunk.length, SNAPSHOT_TIMEOUT_MS)
  }

  async sendIdentify (address: string, _request: IdentifyRequest): Promise<IdentifyReply> {
    return await this._deliver(address, async group => group.membership.handleIdentify())
  }

  async sendJoin (address: string, request: JoinRequest): Promise<JoinReply> {
    return await this._deliver(address, async group => group.membership.handleJoin(request))
  }

  private async _sendEntries (address: string, request: AppendRequest, timeoutMs: number): Promise<AppendReply> {
    const bytes = request.entries.reduce((sum, { data }) => sum + data.length, 0)
    return await this._deliver(address, group => group.handleAppend(request), bytes, timeoutMs)
  }

  private async _deliver<T> (
    address: string, handle: (group: RaftGroup) => Promise<T>, bytes = 0, timeoutMs = ELECTION_TIMEOUT_MS
  ): Promise<T> {
    this._throwIfLost(this._from, address)
    if (bytes > 0) await this._cluster.carry(address, bytes, timeoutMs)
    const group = this._cluster.getVm(address).group
    if (group === undefined) throw new Error('refused')
    const reply = await handle(group)
    this._throwIfLost(address, this._from)
    return reply
  }

  private _throwIfLost (from: string, to: string): void {
    if (this._cluster.cutDirections.has(`${from}>${to}`)) throw new Error('lost')
    if (this._cluster.lossRate > 0 && this._cluster.random.draw() < this._cluster.lossRate) throw new Error('lost')
  }
}

/** A link on which a lost packet is sent again after a timeout. */
export interface ISlowLink {
  readonly bytesPerSecond: number
  /** Fraction of the packets that are lost. */
  readonly packetLoss: number
}

const PACKET_BYTES = 1_400
const RETRANSMISSION_MS = 200

/** A group of replicas that a test controls. */
export class FakeCluster {
  readonly clock = new ManualClock()
  readonly random: IRandom
  /** Cut directions as FROM>TO. */
  readonly cutDirections = new Set<string>()
  lossRate = 0
  /** Links to VMs that carry little; others carry everything at once. */
  readonly slowLinks = new Map<string, ISlowLink>()
  private _isGroupCreated = false
  private readonly _vms = new Map<string, FakeVm>()

  /**
   * @param names - names of the VMs
   * @param seed - seed of the random numbers
   * @param _snapshotEntries - entries between snapshots
   * @param _initialMembers - VMs with which the group is created, while all others join; if empty, all VMs are fixed members
   */
  constructor (
    readonly names: readonly string[], seed = 1, private readonly _snapshotEntries = 1_000,
    private readonly _initialMembers: readonly string[] = []
  ) {
    this.random = new SeededRandom(seed)
    for (const name of names) this._vms.set(name, new FakeVm(name))
  }

  getVm (name: string): FakeVm {
    let vm = this._vms.get(name)
    if (vm === undefined) {
      vm = new FakeVm(name)
      this._vms.set(name, vm)
    }
    return vm
  }

  async start (name: string, isFirstStart = !this._isGroupCreated): Promise<void> {
    const vm = this.getVm(name)
    vm.stateMachine = new ListStateMachine()
    vm.group = new RaftGroup({
      group: 'test',
      name,
      initialMembers: this._initialMembers.length > 0 ? [] : this.names.map(member => ({ name: member, address: member })),
      automatic: this._createAutomaticMembership(name, isFirstStart),
      heartbeatMs: HEARTBEAT_MS,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      snapshotEntries: this._snapshotEntries,
      clock: this.clock,
      random: this.random,
      log: new NullLog(),
      storage: vm.storage,
      transport: new FaultyTransport(this, name),
      stateMachine: vm.stateMachine
    })
    await vm.group.start()
  }

  private _createAutomaticMembership (name: string, isFirstStart: boolean): IAutomaticMembership | undefined {
    if (this._initialMembers.length === 0) return undefined
    return {
      address: name,
      availabilityZone: 'z1',
      initialMemberAddresses: this._initialMembers,
      isFirstStart,
      desiredVoters: DESIRED_VOTERS,
      listAddresses: () => this._initialMembers
    }
  }

  async startAll (): Promise<void> {
    for (const name of this._vms.keys()) await this.start(name)
    await this.waitLeader()
    this._isGroupCreated = true
  }

  /** Waits while a link carries a message; one that takes longer than the timeout is lost, as its connection is closed. */
  async carry (to: string, bytes: number, timeoutMs: number): Promise<void> {
    const link = this.slowLinks.get(to)
    if (link === undefined) return
    let lost = 0
    for (let sent = 0; sent < bytes; sent += PACKET_BYTES) if (this.random.draw() < link.packetLoss) lost++
    const neededMs = 1_000 * bytes / link.bytesPerSecond + lost * RETRANSMISSION_MS
    await this.clock.sleep(Math.min(neededMs, timeoutMs))
    if (neededMs > timeoutMs) throw new Error('timeout')
  }

  kill (name: string): void {
    const vm = this.getVm(name)
    vm.group?.dispose()
    vm.group = undefined
  }

  cut (from: string, to: string): void {
    this.cutDirections.add(`${from}>${to}`)
  }

  isolate (name: string): void {
    for (const other of this._vms.keys()) {
      this.cut(name, other)
      this.cut(other, name)
    }
  }

  heal (): void {
    this.cutDirections.clear()
    this.lossRate = 0
  }

  findLeader (): FakeVm | undefined {
    return [...this._vms.values()].find(vm => vm.group?.isReadyLeader === true && vm.group.isCurrent)
  }

  async waitLeader (limitMs = 20_000): Promise<FakeVm> {
    for (let passedMs = 0; passedMs < limitMs; passedMs += CLOCK_STEP_MS) {
      const leader = this.findLeader()
      if (leader !== undefined) return leader
      await this.clock.advance(CLOCK_STEP_MS)
    }
    throw new Error(`no leader within ${limitMs} ms`)
  }

  /** Proposes a command and advances the clock until the result is known, at most by a limit; true if it was committed. */
  async propose (vm: FakeVm, command: string, limitMs = 6_000): Promise<boolean> {
    const { group } = vm
    if (group === undefined) return false
    const reply = await this.advanceUntilSettled(group.propose(Buffer.from(command)), limitMs)
    return reply.ok
  }

  /** Advances the clock until a promise settles, at most by a limit, and returns its result. */
  async advanceUntilSettled<T> (promise: Promise<T>, limitMs = 20_000): Promise<T> {
    const state = { isDone: false }
    void promise.finally(() => { state.isDone = true }).catch(() => undefined)
    for (let passedMs = 0; passedMs < limitMs && !state.isDone; passedMs += CLOCK_STEP_MS) {
      await this.clock.advance(CLOCK_STEP_MS)
    }
    return await promise
  }

  /** Lists the voters known to the leader as NAME/REPLICA_ID. */
  listVoters (): string[] {
    const members = this.findLeader()?.group?.getStatus().members ?? []
    return members.filter(member => member.voter).map(member => `${member.name}/${member.replicaId}`).sort()
  }

  /** Advances the clock until a condition holds; throws after a limit. */
  async waitFor (label: string, check: () => boolean, limitMs = 20_000): Promise<void> {
    for (let passedMs = 0; passedMs < limitMs; passedMs += CLOCK_STEP_MS) {
      if (check()) return
      await this.clock.advance(CLOCK_STEP_MS)
    }
    throw new Error(`${label} did not happen within ${limitMs} ms; voters ${this.listVoters().join(' ')}`)
  }

  dispose (): void {
    for (const name of this._vms.keys()) this.kill(name)
  }
}
