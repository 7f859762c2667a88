/**
 * A connection of a caller that pipelines, reads at a rate of its own and records how each call ended.
 */
import { connect } from 'node:net'
import { createBody } from './StopTarget.mjs'

const HEAD_END = '\r\n\r\n'
const MS_PER_SECOND = 1_000

/** Sends calls and reads their responses in order. */
export class StopConnection {
  /**
   * @param options - host, port, closesOnEnd (whether the caller closes when the node has closed its direction) and bytesPerSecond of
   * reading (optional)
   */
  constructor ({ host, port, closesOnEnd, bytesPerSecond }) {
    this._bytesPerSecond = bytesPerSecond
    this._closesOnEnd = closesOnEnd
    this._pending = []
    this._head = Buffer.alloc(0)
    /** The response that is being read: status, isClosing, left (bytes) and chunks; undefined between responses. */
    this._response = undefined
    this._isHeld = false
    this._localPort = undefined
    this._openedMs = performance.now()
    /** False once no further call gets a response. */
    this.isOpen = true
    this._socket = connect({ host, port, allowHalfOpen: true, noDelay: true })
    // The port isn't known any more once the connection is closed.
    this._socket.on('connect', () => { this._localPort = this._socket.localPort })
    this._socket.on('data', chunk => this._read(chunk))
    this._socket.on('end', () => this._finish('closed'))
    this._socket.on('error', error => this._finish(error.code))
    this._socket.on('close', () => this._finish('closed'))
  }

  /** Reads nothing until {@link StopConnection.release}. */
  hold () {
    this._isHeld = true
    this._socket.pause()
  }

  release () {
    this._isHeld = false
    this._socket.resume()
  }

  /**
   * Sends a call.
   * @param call - id, method, path, deadlineMs and bytes of its response; status, receivedBytes, isWhole, end and the times are set
   * @param upload - body; its parts are written when they are drawn
   * @returns the call when it has ended
   */
  async send (call, upload) {
    Object.assign(call, {
      openedMs: this._openedMs,
      startMs: performance.now(),
      sentMs: undefined,
      status: 0,
      receivedBytes: 0,
      isWhole: false,
      isBehindClose: false
    })
    const ended = new Promise(resolve => { call.resolve = resolve })
    if (!this.isOpen) {
      this._endCall(call, 'closed')
      return await ended
    }
    this._pending.push(call)
    const length = upload === undefined ? '' : `Content-Length: ${upload.bytes}\r\n`
    this._socket.write(`${call.method} ${call.path} HTTP/1.1\r\nHost: ${call.host}\r\nX-Attempt-Id: ${call.id}\r\n` +
      `X-Request-Deadline: ${call.deadlineMs}\r\n${length}${HEAD_END.slice(2)}`)
    if (upload !== undefined && !await this._upload(upload)) return await ended
    call.sentMs = performance.now()
    return await ended
  }

  close () {
    this._finish('given-up')
    this._socket.destroy()
  }

  /** Goes on with the body although a refusal may have come, as callers do that don't read while they write. */
  async _upload ({ parts }) {
    for await (const part of parts) {
      if (this._socket.destroyed || !this._socket.writable) return false
      this._socket.write(part)
    }
    return true
  }

  _read (chunk) {
    let rest = chunk
    while (rest.length > 0) rest = this._response === undefined ? this._readHead(rest) : this._readBody(rest)
    if (this._bytesPerSecond === undefined) return
    this._socket.pause()
    setTimeout(() => { if (!this._isHeld) this._socket.resume() }, chunk.length / this._bytesPerSecond * MS_PER_SECOND)
  }

  _readHead (chunk) {
    this._head = Buffer.concat([this._head, chunk])
    const index = this._head.indexOf(HEAD_END)
    if (index < 0) return Buffer.alloc(0)
    const text = this._head.subarray(0, index).toString('latin1')
    const rest = this._head.subarray(index + HEAD_END.length)
    this._head = Buffer.alloc(0)
    this._response = {
      status: Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]),
      isClosing: /^connection: *close/im.test(text),
      left: Number(/^content-length: *(\d+)/im.exec(text)?.[1] ?? NaN),
      seal: /^x-server-seal: *(\S+)/im.exec(text)?.[1],
      chunks: []
    }
    const call = this._pending[0]
    if (call !== undefined) call.status = this._response.status
    return this._response.left === 0 ? this._readBody(Buffer.alloc(0), rest) : rest
  }

  _readBody (chunk, behind = Buffer.alloc(0)) {
    const response = this._response
    const part = chunk.subarray(0, response.left)
    response.chunks.push(part)
    response.left -= part.length
    if (this._pending[0] !== undefined) this._pending[0].receivedBytes += part.length
    if (response.left > 0 || Number.isNaN(response.left)) return Buffer.alloc(0)
    this._response = undefined
    const call = this._pending.shift()
    if (call !== undefined) {
      const body = Buffer.concat(response.chunks)
      call.isWhole = response.status === 200 && response.seal === `s-${call.id}` && body.equals(createBody(call.id, call.bytes))
      this._endCall(call, 'answered')
    }
    if (response.isClosing) {
      for (const later of this._pending) later.isBehindClose = true
      this.isOpen = false
    }
    return behind.length > 0 ? behind : chunk.subarray(part.length)
  }

  _finish (reason) {
    this.isOpen = false
    for (const call of this._pending.splice(0)) this._endCall(call, reason)
    if (this._closesOnEnd) this._socket.end()
  }

  _endCall (call, end) {
    call.end = end
    call.port = this._localPort
    call.endMs = performance.now()
    call.resolve(call)
  }
}
