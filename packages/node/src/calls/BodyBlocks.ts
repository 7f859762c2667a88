/**
 * Bytes of a body that wait in memory. Small chunks are copied together, as a Buffer for each of them would take many times their length.
 */

const BLOCK_BYTES = 16_384
/** Chunks from this length on are kept as they are. */
const LARGE_CHUNK_BYTES = 4_096
const NO_BYTES = Buffer.alloc(0)

/** A queue of bytes. */
export class BodyBlocks {
  private _blocks: Buffer[] = []
  private _tail: Buffer = NO_BYTES
  private _tailBytes = 0
  private _bytes = 0

  /** Number of bytes that wait. */
  get bytes (): number {
    return this._bytes
  }

  /** @param chunk - added at the end */
  push (chunk: Buffer): void {
    this._bytes += chunk.length
    if (chunk.length >= LARGE_CHUNK_BYTES) {
      this._sealTail()
      // A part of a larger read would keep all of it in memory.
      this._blocks.push(chunk.length * 2 < chunk.buffer.byteLength ? Buffer.from(chunk) : chunk)
      return
    }
    if (this._tailBytes + chunk.length > this._tail.length) this._sealTail()
    if (this._tail.length === 0) this._tail = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this._tailBytes += chunk.copy(this._tail, this._tailBytes)
  }

  /**
   * Removes bytes from the start.
   * @param maxBytes - to be removed
   * @returns at most one block, empty if nothing waits
   */
  take (maxBytes: number): Buffer {
    if (this._blocks.length === 0) this._sealTail()
    const first = this._blocks.shift() ?? NO_BYTES
    const taken = first.subarray(0, maxBytes)
    if (taken.length < first.length) this._blocks.unshift(first.subarray(taken.length))
    this._bytes -= taken.length
    return taken
  }

  /** @returns everything that waits; nothing is left */
  takeAll (): Buffer[] {
    this._sealTail()
    const blocks = this._blocks
    this._blocks = []
    this._bytes = 0
    return blocks
  }

  private _sealTail (): void {
    if (this._tailBytes > 0) this._blocks.push(Buffer.from(this._tail.subarray(0, this._tailBytes)))
    this._tail = NO_BYTES
    this._tailBytes = 0
  }
}
