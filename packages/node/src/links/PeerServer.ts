/**
 * Accepts calls from other processes to the targets of this VM.
 */
import type { Socket } from 'node:net'
import type { CallOpen, PeerFrame } from '@lagoonswitch/schema'
import { FrameSocket, type IFrameListener, type RefusedFrameReason } from '@lagoonswitch/transport'
import type { ICallEvents, ICallFailure, ICallHandle, ICallOpener, ITargetLoad } from '../calls/CallTypes.js'
import { encodeFailure } from './FailureFrames.js'
import { UrgentBytes, WindowUpdates } from './FlowControl.js'
import { MAX_SILENCE_MS } from './LinkConnection.js'
import type { ILinkContext } from './LinkTypes.js'

const MAX_CALLS_PER_LINK = 4_096
const MAX_REMAINING_MS = 3_600_000
const NO_BYTES = Buffer.alloc(0)
/** Time in which a peer closes its side of a link although nothing has come from it for long. */
const MIN_CLOSE_MS = 200

/** How a link ended that this process closes: its peer closed it as well, has been silent for too long, or the time was over. */
type LinkEnd = 'peer' | 'silent' | 'cut'

type Frame = NonNullable<PeerFrame['frame']>

/** Shared by all links. */
type IServerContext = Pick<ILinkContext, 'clock' | 'log' | 'metrics'>

/** Serves the links of other processes. */
export class PeerServer {
  private readonly _links = new Set<IncomingLink>()
  private _isDraining = false

  /**
   * @param _opener - the targets of this VM
   * @param _context - shared by all links
   */
  constructor (private readonly _opener: ICallOpener, private readonly _context: IServerContext) {}

  /** @param socket - connection accepted from another process */
  serve (socket: Socket): void {
    const link: IncomingLink = new IncomingLink(socket, this._opener, this._context, () => this._links.delete(link))
    this._links.add(link)
    if (this._isDraining) link.drain()
  }

  /** Asks the other processes to open no more calls. */
  drain (): void {
    this._isDraining = true
    for (const link of this._links) link.drain()
  }

  /** True while a part of a response waits on a link, although its target has finished. */
  get hasUnsentBytes (): boolean {
    return [...this._links].some(link => link.hasUnsentBytes)
  }

  /**
   * Closes all links; the calls on them have ended by then. Waits until the other processes have received everything and closed their
   * side, since what the network has not delivered when this process exits may be lost.
   * @param endMs - time on the monotonic clock until which it waits at most
   */
  async closeLinks (endMs: number): Promise<void> {
    const { clock, log, metrics } = this._context
    const startedMs = clock.readMonotonicMs()
    const counts = { peer: 0, silent: 0, cut: 0 }
    await Promise.all([...this._links].map(async link => {
      const end = await link.close(endMs)
      counts[end]++
      metrics.count('links_closed_total', end)
      if (end !== 'peer') log.warn('link_not_closed', { reason: end, ...link.describe() })
    }))
    log.info('links_closed', { ...counts, took_ms: Math.round(clock.readMonotonicMs() - startedMs) })
  }
}

/** One accepted link and the calls on it. */
class IncomingLink implements IFrameListener {
  private readonly _calls = new Map<number, IncomingCall>()
  private readonly _socket: FrameSocket
  private readonly _address: string
  private _heardMs: number

  constructor (
    socket: Socket, private readonly _opener: ICallOpener, private readonly _context: IServerContext, private readonly _onClosed: () => void
  ) {
    this._address = `${socket.remoteAddress}:${socket.remotePort}`
    this._heardMs = _context.clock.readMonotonicMs()
    this._socket = new FrameSocket(socket, this)
  }

  get hasUnsentBytes (): boolean {
    return this._socket.hasUnsentBytes
  }

