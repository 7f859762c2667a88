/**
 * A target of the soak, behind a proxy, that records when each call ran.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInTarget } from '../stand-in-platform.mjs'

const WITHDRAWAL_PAUSE_MS = 200
const WITHDRAWAL_LIMIT_MS = 5_000

/** Records its runs and the acknowledgement of its withdrawal. */
export class SoakTarget extends StandInTarget {
  /** @param options - as of {@link StandInTarget} */
  constructor (options) {
    super(options)
    /** Time of each run and its call; times are monotonic milliseconds. */
    this.runTimes = []
    this.withdrawnMs = undefined
  }

  async _run (job) {
    this.runTimes.push({ id: job.incoming.headers['x-attempt-id'], atMs: performance.now() })
    await super._run(job)
  }

  /** Withdraws by an announcement that it drains, or by a removal, until that is acknowledged or a time limit has passed. */
  async withdrawFully (isDraining) {
    if (isDraining) this._state = 'draining'
    const endMs = performance.now() + WITHDRAWAL_LIMIT_MS
    while (performance.now() < endMs) {
      const status = await (isDraining ? this.beat() : this.withdraw()).catch(() => 0)
      if (status === 200) {
        this.withdrawnMs = performance.now()
        return
      }
      await sleep(WITHDRAWAL_PAUSE_MS)
    }
  }
}
