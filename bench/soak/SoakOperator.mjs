/**
 * The operator of the soak: publishes one configuration after the other and reads them back at any control VM.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createConfiguration } from '../platform-world.mjs'

const REQUEST_TIMEOUT_MS = 1_000
const PUBLISH_PAUSE_MS = 150
const READ_PAUSE_MS = 100
/** Time after an acknowledgement from which no older configuration may be read. */
const APPLY_MS = 2_000

/** Records what was acknowledged, and what contradicts it. */
export class SoakOperator {
  /**
   * @param urls - of the control VMs
   * @param random - source of random numbers
   * @param keys - accounts, which change with the configurations
   */
  constructor (urls, random, keys) {
    this.violations = []
    this.acknowledged = []
    this.isStopped = false
    this._urls = urls
    this._random = random
    this._keys = keys
    /** Version of the last acknowledged configuration, and of the last one that was sent. */
    this._base = 0
    this._sent = 0
  }

  async publishRepeatedly () {
    while (!this.isStopped) {
      await this.publishOnce()
      await sleep(PUBLISH_PAUSE_MS)
    }
  }

  /** Sends the next configuration until it is acknowledged; the same one is sent again if the last response was lost. */
  async publishOnce () {
    if (this._sent === this._base) this._sent += 1 + Math.floor(this._random.draw() * 3)
    this._pendingBody ??= JSON.stringify(this._createConfiguration())
    const response = await this._request('PUT', this._pendingBody)
    if (response.status === 200) {
      this._base = this._sent
      this._pendingBody = undefined
      this._keys.acknowledge()
      this.acknowledged.push({ version: this._sent, atMs: performance.now() })
    } else if (response.status >= 400 && response.status < 500) {
      this.violations.push(`CONFIG: version ${this._sent} on top of ${this._base} was refused with ${response.status}: ${response.text}`)
      this.isStopped = true
    }
  }

  _createConfiguration () {
    const configuration = createConfiguration(this._sent, this._base, ['desk'], 0.3, 1 + this._random.draw())
    const [{ paths }] = configuration['virtual-hosts']
    const [safe, unsafe] = paths
    paths.push({ ...unsafe, name: 'r-upload', 'path-prefix': '/desk/upload/', 'route-type': 'upload' },
      { ...safe, name: 'r-open', 'path-prefix': '/desk/open/', 'allow-anonymous': true })
    return { ...configuration, tenants: this._keys.changeTenants() }
  }

  async readRepeatedly () {
    while (!this.isStopped) {
      await this.readOnce()
      await sleep(READ_PAUSE_MS)
    }
  }

  /** @returns the version read, or undefined if no control VM could be sure of it */
  async readOnce () {
    const sentMs = performance.now()
    const newest = this.acknowledged.findLast(({ atMs }) => atMs < sentMs - APPLY_MS)?.version ?? 0
    const response = await this._request('GET')
    if (response.status !== 200) return undefined
    const { version } = JSON.parse(response.text)
    if (version < newest) this.violations.push(`CONFIG: version ${version} was read at ${response.url}, ${newest} was acknowledged before`)
    return version
  }

  async _request (method, body) {
    const url = this._urls[Math.floor(this._random.draw() * this._urls.length)]
    try {
      const response = await fetch(`${url}/-/config`, { method, body, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
      return { status: response.status, text: await response.text(), url: response.url }
    } catch {
      return { status: 0, text: '', url }
    }
  }
}
