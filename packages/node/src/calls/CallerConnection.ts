/**
 * The calls on one connection of a caller: which of them may start, and what becomes of those behind a response that closes the connection.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Call, type ICallConnection } from './Call.js'
import type { ICallContext } from './CallContext.js'

/** Calls in progress on one connection; beyond it, the connection is not read. */
export const MAX_PIPELINED_CALLS = 16

/** Receives the events of a connection. */
export interface ICallerConnectionEvents {
  /** A call has arrived; it may have to wait for its start. */
  onCall (call: Call): void
  /** A call has ended; its response may not have been sent completely. */
  onCallEnd (call: Call): void
  /** The response of a call has been sent completely, or never will be. */
  onSent (): void
}

/** Starts the calls of a connection in order. */
export class CallerConnection {
  /** Calls whose responses have not been sent completely, in order; those that have not been started are the last ones. */
  private readonly _calls: PipelinedCall[] = []
  private _startedCount = 0
  /** True once a response that closes the connection is on its way; no further call is taken. */
  private _isClosing = false
  /** True while the connection is not read because of its calls. */
  private _isBlocked = false

  /**
   * @param _context - shared by all calls
   * @param _socket - of the caller
   * @param events - of the connection
   */
  constructor (private readonly _context: ICallContext, private readonly _socket: Socket, readonly events: ICallerConnectionEvents) {
    // Each call adds a listener to its connection, and a caller may pipeline any number of calls.
    _socket.setMaxListeners(0)
    // Node.js resumes the connection by itself after each response.
    _socket.on('resume', () => this._updateReading())
    _socket.on('close', () => this._handleClose())
  }

  /**
   * Adds a call, which starts at once if it may.
   * @param request - from the caller
   * @param response - to it
   */
  add (request: IncomingMessage, response: ServerResponse): void {
    if (this._isClosing) {
      request.resume()
      this._context.metrics.count('pipelined_calls_total', 'dropped')
      return
    }
    const call = new PipelinedCall(this, this._context, request, response)
    this._calls.push(call)
    this.events.onCall(call.call)
    response.on('close', () => this._removeSent(call))
    // The caller has asked for this, and Node.js sends nothing after this response.
    if (!response.shouldKeepAlive) this._isClosing = true
    if (this._startedCount + 1 < this._calls.length || !this._canStart(call)) this._countWait()
    this._startCalls()
  }

  /**
   * Tells whether a later call has been started, whose response must still be sent on this connection.
   * @param call - of this connection
   * @returns false if the connection may be closed after its response
   */
  hasStartedBehind (call: PipelinedCall): boolean {
    return this._calls.indexOf(call) + 1 < this._startedCount
  }

  /**
   * Ends the calls behind one whose response closes the connection.
   * @param closing - call of this connection
   */
  dropBehind (closing: PipelinedCall): void {
    this._isClosing = true
    const index = this._calls.indexOf(closing)
    if (index < 0) return
    const cancelledCount = Math.max(0, this._startedCount - index - 1)
    const behind = this._calls.splice(index + 1)
    this._startedCount -= cancelledCount
    if (behind.length === 0) return
    this._context.metrics.count('pipelined_calls_total', 'cancelled', cancelledCount)
    this._context.metrics.count('pipelined_calls_total', 'dropped', behind.length - cancelledCount)
    this._context.log.info('pipelined_calls_dropped', { cancelled: cancelledCount, not_started: behind.length - cancelledCount })
    for (const { call } of behind) {
      call.drop()
      this.events.onSent()
    }
  }

  private _startCalls (): void {
    for (let next = this._calls[this._startedCount]; next !== undefined && this._canStart(next); next = this._calls[this._startedCount]) {
      this._startedCount++
      next.call.start()
    }
    this._updateReading()
  }

  /** A call that must not be repeated is never started behind a response that may close the connection. */
  private _canStart ({ request }: PipelinedCall): boolean {
    if (this._startedCount === 0) return true
    if (this._startedCount >= MAX_PIPELINED_CALLS) return false
    const { headers, method, url } = request
    const route = this._context.getRoutes()?.findRoute(headers.host ?? '', method ?? '', url ?? '/')
    return route === undefined || route.isRetryable
  }

  private _countWait (): void {
    const isBound = this._startedCount >= MAX_PIPELINED_CALLS
    this._context.metrics.count('pipelined_calls_total', isBound ? 'waited-bound' : 'waited-earlier')
  }

  private _updateReading (): void {
    const isBlocked = this._calls.length > MAX_PIPELINED_CALLS
    if (isBlocked && !this._socket.isPaused()) this._socket.pause()
    // Node.js pauses connections for reasons of its own, which must stay paused.
    else if (!isBlocked && this._isBlocked) this._socket.resume()
    this._isBlocked = isBlocked
  }

  private _removeSent (call: PipelinedCall): void {
    const index = this._calls.indexOf(call)
    if (index < 0) return
    this._calls.splice(index, 1)
    if (index < this._startedCount) this._startedCount--
    this.events.onSent()
    if (!this._socket.destroyed) this._startCalls()
  }

  /** Responses that were never assigned to the connection emit no event of their own. */
  private _handleClose (): void {
    this._isClosing = true
    const calls = this._calls.splice(0)
    this._startedCount = 0
    for (const { call } of calls) {
      call.handleCallerClose()
      this.events.onSent()
    }
  }
}

/** One call and its place on the connection. */
class PipelinedCall implements ICallConnection {
  readonly call: Call

  constructor (
    private readonly _connection: CallerConnection, context: ICallContext, readonly request: IncomingMessage, response: ServerResponse
  ) {
    this.call = new Call(context, request, response, this)
  }

  get hasStartedBehind (): boolean {
    return this._connection.hasStartedBehind(this)
  }

  onClosing (): void {
    this._connection.dropBehind(this)
  }

  onDone (): void {
    this._connection.events.onCallEnd(this.call)
  }
}
