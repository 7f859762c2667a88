/**
 * Durable storage of a replica.
 */
import type { HardState, LogEntry } from '@lagoonswitch/schema'
import type { IDurableState, ISnapshot } from './RaftTypes.js'

/**
 * Stores the state that a replica must not lose. A promise resolves only after the change is
 * synced; a rejection means that the state of the disk is unknown and the replica must stop.
 */
export abstract class RaftStorage {
  /** @returns the stored state; an empty storage generates a new replica id */
  abstract load (): Promise<IDurableState>
  /** @param state - term and vote */
  abstract saveHardState (state: HardState): Promise<void>
  /** @param entries - entries that directly follow the last stored one */
  abstract append (entries: readonly LogEntry[]): Promise<void>
  /** @param index - first entry to remove */
  abstract truncateFrom (index: number): Promise<void>
  /**
   * Stores a snapshot and replaces the log.
   * @param snapshot - the snapshot
   * @param baseIndex - index just below the first entry
   * @param baseTerm - term of the entry at baseIndex
   * @param entries - entries of the new log
   */
  abstract saveSnapshot (
    snapshot: ISnapshot, baseIndex: number, baseTerm: number, entries: readonly LogEntry[]
  ): Promise<void>
  /** Moves damaged state out of the way, so that the next load generates a new replica id. */
  abstract reset (): Promise<void>
  /** Closes the files. */
  abstract close (): Promise<void>
}
