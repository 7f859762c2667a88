/**
 * Limits how many bytes of large bodies the links of a process have in transit, since all of them share the network interface of the VM and
 * small frames queue behind these bytes.
 */
import { BULK_CHUNK_BYTES } from './BulkQueue.js'

/** Bytes in transit on all links together: 60 ms at 8.4 Mbit/s. */
const BULK_WINDOW_BYTES = 65_536

/** Shares the window among the links that have large bodies to send. */
export class BulkWindow {
  private readonly _activeLinks = new Set<object>()

  /**
   * @param link - a link
   * @param isActive - whether it has bodies to send or in transit
   */
  update (link: object, isActive: boolean): void {
    if (isActive) this._activeLinks.add(link)
    else this._activeLinks.delete(link)
  }

  /** Bytes that each link may have in transit; at least one chunk, so that a link whose peer is silent stops no other. */
  get linkBytes (): number {
    return Math.max(BULK_CHUNK_BYTES, Math.floor(BULK_WINDOW_BYTES / Math.max(1, this._activeLinks.size)))
  }
}

/** Window of all links of this process. */
export const PROCESS_BULK_WINDOW = new BulkWindow()
