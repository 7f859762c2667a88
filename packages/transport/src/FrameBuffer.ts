/**
 * Puts frames together from the chunks in which they arrive.
 */
import { PROCESS_FRAME_MEMORY, type FrameMemory, type IFrameHolder } from './FrameMemory.js'

const NO_BYTES = Buffer.alloc(0)

/** The part of a frame that has arrived on one link. Its memory grows by doubling, so that small chunks are not copied again and again. */
export class FrameBuffer implements IFrameHolder {
  private _block: Buffer = NO_BYTES
  private _bytes = 0

  /**
   * @param _onOverflow - called when the link must close, as the incomplete frames of all links take too much
   * @param _memory - shared by all links of the process
   */
  constructor (private readonly _onOverflow: () => void, private readonly _memory: FrameMemory = PROCESS_FRAME_MEMORY) {}

  get heldBytes (): number {
    return this._block.length
  }

  /**
   * Adds a chunk behind what is held.
   * @param chunk - bytes that have arrived
   * @returns all bytes, valid until the next call
   */
  append (chunk: Buffer): Buffer {
    if (this._bytes === 0) return chunk
    const bytes = this._bytes + chunk.length
    if (bytes > this._block.length) {
      this._replace(Buffer.allocUnsafeSlow(Math.max(bytes, 2 * this._block.length)), this._block.subarray(0, this._bytes))
      // This link may be the one that had to close.
      if (this._block.length === 0) return NO_BYTES
    }
    chunk.copy(this._block, this._bytes)
    this._bytes = bytes
    return this._block.subarray(0, bytes)
  }

  /**
   * Holds what is left once the complete frames have been taken.
   * @param rest - end of what {@link append} returned
   */
  keep (rest: Buffer): void {
    if (rest.length === this._bytes) return
    // Frames that were taken may still refer to the block.
    this._bytes = rest.length
    this._replace(rest.length === 0 ? NO_BYTES : Buffer.allocUnsafeSlow(rest.length), rest)
  }

  /** Drops what is held. */
  clear (): void {
    this.keep(NO_BYTES)
  }

  yieldBytes (): void {
    this.clear()
    this._onOverflow()
  }

  private _replace (block: Buffer, content: Buffer): void {
    const moreBytes = block.length - this._block.length
    content.copy(block)
    this._block = block
    this._memory.change(this, moreBytes)
  }
}
