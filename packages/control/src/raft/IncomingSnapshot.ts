/**
 * Collects the chunks of a snapshot from the leader.
 */
import { SnapshotFile, type InstallSnapshotRequest } from '@lagoonswitch/schema'

/** What became of a chunk; `refused` makes the leader begin anew. */
export type ChunkOutcome = 'kept' | 'complete' | 'refused'

/** Holds the chunks that have come so far. */
export class IncomingSnapshot {
  private _lastIndex = 0
  private _chunks: Uint8Array[] = []
  private _bytes = 0

  /**
   * Adds a chunk. One that comes again, since the leader missed its answer, changes nothing.
   * @param request - chunk and its place in the snapshot
   * @returns `complete` with the last chunk, after which {@link take} returns the snapshot
   */
  add ({ header, offset, chunk, last }: InstallSnapshotRequest): ChunkOutcome {
    const lastIndex = header?.lastIndex ?? 0
    if (offset === 0) {
      this._lastIndex = lastIndex
      this._chunks = []
      this._bytes = 0
    }
    if (this._lastIndex !== lastIndex) return 'refused'
    const isRepeated = offset > 0 && this._bytes === offset + chunk.length
    if (!isRepeated) {
      if (this._bytes !== offset) return 'refused'
      this._chunks.push(chunk)
      this._bytes += chunk.length
    }
    return last ? 'complete' : 'kept'
  }

  /** Returns the snapshot and forgets its chunks. */
  take (): SnapshotFile {
    const file = SnapshotFile.decode(Buffer.concat(this._chunks))
    this._chunks = []
    this._bytes = 0
    return file
  }
}
