/**
 * The recorded withdrawals of targets, a part of the replicated catalogue.
 */
import type { WithdrawalRecord } from '@lagoonswitch/schema'

/** Time after which a withdrawal is removed, in milliseconds; far longer than an announcement can be late. */
const RETENTION_MS = 10 * 60_000
/** Number of withdrawals that are kept, which bounds the snapshots. */
const MAX_WITHDRAWALS = 4_096

/** Holds the latest withdrawal of each target. */
export class WithdrawalList {
  private readonly _records = new Map<string, WithdrawalRecord>()

  /**
   * Adds a withdrawal and removes expired ones.
   * @param record - a withdrawal; one of an earlier start of the target than the known one has no effect
   * @param nowMs - wall-clock time of the leader in milliseconds
   */
  add (record: WithdrawalRecord, nowMs: number): void {
    const known = this._records.get(record.targetId)
    if (known !== undefined && record.targetBorn !== 0 && record.targetBorn < known.targetBorn) return
    // The oldest record is the first one of the map.
    this._records.delete(record.targetId)
    this._records.set(record.targetId, { ...record, recordedMs: nowMs })
    for (const [id, { recordedMs }] of this._records) {
      if (this._records.size <= MAX_WITHDRAWALS && nowMs - recordedMs <= RETENTION_MS) return
      this._records.delete(id)
    }
  }

  /**
   * @param nodes - process names
   * @returns withdrawals of targets beside these nodes
   */
  listOf (nodes: readonly string[]): WithdrawalRecord[] {
    return nodes.length === 0 ? [] : [...this._records.values()].filter(record => nodes.includes(record.node))
  }

  /** @returns all withdrawals, the oldest first */
  getRecords (): WithdrawalRecord[] {
    return [...this._records.values()]
  }

  /** @param records - from {@link getRecords} */
  restore (records: readonly WithdrawalRecord[]): void {
    this._records.clear()
    for (const record of records) this._records.set(record.targetId, record)
  }
}
