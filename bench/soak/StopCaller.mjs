/**
 * A caller of soaks of planned stops, which uses one connection after the other in the way of its kind.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { HOST } from '../platform-world.mjs'
import { StopConnection } from './StopConnection.mjs'

/** Ways to use a connection: one call after the other, late or slow reading, calls sent together or behind an unread response, uploads. */
export const CALLER_KINDS = ['kept', 'late', 'slow', 'pipelined', 'ahead', 'upload']
/** Statuses that tell callers to come back later. */
export const REFUSALS = [408, 421, 429, 503]
export const DEADLINE_MS = 9_000
/** Time after the deadline after which a caller gives up. */
const GIVE_UP_MS = 2_000
const MIN_BYTES = 400
const MAX_BYTES = 1_500_000
const SMALL_BYTES = 5_000
const SMALL_SHARE = 0.4
const MIN_WORK_MS = 20
const QUICK_WORK_MS = 300
const MAX_WORK_MS = 4_000
const MIN_LATE_MS = 500
const MAX_LATE_MS = 3_000
const MIN_BYTES_PER_SECOND = 60_000
const MAX_BYTES_PER_SECOND = 250_000
/** Time that a slow reader takes for one response. */
const MAX_READ_S = 3
const MAX_PIPELINED = 4
const MIN_UPLOAD_BYTES = 60_000
const MAX_UPLOAD_BYTES = 360_000
const UPLOAD_PART_BYTES = 16_000
const MAX_UPLOAD_PAUSE_MS = 15
const MAX_PAUSE_MS = 150
const MAX_REFUSED_PAUSE_MS = 2_000
/** Share of the callers that use other nodes once they have noticed a stop, and the time until then. */
const NOTICED_SHARE = 0.8
const MIN_NOTICE_MS = 500
const MAX_NOTICE_MS = 3_500
const MS_PER_SECOND = 1_000

/** Calls until it is stopped, and records its calls. */
export class StopCaller {
  /**
   * @param options - name, node, host and port of the node or of the proxy before it, kind (one of {@link CALLER_KINDS}), isProxied,
   * closesOnEnd, random, and getStopMs, which returns the time at which the stop of the node began (undefined if it isn't stopped)
   */
  constructor (options) {
    this.options = options
    this.calls = []
    this.isStopped = false
    this._random = options.random
    this._callCount = 0
    /** Stop of the node that the caller knows of, and the time from which it sends no further calls because of it. */
    this._stopMs = undefined
    this._awayMs = Infinity
  }

  async run () {
    while (!this.isStopped) {
      if (!this._isAway()) await this._useConnection()
      await sleep(this._draw(0, MAX_PAUSE_MS))
    }
  }

  /** @returns true if the caller uses other nodes as its own is being stopped; some callers never do */
  _isAway () {
    const stopMs = this.options.getStopMs()
    if (stopMs !== this._stopMs) {
      this._stopMs = stopMs
      const isNoticed = stopMs !== undefined && this._random.draw() < NOTICED_SHARE
      this._awayMs = isNoticed ? stopMs + this._draw(MIN_NOTICE_MS, MAX_NOTICE_MS) : Infinity
    }
    return performance.now() > this._awayMs
  }

  async _useConnection () {
    const { host, port, kind, closesOnEnd } = this.options
    const bytesPerSecond = kind === 'slow' ? Math.round(this._draw(MIN_BYTES_PER_SECOND, MAX_BYTES_PER_SECOND)) : undefined
    const connection = new StopConnection({ host, port, closesOnEnd, bytesPerSecond })
    while (connection.isOpen && !this.isStopped) {
      if (this._isAway()) {
        await sleep(MAX_PAUSE_MS)
        continue
      }
      let timer
      const givenUp = new Promise(resolve => { timer = setTimeout(resolve, DEADLINE_MS + GIVE_UP_MS) })
      await Promise.race([this._call(connection, bytesPerSecond), givenUp.then(() => connection.close())])
      clearTimeout(timer)
      const isRefused = REFUSALS.includes(this.calls.at(-1).status)
      await sleep(isRefused ? this._draw(MAX_PAUSE_MS, MAX_REFUSED_PAUSE_MS) : this._draw(0, MAX_PAUSE_MS))
    }
    // Callers that don't notice the end at once keep their direction open for a while.
    if (!closesOnEnd) setTimeout(() => connection.close(), MAX_LATE_MS)
    else connection.close()
  }

