/**
 * A target of the soak, behind a proxy, that records when each call ran and for which account. When it is full it never answers, nor
 * any later call on that connection.
 */
import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInTarget } from '../stand-in-platform.mjs'

const WITHDRAWAL_PAUSE_MS = 200
const WITHDRAWAL_LIMIT_MS = 5_000

/** Records its runs and the acknowledgement of its withdrawal. */
export class SoakTarget extends StandInTarget {
  /** @param options - as of {@link StandInTarget}, and isLeaked, which tells whether a text contains a key */
  constructor (options) {
    super(options)
    /** Time of each run, its call and account; times are monotonic milliseconds. */
    this.runTimes = []
    this.violations = []
    /** Calls that it takes at once; beyond that it hangs. */
    this.capacity = this.options.slots
    this.hangs = 0
    this._hungSockets = new Set()
    this.withdrawnMs = undefined
  }

  _handle (incoming, response) {
    const { id, isLeaked } = this.options
    const callId = incoming.headers['x-attempt-id']
    if (isLeaked(incoming.rawHeaders.join('\n')) || incoming.headers.authorization !== undefined) this.violations.push(`LEAK: ${callId} brought a key to ${id}`)
    if (this._hungSockets.has(incoming.socket)) this.violations.push(`REUSED: ${callId} was sent to ${id} on a connection that had hung`)
    else if (incoming.headers['x-target-instance'] !== id) super._handle(incoming, response)
    else if (this._running + this._hungSockets.size < this.capacity) super._handle(incoming, response)
    else {
      // Its sender can't know that it doesn't run.
      this._recordRun(incoming)
      this._countRun(callId)
      this.hangs++
      incoming.resume()
      this._hungSockets.add(incoming.socket)
      incoming.socket.on('close', () => this._hungSockets.delete(incoming.socket))
    }
  }

  async _run (job) {
    const { incoming } = job
    this._recordRun(incoming)
    if (incoming.headers['x-soak-digest'] !== undefined && !await this._readBody(incoming)) return
    await super._run(job)
  }

  _recordRun ({ headers }) {
    this.runTimes.push({ id: headers['x-attempt-id'], account: headers['x-tenant'], atMs: performance.now() })
  }

  _countRun (id) {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
  }

  /** Reads the body of an upload, which takes a slot. @returns false if the call was broken off, which counts as a run */
  async _readBody (incoming) {
    const { 'x-attempt-id': id, 'x-soak-digest': digest } = incoming.headers
    const hash = createHash('sha256')
    this._running++
    incoming.on('data', chunk => hash.update(chunk))
    const isEnded = await new Promise(resolve => incoming.on('end', () => resolve(true)).on('close', () => resolve(false)))
    this._running--
    if (!isEnded) this._countRun(id)
    else if (hash.digest('hex') !== digest) this.violations.push(`BODY: the body of ${id} did not arrive whole`)
    return isEnded
  }

  /** Withdraws by an announcement that it drains, or by a removal, until that is acknowledged or a time limit has passed. */
  async withdrawFully (isDraining) {
    if (isDraining) this._state = 'draining'
    const endMs = performance.now() + WITHDRAWAL_LIMIT_MS
    while (performance.now() < endMs) {
      const status = await (isDraining ? this.beat() : this.withdraw()).catch(() => 0)
      if (status === 200) {
        this.withdrawnMs = performance.now()
        return
      }
      await sleep(WITHDRAWAL_PAUSE_MS)
    }
  }
}
