/**
 * The HTTP connections to one target: few, reused, and with one call at a time each.
 */
import type { Socket } from 'node:net'
import { Client, buildConnector, errors, type Dispatcher } from 'undici'

const CONNECT_TIMEOUT_MS = 1_000
/** Idle time after which a connection is closed if the target states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000
/** A connection is closed this much before the idle time that the target states, so that no call is sent while the target closes it. */
const IDLE_TIMEOUT_MARGIN_MS = 500
/** Names and values in one head or trailer; the limit that Node.js sets for its own server. */
const MAX_HEAD_BYTES = 16_384
/**
 * Bytes outside bodies that a target may send on a connection from one call to the next: four heads of the largest size. undici
 * counts names and values only, so status lines, whitespace, informational responses, empty lines and chunk lines would be unlimited.
 */
const MAX_OVERHEAD_BYTES = 4 * MAX_HEAD_BYTES
/** Bytes of chunk framing allowed for each byte of a body; the shortest chunk has five for its one byte. */
const OVERHEAD_BYTES_PER_BODY_BYTE = 8

/**
 * Bytes parsed at a time where heads or trailers may come. undici parses what it has read to its end even after a head has exceeded the
 * limit, and creates an error for each further line.
 */
const LIMITED_READ_BYTES = 4_096

/** Receives the response to one call. */
export interface IResponseHandler extends Dispatcher.DispatchHandler {
  /** True once nothing more of the response is expected. */
  readonly hasEnded: boolean
}

/** A connection that opens with its first call, and reopens with the next call after it was closed. */
export class TargetConnection {
  private readonly _client: Client
  private _socket: Socket | undefined
  /** The socket of a connection attempt in progress. */
  private _connectingSocket: Socket | undefined
  private _wasReset = false
  private _hasReceivedEnd = false
  private _isOverrun = false
  private _isPaused = false
  private _areReadsLimited = true
  private _handler: IResponseHandler | undefined
  /** Bytes read from the socket that have been parsed and counted. */
  private _parsedBytes = 0
  /** Bytes read from the socket before the current call. */
  private _earlierBytes = 0
  /** Body bytes not yet subtracted from the overhead. */
  private _bodyBytes = 0
  /** Bytes outside bodies that may still arrive. */
  private _overheadLeftBytes = MAX_OVERHEAD_BYTES

  /**
   * @param origin - of the target
   * @param _onIdleOverrun - called when the connection was closed for surplus bytes that arrived while it had no call
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
      connect: (options, callback) => {
        // The connector returns the socket at once; its type doesn't say so.
        this._connectingSocket = connect(options, (...outcome) => {
          this._connectingSocket = undefined
          if (outcome[0] === null) this._watchSocket(outcome[1])
          callback(...outcome)
        }) as unknown as Socket | undefined
      }
    })
    this._client.on('disconnect', () => { this._socket = undefined })
    // The listener of undici was added earlier, so it has parsed the available bytes by now.
    this._client.on('connect', () => { this._socket?.on('readable', () => this._checkOverhead()) })
    // The call on the connection receives the error; on an idle connection it has no consequence.
    this._client.on('connectionError', () => undefined)
  }

  get isOpen (): boolean {
    return this._socket !== undefined && !this._socket.destroyed
  }

  /** True while the connection is not open yet or a part of the request waits to be sent. */
  get hasUnsentBytes (): boolean {
    return this._socket === undefined || this._socket.writableLength > 0
  }

  /** True once bytes have arrived since the request was sent. */
  get hasReceived (): boolean {
    return this._socket !== undefined && this._socket.bytesRead > this._earlierBytes
  }

  /**
   * Sends a request.
   * @param options - head and body
   * @param handler - receives the response
   */
  dispatch (options: Dispatcher.DispatchOptions, handler: IResponseHandler): void {
    this._handler = handler
    this._earlierBytes = this._socket?.bytesRead ?? 0
    this._isOverrun = false
    this._areReadsLimited = true
    this._overheadLeftBytes = MAX_OVERHEAD_BYTES
    this._client.dispatch(options, handler)
  }

  /**
   * Stops passing on what arrives, until {@link resume}. undici's own pause must not be used: it fails with an exception if the
   * connection ends while its parser is paused. Here the end follows the bytes that wait before the parser.
   */
  pause (): void {
    this._isPaused = true
  }

  /** Passes on what has arrived and what follows. */
  resume (): void {
    if (!this._isPaused) return
    this._isPaused = false
    // The parser may be running, since the handler of a response calls this.
    process.nextTick(() => { if (!this._isPaused) this._socket?.emit('readable') })
  }

