/**
 * The connections to one target: few, reused, and each with one call at a time.
 */
import type { Socket } from 'node:net'
import { Client, buildConnector, type Dispatcher } from 'undici'

const CONNECT_TIMEOUT_MS = 1_000
/** Idle time after which a connection is closed where the target states none. */
const IDLE_MS = 4_000
/** Closed this much before the idle time that the target states, so that no call crosses its end. */
const IDLE_MARGIN_MS = 500

/** One connection; it opens with its first call and again after it was closed. */
export class TargetConnection {
  private readonly _client: Client
  private _socket: Socket | undefined
  private _wasReset = false
  private _hasEnded = false

  /** @param origin - of the target */
  constructor (origin: string) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    this._client = new Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (options, callback) => connect(options, (...outcome) => {
        if (outcome[0] === null) this._observe(outcome[1])
        callback(...outcome)
      })
    })
    this._client.on('disconnect', () => { this._socket = undefined })
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
  dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this._client.dispatch(options, handler)
  }

  /**
   * Tells whether an answer that seems to have ended is whole. The client takes an answer without a length as whole
   * at any end of its connection, and one in chunks as well when the target has said that it will close.
   * @param isFramed - whether the answer states its length or comes in chunks
   * @returns false when the connection was reset, or ended before an answer that states its end
   */
  isAnswerWhole (isFramed: boolean): boolean {
    return !this._wasReset && !(isFramed && this._hasEnded)
  }

  close (): void {
    void this._client.close().catch(() => undefined)
  }

  private _observe (socket: Socket): void {
    this._socket = socket
    this._wasReset = false
    this._hasEnded = false
    socket.prependListener('error', () => { this._wasReset = true })
    socket.prependListener('end', () => {
      this._hasEnded = true
      // A reset may be read as a plain end; such a connection refuses even an empty write.
      if (!socket.write('')) this._wasReset = true
    })
  }
}

/** Hands out connections, the last used one first, so that few stay open. */
export class TargetConnections {
  private readonly _idle: TargetConnection[] = []
  private _isClosed = false

  /** @param _origin - of the target */
  constructor (private readonly _origin: string) {}

  /** @returns a connection for one call */
  acquire (): TargetConnection {
    for (let index = this._idle.length - 1; index >= 0; index--) {
      if (this._idle[index]?.isOpen !== true) continue
      return this._idle.splice(index, 1)[0] as TargetConnection
    }
    return this._idle.pop() ?? new TargetConnection(this._origin)
  }

  /** Takes a connection back after its call. */
  release (connection: TargetConnection): void {
    if (this._isClosed) connection.close()
    else this._idle.push(connection)
  }

  /** Closes idle connections now and the others after their calls. */
  close (): void {
    this._isClosed = true
    for (const connection of this._idle.splice(0)) connection.close()
  }
}
