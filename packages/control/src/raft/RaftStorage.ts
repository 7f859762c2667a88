/**
 * Durable state of a replica.
 */
import type { HardState, LogEntry } from '@lagoonswitch/schema'
import type { IDurableState, ISnapshot } from './RaftTypes.js'

/**
 * Keeps what a replica must not forget. Every promise resolves only when the change is
 * synced; a rejection means that the state of the disk is unknown and the replica must stop.
 */
export abstract class RaftStorage {
  /** @returns everything kept so far; a new replica id is drawn when there is nothing */
  abstract load (): Promise<IDurableState>
  /** @param state - term and vote */
  abstract saveHardState (state: HardState): Promise<void>
  /** @param entries - follow directly on the last entry kept */
  abstract append (entries: readonly LogEntry[]): Promise<void>
  /** @param index - first entry to remove */
  abstract truncateFrom (index: number): Promise<void>
  /**
   * Keeps a snapshot and replaces the log.
   * @param snapshot - the snapshot
   * @param baseIndex - index just below the first entry
   * @param baseTerm - term of the entry at baseIndex
   * @param entries - entries to keep
   */
  abstract saveSnapshot (
    snapshot: ISnapshot, baseIndex: number, baseTerm: number, entries: readonly LogEntry[]
  ): Promise<void>
  /** Puts a damaged state aside, so that the next load draws a new identity. */
  abstract reset (): Promise<void>
  /** Releases files. */
  abstract close (): Promise<void>
}
