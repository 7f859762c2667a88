/**
 * A target for soaks of planned stops: the path of a call states how long it works and how long its response is.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { StandInTarget } from '../stand-in-platform.mjs'

/** @returns the body of the response to a call: its ID, repeated to the length */
export function createBody (id, bytes) {
  return Buffer.alloc(bytes, `${id};`)
}

/** Records the begin and end of each run. */
export class StopTarget extends StandInTarget {
  /** @param options - as of {@link StandInTarget}, and node, the name of the node on its VM */
  constructor (options) {
    super(options)
    /** Runs in order: call, node of the target, startMs, endMs (when its response was given; undefined if it was broken off). */
    this.runTimes = []
  }

  async _run ({ incoming, response }) {
    const id = incoming.headers['x-attempt-id']
    const [work, bytes] = incoming.url.split('/').slice(-2).map(Number)
    const run = { id, node: this.options.node, startMs: performance.now(), endMs: undefined }
    this.runTimes.push(run)
    this._running++
    if (await this._readBody(incoming)) {
      await sleep(work)
      if (!response.destroyed) {
        run.endMs = performance.now()
        response.writeHead(200, { 'x-attempt-id': id, 'x-server-seal': `s-${id}`, 'content-length': bytes }).end(createBody(id, bytes))
      }
    }
    this._running--
    const next = this._waiting.shift()
    if (next !== undefined) this._run(next)
  }

  /** @returns false if the call was broken off before its end */
  async _readBody (incoming) {
    if (incoming.readableEnded) return true
    return await new Promise(resolve => incoming.on('end', () => resolve(true)).on('close', () => resolve(false)))
  }
}