  async _call (connection, bytesPerSecond) {
    switch (this.options.kind) {
      case 'kept': return await this._send(connection, this._createCall())
      case 'late': return await this._callLate(connection)
      case 'slow': return await this._send(connection, this._createCall(bytesPerSecond * MAX_READ_S))
      case 'pipelined': return await this._callTogether(connection)
      case 'ahead': return await this._callAhead(connection)
      case 'upload': return await this._send(connection, this._createCall(SMALL_BYTES, 'upload'), true)
    }
  }

  async _callLate (connection) {
    const call = this._createCall()
    const lateMs = this._draw(MIN_LATE_MS, MAX_LATE_MS)
    connection.hold()
    const ended = this._send(connection, call)
    call.readMs = call.workMs + lateMs
    await sleep(call.readMs)
    connection.release()
    await ended
  }

  async _callTogether (connection) {
    const count = 2 + Math.floor(this._draw(0, MAX_PIPELINED - 1))
    const calls = []
    for (let index = 0; index < count; index++) {
      const call = this._createCall(MAX_BYTES, this._random.draw() < 0.8 ? 'safe' : 'unsafe')
      calls.push(this._send(connection, call))
      if (this._random.draw() < 0.5) await sleep(this._draw(0, MAX_PAUSE_MS))
    }
    await Promise.all(calls)
  }

  /** Sends the next call while the response to the one before it is unread. */
  async _callAhead (connection) {
    const first = this._createCall()
    const isUpload = this._random.draw() < 0.5
    const second = this._createCall(SMALL_BYTES, isUpload ? 'upload' : 'safe')
    const [waitMs, lateMs] = [this._draw(0, MAX_LATE_MS), this._draw(0, MIN_LATE_MS)]
    connection.hold()
    const calls = [this._send(connection, first)]
    first.readMs = first.workMs + waitMs + lateMs
    await sleep(first.workMs + waitMs)
    calls.push(this._send(connection, second, isUpload))
    second.readMs = second.workMs + lateMs
    await sleep(lateMs)
    connection.release()
    await Promise.all(calls)
  }

  async _send (connection, call, isUpload = false) {
    this.calls.push(call)
    if (!isUpload) return await connection.send(call)
    const bytes = Math.round(this._draw(MIN_UPLOAD_BYTES, MAX_UPLOAD_BYTES))
    return await connection.send(call, { bytes, parts: this._drawParts(bytes) })
  }

  async * _drawParts (bytes) {
    for (let left = bytes; left > 0; left -= UPLOAD_PART_BYTES) {
      yield Buffer.alloc(Math.min(left, UPLOAD_PART_BYTES), 'u')
      await sleep(this._draw(0, MAX_UPLOAD_PAUSE_MS))
    }
  }

  _createCall (maxBytes = MAX_BYTES, route = this._random.draw() < 0.6 ? 'safe' : 'unsafe') {
    const { name, node, kind, isProxied, closesOnEnd } = this.options
    const isLong = route !== 'upload' && this._random.draw() < 0.4
    const workMs = Math.round(isLong ? this._draw(QUICK_WORK_MS, MAX_WORK_MS) : this._draw(MIN_WORK_MS, QUICK_WORK_MS))
    const limitBytes = this._random.draw() < SMALL_SHARE ? SMALL_BYTES : maxBytes
    const bytes = Math.round(MIN_BYTES * (limitBytes / MIN_BYTES) ** this._random.draw())
    return {
      id: `${name}-${this._callCount++}`,
      node,
      kind,
      isProxied,
      closesOnEnd,
      host: HOST,
      method: route === 'safe' ? 'GET' : 'POST',
      path: `/desk/${isLong ? 'long-' : ''}${route}/${workMs}/${bytes}`,
      workMs,
      bytes,
      deadlineMs: DEADLINE_MS,
      /** Time that the caller takes to read by its own pace, from the end of its work for slow readers, from its begin otherwise. */
      readMs: workMs + (kind === 'slow' ? MAX_READ_S * MS_PER_SECOND : 0)
    }
  }

  _draw (min, max) {
    return min + this._random.draw() * (max - min)
  }
}
