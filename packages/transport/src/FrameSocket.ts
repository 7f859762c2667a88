/**
 * A socket that carries protobuf messages, each prefixed with its length as a varint.
 */
import type { Socket } from 'node:net'
import { BinaryWriter } from '@bufbuild/protobuf/wire'
import type { IDisposable } from '@lagoonswitch/common'
import { PeerFrame } from '@lagoonswitch/schema'
import { BULK_CHUNK_BYTES, BulkQueue, type IBulkChunk } from './BulkQueue.js'
import { PROCESS_BULK_WINDOW, type BulkWindow } from './BulkWindow.js'
import { FrameBuffer } from './FrameBuffer.js'

/** Largest frame, in bytes. */
const MAX_FRAME_BYTES = 1_048_576
const MAX_LENGTH_PREFIX_BYTES = 4
/** Received bytes of bulk chunks that are reported at once; less than the smallest window, so that a sender never waits for the rest. */
const REPORT_BYTES = BULK_CHUNK_BYTES / 2

/** Why a connection is closed because of what has arrived: a large frame, one that can't be decoded, or too many incomplete ones. */
export type RefusedFrameReason = 'too-large' | 'unreadable' | 'memory'

/** Receives the events of a socket. */
export interface IFrameListener {
  onFrame (frame: PeerFrame): void
  /** Called when bytes arrive, also those of frames that are incomplete or not passed on. */
  onBytes? (): void
  /** Called once, with the reason; not called after {@link FrameSocket.dispose}. */
  onClose (cause: string): void
  /** Called before the connection is closed because of what has arrived, with a reason for a counter. */
  onRefused? (reason: RefusedFrameReason): void
  /** Called once, when the first frame tells whether the peer grants credit for large request bodies. */
  onBodyCreditKnown? (isGranted: boolean): void
}

/**
 * Sends and receives frames; all frames sent in one turn of the event loop are written at once. Bulk chunks of bodies wait while
 * a window of them is in transit, so that other frames do not queue behind them in the buffers of a slow network.
 */
export class FrameSocket implements IDisposable {
  private readonly _bulkQueue = new BulkQueue()
  /** Bytes of bulk chunks that the peer has not reported as received. */
  private _bulkBytesInTransit = 0
  /** Bytes of all bulk chunks that were sent, less those that the peer has reported; also of chunks sent before its first report. */
  private _unreportedSentBytes = 0
  /** Received bytes of bulk chunks that are not reported yet. */
  private _unreportedBytes = 0
  /** False for a peer that does not report what it receives, to which everything is sent at once. */
  private _isPeerReporting = false
  private _isBodyCreditKnown = false
  private _outgoing: Uint8Array[] = []
  private _isFlushing = false
  private readonly _incoming = new FrameBuffer(() => this._refuse('memory', 'incomplete frames take too much memory'))
  private _isClosed = false
  /** Resolves once the connection is closed on both sides, or lost. */
  readonly closed: Promise<void>

  /**
   * @param _socket - a connected or connecting socket
   * @param _listener - receives the events
   * @param _window - shared by all links of the process
   */
  constructor (
    private readonly _socket: Socket, private readonly _listener: IFrameListener, private readonly _window: BulkWindow = PROCESS_BULK_WINDOW
  ) {
    _socket.setNoDelay(true)
    _socket.on('data', chunk => this._receive(chunk))
    _socket.on('error', error => this._close(error.message))
    _socket.on('close', () => {
      this._incoming.clear()
      this._close('closed')
    })
    _socket.on('end', () => this._close('ended'))
    this.closed = new Promise(resolve => _socket.on('close', () => resolve()))
    this._sendReport(0)
  }

  /**
   * Sends a frame.
   * @param frame - message
   */
  send (frame: PeerFrame): void {
    if (this._isClosed) return
    this._outgoing.push(encodeFrame(frame))
    if (this._isFlushing) return
    this._isFlushing = true
    process.nextTick(() => this._flush())
  }

  /**
   * Sends a part of a body.
   * @param callId - of the call
   * @param chunk - bytes, may be empty at the end
   * @param isEnd - true for the last part
   * @param isBulk - true if the chunk may wait for other frames; it then waits for earlier parts of the body in any case
   */
  sendBody (callId: number, chunk: Buffer, isEnd: boolean, isBulk: boolean): void {
    if (this._isClosed) return
    if (!isBulk && !this._bulkQueue.has(callId)) {
      this.send({ callId, frame: { $case: 'data', value: { chunk, end: isEnd, bulk: false } } })
      return
    }
    this._bulkQueue.push(callId, chunk, isEnd)
    this._sendBulkChunks()
  }

  /**
   * Drops the parts of a body that wait, because the call has ended.
   * @param callId - of the call
   */
  dropBody (callId: number): void {
    this._bulkQueue.drop(callId)
    this._updateWindow()
  }

  /** True while frames or parts of bodies wait that the network has not taken. */
  get hasUnsentBytes (): boolean {
    return !this._isClosed && (!this._bulkQueue.isEmpty || this._outgoing.length > 0 || this._socket.writableLength > 0)
  }

  /** Bytes of bulk chunks that the peer has not reported as received; 0 if it reports nothing. */
  get unreportedBytes (): number {
    return this._isPeerReporting ? this._unreportedSentBytes : 0
  }

