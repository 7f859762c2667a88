/**
 * Withdrawals of targets that hold after a restart of all processes: the control VMs record them before they are acknowledged.
 */
import { Err, NoQuorumError, Ok, formatError, type IClock, type ILog, type Metrics, type Result } from '@lagoonswitch/common'
import { CatalogueCommand, ChangeOutcome, ChangeReply, type WithdrawalRecord } from '@lagoonswitch/schema'
import type { LeaderClient } from '@lagoonswitch/transport'
import type { LocalTargetRegistry } from './LocalTargetRegistry.js'

/** Group of control VMs that records withdrawals. */
const GROUP = 'catalogue'
/** Time in which a withdrawal must be recorded; targets wait a second for the acknowledgement. */
const RECORD_TIMEOUT_MS = 900
/** Time after which the next control VM is asked; leaves three attempts within the time above. */
const ATTEMPT_TIMEOUT_MS = 300
/** Recorded withdrawals that are remembered, so that their repetitions are not recorded again. */
const MAX_REMEMBERED = 256

/** Dependencies of a {@link WithdrawalRecorder}. */
export interface IWithdrawalRecorderOptions {
  /** Process name of this node. */
  readonly node: string
  readonly targets: LocalTargetRegistry
  readonly leaderClient: LeaderClient
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
}

/** Withdraws targets of this VM for good. */
export class WithdrawalRecorder {
  private readonly _recordedKeys = new Set<string>()
  private readonly _pending = new Map<string, Promise<Result<void, NoQuorumError>>>()

  constructor (private readonly _options: IWithdrawalRecorderOptions) {}

  /**
   * Stops new calls to a target at once and records its withdrawal, so that no late announcement restores it. Repetitions are safe.
   * @param id - id of the target
   * @param bornMs - wall-clock time of its start in milliseconds, if stated
   * @param sequence - number of its announcements, if stated
   * @returns nothing once the withdrawal is recorded, which may be acknowledged then; an error if no quorum has recorded it in time
   */
  async withdraw (id: string, bornMs?: number, sequence?: number): Promise<Result<void, NoQuorumError>> {
    const { targets, node, clock } = this._options
    const registered = targets.getAnnouncement(id)
    targets.withdraw(id, bornMs, sequence)
    const targetBorn = bornMs ?? registered?.bornMs ?? 0
    const instance = registered?.bornMs === targetBorn || targetBorn === 0 ? registered?.instance ?? '' : ''
    const key = JSON.stringify([id, targetBorn, instance])
    if (this._recordedKeys.has(key)) return Ok(undefined)
    let pending = this._pending.get(key)
    if (pending === undefined) {
      const withdrawnMs = Math.max(clock.readWallTime().getTime(), targets.getRecordedStartMs(id))
      pending = this._record(key, { targetId: id, node, targetBorn, instance, withdrawnMs, recordedMs: 0 })
        .finally(() => this._pending.delete(key))
      this._pending.set(key, pending)
    }
    return await pending
  }

  private async _record (key: string, record: WithdrawalRecord): Promise<Result<void, NoQuorumError>> {
    const { leaderClient, log, metrics } = this._options
    const command = CatalogueCommand.encode({ nowMs: 0, command: { $case: 'withdrawal', value: record } }).finish()
    const proposed = await leaderClient.propose(GROUP, command, RECORD_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
    const isRecorded = proposed.ok && ChangeReply.decode(proposed.val).outcome === ChangeOutcome.CHANGE_OUTCOME_ACCEPTED
    metrics.count('withdrawals_total', isRecorded ? 'recorded' : 'not-recorded')
    if (isRecorded) {
      log.info('withdrawal_recorded', { target: record.targetId, born: record.targetBorn })
      // Without a start the record holds for starts before its time, so a later one covers more.
      if (record.targetBorn !== 0 || record.instance !== '') this._remember(key)
      return Ok(undefined)
    }
    const error = proposed.err ? proposed.val : new NoQuorumError(false)
    log.warn('withdrawal_not_recorded', { target: record.targetId, born: record.targetBorn, error: formatError(error) })
    return Err(error)
  }

  private _remember (key: string): void {
    this._recordedKeys.add(key)
    const oldest = this._recordedKeys.values().next().value
    if (this._recordedKeys.size > MAX_REMEMBERED && oldest !== undefined) this._recordedKeys.delete(oldest)
  }
}
