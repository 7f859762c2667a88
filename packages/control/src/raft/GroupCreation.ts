/**
 * Creation of a group on the first start of its initial members.
 */
import { formatError } from '@lagoonswitch/common'
import { LogEntryKind, Members, type IdentifyReply, type LogEntry, type Member } from '@lagoonswitch/schema'
import type { IRaftOptions } from './RaftTypes.js'
import type { Replica } from './Replica.js'

const ATTEMPT_INTERVAL_MS = 300
/** Time that each initial member leaves to those before it in the list; longer than the difference of their starts. */
const TURN_MS = 1_500
/** Term with which a creator begins. The entries of creators have lower ones, and elections higher ones. */
const CREATION_TERM = 16

/** Functions of the group that its creation depends on. */
export interface ICreationHost {
  /** Returns the identity of the replica at an address, or undefined if it does not answer. */
  readonly identify: (address: string) => Promise<IdentifyReply | undefined>
  readonly getIdentity: () => IdentifyReply
  /** Starts an election without waiting for the election timeout. */
  readonly startElection: () => void
}

/**
 * Writes the first entry of the log, the members of the group.
 *
 * With automatic membership a majority of the initial members suffices, so that one that is lost during the first start
 * does not prevent the group. Any two majorities share a replica, which holds one first entry only. The first entry of each
 * creator has a term of its own below those of elections, so concurrent creations are resolved like the entries of
 * different leaders.
 */
export class GroupCreation {
  /** Peer addresses of the initial members; a member's position in the list is its rank. */
  private readonly _addresses: readonly string[]
  private readonly _rank: number

  /**
   * @param _options - configuration of the replica
   * @param _replica - state of the replica
   * @param _host - functions of the group
   * @param _stopping - ends the creation
   */
  constructor (
    private readonly _options: IRaftOptions, private readonly _replica: Replica, private readonly _host: ICreationHost,
    private readonly _stopping: AbortSignal
  ) {
    const { automatic, initialMembers, name } = _options
    this._addresses = automatic?.initialMemberAddresses ?? initialMembers.map(member => member.address)
    this._rank = automatic === undefined
      ? initialMembers.findIndex(member => member.name === name)
      : automatic.initialMemberAddresses.indexOf(automatic.address)
  }

  /** Starts the creation, if this replica may create the group. */
  start (): void {
    const { automatic } = this._options
    const mayCreate = automatic === undefined ? this._rank === 0 : automatic.isFirstStart && this._rank >= 0
    if (mayCreate) void this._run()
  }

  /** The others are asked until this replica is a member. None may have been part of a group, whose data an empty one would replace. */
  private async _run (): Promise<void> {
    const { clock, automatic, log, group } = this._options
    const startedMs = clock.readMonotonicMs()
    await clock.sleep(this._rank * TURN_MS, this._stopping)
    while (!this._stopping.aborted && this._replica.members.length === 0) {
      const identities = await Promise.all(this._addresses.map(async (address, index) =>
        index === this._rank ? this._host.getIdentity() : await this._host.identify(address)))
      const isInitialized = identities.some(identity => identity?.initialized === true)
      if (isInitialized && automatic === undefined) {
        log.warn('waiting_for_replacement', { group, remedy: 'run lagoonctl members replace' })
        return
      }
      const hasWaited = clock.readMonotonicMs() - startedMs >= TURN_MS
      if (!this._stopping.aborted && !isInitialized && this._isSufficient(identities, hasWaited)) {
        // A replica whose disk rejects writes recovers on its own.
        await this._writeInitialMembers(this._createMembers(identities))
          .catch(error => log.warn('group_not_created', { group, error: formatError(error) }))
      }
      await clock.sleep(ATTEMPT_INTERVAL_MS, this._stopping)
    }
  }

  private _isSufficient (identities: ReadonlyArray<IdentifyReply | undefined>, hasWaited: boolean): boolean {
    const answered = identities.filter(identity => identity !== undefined)
    if (answered.length === identities.length) return true
    // A replica that was restarted may have lost a disk with which it took part in the group.
    const isFirstStart = answered.every(identity => identity.firstStart)
    return this._options.automatic !== undefined && hasWaited && isFirstStart && answered.length > identities.length / 2
  }

  private _createMembers (identities: ReadonlyArray<IdentifyReply | undefined>): Member[] {
    return identities.flatMap((identity, index) => identity === undefined
      ? []
      : [{
          name: this._options.initialMembers[index]?.name ?? identity.name,
          address: this._addresses[index] ?? '',
          replicaId: identity.replicaId,
          voter: true,
          availabilityZone: identity.availabilityZone
        }])
  }

  private async _writeInitialMembers (members: readonly Member[]): Promise<void> {
    const replica = this._replica
    await replica.lock.run(async () => {
      if (replica.hasFailed || replica.members.length > 0 || replica.log.lastIndex > 0) return
      // A vote in the election of another creator stays valid.
      if (replica.term < CREATION_TERM) await replica.saveTermAndVote(CREATION_TERM, replica.replicaId)
      const data = Members.encode({ members: [...members] }).finish() as Buffer
      const entry: LogEntry = { index: 1, term: this._rank + 1, kind: LogEntryKind.LOG_ENTRY_KIND_MEMBERS, data }
      replica.log.push(entry)
      await replica.syncEntries([entry])
      replica.updateMembers()
      this._options.log.info('group_created', { group: this._options.group, members: members.map(member => member.name).join('+') })
      this._host.startElection()
    })
  }
}
