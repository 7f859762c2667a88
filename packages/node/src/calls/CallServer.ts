/**
 * The HTTP/1.1 listener for callers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { HttpConnections } from '@lagoonswitch/transport'
import type { Call } from './Call.js'
import type { ICallContext } from './CallContext.js'
import { CallerConnection } from './CallerConnection.js'

const HEADERS_TIMEOUT_MS = 10_000
/** Interval of the check for late request heads; the 30 s default of Node.js is too coarse for header timeouts of a few seconds. */
const HEADERS_CHECK_MS = 1_000
const KEEPALIVE_TIMEOUT_MS = 60_000
/** Allowance for the request line and separators in addition to the headers. */
const HEAD_MARGIN_BYTES = 4_096
/** Maximum number of connections that wait to be accepted. */
const BACKLOG = 1_024
/** Time for sending the responses to calls that are cut; shorter than what a graceful stop reserves at its end. */
const RESPONSE_GRACE_MS = 50

/** Accepts calls until it is closed. */
export class CallServer {
  private readonly _server: Server
  private readonly _calls = new Set<Call>()
  private readonly _connections = new WeakMap<Socket, CallerConnection>()
  private readonly _httpConnections: HttpConnections
  private _lastCallMs = -Infinity
  /** Responses that have not been sent completely, including those of running calls. */
  private _unsentResponses = 0

  /** @param _context - shared by all calls */
  constructor (private readonly _context: ICallContext) {
    const { headerBytes, callerConnections } = _context.settings.node
    this._server = createServer({
      maxHeaderSize: headerBytes,
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: HEADERS_CHECK_MS,
      requestTimeout: 0,
      keepAliveTimeout: KEEPALIVE_TIMEOUT_MS,
      insecureHTTPParser: false
    }, (request, response) => this._handleRequest(request, response))
    this._server.maxConnections = callerConnections
    const { clock, log, metrics } = _context
    this._httpConnections = new HttpConnections(this._server, { listener: 'calls', clock, log, metrics })
    this._server.on('checkContinue', (request, response) => {
      response.writeContinue()
      this._handleRequest(request, response)
    })
  }

  /**
   * Starts to listen.
   * @param host - host name or IP address
   * @param port - port, 0 for any free one
   * @returns the port in use
   */
  async listen (host: string, port: number): Promise<number> {
    return await new Promise<number>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, BACKLOG, () => resolve((this._server.address() as AddressInfo).port))
    })
  }

  /** Applies the limits of the catalogue in use; open connections keep their limit on the size of request heads. */
  applyLimits (): void {
    const limits = this._context.getCallerLimits()
    if (limits === undefined) return
    const server = this._server as Server & { maxHeaderSize?: number }
    server.maxHeaderSize = limits.headerBytes + HEAD_MARGIN_BYTES
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** Withdraws calls whose key the catalogue in use no longer holds, unless a target has received them. */
  applyAccounts (): void {
    for (const call of [...this._calls]) call.applyAccounts()
  }

  /** @returns number of running calls */
  getRunningCount (): number {
    return this._calls.size
  }

  /** @returns time since the last call arrived, in milliseconds */
  getQuietMs (): number {
    return this._context.clock.readMonotonicMs() - this._lastCallMs
  }

  /** Applies the graceful stop to all running calls. */
  applyStop (): void {
    for (const call of [...this._calls]) call.applyStop()
  }

  /** @returns number of responses that have not been sent completely, including those of running calls */
  getUnsentResponseCount (): number {
    return this._unsentResponses
  }

  /**
   * Cuts running calls and closes all connections, each once its caller has received the responses.
   * @param endMs - time on the monotonic clock after which the remaining connections are destroyed
   */
  async close (endMs: number): Promise<void> {
    const graceMs = this._calls.size > 0 ? RESPONSE_GRACE_MS : 0
    for (const call of [...this._calls]) call.cut()
    const closeListener = async (): Promise<void> => await new Promise(resolve => this._server.close(() => resolve()))
    const limitMs = Math.max(graceMs, endMs - this._context.clock.readMonotonicMs())
    const { closed } = await this._httpConnections.close(closeListener, limitMs)
    await closed
  }

  private _handleRequest (request: IncomingMessage, response: ServerResponse): void {
    this._lastCallMs = this._context.clock.readMonotonicMs()
    this._httpConnections.addResponse(request, response, this._context.dialect.readCallId(request.headers))
    this._findConnection(request.socket).add(request, response)
  }

  private _findConnection (socket: Socket): CallerConnection {
    let connection = this._connections.get(socket)
    if (connection === undefined) {
      connection = new CallerConnection(this._context, socket, {
        onCall: call => {
          this._calls.add(call)
          this._unsentResponses++
        },
        onCallEnd: call => this._calls.delete(call),
        onSent: () => { this._unsentResponses-- }
      })
      this._connections.set(socket, connection)
    }
    return connection
  }
}
