/**
 * Contains stand-ins for parts of the users' platform: targets with slots and faults, clients that follow its protocol, and an
 * operator. Tests and benchmarks use them.
 */
import { createServer, request } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'

const HEARTBEAT_INTERVAL_MS = 300
const RETRY_PAUSE_MS = 50
const DEFAULT_CLIENT_PAUSE_MS = 20
const MAX_REDIRECTS = 2

/**
 * Faulty responses of a target. Each function gets the request, the response and the body that a correct response would have.
 */
export const FAULTS = {
  /** Ends before its content length is reached. */
  short: (_request, response, body) => {
    response.writeHead(200, { 'content-length': body.length + 9 }).write(body)
    setTimeout(() => response.socket?.destroy(), 5)
  },
  /** Has no content length and ends when the connection closes. */
  unframed: (incoming, response, body) => {
    const id = incoming.headers['x-attempt-id']
    response.socket.end(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Seal: s-${id}\r\nConnection: close\r\n\r\n${body}`)
  },
  /** Is sent twice. */
  extra: (incoming, response, body) => {
    const id = incoming.headers['x-attempt-id']
    const rawResponse = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Seal: s-${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
    response.socket.write(rawResponse + rawResponse)
  },
  /** Isn't HTTP. */
  rubbish: (_request, response) => { response.socket.write('rubbish\r\n\r\n') },
  /** Is never sent: the connection closes after the call has run. */
  lost: (_request, response) => { response.socket.destroy() },
  /** Has status 500. */
  error: (incoming, response) => { response.writeHead(500, { 'x-attempt-id': incoming.headers['x-attempt-id'] }).end('failed') }
}

/** A target with slots and a queue, which announces itself to the node on its VM. */
export class StandInTarget {
  /**
   * @param options - id, service, version, host, port, announcedPort (of a proxy before the target, optional),
   * beats (URL of the node's listener for announcements), slots,
   * queue (maximum length), workMs (mean time of a call), draw (returns random numbers), fault (a key of {@link FAULTS}, optional) and
   * share (probability of the fault)
   */
  constructor (options) {
    this.options = { version: 'v1', slots: 9, queue: 36, workMs: 50, share: 0, draw: Math.random, bornMs: Date.now(), ...options }
    this.runs = new Map()
    this.refusals = 0
    this.maxConcurrency = 0
    this._running = 0
    this._waiting = []
    this._sequence = 0
    this._state = 'ready'
    this._server = createServer((incoming, response) => this._handle(incoming, response))
  }

  async start () {
    await new Promise(resolve => this._server.listen(this.options.port, this.options.host, resolve))
    this._heartbeatTimer = setInterval(() => { this.beat().catch(() => undefined) }, HEARTBEAT_INTERVAL_MS)
    await this.beat().catch(() => undefined)
  }

  /**
   * Announces the target once.
   * @param sequence - a lower one than the last imitates a delayed announcement
   * @returns HTTP status
   */
  async beat (sequence = ++this._sequence, state = this._state) {
    const { id, service, version, host, port, announcedPort = port, slots, bornMs, beats } = this.options
    return (await fetch(`${beats}/-/instances/${id}`, {
      method: 'PUT',
      body: JSON.stringify({
        address: `${host}:${announcedPort}`,
        info: { service, version, zone: 'z', 'max-concurrency': slots },
        status: { state, sequence, 'warmup-left-s': 0 },
        born: bornMs
      })
    })).status
  }

  /** Announces that the target is draining, until the node acknowledges it. */
  async leave () {
    this._state = 'draining'
    while (await this.beat().catch(() => 0) !== 200) await sleep(RETRY_PAUSE_MS)
  }

  /**
   * Withdraws the target once and stops its announcements; it serves on.
   * @returns HTTP status
   */
  async withdraw () {
    clearInterval(this._heartbeatTimer)
    return (await fetch(`${this.options.beats}/-/instances/${this.options.id}`, { method: 'DELETE' })).status
  }

  async stop () {
    clearInterval(this._heartbeatTimer)
    this._server.closeAllConnections()
    await new Promise(resolve => this._server.close(resolve))
  }

  _handle (incoming, response) {
    const { id, slots, queue } = this.options
    if (incoming.headers['x-target-instance'] !== id) {
      response.writeHead(421, { 'x-instance-id': id }).end()
      return
    }
    const job = { incoming, response }
    incoming.resume()
    if (this._running < slots) this._run(job)
    else if (this._waiting.length < queue) this._waiting.push(job)
    else {
      this.refusals++
      response.writeHead(503, { 'x-not-executed': '1' }).end()
    }
  }

  async _run ({ incoming, response }) {
    const { workMs, fault, share, draw } = this.options
    const id = incoming.headers['x-attempt-id']
    this._running++
    this.maxConcurrency = Math.max(this.maxConcurrency, this._running)
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
    await sleep(workMs * (0.5 + draw()))
    this._running--
    const next = this._waiting.shift()
    if (next !== undefined) this._run(next)
    const body = `${incoming.method} ${incoming.url} of ${id}`
    if (fault !== undefined && draw() < share) FAULTS[fault](incoming, response, body)
    else response.writeHead(200, { 'x-attempt-id': id, 'x-server-seal': `s-${id}`, 'content-length': body.length }).end(body)
  }
}

/** An operator that retries an order at the next control VM until it gets a conclusive response. */
export class StandInOperator {
  /** @param urls - URLs of the control VMs */
  constructor (urls) {
    this.urls = urls
    this._next = 0
  }

  /**
   * Sends an order until it gets a conclusive response.
   * @returns status and text of the first response whose status is below 500
   * @throws Error if there is none within limitMs
   */
  async order (method, path, body, limitMs = 20_000) {
    const endMs = performance.now() + limitMs
    while (performance.now() < endMs) {
      const response = await this._send(method, path, body)
      if (response !== undefined && response.status < 500) return response
      await sleep(RETRY_PAUSE_MS)
    }
    throw new Error(`no conclusive response to ${method} ${path} within ${limitMs} ms`)
  }

  async _send (method, path, body) {
    let url = this.urls[this._next++ % this.urls.length] + path
    try {
      for (let redirects = 0; redirects <= MAX_REDIRECTS; redirects++) {
        const response = await fetch(url, {
          method, redirect: 'manual', signal: AbortSignal.timeout(1_000), body: body === undefined ? undefined : JSON.stringify(body)
        })
        const text = await response.text()
        if (response.status !== 307) return { status: response.status, text }
        url = response.headers.get('location')
      }
    } catch {
      return undefined
    }
    return undefined
  }
}

/** A client that retries as the platform's clients do, and records responses that don't match their request. */
export class StandInClient {
  /** @param options - host and port of the node, and name, the prefix of the attempt ids */
  constructor (options) {
    this.options = options
    this.broken = []
    this._idCount = 0
  }

  /**
   * Sends a call, with retries.
   * @returns outcome (`served`, `refused` or `failed`), tries, and time taken in milliseconds
   */
  async call ({ host, path, method = 'GET', isSafe = true, limitMs = 4_000, retries = 2 }) {
    const startedMs = performance.now()
    const getTimeLeftMs = () => limitMs - (performance.now() - startedMs)
    let outcome = 'failed'
    let tries = 0
    while (tries <= retries && getTimeLeftMs() > 0) {
      const id = `${this.options.name}-${this._idCount++}`
      const response = await this._sendAttempt(id, { host, path, method, leftMs: getTimeLeftMs() })
      tries++
      if (response.status === 200) {
        outcome = 'served'
        if (response.body !== `${method} ${path} of ${id}` || response.seal !== `s-${id}`) this.broken.push({ rule: 'MIXED', id, response })
        break
      }
      const isRefusal = [408, 421, 429, 503].includes(response.status)
      outcome = isRefusal ? 'refused' : 'failed'
      if (!isSafe && !isRefusal) break
      const waitMs = response.retryAfterMs ?? DEFAULT_CLIENT_PAUSE_MS
      await sleep(Math.min(waitMs, getTimeLeftMs() / 3))
    }
    return { outcome, tries, tookMs: performance.now() - startedMs }
  }

  async _sendAttempt (id, { host, path, method, leftMs }) {
    return await new Promise(resolve => {
      const outgoing = request({
        host: this.options.host,
        port: this.options.port,
        method,
        path,
        agent: false,
        timeout: leftMs,
        headers: { host, 'x-attempt-id': id, 'x-request-deadline': String(Math.floor(leftMs)) }
      }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => resolve({ status: 0 }))
        response.on('end', () => {
          const retryAfter = response.headers['retry-after']
          resolve({
            status: response.statusCode,
            body: Buffer.concat(chunks).toString(),
            seal: response.headers['x-server-seal'],
            retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000
          })
        })
      })
      outgoing.on('timeout', () => outgoing.destroy())
      outgoing.on('error', () => resolve({ status: 0 }))
      outgoing.end()
    })
  }
}
