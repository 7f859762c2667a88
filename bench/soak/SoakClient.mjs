/**
 * A client of the soak that calls through one kept connection, and goes on using it until it is closed.
 */
import { createHash, randomBytes } from 'node:crypto'
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { HOST } from '../platform-world.mjs'

const DEADLINE_MS = 1_500
/** Time after the deadline after which the client gives up by itself. */
const GIVE_UP_MS = 500
const PAUSE_MS = 40
const REFUSALS = [401, 408, 421, 429, 503]
const MIN_UPLOAD_BYTES = 60_000
const MAX_UPLOAD_BYTES = 360_000

/** Sends one call after the other and records how each ended. */
export class SoakClient {
  /**
   * @param options - name, node, host and port of the node or a proxy before it, kind (safe, unsafe, upload or open),
   * getKey (returns the key of the next call, or undefined for none), isLeaked (tells whether a text contains a key) and pauseMs
   */
  constructor (options) {
    this.options = { pauseMs: PAUSE_MS, ...options }
    this.calls = []
    this.isStopped = false
    this._agent = new Agent({ keepAlive: true, maxSockets: 1 })
  }

  async run () {
    while (!this.isStopped) {
      await this.callOnce()
      await sleep(this.options.pauseMs)
    }
    this._agent.destroy()
  }

  /** @returns the call as it is recorded: id, key, status (0 without a response), isWhole and isRefused, and times in milliseconds */
  async callOnce (key = this.options.getKey()) {
    const { name, node, kind, isLeaked } = this.options
    const id = `${name}-${this.calls.length}`
    const [method, path] = [kind === 'safe' || kind === 'open' ? 'GET' : 'POST', `/desk/${kind}/x`]
    const call = {
      id, node, key, isAnonymous: kind === 'open', isSafe: method === 'GET', status: 0, startMs: performance.now(), isWhole: false, isRefused: false
    }
    this.calls.push(call)
    const response = await this._send(id, method, path, key)
    call.endMs = performance.now()
    call.status = response.status
    call.isWhole = response.body === `${method} ${path} of ${id}` && response.seal === `s-${id}`
    call.isRefused = REFUSALS.includes(response.status)
    call.isLeaking = isLeaked(response.text ?? '')
    return call
  }

  async _send (id, method, path, key) {
    const { host, port, kind } = this.options
    const size = MIN_UPLOAD_BYTES + Math.floor(Math.random() * (MAX_UPLOAD_BYTES - MIN_UPLOAD_BYTES))
    const upload = kind === 'upload' ? randomBytes(size) : undefined
    return await new Promise(resolve => {
      const headers = {
        host: HOST,
        'x-attempt-id': id,
        'x-request-deadline': String(DEADLINE_MS),
        // Whatever a caller states as its account must not reach a target.
        'x-tenant': 'forged',
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(upload === undefined ? {} : { 'x-soak-digest': createHash('sha256').update(upload).digest('hex'), 'content-length': size })
      }
      const outgoing = request({ host, port, method, path, agent: this._agent, headers }, response => {
        let body = ''
        response.on('data', chunk => { body += chunk })
        response.on('error', () => resolve({ status: 0 }))
        response.on('end', () => resolve({
          status: response.statusCode, seal: response.headers['x-server-seal'], body, text: response.rawHeaders.join('\n') + body
        }))
      })
      const timer = setTimeout(() => outgoing.destroy(), DEADLINE_MS + GIVE_UP_MS)
      outgoing.on('error', () => resolve({ status: 0 }))
      outgoing.on('close', () => {
        clearTimeout(timer)
        resolve({ status: 0 })
      })
      outgoing.end(upload)
    })
  }
}
