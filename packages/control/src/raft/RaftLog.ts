/**
 * The part of the log that is held in memory.
 */
import type { LogEntry } from '@lagoonswitch/schema'

/** Log entries after a base index; everything up to the base is covered by a snapshot. */
export class RaftLog {
  private _entries: LogEntry[]

  /**
   * @param _baseIndex - index just below the first entry
   * @param _baseTerm - term of the entry at the base
   * @param entries - entries after the base
   */
  constructor (private _baseIndex: number, private _baseTerm: number, entries: LogEntry[]) {
    this._entries = entries
  }

  get baseIndex (): number {
    return this._baseIndex
  }

  get baseTerm (): number {
    return this._baseTerm
  }

  get lastIndex (): number {
    return this._baseIndex + this._entries.length
  }

  get lastTerm (): number {
    return this._entries.at(-1)?.term ?? this._baseTerm
  }

  /**
   * @param index - index of an entry
   * @returns its term, or undefined if the entry is not in memory
   */
  getTerm (index: number): number | undefined {
    if (index === this._baseIndex) return this._baseTerm
    return this.getEntry(index)?.term
  }

  /**
   * @param index - index of an entry
   * @returns the entry, or undefined if it is not in memory
   */
  getEntry (index: number): LogEntry | undefined {
    return index > this._baseIndex ? this._entries[index - this._baseIndex - 1] : undefined
  }

  /**
   * @param from - first index
   * @param to - last index
   * @returns the entries of that range that are in memory
   */
  getRange (from: number, to: number): LogEntry[] {
    return this._entries.slice(Math.max(0, from - this._baseIndex - 1), Math.max(0, to - this._baseIndex))
  }

  /** @param entry - entry that directly follows the last one */
  push (entry: LogEntry): void {
    this._entries.push(entry)
  }

  /** @param index - first entry to remove */
  truncateFrom (index: number): void {
    this._entries.length = Math.max(0, Math.min(this._entries.length, index - this._baseIndex - 1))
  }

  /** @param index - new base index; its entry must be in memory */
  compactTo (index: number): void {
    const term = this.getTerm(index)
    if (term === undefined) return
    this._entries = this._entries.slice(index - this._baseIndex)
    this._baseIndex = index
    this._baseTerm = term
  }

  /**
   * Removes all entries and continues after a snapshot.
   * @param index - index covered by the snapshot
   * @param term - its term
   */
  resetTo (index: number, term: number): void {
    this._entries = []
    this._baseIndex = index
    this._baseTerm = term
  }
}
