/**
 * A socket that carries protobuf messages, each prefixed with its length as a varint.
 */
import type { Socket } from 'node:net'
import { BinaryWriter } from '@bufbuild/protobuf/wire'
import type { IDisposable } from '@lagoonswitch/common'
import { PeerFrame } from '@lagoonswitch/schema'

/** Largest frame, in bytes. */
const MAX_FRAME_BYTES = 1_048_576
const MAX_LENGTH_PREFIX_BYTES = 4

/** Receives the events of a socket. */
export interface IFrameListener {
  onFrame (frame: PeerFrame): void
  /** Called once, with the reason; not called after {@link FrameSocket.dispose}. */
  onClose (cause: string): void
}

/** Sends and receives frames; all frames sent in one turn of the event loop are written at once. */
export class FrameSocket implements IDisposable {
  private _outgoing: Uint8Array[] = []
  private _isFlushing = false
  private _incoming: Buffer = Buffer.alloc(0)
  private _isClosed = false

  /**
   * @param _socket - a connected or connecting socket
   * @param _listener - receives the events
   */
  constructor (private readonly _socket: Socket, private readonly _listener: IFrameListener) {
    _socket.setNoDelay(true)
    _socket.on('data', chunk => this._receive(chunk))
    _socket.on('error', error => this._close(error.message))
    _socket.on('close', () => this._close('closed'))
    _socket.on('end', () => this._close('ended'))
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

  dispose (): void {
    this._flush()
    this._isClosed = true
    this._socket.end()
  }

  /** Destroys the connection without sending pending frames. */
  destroy (): void {
    this._socket.destroy()
  }

  private _flush (): void {
    this._isFlushing = false
    if (this._isClosed || this._outgoing.length === 0) return
    const out = this._outgoing
    this._outgoing = []
    this._socket.write(out.length === 1 ? out[0] ?? '' : Buffer.concat(out))
  }

  private _receive (chunk: Buffer): void {
    let data = this._incoming.length === 0 ? chunk : Buffer.concat([this._incoming, chunk])
    while (data.length > 0 && !this._isClosed) {
      const prefix = readLengthPrefix(data)
      if (prefix === undefined) break
      if (prefix.length > MAX_FRAME_BYTES) {
        this._fail('a frame is too large')
        return
      }
      const end = prefix.start + prefix.length
      if (data.length < end) break
      if (!this._deliver(data.subarray(prefix.start, end))) return
      data = data.subarray(end)
    }
    this._incoming = data
  }

  private _deliver (bytes: Buffer): boolean {
    let frame: PeerFrame
    try {
      frame = PeerFrame.decode(bytes)
    } catch {
      this._fail('a frame can\'t be decoded')
      return false
    }
    this._listener.onFrame(frame)
    return true
  }

  private _fail (cause: string): void {
    this._socket.destroy()
    this._close(cause)
  }

  private _close (cause: string): void {
    if (this._isClosed) return
    this._isClosed = true
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