  /** Lifts the limit on reads for the rest of a response that has no trailers. */
  unlimitReads (): void {
    this._areReadsLimited = false
  }

  /** @param bytes - of a body, received by a call */
  countBodyBytes (bytes: number): void {
    this._bodyBytes += bytes
  }

  /**
   * Tells whether the response was aborted because its head or framing exceeded the limits.
   * @param error - that ended the response
   * @returns true for a head or framing beyond the limits
   */
  isOversized (error: Error): boolean {
    return this._isOverrun || error instanceof errors.HeadersOverflowError
  }

  /**
   * Tells whether a response that seems to have ended is complete. undici takes a response without a length as complete
   * whenever the connection ends, and a chunked one as well if the target has stated that it will close the connection.
   * @param isFramed - whether the response states its length or is chunked
   * @returns false if the connection was reset, or ended before a response that states where it ends
   */
  isResponseComplete (isFramed: boolean): boolean {
    return !this._wasReset && !(isFramed && this._hasReceivedEnd)
  }

  /** Detaches the handler of a call that has ended. */
  detachHandler (): void {
    this._handler = undefined
    this.resume()
  }

  close (): void {
    void this._client.close().catch(() => undefined)
  }

  /**
   * Closes the connection of a call that is broken off, or ends the attempt to connect. A request that is only aborted would stay in
   * undici's queue until a new connection is open, which would be an attempt to connect without a slot.
   * @param onClosed - called once no socket is left
   */
  discard (onClosed: () => void): void {
    const socket = this._connectingSocket ?? this._socket
    void this._client.destroy().catch(() => undefined)
    if (socket === undefined || socket.closed) {
      onClosed()
      return
    }
    socket.once('close', onClosed)
    socket.destroy()
  }

  private _watchSocket (socket: Socket): void {
    this._socket = socket
    this._wasReset = false
    this._hasReceivedEnd = false
    this._isOverrun = false
    this._isPaused = false
    this._parsedBytes = 0
    this._earlierBytes = 0
    this._bodyBytes = 0
    const read = socket.read.bind(socket)
    // undici reads without a size, Node.js itself with 0.
    socket.read = size => {
      if (size !== undefined) return read(size)
      if (this._isPaused || socket.destroyed) return null
      return this._areReadsLimited && socket.readableLength > LIMITED_READ_BYTES ? read(LIMITED_READ_BYTES) : read()
    }
    socket.prependListener('error', () => { this._wasReset = true })
    socket.prependListener('end', () => {
      this._hasReceivedEnd = true
      // A reset can be reported as a normal end; on such a connection even an empty write fails.
      if (!socket.write('')) this._wasReset = true
    })
  }

  private _checkOverhead (): void {
    const socket = this._socket
    if (socket === undefined || socket.destroyed) return
    const parsedBytes = socket.bytesRead - socket.readableLength
    const overheadBytes = parsedBytes - this._parsedBytes - this._bodyBytes
    const overheadLeftBytes = this._overheadLeftBytes + this._bodyBytes * OVERHEAD_BYTES_PER_BODY_BYTE - overheadBytes
    this._overheadLeftBytes = Math.min(MAX_OVERHEAD_BYTES, overheadLeftBytes)
    this._parsedBytes = parsedBytes
    this._bodyBytes = 0
    if (overheadLeftBytes >= 0) return
    this._isOverrun = true
    // An error of any other type would also fail a call that waits for the connection.
    socket.destroy(new errors.SocketError('too many bytes outside the body'))
    if (this._handler?.hasEnded !== false) this._onIdleOverrun()
  }
}

/** Pool of connections that prefers the most recently used one, so that few stay open. */
export class TargetConnections {
  private readonly _idle: TargetConnection[] = []
  private _isClosed = false

  /**
   * @param _origin - of the target
   * @param _onIdleOverrun - called when a connection was closed for surplus bytes that arrived while it had no call
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

  /**
   * Returns a connection to the pool after its call.
   * @param connection - without a call now
   * @param isReusable - false to close it
   */
  release (connection: TargetConnection, isReusable = true): void {
    connection.detachHandler()
    if (this._isClosed || !isReusable) connection.close()
    else this._idle.push(connection)
  }

  /** Closes idle connections now and the others after their calls. */
  close (): void {
    this._isClosed = true
    for (const connection of this._idle.splice(0)) connection.close()
  }
}
