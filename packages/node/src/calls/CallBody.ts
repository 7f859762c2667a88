/**
 * The request body of a call: buffered if it is small, so that a retry can send it again; streamed otherwise.
 */
import type { IncomingMessage } from 'node:http'
import type { IClock } from '@lagoonswitch/common'
import type { ICallHandle } from './CallTypes.js'

/** Time for the rest of a body after the response, even if the deadline of the call is nearer. */
const MIN_DISCARD_MS = 1_000
const NO_BYTES = Buffer.alloc(0)

/** Reads the body of one request. */
export class CallBody {
  private _isStreaming = false
  private _isDiscarding = false
  /** The body, or its start if it is too large to buffer. */
  bytes: Buffer = NO_BYTES
  /** True once {@link bytes} holds the whole body. */
  isComplete = false
  /** Bytes read so far. */
  readBytes = 0
  /** Largest body in bytes; a longer one is not read on. */
  private _maxBytes = Infinity
  private _onTooLarge = (): void => undefined

  /** @param _request - from the caller */
  constructor (private readonly _request: IncomingMessage) {}

  /** Length that the caller stated, 0 if it stated none. */
  get statedBytes (): number {
    return Number(this._request.headers['content-length'] ?? 0)
  }

  /** True once the caller has sent the whole body. */
  get hasEnded (): boolean {
    return this.isComplete || this._request.readableEnded
  }

  /**
   * Limits a body whose length need not be stated.
   * @param maxBytes - largest body in bytes
   * @param onTooLarge - called once, when more has arrived
   */
  limit (maxBytes: number, onTooLarge: () => void): void {
    this._maxBytes = maxBytes
    this._onTooLarge = onTooLarge
  }

  /**
   * Reads the body until it ends or exceeds the limit.
   * @param maxBytes - largest body to buffer, in bytes
   * @param onDone - called once, when the body is complete or exceeds the limit
   */
  buffer (maxBytes: number, onDone: () => void): void {
    const chunks: Buffer[] = []
    let length = 0
    const finish = (isComplete: boolean): void => {
      this._request.off('data', onData)
      this._request.off('end', onEnd)
      this.bytes = chunks.length === 1 ? chunks[0] ?? NO_BYTES : Buffer.concat(chunks)
      this.isComplete = isComplete
      onDone()
    }
    const onEnd = (): void => finish(true)
    const onData = (chunk: Buffer): void => {
      if (this._isTooLarge(chunk)) return
      chunks.push(chunk)
      length += chunk.length
      if (length <= maxBytes) return
      this._request.pause()
      finish(false)
    }
    this._request.on('data', onData)
    this._request.on('end', onEnd)
  }

  /**
   * Streams the rest of a body that was not buffered completely; this can be done only once. The body may have ended before, since a
   * stream whose last bytes have been read ends although it is paused.
   * @param getHandle - finds the handle of the current attempt
   */
  stream (getHandle: () => ICallHandle | undefined): void {
    if (this.isComplete || this._isStreaming) return
    this._isStreaming = true
    const end = (): void => { if (!this._isDiscarding && this.readBytes <= this._maxBytes) getHandle()?.endBody() }
    if (this._request.readableEnded) {
      end()
      return
    }
    this._request.on('data', (chunk: Buffer) => {
      if (!this._isDiscarding && !this._isTooLarge(chunk) && getHandle()?.sendBody(chunk) === false) this._request.pause()
    })
    this._request.on('end', end)
    this._request.resume()
  }

  /**
   * Reads and drops the rest of the body once the response is complete, since the next request on the connection follows it.
   * @param clock - source of time
   * @param remainingMs - time left for the call in milliseconds; the connection is closed if the body takes longer
   */
  discard (clock: IClock, remainingMs: number): void {
    if (this.hasEnded) return
    this._isDiscarding = true
    const timer = clock.schedule(Math.max(MIN_DISCARD_MS, remainingMs), () => this._request.socket.destroySoon())
    this._request.on('close', () => timer.dispose())
    this._request.resume()
  }

  /** Resumes reading after backpressure from the attempt. */
  resume (): void {
    if (this.readBytes <= this._maxBytes) this._request.resume()
  }

  private _isTooLarge (chunk: Buffer): boolean {
    const wasTooLarge = this.readBytes > this._maxBytes
    this.readBytes += chunk.length
    if (this.readBytes <= this._maxBytes) return false
    this._request.pause()
    if (!wasTooLarge) this._onTooLarge()
    return true
  }
}
