/**
 * One connection of an HTTP listener: the responses on it, and its close.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock, IDisposable } from '@lagoonswitch/common'

/** Speed of the slowest path to a client on which a response is expected to arrive in time: 1 Mbit/s. */
const SLOWEST_PATH_BYTES_PER_MS = 125
/** Time for the round trip and one retransmission. */
const ROUND_TRIP_MARGIN_MS = 1_000
/** Time for which a client that sends on is waited for after a response that closes the connection. */
const LINGER_MS = 5_000
/** Bytes that a client's kernel takes although the client does not read. */
const MAX_UNREAD_BYTES = 65_536

/** What a connection carried last. */
export interface ILastResponse {
  /** Name of the request, such as the ID of a call. */
  readonly request: string
  /** Bytes that the client may not have received. */
  readonly bytes: number
  /** Time since the network took the last of them, in milliseconds. */
  readonly ageMs: number
}

/**
 * Closes a connection in stages (RFC 9112, section 9.6), so that the client receives its responses. Node.js reports a response as sent when
 * the kernel has it; how much the client has received can only be estimated until the client closes its side.
 */
export class HttpConnection {
  private _unsentResponses = 0
  private _countedBytes = 0
  /** Bytes sent since the last request that came when no response was missing. */
  private _recentBytes = 0
  private _unconfirmedBytes = 0
  private _sentMs = -Infinity
  /** Time by which the client has received all responses even on a slow path. */
  private _arrivedByMs = -Infinity
  private _lastRequest = ''
  private _closeTimer: IDisposable | undefined

  /**
   * @param _socket - of the client
   * @param _clock - source of time
   * @param _onLingering - called once the sending side is ended
   */
  constructor (private readonly _socket: Socket, private readonly _clock: IClock, private readonly _onLingering: () => void) {
    _socket.once('close', () => this._closeTimer?.dispose())
    // Called by Node.js after a response that closes the connection; it would not read what the client still sends.
    _socket.destroySoon = () => this.close()
  }

  /** True while a response is missing or not completely sent. */
  get hasUnsentResponse (): boolean {
    return this._unsentResponses > 0
  }

  /** True while the client may not have received all responses. */
  get hasUnreceivedResponse (): boolean {
    return this.hasUnsentResponse || this.leftMs > 0
  }

  /** Time until the client must have received the responses that are sent, in milliseconds; not positive once it must have them. */
  get leftMs (): number {
    return this._arrivedByMs - this._clock.readMonotonicMs()
  }

  /** The last response, for the log. */
  get lastResponse (): ILastResponse {
    return { request: this._lastRequest, bytes: this._unconfirmedBytes, ageMs: this._clock.readMonotonicMs() - this._sentMs }
  }

  /**
   * Adds a response that the client is waiting for.
   * @param response - nothing of it has been sent
   * @param request - name of the request for the log
   */
  addResponse (response: ServerResponse, request: string): void {
    if (this._unsentResponses === 0) this._confirm()
    this._unsentResponses++
    this._lastRequest = request
    response.once('close', () => {
      this._unsentResponses = Math.max(0, this._unsentResponses - 1)
      this._countSent()
    })
  }

  /**
   * Ends the sending side and reads on until the client closes its side, for at least {@link LINGER_MS} and as long as the client may not
   * have the responses. A connection that is closed at once is reset by the kernel if the client sends anything, and a reset discards what
   * the client has not received.
   */
  close (): void {
    if (!this._endSending()) return
    // Without the listener of the HTTP parser, no further request is handled.
    this._socket.removeAllListeners('data')
    this._socket.on('data', () => undefined)
    this._socket.resume()
  }

  /**
   * Ends the sending side of a connection whose client has all responses, and reads no more: a client may repeat a request that crosses the
   * close, since it has not been read.
   */
  closeUnread (): void {
    if (this._endSending()) this._socket.pause()
  }

  /** Closes the connection at once; responses that the client has not received may be lost. */
  destroy (): void {
    this._socket.destroy()
  }

  /** @returns false if the connection is being closed already */
  private _endSending (): boolean {
    if (this._closeTimer !== undefined) return false
    this._countSent()
    // Responses to requests behind the one that closes the connection are never sent.
    this._unsentResponses = 0
    this._socket.end()
    this._closeTimer = this._clock.schedule(Math.max(LINGER_MS, this.leftMs), () => this._socket.destroy())
    this._onLingering()
    return true
  }

  /**
   * Drops what the client must have received, as it sends its next request. It may do so before it has read the last responses, which are
   * still on their way if they are large.
   */
  private _confirm (): void {
    const isConfirmed = this._recentBytes <= MAX_UNREAD_BYTES
    this._unconfirmedBytes = isConfirmed ? 0 : this._recentBytes
    this._arrivedByMs = isConfirmed ? -Infinity : this._sentMs + ROUND_TRIP_MARGIN_MS + this._recentBytes / SLOWEST_PATH_BYTES_PER_MS
    this._recentBytes = 0
  }

  private _countSent (): void {
    const bytes = this._socket.bytesWritten - this._countedBytes
    if (bytes === 0) return
    this._countedBytes += bytes
    this._recentBytes += bytes
    this._unconfirmedBytes += bytes
    this._sentMs = this._clock.readMonotonicMs()
    this._arrivedByMs = Math.max(this._arrivedByMs, this._sentMs + ROUND_TRIP_MARGIN_MS) + bytes / SLOWEST_PATH_BYTES_PER_MS
  }
}
