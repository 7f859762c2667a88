/**
 * Bounds what the incomplete frames of all links of a process take together: any number of links may stop in the middle of a frame.
 */

/** Enough for frames of usual size on all links, and small beside the memory of a VM. */
const MAX_BYTES = 32 * 1_048_576

/** A link that holds part of a frame. */
export interface IFrameHolder {
  /** Bytes that the link holds. */
  readonly heldBytes: number
  /** Drops the bytes and closes the link. */
  yieldBytes (): void
}

/** The links that hold part of a frame. */
export class FrameMemory {
  private readonly _holders = new Set<IFrameHolder>()
  private _bytes = 0

  /** @param _maxBytes - of all incomplete frames */
  constructor (private readonly _maxBytes = MAX_BYTES) {}

  /**
   * Counts more or fewer bytes of a link; beyond the limit the link with the largest part closes.
   * @param holder - the link
   * @param bytes - that it holds in addition, negative for fewer
   */
  change (holder: IFrameHolder, bytes: number): void {
    this._bytes += bytes
    if (holder.heldBytes > 0) this._holders.add(holder)
    else this._holders.delete(holder)
    if (this._bytes > this._maxBytes) this._findLargest()?.yieldBytes()
  }

  private _findLargest (): IFrameHolder | undefined {
    let largest: IFrameHolder | undefined
    for (const holder of this._holders) {
      if (largest === undefined || holder.heldBytes > largest.heldBytes) largest = holder
    }
    return largest
  }
}

/** Shared by all links of the process. */
export const PROCESS_FRAME_MEMORY = new FrameMemory()
