/**
 * One connection of a link; detects a silent process at its other end.
 */
import type { IDisposable } from '@lagoonswitch/common'
import type { PeerFrame } from '@lagoonswitch/schema'
import { SilenceMeter, TransitMeter, computeTransitMs } from '@lagoonswitch/traffic'
import { FrameSocket, openLinkSocket, type IFrameListener } from '@lagoonswitch/transport'
import type { IConnectionEvents, ILinkContext } from './LinkTypes.js'

const OPEN_TIMEOUT_MS = 1_000
/** Silence after which a ping is sent to the other process. */
const PING_INTERVAL_MS = 200
/** Time between two checks while an answer is awaited. */
const CHECK_INTERVAL_MS = 50
/** Silence after which no calls are sent on the link: a ping interval, a round trip and a short stall. */
export const SUSPECT_SILENCE_MS = 450
/** Silence after which calls without a response head fail: one more ping has not been answered. */
const GIVE_UP_SILENCE_MS = SUSPECT_SILENCE_MS + PING_INTERVAL_MS
/** Size of a body in an opening frame above which its time in transit is estimated; below, it is short beside a ping interval. */
const MIN_LARGE_BYTES = 16_384
/** Silence after which the connection is closed. */
export const MAX_SILENCE_MS = 3_000

/** One connection of a link; detects a silent peer with pings. */
export class LinkConnection implements IFrameListener, IDisposable {
  private readonly _socket: FrameSocket
  private readonly _stopping = new AbortController()
  private readonly _meter: SilenceMeter
  /** Large frames that open calls, such as those with a whole body. */
  private readonly _transit: TransitMeter
  private _lastPingMs = -Infinity
  private _isSilent = false
  isOpen = false
  isBodyCreditGranted: boolean | undefined

  constructor (
    private readonly _address: string, private readonly _context: ILinkContext, private readonly _events: IConnectionEvents
  ) {
    this._meter = new SilenceMeter(_context.clock)
    this._transit = new TransitMeter(_context.clock)
    this._meter.await()
    this._socket = new FrameSocket(openLinkSocket(_address, _context.credentials, () => this._handleOpen()), this, _context.bulkWindow)
    void this._runPings()
  }

  send (frame: PeerFrame): void {
    if (frame.frame?.$case === 'open' && frame.frame.value.body.length > MIN_LARGE_BYTES) {
      this._transit.recordSent(frame.callId, frame.frame.value.body.length)
    }
    this._socket.send(frame)
  }

  sendBody (callId: number, chunk: Buffer, isEnd: boolean, isBulk: boolean): void {
    this._socket.sendBody(callId, chunk, isEnd, isBulk)
  }

  dropBody (callId: number): void {
    this._socket.dropBody(callId)
  }

  onBytes (): void {
    this._recordReceived()
  }

  onFrame (frame: PeerFrame): void {
    if (frame.frame?.$case === 'ping') this._transit.recordPingAnswer()
    else if (frame.callId !== 0) this._transit.recordAnswer(frame.callId)
    this._events.onFrame(frame)
  }

  onBodyCreditKnown (isGranted: boolean): void {
    this.isBodyCreditGranted = isGranted
    this._events.onBodyCreditKnown()
  }

  onClose (cause: string): void {
    this._stopping.abort()
    this._context.metrics.count('links_lost_total', this.isOpen ? 'lost' : 'not-opened')
    this._context.log.debug('link_lost', { address: this._address, cause })
    this._events.onClose(cause)
  }

  dispose (): void {
    this._stopping.abort()
    this._socket.dispose()
  }

  private _handleOpen (): void {
    this.isOpen = true
    this._recordReceived()
    this._events.onOpen()
  }

  /**
   * Time in milliseconds for which the other process has been silent although it should have responded; 0 while nothing is unanswered.
   * On an open connection it includes the ping interval of silence before the unanswered ping. Pauses of this process don't count, nor
   * does the time that the ping needs behind the bytes ahead of it at a low speed of the link.
   */
  getSilenceMs (): number {
    if (!this._meter.isAwaiting) return 0
    return this._meter.awaitedMs + (this.isOpen ? PING_INTERVAL_MS : 0)
  }

  private async _runPings (): Promise<void> {
    const { clock } = this._context
    while (!this._stopping.signal.aborted) {
      const stepMs = this._meter.isAwaiting ? CHECK_INTERVAL_MS : PING_INTERVAL_MS
      this._meter.planStep(stepMs)
      await clock.waitTick(stepMs)
      if (this._stopping.signal.aborted) return
      this._meter.step()
      if (this._checkSilence()) {
        this._socket.destroy()
        return
      }
    }
  }

  /** @returns true if the connection is to be closed */
  private _checkSilence (): boolean {
    const silentMs = this.getSilenceMs()
    if (silentMs >= SUSPECT_SILENCE_MS && !this._isSilent) this._reportSilence(silentMs)
    if (!this.isOpen) {
      if (silentMs >= SUSPECT_SILENCE_MS) this._events.onSlowOpen()
      return silentMs > OPEN_TIMEOUT_MS
    }
    if (silentMs > MAX_SILENCE_MS) return true
    if (silentMs >= GIVE_UP_SILENCE_MS) this._events.onSilent()
    this._sendPingIfDue()
    return false
  }

  private _sendPingIfDue (): void {
    const nowMs = this._context.clock.readMonotonicMs()
    const isAnswerAwaited = this._events.isAnswerAwaited() || this._meter.isAwaiting
    if (!isAnswerAwaited || this._meter.quietMs < PING_INTERVAL_MS || nowMs - this._lastPingMs < PING_INTERVAL_MS) return
    this._lastPingMs = nowMs
    // The ping arrives behind these bytes; those that follow it do not delay it.
    this._meter.await(this._computeTransitMs())
    this._transit.recordPing()
    this.send({ callId: 0, frame: { $case: 'ping', value: { reply: false } } })
  }

  /**
   * Time in milliseconds that the bytes ahead of the next frame may need: bulk chunks that are not reported as received, and what else is
   * known to wait in the socket or beyond it.
   */
  private _computeTransitMs (): number {
    const { unreportedBytes, unsentBytes } = this._socket
    return computeTransitMs(unreportedBytes) + Math.max(this._transit.leftMs, computeTransitMs(unsentBytes))
  }

  private _reportSilence (silentMs: number): void {
    this._isSilent = true
    this._context.metrics.count('links_silent_total', this.isOpen ? 'open' : 'not-opened')
    this._context.log.warn('link_silent', { address: this._address, opened: this.isOpen, silent_ms: Math.round(silentMs) })
  }

  private _recordReceived (): void {
    if (this._isSilent) {
      this._isSilent = false
      this._context.metrics.count('links_silent_total', 'answered')
      this._context.log.info('link_answered', { address: this._address, quiet_ms: Math.round(this._meter.quietMs) })
    }
    this._meter.recordReceived()
  }
}
