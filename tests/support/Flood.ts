/**
 * Bytes without end on a socket, and what became of them.
 */
import type { Socket } from 'node:net'

const PAYLOAD_BYTES = 65_536

/** Writes a pattern again and again, as fast as the other side takes it, until the connection is closed. */
export class Flood {
  closedMs: number | undefined

  /**
   * @param _socket - to write on
   * @param start - written once before
   * @param pattern - written without end
   */
  constructor (private readonly _socket: Socket, start: string, pattern: string) {
    const payload = Buffer.from(pattern.repeat(Math.ceil(PAYLOAD_BYTES / pattern.length)), 'latin1')
    const write = (): void => {
      if (!_socket.destroyed && _socket.writable && _socket.write(payload)) setImmediate(write)
    }
    _socket.on('drain', write)
    _socket.on('close', () => { this.closedMs = Date.now() })
    if (start !== '') _socket.write(start, 'latin1')
    write()
  }

  /** Bytes that the other side or the buffers between have taken, and at most a piece more. */
  get bytes (): number {
    return this._socket.bytesWritten
  }
}

/**
 * Calls back for each request head that arrives; bodies are passed over.
 * @param socket - of a target
 * @param onRequest - called with the identity that the answer must repeat, and the count of requests on this socket
 */
export function onRequestHead (socket: Socket, onRequest: (id: string, count: number) => void): void {
  let text = ''
  let count = 0
  socket.on('data', chunk => {
    text += chunk.toString('latin1')
    for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
      const id = /x-attempt-id: (\S+)/i.exec(text.slice(0, end))?.[1]
      text = text.slice(end + 4)
      if (id !== undefined) onRequest(id, ++count)
    }
  })
}
