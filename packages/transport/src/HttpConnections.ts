/**
 * The connections of an HTTP listener.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock, IDisposable, ILog, Metrics } from '@lagoonswitch/common'
import { HttpConnection } from './HttpConnection.js'

/** Connections that are closed one by one and whose clients are waited for; beyond it, the oldest is destroyed. */
const MAX_LINGERING_CONNECTIONS = 64

/** Dependencies of the connections of a listener. */
export interface IHttpConnectionsContext {
  /** Name of the listener in the log and in metrics. */
  readonly listener: string
  /** True if clients need not receive their responses once the process ends, such as probes. */
  readonly isProbed?: boolean
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
}

/** Connections of a listener that is closed. */
export interface IClosingConnections {
  /** Resolves when none of them is open any more. */
  readonly closed: Promise<void>
}

/** Keeps the open connections of a listener, and closes them so that clients receive their responses. */
export class HttpConnections {
  private readonly _connections = new Map<Socket, HttpConnection>()
  /** Connections whose sending side has been ended, the oldest first. */
  private readonly _lingering = new Set<HttpConnection>()
  private _isClosing = false
  private _onAnswered: (() => void) | undefined
  private _destroyTimer: IDisposable | undefined

  /**
   * @param server - the listener, not listening yet
   * @param _context - name of the listener, clock, log and metrics
   */
  constructor (server: Server, private readonly _context: IHttpConnectionsContext) {
    server.on('connection', (socket: Socket) => {
      const connection = new HttpConnection(socket, _context.clock, () => this._addLingering(connection))
      this._connections.set(socket, connection)
      socket.once('close', () => {
        this._connections.delete(socket)
        this._lingering.delete(connection)
        if (this._isClosing) this._checkClosing()
      })
    })
    // Called by Node.js when the listener is closed; it would destroy them, also those whose response has not left the process.
    server.closeIdleConnections = () => this._closeIdle()
  }

  /**
   * Keeps the connections of a listener, and all responses on them.
   * @param server - the listener, not listening yet
   * @param context - name of the listener, clock, log and metrics
   * @returns the connections
   */
  static watch (server: Server, context: IHttpConnectionsContext): HttpConnections {
    const connections = new HttpConnections(server, context)
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      connections.addResponse(request, response, `${request.method} ${request.url}`)
    })
    return connections
  }

  /**
   * Adds a response that a client is waiting for.
   * @param request - whose head has been read
   * @param response - nothing of it has been sent
   * @param name - of the request, for the log
   */
  addResponse (request: IncomingMessage, response: ServerResponse, name: string): void {
    const connection = this._connections.get(request.socket)
    connection?.addResponse(response, name)
    response.once('close', () => {
      if (!this._isClosing) return
      if (connection?.hasUnsentResponse === false) connection.close()
      this._checkClosing()
    })
  }

  /**
   * Closes the listener and ends the sending side of each connection once its responses are sent. The connections are destroyed together
   * when all clients have closed their side or must have received the responses, so that nothing is reset before.
   * @param closeListener - closes the listener and resolves when no connection is open any more
   * @param timeoutMs - time in milliseconds after which the remaining connections are destroyed
   * @returns resolves when all requests are answered; the connections may stay open for longer
   */
  async close (closeListener: () => Promise<unknown>, timeoutMs: number): Promise<IClosingConnections> {
    this._isClosing = true
    const answered = new Promise<void>(resolve => { this._onAnswered = resolve })
    const closed = this._closeAll(closeListener, timeoutMs)
    this._checkClosing()
    await Promise.race([answered, closed])
    return { closed }
  }

  private async _closeAll (closeListener: () => Promise<unknown>, timeoutMs: number): Promise<void> {
    const { listener, clock, log } = this._context
    const startedMs = clock.readMonotonicMs()
    const openCount = this._connections.size
    let cutCount = 0
    const timer = clock.schedule(timeoutMs, () => { cutCount = this._destroyAll() })
    try {
      await closeListener()
    } finally {
      timer.dispose()
      this._destroyTimer?.dispose()
    }
    log.info('connections_closed', { listener, open: openCount, cut: cutCount, took_ms: Math.round(clock.readMonotonicMs() - startedMs) })
  }

  /** Reports that all requests are answered, and destroys the connections once all clients must have received the responses. */
  private _checkClosing (): void {
    const connections = [...this._connections.values()]
    if (connections.some(connection => connection.hasUnsentResponse)) return
    this._onAnswered?.()
    this._destroyTimer?.dispose()
    const leftMs = this._context.isProbed === true ? 0 : Math.max(0, ...connections.map(connection => connection.leftMs))
    this._destroyTimer = this._context.clock.schedule(leftMs, () => this._destroyReceived())
  }

  /** A request may have come on a kept connection meanwhile. */
  private _destroyReceived (): void {
    const connections = [...this._connections.values()]
    const isMissing = (connection: HttpConnection): boolean =>
      this._context.isProbed === true ? connection.hasUnsentResponse : connection.hasUnreceivedResponse
    if (connections.some(isMissing)) this._checkClosing()
    else for (const connection of connections) connection.destroy()
  }

  /** Keeps clients that do not close their side from using up the connections of the listener. */
  private _addLingering (connection: HttpConnection): void {
    this._lingering.add(connection)
    const [oldest] = this._lingering
    if (!this._isClosing && this._lingering.size > MAX_LINGERING_CONNECTIONS) oldest?.destroy()
  }

  private _closeIdle (): void {
    for (const connection of this._connections.values()) {
      if (!connection.hasUnreceivedResponse) connection.closeUnread()
      else if (!connection.hasUnsentResponse) connection.close()
    }
    if (this._isClosing) this._checkClosing()
  }

  /** @returns number of connections whose client may not have received a response */
  private _destroyAll (): number {
    let cutCount = 0
    for (const connection of [...this._connections.values()]) {
      if (connection.hasUnreceivedResponse) {
        this._reportCut(connection)
        cutCount++
      }
      connection.destroy()
    }
    return cutCount
  }

  private _reportCut ({ lastResponse: { request, bytes, ageMs }, hasUnsentResponse }: HttpConnection): void {
    const { listener, log, metrics } = this._context
    metrics.count('connections_cut_total', listener)
    log.info('connection_cut', { listener, request, bytes, sent: !hasUnsentResponse, sent_ms: Math.round(ageMs) })
  }
}