  /**
   * Sends what waits, and reads on until the peer has closed the link as well, or has been silent for too long.
   * @param endMs - time on the monotonic clock until which it waits at most
   * @returns how the link ended
   */
  async close (endMs: number): Promise<LinkEnd> {
    const earliestMs = this._context.clock.readMonotonicMs() + MIN_CLOSE_MS
    const waiting = new AbortController()
    void this._socket.closed.then(() => waiting.abort())
    this._socket.dispose()
    while (!waiting.signal.aborted) {
      const silentMs = Math.max(earliestMs, this._heardMs + MAX_SILENCE_MS)
      const leftMs = Math.min(endMs, silentMs) - this._context.clock.readMonotonicMs()
      if (leftMs <= 0) return silentMs < endMs ? 'silent' : 'cut'
      await this._context.clock.sleep(leftMs, waiting.signal)
    }
    return 'peer'
  }

  /** @returns fields for the log */
  describe (): Record<string, string | number> {
    return {
      address: this._address,
      calls: this._calls.size,
      unsent: this._socket.unsentBytes,
      unreported: this._socket.unreportedBytes,
      silent_ms: Math.round(this._context.clock.readMonotonicMs() - this._heardMs)
    }
  }

  drain (): void {
    this._socket.send({ callId: 0, frame: { $case: 'drain', value: {} } })
  }

  onRefused (reason: RefusedFrameReason): void {
    this._context.metrics.count('link_frames_refused_total', reason)
  }

  onBytes (): void {
    this._heardMs = this._context.clock.readMonotonicMs()
  }

  onFrame ({ callId, frame }: PeerFrame): void {
    if (frame === undefined) return
    switch (frame.$case) {
      case 'ping':
        this._socket.send({ callId, frame: { $case: 'ping', value: { reply: true } } })
        return
      case 'open':
        this._open(callId, frame.value)
        return
      case 'cancel':
        // The target may have finished although a part of its response still waits here.
        this._socket.dropBody(callId)
        this._calls.get(callId)?.cancel()
        return
      default:
        this._calls.get(callId)?.handleFrame(frame)
    }
  }

  onClose (): void {
    this._onClosed()
    for (const call of [...this._calls.values()]) call.cancel()
  }

  private _open (callId: number, open: CallOpen): void {
    if (this._calls.has(callId) || this._calls.size >= MAX_CALLS_PER_LINK) {
      sendFailure(this._socket, callId, { reason: 'bad-frame', isNotRun: true, retryAfterMs: 0 }, undefined)
      return
    }
    const call = new IncomingCall(this._socket, callId, open, () => this._calls.delete(callId))
    this._calls.set(callId, call)
    // Listed one by one, since rest or spread properties cost tens of microseconds per call.
    call.start(this._opener.open({
      service: open.service,
      version: open.version,
      targetId: open.targetId,
      method: open.method,
      path: open.path,
      headers: open.headers,
      remainingMs: Math.min(open.remainingMs, MAX_REMAINING_MS),
      callClass: open.class,
      owner: open.owner,
      account: open.account,
      body: open.body,
      isBodyComplete: open.bodyComplete,
      slots: open.slots,
      connections: open.connections,
      queue: open.queue,
      callId: open.callId,
      objectiveMs: open.objectiveMs,
      expectedMs: open.expectedMs,
      route: open.route,
      isRetryable: open.retryable,
      isSpareOnly: open.spareOnly,
      isRepeat: open.repeat,
      isBulk: open.bulk,
      isBulkBody: open.bulkBody,
      bodyBytes: open.bodyBytes
    }, call))
    if (open.body.length > 0 && !open.bulkBody) call.countBodyBytes(open.body.length)
  }
}

/** One call of a link; translates between frames and the call on the target. */
class IncomingCall implements ICallEvents {
  private readonly _windowUpdates = new WindowUpdates()
  private readonly _urgentBytes: UrgentBytes
  private _handle: ICallHandle | undefined
  private _hasEnded = false
  private _isBodyBlocked = false
  private readonly _isBodyCredited: boolean
  private _head: { status: number, headers: readonly string[], load: ITargetLoad } | undefined

  constructor (
    private readonly _socket: FrameSocket, private readonly _callId: number, open: CallOpen, private readonly _onDone: () => void
  ) {
    this._urgentBytes = new UrgentBytes(open.bulk)
    this._isBodyCredited = open.bulkBody
  }

  start (handle: ICallHandle): void {
    this._handle = handle
  }

  cancel (): void {
    if (this._hasEnded) return
    this._finish()
    this._handle?.cancel()
  }

