/**
 * Endless data on a socket, and a parser for the requests that a raw target receives.
 */
import type { Socket } from 'node:net'

const PAYLOAD_BYTES = 65_536

/** Writes a pattern repeatedly, as fast as the peer accepts it, until the connection is closed. */
export class Flood {
  /** Wall time at which the connection was closed, in milliseconds; undefined until then. */
  closedMs: number | undefined

  /**
   * @param _socket - to write to
   * @param start - written once, before the pattern
   * @param pattern - written repeatedly
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

  /** Bytes accepted by the peer or the buffers in between, and at most one payload more. */
  get bytes (): number {
    return this._socket.bytesWritten
  }
}

/**
 * Calls back for each request head that arrives; bodies are skipped.
 * @param socket - of a target
 * @param onRequest - called with the call ID that the response must echo, and the number of requests on this socket so far
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
