/**
 * A client of the soak that calls through one kept connection, and goes on using it until it is closed.
 */
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { HOST } from '../platform-world.mjs'

const DEADLINE_MS = 1_500
/** Time after the deadline after which the client gives up by itself. */
const GIVE_UP_MS = 500
const PAUSE_MS = 40
const REFUSALS = [408, 421, 429, 503]

/** Sends one call after the other and records how each ended. */
export class SoakClient {
  /** @param options - name, host and port of the node or a proxy before it, and isSafe */
  constructor (options) {
    this.options = options
    this.calls = []
    this.isStopped = false
    this._agent = new Agent({ keepAlive: true, maxSockets: 1 })
  }

  async run () {
    while (!this.isStopped) {
      await this.callOnce()
      await sleep(PAUSE_MS)
    }
    this._agent.destroy()
  }

  /** @returns the call as it is recorded: id, status (0 without a response), isWhole and isRefused */
  async callOnce () {
    const { name, isSafe } = this.options
    const id = `${name}-${this.calls.length}`
    const [method, path] = isSafe ? ['GET', '/desk/safe/x'] : ['POST', '/desk/unsafe/x']
    const call = { id, isSafe, status: 0, isWhole: false, isRefused: false }
    this.calls.push(call)
    const response = await this._send(id, method, path)
    call.status = response.status
    call.isWhole = response.body === `${method} ${path} of ${id}` && response.seal === `s-${id}`
    call.isRefused = REFUSALS.includes(response.status)
    return call
  }

  async _send (id, method, path) {
    const { host, port } = this.options
    return await new Promise(resolve => {
      const headers = { host: HOST, 'x-attempt-id': id, 'x-request-deadline': String(DEADLINE_MS) }
      const outgoing = request({ host, port, method, path, agent: this._agent, headers }, response => {
        let body = ''
        response.on('data', chunk => { body += chunk })
        response.on('error', () => resolve({ status: 0 }))
        response.on('end', () => resolve({ status: response.statusCode, seal: response.headers['x-server-seal'], body }))
      })
      const timer = setTimeout(() => outgoing.destroy(), DEADLINE_MS + GIVE_UP_MS)
      outgoing.on('error', () => resolve({ status: 0 }))
      outgoing.on('close', () => {
        clearTimeout(timer)
        resolve({ status: 0 })
      })
      outgoing.end()
    })
  }
}
