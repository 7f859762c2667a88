/**
 * Calls that the targets of one VM run, or ran a moment ago, by their ids.
 */
import type { IClock } from '@lagoonswitch/common'

/** A target may make nested calls for some time after its call was ended, since it learns of that late or not at all. */
const RECENT_RUN_MS = 5_000
/** Ended runs that are remembered; at 1,000 calls a second more than {@link RECENT_RUN_MS} of them. */
const MAX_RECENT_RUNS = 8_192

/** Tells whether a call that names another one as its parent can have been made by a target that runs that one. */
export class RunRegister {
  /** Number of runs by id; a call may be repeated at a second target while the first still runs it. */
  private readonly _running = new Map<string, number>()
  /** Times of the ends of runs by id, oldest first. */
  private readonly _endedMs = new Map<string, number>()

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /**
   * Records that a target receives a call.
   * @param id - of the call
   */
  add (id: string): void {
    this._running.set(id, (this._running.get(id) ?? 0) + 1)
  }

  /**
   * Records the end of a run.
   * @param id - of the call
   */
  remove (id: string): void {
    const count = (this._running.get(id) ?? 1) - 1
    if (count > 0) this._running.set(id, count)
    else this._running.delete(id)
    const nowMs = this._clock.readMonotonicMs()
    this._endedMs.delete(id)
    this._endedMs.set(id, nowMs)
    for (const [oldId, endedMs] of this._endedMs) {
      if (this._endedMs.size <= MAX_RECENT_RUNS && nowMs - endedMs < RECENT_RUN_MS) return
      this._endedMs.delete(oldId)
    }
  }

  /**
   * @param id - of a call
   * @returns true if a target runs the call, or ran it within the last seconds
   */
  has (id: string): boolean {
    if (this._running.has(id)) return true
    const endedMs = this._endedMs.get(id)
    return endedMs !== undefined && this._clock.readMonotonicMs() - endedMs < RECENT_RUN_MS
  }
}