  handleFrame (frame: Frame): void {
    switch (frame.$case) {
      case 'data':
        if (frame.value.chunk.length > 0) this._receiveBody(frame.value.chunk)
        if (frame.value.end) this._handle?.endBody()
        return
      case 'offer':
        this._handle?.offerBody?.(frame.value.bytes)
        return
      case 'window':
        this._handle?.acknowledge(frame.value.bytes)
        return
      case 'withdraw':
        this._handle?.withdraw()
    }
  }

  onHead (status: number, headers: readonly string[], load: ITargetLoad): void {
    // The head is held until the end of this event loop turn, so that a short response fits into one frame.
    this._head = { status, headers, load }
    setImmediate(() => this._sendHead(NO_BYTES, false))
  }

  onData (chunk: Buffer): void {
    if (this._head !== undefined) this._sendHead(chunk, false)
    else this._sendBody(chunk, false)
  }

  onEnd (): void {
    if (this._head !== undefined) this._sendHead(NO_BYTES, true)
    else this._sendBody(NO_BYTES, true)
    this._finish()
  }

  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void {
    if (this._hasEnded) return
    this._socket.dropBody(this._callId)
    sendFailure(this._socket, this._callId, failure, load)
    this._finish()
  }

  onBodyDrain (): void {
    if (!this._isBodyBlocked) return
    this._isBodyBlocked = false
    this._sendWindow(this._windowUpdates.take())
  }

  onBodyCredit (bytes: number): void {
    this._sendWindow(bytes)
  }

  /** Counts body bytes that were passed on. */
  countBodyBytes (bytes: number): void {
    this._sendWindow(this._windowUpdates.add(bytes))
  }

  private _receiveBody (chunk: Buffer): void {
    const isOpen = this._handle?.sendBody(chunk) !== false
    if (this._isBodyCredited) return
    const dueBytes = this._windowUpdates.add(chunk.length)
    if (!isOpen) this._isBodyBlocked = true
    if (this._isBodyBlocked) this._windowUpdates.restore(dueBytes)
    else this._sendWindow(dueBytes)
  }

  private _sendWindow (bytes: number): void {
    if (bytes > 0) this._send({ $case: 'window', value: { bytes } })
  }

  private _sendHead (body: Buffer, end: boolean): void {
    if (this._head === undefined || this._hasEnded) return
    const { status, headers, load } = this._head
    this._head = undefined
    const { inFlight, slots, queued, served, serviceMs, isRepeatDenied, expectedMs = 0, nestedMs = 0, room = 0 } = load
    const urgentLength = this._urgentBytes.take(body.length)
    const isWhole = urgentLength === body.length
    this._send({
      $case: 'head',
      value: {
        status,
        headers: headers as string[],
        body: isWhole ? body : body.subarray(0, urgentLength),
        end: end && isWhole,
        inFlight,
        slots,
        queued,
        served,
        serviceMs,
        repeatDenied: isRepeatDenied,
        expectedMs: Math.ceil(expectedMs),
        nestedMs: Math.round(nestedMs),
        room
      }
    })
    if (!isWhole) this._socket.sendBody(this._callId, body.subarray(urgentLength), end, true)
  }

  private _sendBody (chunk: Buffer, isEnd: boolean): void {
    if (this._hasEnded) return
    const urgentLength = this._urgentBytes.take(chunk.length)
    if (urgentLength === chunk.length) {
      this._socket.sendBody(this._callId, chunk, isEnd, false)
      return
    }
    if (urgentLength > 0) this._socket.sendBody(this._callId, chunk.subarray(0, urgentLength), false, false)
    this._socket.sendBody(this._callId, chunk.subarray(urgentLength), isEnd, true)
  }

  private _send (frame: Frame): void {
    if (!this._hasEnded) this._socket.send({ callId: this._callId, frame })
  }

  private _finish (): void {
    this._hasEnded = true
    this._onDone()
  }
}

function sendFailure (
  socket: FrameSocket, callId: number, failure: ICallFailure, load: ITargetLoad | undefined
): void {
  socket.send({ callId, frame: { $case: 'failure', value: encodeFailure(failure, load) } })
}
