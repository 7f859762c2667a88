/**
 * The connections of an HTTP listener.
 */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock, ILog, Metrics } from '@lagoonswitch/common'
import { HttpConnection } from './HttpConnection.js'

/** Dependencies of the connections of a listener. */
export interface IHttpConnectionsContext {
  /** Name of the listener in the log and in metrics. */
  readonly listener: string
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
}

/** Keeps the open connections of a listener, and reports how they end when it is closed. */
export class HttpConnections {
  private readonly _connections = new Map<Socket, HttpConnection>()

  /**
   * @param server - the listener, not listening yet
   * @param _context - name of the listener, clock, log and metrics
   */
  constructor (server: Server, private readonly _context: IHttpConnectionsContext) {
    server.on('connection', (socket: Socket) => {
      this._connections.set(socket, new HttpConnection(socket, _context.clock))
      socket.once('close', () => this._connections.delete(socket))
    })
  }

  /**
   * Adds a response that a client is waiting for.
   * @param response - nothing of it has been sent
   * @param request - name of the request for the log
   */
  addResponse (response: ServerResponse, request: string): void {
    const { socket } = response
    if (socket !== null) this._connections.get(socket)?.addResponse(response, request)
  }

  /** Reports the connections that are about to be closed by this process. */
  reportClose (): void {
    const { listener, log, metrics } = this._context
    const cut = [...this._connections.values()].filter(connection => connection.hasUnreceivedResponse)
    log.info('connections_closed', { listener, open: this._connections.size, cut: cut.length })
    for (const { lastResponse: { request, bytes, ageMs }, hasUnsentResponse } of cut) {
      metrics.count('connections_cut_total', listener)
      log.info('connection_cut', { listener, call: request, bytes, sent: !hasUnsentResponse, sent_ms: Math.round(ageMs) })
    }
  }
}
