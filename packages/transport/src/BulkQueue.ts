/**
 * Bodies that wait until the link may carry more of them. The calls of a link take turns, a chunk at a time.
 */

/** Largest chunk that is sent at once, in bytes. */
export const BULK_CHUNK_BYTES = 16_384

/** The next part of a body. */
export interface IBulkChunk {
  readonly callId: number
  readonly chunk: Buffer
  readonly isEnd: boolean
}

interface IWaitingBody {
  readonly chunks: Buffer[]
  isEnded: boolean
}

/** Queues the bodies of the calls of one link. */
export class BulkQueue {
  /** In the order of their turns. */
  private readonly _bodies = new Map<number, IWaitingBody>()

  /** True if nothing waits. */
  get isEmpty (): boolean {
    return this._bodies.size === 0
  }

  /**
   * @param callId - of a call
   * @returns true if a part of its body waits, which later parts must not overtake
   */
  has (callId: number): boolean {
    return this._bodies.has(callId)
  }

  /**
   * Adds a part of a body.
   * @param callId - of the call
   * @param chunk - bytes, may be empty at the end
   * @param isEnd - true for the last part
   */
  push (callId: number, chunk: Buffer, isEnd: boolean): void {
    let body = this._bodies.get(callId)
    if (body === undefined) {
      body = { chunks: [], isEnded: false }
      this._bodies.set(callId, body)
    }
    if (chunk.length > 0) body.chunks.push(chunk)
    body.isEnded ||= isEnd
  }

  /** @returns at most {@link BULK_CHUNK_BYTES} of the body whose turn it is, or undefined if nothing waits */
  take (): IBulkChunk | undefined {
    const [next] = this._bodies
    if (next === undefined) return undefined
    const [callId, body] = next
    this._bodies.delete(callId)
    const first = body.chunks.shift() ?? Buffer.alloc(0)
    const chunk = first.subarray(0, BULK_CHUNK_BYTES)
    if (chunk.length < first.length) body.chunks.unshift(first.subarray(BULK_CHUNK_BYTES))
    const isDrained = body.chunks.length === 0
    // Moved to the end of the order.
    if (!isDrained) this._bodies.set(callId, body)
    return { callId, chunk, isEnd: isDrained && body.isEnded }
  }

  /**
   * Drops what waits of a body whose call has ended.
   * @param callId - of the call
   */
  drop (callId: number): void {
    this._bodies.delete(callId)
  }
}
