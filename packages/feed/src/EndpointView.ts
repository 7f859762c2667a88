/**
 * The targets that are known, merged from every source; the newest record of a target wins.
 */
import { Emitter } from '@lagoonswitch/common'
import { EndpointState, type EndpointRecord } from '@lagoonswitch/schema'

/** Records that changed, and where they came from. */
export interface IEndpointChange {
  readonly records: readonly EndpointRecord[]
  readonly origin: object | undefined
}

/**
 * Compares the age of two records of one target.
 * @param a - one record
 * @param b - another record
 * @returns positive when a is newer
 */
export function compareEndpoints (a: EndpointRecord, b: EndpointRecord): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || computeStateRank(a) - computeStateRank(b)
}

/** With equal sequences, what the target's own process says beats what another one concluded from silence. */
function computeStateRank (record: EndpointRecord): number {
  return record.state === EndpointState.ENDPOINT_STATE_GONE ? 0 : 1
}

/** Merges records in any order to the same view. */
export class EndpointView {
  private readonly _records = new Map<string, EndpointRecord>()
  private readonly _onChanged = new Emitter<IEndpointChange>()

  /** Fires with the records that changed. */
  readonly onChanged = this._onChanged.event

  /** @returns all records, gone ones included */
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
   * @param records - from any source, in any order, repeated or not
   * @param origin - the source, which is not told again
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
   * Marks targets as gone unless a newer record has come in the meantime.
   * @param lostRecords - records as they were when contact was lost
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
   * Forgets records without telling anybody.
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
