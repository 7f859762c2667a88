/**
 * The known targets, merged from all sources; the newest record of a target wins.
 */
import { Emitter } from '@lagoonswitch/common'
import { EndpointState, type EndpointRecord } from '@lagoonswitch/schema'

/** Changed records and their origin. */
export interface IEndpointChange {
  readonly records: readonly EndpointRecord[]
  readonly origin: object | undefined
}

/**
 * Compares the age of two records of the same target.
 * @param a - first record
 * @param b - second record
 * @returns a positive number when a is newer, a negative one when b is newer, 0 for equal age
 */
export function compareEndpoints (a: EndpointRecord, b: EndpointRecord): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || computeStateRank(a) - computeStateRank(b)
}

/** At equal sequences, a record of the target's own node wins over a removal that another process made for a lost connection. */
function computeStateRank (record: EndpointRecord): number {
  return record.state === EndpointState.ENDPOINT_STATE_GONE ? 0 : 1
}

/** Merges records; the result does not depend on their order. */
export class EndpointView {
  private readonly _records = new Map<string, EndpointRecord>()
  private readonly _onChanged = new Emitter<IEndpointChange>()

  /** Fires with the records that changed. */
  readonly onChanged = this._onChanged.event

  /** @returns all records, including those of targets that are gone */
  getRecords (): EndpointRecord[] {
    return [...this._records.values()]
  }

  /**
   * @param targetId - id of a target
   * @returns its newest record
   */
  getRecord (targetId: string): EndpointRecord | undefined {
    return this._records.get(targetId)
  }

  /**
   * Merges records.
   * @param records - from any source, in any order; repeated records have no effect
   * @param origin - where the records come from, passed on with the event so that they are not sent back
   */
  merge (records: readonly EndpointRecord[], origin?: object): void {
    const changed = records.filter(record => {
      const known = this._records.get(record.targetId)
      if (known !== undefined && compareEndpoints(record, known) <= 0) return false
      this._records.set(record.targetId, record)
      return true
    })
    if (changed.length > 0) this._onChanged.fire({ records: changed, origin })
  }

  /**
   * Marks targets as gone unless a newer record has arrived in the meantime.
   * @param lostRecords - the records as the lost connection announced them
   */
  markGone (lostRecords: readonly EndpointRecord[]): void {
    const gone: EndpointRecord[] = []
    for (const lostRecord of lostRecords) {
      const known = this._records.get(lostRecord.targetId)
      const isUnchanged = known !== undefined && compareEndpoints(known, lostRecord) === 0
      if (!isUnchanged || known.state === EndpointState.ENDPOINT_STATE_GONE) continue
      gone.push({ ...known, state: EndpointState.ENDPOINT_STATE_GONE, sequence: known.sequence + 1 })
    }
    this.merge(gone)
  }

  /**
   * Removes records. The event has this view as its origin, so that the removal is not reported to the source.
   * @param targetIds - ids of targets
   */
  remove (targetIds: readonly string[]): void {
    const removed: EndpointRecord[] = []
    for (const id of targetIds) {
      const record = this._records.get(id)
      if (record === undefined) continue
      this._records.delete(id)
      removed.push({ ...record, state: EndpointState.ENDPOINT_STATE_GONE })
    }
    if (removed.length > 0) this._onChanged.fire({ records: removed, origin: this })
  }
}
