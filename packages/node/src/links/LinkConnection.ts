/**
 * One connection of a link; detects a silent process at its other end.
 */
import type { IClock, IDisposable, ILog, Metrics } from '@lagoonswitch/common'
import type { PeerFrame } from '@lagoonswitch/schema'
import { FrameSocket, openLinkSocket, type IFrameListener, type LinkCredentials } from '@lagoonswitch/transport'

const OPEN_TIMEOUT_MS = 1_000
/** Silence after which a ping is sent to the other process. */
const PING_INTERVAL_MS = 200
/** Silence after which no new calls are sent on the link: a ping interval, a round trip and a short stall. */
export const SUSPECT_SILENCE_MS = 450
/** Silence after which retryable calls without a response head fail, so that they can be retried elsewhere. */
const RETRY_SILENCE_MS = 900
/** Silence after which the connection is closed. */
const MAX_SILENCE_MS = 3_000

/** What all links of a process share. */
export interface ILinkContext {
  readonly credentials: LinkCredentials
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
}

/** Receives the events of a connection. */
export interface IConnectionEvents {
  onOpen (): void
  onFrame (frame: PeerFrame): void
  onClose (): void
  /** Returns true while calls are open, in which case silence indicates a fault. */
  hasCalls (): boolean
  /** Called repeatedly while the other process is silent for longer than {@link RETRY_SILENCE_MS}. */
  onSilent (): void
}

/** One connection of a link; detects a silent peer with pings. */
export class LinkConnection implements IFrameListener, IDisposable {
  private readonly _socket: FrameSocket
  private readonly _stopping = new AbortController()
  private _lastReceivedMs: number
  /** When the first unanswered ping was sent, or the connection was requested; undefined if nothing is unanswered. */
  private _unansweredSinceMs: number | undefined
  isOpen = false

  constructor (
    private readonly _address: string, private readonly _context: ILinkContext, private readonly _events: IConnectionEvents
  ) {
    this._lastReceivedMs = _context.clock.readMonotonicMs()
    this._unansweredSinceMs = this._lastReceivedMs
    this._socket = new FrameSocket(openLinkSocket(_address, _context.credentials, () => this._handleOpen()), this)
    void this._runPings()
  }

  send (frame: PeerFrame): void {
    this._socket.send(frame)
  }

  sendBody (callId: number, chunk: Buffer, isEnd: boolean, isBulk: boolean): void {
    this._socket.sendBody(callId, chunk, isEnd, isBulk)
  }

  dropBody (callId: number): void {
    this._socket.dropBody(callId)
  }

  onFrame (frame: PeerFrame): void {
    this._lastReceivedMs = this._context.clock.readMonotonicMs()
    this._unansweredSinceMs = undefined
    this._events.onFrame(frame)
  }

  onClose (cause: string): void {
    this._stopping.abort()
    this._context.metrics.count('links_lost_total', this.isOpen ? 'lost' : 'not-opened')
    this._context.log.debug('link_lost', { address: this._address, cause })
    this._events.onClose()
  }

  dispose (): void {
    this._stopping.abort()
    this._socket.dispose()
  }

  private _handleOpen (): void {
    this.isOpen = true
    this._lastReceivedMs = this._context.clock.readMonotonicMs()
    this._unansweredSinceMs = undefined
    this._events.onOpen()
  }

  /**
   * Time for which the other process has been silent although it should have responded; 0 while nothing is unanswered. On an open
   * connection it includes the ping interval of silence before the unanswered ping.
   */
  getSilenceMs (): number {
    if (this._unansweredSinceMs === undefined) return 0
    return this._context.clock.readMonotonicMs() - this._unansweredSinceMs + (this.isOpen ? PING_INTERVAL_MS : 0)
  }

  private async _runPings (): Promise<void> {
    const { clock } = this._context
    while (!this._stopping.signal.aborted) {
      await clock.waitTick(PING_INTERVAL_MS)
      if (this._stopping.signal.aborted) return
      if (this._checkSilence()) {
        this._socket.destroy()
        return
      }
    }
  }

  /** @returns true if the connection is to be closed */
  private _checkSilence (): boolean {
    const nowMs = this._context.clock.readMonotonicMs()
    const silentMs = this.getSilenceMs()
    if (!this.isOpen) return silentMs > OPEN_TIMEOUT_MS
    if (silentMs > MAX_SILENCE_MS) return true
    if (silentMs > RETRY_SILENCE_MS) this._events.onSilent()
    const isPingDue = nowMs - this._lastReceivedMs >= PING_INTERVAL_MS && (this._events.hasCalls() || this._unansweredSinceMs !== undefined)
    if (!isPingDue) return false
    this._unansweredSinceMs ??= nowMs
    this.send({ callId: 0, frame: { $case: 'ping', value: { reply: false } } })
    return false
  }
}
