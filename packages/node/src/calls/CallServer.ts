/**
 * The HTTP/1.1 listener for callers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Call } from './Call.js'
import type { ICallContext } from './CallContext.js'

const HEADERS_TIMEOUT_MS = 10_000
/** Time between checks for heads that are late; with the 30 s of Node.js a header timeout of some seconds would not hold. */
const HEADERS_CHECK_MS = 1_000
const KEEPALIVE_TIMEOUT_MS = 60_000
/** Room for the request line and separators beside the headers. */
const HEAD_MARGIN_BYTES = 4_096
/** Most connections that wait to be accepted. */
const BACKLOG = 1_024
/** Time for the answers to calls that are cut, in milliseconds; a planned stop keeps more at its end. */
const RESPONSE_GRACE_MS = 50

/** Accepts calls until it is stopped. */
export class CallServer {
  private readonly _server: Server
  private readonly _calls = new Set<Call>()
  private _lastCallMs = -Infinity
  /** Answers that have not left yet, calls that run among them. */
  private _unsentResponses = 0

  /** @param _context - what all calls share */
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
    // Each call listens for the end of its connection, and a caller may pipeline many.
    this._server.on('connection', socket => socket.setMaxListeners(0))
    this._server.on('checkContinue', (request, response) => {
      response.writeContinue()
      this._handleRequest(request, response)
    })
  }

  /**
   * Starts to listen.
   * @param host - host name or IP number
   * @param port - port, 0 for any
   * @returns the port in use
   */
  async listen (host: string, port: number): Promise<number> {
    return await new Promise<number>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, BACKLOG, () => resolve((this._server.address() as AddressInfo).port))
    })
  }

  /** Takes the limits of the catalogue in force; connections that are open keep the size of heads. */
  applyLimits (): void {
    const limits = this._context.getCallerLimits()
    if (limits === undefined) return
    const server = this._server as Server & { maxHeaderSize?: number }
    server.maxHeaderSize = limits.headerBytes + HEAD_MARGIN_BYTES
    server.headersTimeout = limits.headerTimeoutMs
    server.keepAliveTimeout = limits.idleTimeoutMs
  }

  /** @returns calls that run now */
  getRunningCount (): number {
    return this._calls.size
  }

  /** @returns time since the last call arrived, in milliseconds */
  getQuietMs (): number {
    return this._context.clock.readMonotonicMs() - this._lastCallMs
  }

  /** Tells the running calls that a planned stop has begun. */
  applyStop (): void {
    for (const call of [...this._calls]) call.applyStop()
  }

  /** @returns answers that have not left yet, those of running calls among them */
  getUnsentResponseCount (): number {
    return this._unsentResponses
  }

  /** Closes at once; running calls are cut. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this._server.close(() => resolve()))
    if (this._calls.size > 0) {
      for (const call of [...this._calls]) call.cut()
      await Promise.race([closed, this._context.clock.sleep(RESPONSE_GRACE_MS)])
    }
    this._server.closeAllConnections()
    await closed
  }

  private _handleRequest (request: IncomingMessage, response: ServerResponse): void {
    this._lastCallMs = this._context.clock.readMonotonicMs()
    const call: Call = new Call(this._context, request, response, () => this._calls.delete(call))
    this._calls.add(call)
    this._unsentResponses++
    response.on('close', () => { this._unsentResponses-- })
    call.start()
  }
}
