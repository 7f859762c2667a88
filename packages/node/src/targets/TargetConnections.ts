/**
 * The connections to one target: few, reused, and each with one call at a time.
 */
import type { Socket } from 'node:net'
import { Client, buildConnector, errors, type Dispatcher } from 'undici'

const CONNECT_TIMEOUT_MS = 1_000
/** Idle time after which a connection is closed where the target states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000
/** Closed this much before the idle time that the target states, so that no call crosses its end. */
const IDLE_TIMEOUT_MARGIN_MS = 500
/** Names and values in one head or trailer, in bytes: the limit that Node.js sets for its own server. */
const MAX_HEAD_BYTES = 16_384
/**
 * Bytes beside bodies that a target may send on a connection from one call to the next: four of the largest heads. The client library
 * counts names and values only, so status lines, blanks, informational answers, empty lines and chunk lines would have no end.
 */
const MAX_OVERHEAD_BYTES = 4 * MAX_HEAD_BYTES
/** Bytes of chunk lines that each byte of a body makes good: the shortest chunk has five beside its one byte. */
const OVERHEAD_BYTES_PER_BODY_BYTE = 8

/** Receives the answer to one call. */
export interface IAnswerHandler extends Dispatcher.DispatchHandler {
  /** True once nothing more of the answer is expected. */
  readonly hasEnded: boolean
}

/** One connection; it opens with its first call and again after it was closed. */
export class TargetConnection {
  private readonly _client: Client
  private _socket: Socket | undefined
  private _wasReset = false
  private _hasReceivedEnd = false
  private _isOverrun = false
  private _handler: IAnswerHandler | undefined
  /** Bytes of the socket that have been parsed and counted. */
  private _parsedBytes = 0
  /** Body bytes that have not been counted. */
  private _bodyBytes = 0
  /** Bytes beside bodies that may still come. */
  private _overheadLeftBytes = MAX_OVERHEAD_BYTES

  /**
   * @param origin - of the target
   * @param _onIdleOverrun - called when the connection was closed for bytes that came while no call was on it
   */
  constructor (origin: string, private readonly _onIdleOverrun: () => void) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    this._client = new Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
      connect: (options, callback) => connect(options, (...outcome) => {
        if (outcome[0] === null) this._watchSocket(outcome[1])
        callback(...outcome)
      })
    })
    this._client.on('disconnect', () => { this._socket = undefined })
    // The client library listens before, so that it has parsed what there is.
    this._client.on('connect', () => { this._socket?.on('readable', () => this._checkOverhead()) })
    // The call on the connection gets the error; an idle connection needs none.
    this._client.on('connectionError', () => undefined)
  }

  get isOpen (): boolean {
    return this._socket !== undefined && !this._socket.destroyed
  }

  /**
   * Sends a request.
   * @param options - head and body
   * @param handler - receives the answer
   */
  dispatch (options: Dispatcher.DispatchOptions, handler: IAnswerHandler): void {
    this._handler = handler
    this._isOverrun = false
    this._overheadLeftBytes = MAX_OVERHEAD_BYTES
    this._client.dispatch(options, handler)
  }

  /** @param bytes - of a body that a call has taken */
  countBodyBytes (bytes: number): void {
    this._bodyBytes += bytes
  }

  /**
   * Tells whether the answer was given up since too much came that is no body.
   * @param error - that ended it
   * @returns true for a head or framing beyond the limits
   */
  isOversized (error: Error): boolean {
    return this._isOverrun || error instanceof errors.HeadersOverflowError
  }

  /**
   * Tells whether an answer that seems to have ended is whole. The client takes an answer without a length as whole
   * at any end of its connection, and one in chunks as well when the target has said that it will close.
   * @param isFramed - whether the answer states its length or comes in chunks
   * @returns false when the connection was reset, or ended before an answer that states its end
   */
  isAnswerComplete (isFramed: boolean): boolean {
    return !this._wasReset && !(isFramed && this._hasReceivedEnd)
  }

  /** Forgets the call, which has ended. */
  detachHandler (): void {
    this._handler = undefined
  }

  close (): void {
    void this._client.close().catch(() => undefined)
  }

  private _watchSocket (socket: Socket): void {
    this._socket = socket
    this._wasReset = false
    this._hasReceivedEnd = false
    this._isOverrun = false
    this._parsedBytes = 0
    this._bodyBytes = 0
    socket.prependListener('error', () => { this._wasReset = true })
    socket.prependListener('end', () => {
      this._hasReceivedEnd = true
      // A reset may be read as a plain end; such a connection refuses even an empty write.
      if (!socket.write('')) this._wasReset = true
    })
  }

  private _checkOverhead (): void {
    const socket = this._socket
    if (socket === undefined || socket.destroyed) return
    const parsedBytes = socket.bytesRead - socket.readableLength
    const overheadBytes = parsedBytes - this._parsedBytes - this._bodyBytes
    const overheadLeft = this._overheadLeftBytes + this._bodyBytes * OVERHEAD_BYTES_PER_BODY_BYTE - overheadBytes
    this._overheadLeftBytes = Math.min(MAX_OVERHEAD_BYTES, overheadLeft)
    this._parsedBytes = parsedBytes
    this._bodyBytes = 0
    if (overheadLeft >= 0) return
    this._isOverrun = true
    // An error of another kind would fail a call that waits for the connection as well.
    socket.destroy(new errors.SocketError('too many bytes beside a body'))
    if (this._handler?.hasEnded !== false) this._onIdleOverrun()
  }
}

/** Hands out connections, the last used one first, so that few stay open. */
export class TargetConnections {
  private readonly _idle: TargetConnection[] = []
  private _isClosed = false

  /**
   * @param _origin - of the target
   * @param _onIdleOverrun - called when a connection was closed for bytes that came while no call was on it
   */
  constructor (private readonly _origin: string, private readonly _onIdleOverrun: () => void) {}

  /** @returns a connection for one call */
  acquire (): TargetConnection {
    for (let index = this._idle.length - 1; index >= 0; index--) {
      if (this._idle[index]?.isOpen !== true) continue
      return this._idle.splice(index, 1)[0] as TargetConnection
    }
    return this._idle.pop() ?? new TargetConnection(this._origin, this._onIdleOverrun)
  }

  /** Takes a connection back after its call. */
  release (connection: TargetConnection): void {
    connection.detachHandler()
    if (this._isClosed) connection.close()
    else this._idle.push(connection)
  }

  /** Closes idle connections now and the others after their calls. */
  close (): void {
    this._isClosed = true
    for (const connection of this._idle.splice(0)) connection.close()
  }
}