  /** Bytes of frames that the network has not taken. */
  get unsentBytes (): number {
    return this._socket.writableLength
  }

  /**
   * Sends everything that waits and closes the own side of the connection. What the peer still sends is read and dropped until it has
   * closed its side as well: the kernel answers bytes that nobody reads with a reset, which loses what the peer has not received.
   */
  dispose (): void {
    for (let next = this._bulkQueue.take(); next !== undefined; next = this._bulkQueue.take()) this._sendBulkChunk(next)
    this._flush()
    this._isClosed = true
    this._updateWindow()
    this._socket.end()
  }

  /** Destroys the connection without sending pending frames. */
  destroy (): void {
    this._socket.destroy()
  }

  private _sendBulkChunks (): void {
    this._updateWindow()
    while (!this._isPeerReporting || this._bulkBytesInTransit < this._window.linkBytes) {
      const next = this._bulkQueue.take()
      if (next === undefined) break
      this._sendBulkChunk(next)
    }
    this._updateWindow()
  }

  private _sendBulkChunk ({ callId, chunk, isEnd }: IBulkChunk): void {
    this._unreportedSentBytes += chunk.length
    if (this._isPeerReporting) this._bulkBytesInTransit += chunk.length
    this.send({ callId, frame: { $case: 'data', value: { chunk, end: isEnd, bulk: true } } })
  }

  private _updateWindow (): void {
    this._window.update(this, !this._isClosed && (!this._bulkQueue.isEmpty || this._bulkBytesInTransit > 0))
  }

  private _sendReport (bytes: number): void {
    this.send({ callId: 0, frame: { $case: 'received', value: { bytes, bodyCredit: true } } })
  }

  private _handleReport (bytes: number): void {
    this._isPeerReporting = true
    this._unreportedSentBytes = Math.max(0, this._unreportedSentBytes - bytes)
    this._bulkBytesInTransit = Math.max(0, this._bulkBytesInTransit - bytes)
    this._sendBulkChunks()
  }

  private _countReceived ({ frame }: PeerFrame): void {
    if (frame?.$case !== 'data' || !frame.value.bulk) return
    this._unreportedBytes += frame.value.chunk.length
    if (this._unreportedBytes < REPORT_BYTES) return
    this._sendReport(this._unreportedBytes)
    this._unreportedBytes = 0
  }

  private _flush (): void {
    this._isFlushing = false
    if (this._isClosed || this._outgoing.length === 0) return
    const out = this._outgoing
    this._outgoing = []
    this._socket.write(out.length === 1 ? out[0] ?? '' : Buffer.concat(out))
  }

  private _receive (chunk: Buffer): void {
    this._listener.onBytes?.()
    if (this._isClosed) return
    let data = this._incoming.append(chunk)
    while (data.length > 0 && !this._isClosed) {
      const prefix = readLengthPrefix(data)
      if (prefix === undefined) break
      if (prefix.length > MAX_FRAME_BYTES) {
        this._refuse('too-large', 'a frame is too large')
        return
      }
      const end = prefix.start + prefix.length
      if (data.length < end) break
      if (!this._deliver(data.subarray(prefix.start, end))) return
      data = data.subarray(end)
    }
    if (!this._isClosed) this._incoming.keep(data)
  }

  private _deliver (bytes: Buffer): boolean {
    let frame: PeerFrame
    try {
      frame = PeerFrame.decode(bytes)
    } catch {
      this._refuse('unreadable', 'a frame can\'t be decoded')
      return false
    }
    if (!this._isBodyCreditKnown) {
      // Each process sends a report first, or none if its version does not report at all.
      this._isBodyCreditKnown = true
      this._listener.onBodyCreditKnown?.(frame.frame?.$case === 'received' && frame.frame.value.bodyCredit)
    }
    if (frame.frame?.$case === 'received') {
      this._handleReport(frame.frame.value.bytes)
      return true
    }
    this._countReceived(frame)
    this._listener.onFrame(frame)
    return true
  }

  private _refuse (reason: RefusedFrameReason, cause: string): void {
    if (!this._isClosed) this._listener.onRefused?.(reason)
    this._socket.destroy()
    this._close(cause)
  }

  private _close (cause: string): void {
    if (this._isClosed) return
    this._isClosed = true
    this._updateWindow()
    this._socket.destroy()
    this._listener.onClose(cause)
  }
}

/** Reused for all frames, since a new one has to grow its buffer step by step; replaced when a frame cannot be encoded. */
let writer = new BinaryWriter()

function encodeFrame (frame: PeerFrame): Uint8Array {
  try {
    PeerFrame.encode(frame, writer.fork())
    return writer.join().finish()
  } catch (error) {
    writer = new BinaryWriter()
    throw error
  }
}

/**
 * Reads the length prefix of the next frame.
 * @returns start and length of the frame, undefined while the prefix is incomplete
 */
function readLengthPrefix (data: Buffer): { start: number, length: number } | undefined {
  let length = 0
  for (let index = 0; index < MAX_LENGTH_PREFIX_BYTES; index++) {
    const byte = data[index]
    if (byte === undefined) return undefined
    length |= (byte & 0x7f) << (7 * index)
    if (byte < 0x80) return { start: index + 1, length }
  }
  return { start: MAX_LENGTH_PREFIX_BYTES, length: Infinity }
}
