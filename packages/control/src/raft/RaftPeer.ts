/**
 * What a leader knows of one peer.
 */
import { Signal } from '@lagoonswitch/common'
import type { LogEntry, Member } from '@lagoonswitch/schema'
import { BulkPace } from './BulkPace.js'
import type { RaftLog } from './RaftLog.js'

const MAX_BATCH_ENTRIES = 1_024

/** Progress of a peer, and the time of its last answer. */
export class RaftPeer {
  matchIndex = 0
  /** Monotonic time at which the last answered request was sent. */
  lastAckedSendMs = -Infinity
  readonly wakeSignal = new Signal()
  isActive = true
  /** True if a replica with another id answered at the address. */
  isReplaced = false
  /** True while the peer lacks entries that it has acknowledged to this leader; it is then sent them with pauses. */
  isLackingAcknowledged = false
  readonly pace: BulkPace
  /** Snapshot that is being sent, and how much of it the peer holds; kept while parts of it fail. */
  snapshot: { readonly lastIndex: number, offset: number } | undefined

  /**
   * @param member - the peer
   * @param nextIndex - first entry to send
   * @param _addedMs - monotonic time at which the leader began to replicate to it
   * @param timeoutMs - wait for the answer to a part that the link should carry in time, in milliseconds
   */
  constructor (public member: Member, public nextIndex: number, private readonly _addedMs: number, timeoutMs: number) {
    this.pace = new BulkPace(timeoutMs)
  }

  /** True once the peer has answered this leader. */
  get hasAnswered (): boolean {
    return this.lastAckedSendMs > -Infinity
  }

  /**
   * @param nowMs - monotonic time
   * @returns time since it last answered, or since it was added if it has not answered yet, in milliseconds
   */
  getSilenceMs (nowMs: number): number {
    return nowMs - Math.max(this.lastAckedSendMs, this._addedMs)
  }

  /**
   * @param log - of the leader
   * @returns the next entries to send, as many as the link carries well
   */
  pickBatch (log: RaftLog): LogEntry[] {
    const entries = log.getRange(this.nextIndex, this.nextIndex + MAX_BATCH_ENTRIES - 1)
    let bytes = 0
    const end = entries.findIndex(entry => {
      bytes += entry.data.length
      return bytes > this.pace.partBytes
    })
    return end > 0 ? entries.slice(0, end) : entries.slice(0, end === 0 ? 1 : entries.length)
  }

  /** Ends the tasks that replicate to the peer. */
  stop (): void {
    this.isActive = false
    this.wakeSignal.notify()
  }
}
