/**
 * Starts a small deployment of the project's own programs on loopback addresses, as deploy/system.toml and the templates of platform/
 * say, with an operator and targets that follow the users' protocol. Used by the scripts of the review only.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

export const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
export const HOST = 'review.example'
/** Values of the settings that a small installation of the pages states. */
const BOUNDS = { graceS: 6, exposeShare: 0.1, exposeSlack: 50, retryRatio: 0.2, budgetWindowS: 10, budgetSlack: 62 }
const HEARTBEAT_S = 1.5
const ACK_TIMEOUT_MS = 1_000
/** Fixed in the templates of platform/. */
const METRICS_PORT = 9_464

export { sleep }

/** Reads the run command of a role from deploy/system.toml. */
function readRunCommand (role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? ''
  const run = /^run = "(.*)"$/m.exec(section)?.[1]
  if (run === undefined) throw new Error(`deploy/system.toml has no run command of the role ${role}`)
  return run.split(' ')
}

/** Fills in a template of platform/ as the users' page on deployment says: {{a}}, {{a.b}}, {{a.0}} and {{a|json}}. */
function renderTemplate (file, fields) {
  return readFileSync(join(ROOT, 'platform', file), 'utf8').replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_match, path, json) => {
    const value = path.split('.').reduce((object, key) => object?.[key], fields)
    if (json !== undefined) return JSON.stringify(value)
    return Array.isArray(value) ? value.join(',') : String(value ?? '')
  })
}

async function isFree (host, port) {
  const server = createTcpServer()
  return await new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Finds a range of ports that is free on all hosts; undefined if there is none or the metrics port is in use. */
async function findPorts (hosts, count) {
  for (let attempt = 0; attempt < 10; attempt++) {
    const first = 12_000 + Math.floor(Math.random() * 15_000)
    const ports = Array.from({ length: count }, (_, index) => first + index)
    const free = await Promise.all(hosts.flatMap(host => [...ports, METRICS_PORT].map(async port => await isFree(host, port))))
    if (free.every(Boolean)) return ports
  }
  return undefined
}

/** Writes what was sent, answered and run to record.txt in the folder of the case. */
export class Record {
  constructor (folder) {
    this.file = join(folder, 'record.txt')
    this.startedMs = performance.now()
    writeFileSync(this.file, '')
  }

  write (text) {
    appendFileSync(this.file, `${((performance.now() - this.startedMs) / 1_000).toFixed(3).padStart(8)} ${text}\n`)
  }
}

/** Control VMs 127.A.1.x and nodes 127.A.2.x, each a process of its own. */
export class Deployment {
  /** @param record - receives the events of processes */
  constructor (record, { controls = 5, nodes = 3 } = {}) {
    this.record = record
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.controls = Array.from({ length: controls }, (_, index) => ({ name: `core-${index + 1}`, kind: 'control' }))
    this.nodes = Array.from({ length: nodes }, (_, index) => ({ name: `sidecar-${index + 1}`, kind: 'node' }))
    this.children = new Map()
    // Nothing that was started outlives the script, also when it is ended from outside.
    process.on('exit', () => {
      this.killAll()
      rmSync(this.folder, { recursive: true, force: true })
    })
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(2))
  }

  killAll () {
    for (const child of this.children.values()) {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    }
  }

  async plan (services) {
    const ports = await this.findAddresses(8)
    const [peers, links, inbound, outbound, ready, control, app, metrics] = ports
    this.ports = { peers, links, inbound, outbound, ready, control, app, metrics }
    this.nodes.forEach((node, index) => { node.service = services[index % services.length] })
  }

  /** Gives each machine an address of its own, at which the fixed metrics port is free, and finds ports that are free at all of them. */
  async findAddresses (count) {
    for (let attempt = 0; attempt < 50; attempt++) {
      const net = 2 + Math.floor(Math.random() * 250)
      this.controls.forEach((machine, index) => { machine.ip = `127.${net}.1.${index + 1}` })
      this.nodes.forEach((machine, index) => { machine.ip = `127.${net}.2.${index + 1}` })
      const ports = await findPorts([...this.controls, ...this.nodes].map(({ ip }) => ip), count)
      if (ports !== undefined) return ports
    }
    throw new Error('no free addresses')
  }

  /** Starts all processes for the first time. */
  startAll () {
    for (const machine of [...this.controls, ...this.nodes]) this.startProcess(machine, true)
  }

  startProcess (machine, isFirst = false) {
    const { peers, links, inbound, outbound, ready, control, app } = this.ports
    const folder = join(this.folder, machine.name)
    mkdirSync(join(folder, 'data'), { recursive: true })
    const fields = {
      'node-name': machine.name,
      ip: machine.ip,
      region: 'r-1',
      zone: 'z-1',
      service: machine.service,
      'data-dir': machine.kind === 'control' ? join(folder, 'data') : '',
      listen: {
        inbound: `${machine.ip}:${inbound}`, outbound: `${machine.ip}:${outbound}`, ready: `${machine.ip}:${ready}`, control: `${machine.ip}:${control}`
      },
      'port-range': [peers, links],
      'seed-nodes': this.controls.slice(0, 3).map(({ ip }) => `${ip}:${control}`),
      bootstrap: isFirst,
      'fault-tolerance': { machines: 2 },
      'heartbeat-s': HEARTBEAT_S,
      'app-addr': `${machine.ip}:${app}`,
      bounds: {
        'grace-s': BOUNDS.graceS,
        'expose-share': BOUNDS.exposeShare,
        'expose-slack': BOUNDS.exposeSlack,
        'retry-ratio': BOUNDS.retryRatio,
        'budget-window-s': BOUNDS.budgetWindowS,
        'budget-slack': BOUNDS.budgetSlack
      }
    }
    const settings = join(folder, 'settings.ini')
    writeFileSync(settings, renderTemplate(machine.kind === 'control' ? 'control.ini' : 'node.ini', fields))
    const log = openSync(join(folder, 'log.txt'), 'a')
    const [program, ...args] = readRunCommand(machine.kind)
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, LAGOONSWITCH_CONFIG: settings }
    })
    this.children.set(machine.name, child)
    child.on('exit', (code, signal) => {
      this.record.write(`process ${machine.name} ended: code ${code} signal ${signal}`)
    })
    this.record.write(`process ${machine.name} started at ${machine.ip}`)
  }

  kill (name, signal) {
    this.record.write(`process ${name}: ${signal}`)
    this.children.get(name)?.kill(signal)
  }

  async waitEnded (name) {
    const child = this.children.get(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    await new Promise(resolve => child.on('exit', resolve))
  }

  /** Sends an order as the users' operator does: 307 is followed twice, then another control VM is asked. */
  async order (method, path, body, { limitMs = 15_000, first = Math.floor(Math.random() * this.controls.length) } = {}) {
    const endMs = performance.now() + limitMs
    for (let index = first; performance.now() < endMs; index++) {
      const response = await this.orderAt(this.controls[index % this.controls.length].ip, method, path, body)
      if (response !== undefined && response.status < 500) return response
      await sleep(100)
    }
    return undefined
  }

  async orderAt (ip, method, path, body) {
    let url = `http://${ip}:${this.ports.control}${path}`
    try {
      for (let redirects = 0; redirects <= 2; redirects++) {
        const response = await fetch(url, {
          method,
          redirect: 'manual',
          signal: AbortSignal.timeout(ACK_TIMEOUT_MS),
          headers: body === undefined ? {} : { 'content-type': 'application/json' },
          body: body === undefined ? undefined : JSON.stringify(body)
        })
        const text = await response.text()
        if (response.status !== 307) return { status: response.status, text, url }
        url = response.headers.get('location')
      }
    } catch {
      return undefined
    }
    return undefined
  }

  async waitReady (nodes = this.nodes, limitMs = 30_000) {
    const endMs = performance.now() + limitMs
    for (;;) {
      const states = await Promise.all(nodes.map(async ({ ip }) => {
        try {
          return (await fetch(`http://${ip}:${this.ports.ready}/-/ready`, { signal: AbortSignal.timeout(1_000) })).status === 200
        } catch {
          return false
        }
      }))
      if (states.every(Boolean)) return
      if (performance.now() > endMs) throw new Error('the nodes are not ready')
      await sleep(100)
    }
  }

  readLog (name) {
    return readFileSync(join(this.folder, name, 'log.txt'), 'utf8')
  }

  async stop () {
    this.killAll()
    await Promise.all([...this.children.keys()].map(async name => await this.waitEnded(name)))
  }
}

/** Creates a configuration with one safe and one unsafe route for each service. */
export function createConfiguration (version, base, services, { timeoutS = 2, extra = [] } = {}) {
  return {
    version,
    'base-version': base,
    services: services.map(name => ({ name, 'health-path': '/health', 'max-connections': 130, protocol: 'h1', tls: false })),
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 67_108_864, 'header-timeout-s': 3, 'idle-timeout-s': 15 },
    'virtual-hosts': [{
      host: HOST,
      paths: [...services.flatMap(service => ['safe', 'unsafe'].map(kind => ({
        name: `r-${service}-${kind}`,
        'path-prefix': `/${service}/${kind}/`,
        'route-type': kind,
        'timeout-s': timeoutS,
        'target-latency-s': 0.6,
        priority: kind === 'safe' ? 2 : 1,
        service,
        'max-attempts': 2
      }))), ...extra]
    }]
  }
}

/** A sound upstream: slots, a queue, echo of the attempt id, X-Target-Instance, heartbeats. */
export class Target {
  constructor (deployment, node, options = {}) {
    this.deployment = deployment
    this.node = node
    this.options = { version: 'v1', slots: 9, queue: 36, workMs: 50, answer: undefined, id: `i-${Math.random().toString(16).slice(2, 12)}`, ...options }
    this.born = Date.now()
    this.sequence = 0
    this.state = 'ready'
    this.running = 0
    this.waiting = []
    this.runs = []
    this.address = `${node.ip}:${deployment.ports.app}`
    this.server = createServer({ keepAliveTimeout: 10_000 }, (incoming, response) => this.handle(incoming, response))
  }

  get id () {
    return this.options.id
  }

  async start () {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.deployment.ports.app, this.node.ip, resolve)
    })
    this.beatTimer = setInterval(() => { void this.beat() }, HEARTBEAT_S * 1_000)
    await this.beat()
  }

  createBeat (state = this.state) {
    return {
      address: this.address,
      info: { service: this.node.service, version: this.options.version, zone: 'z-1', 'max-concurrency': this.options.slots },
      status: { state, sequence: ++this.sequence, 'warmup-left-s': 0 },
      born: this.born
    }
  }

  async beat (body = this.createBeat()) {
    return await this.call('PUT', body)
  }

  async call (method, body) {
    try {
      const response = await fetch(`http://${this.node.ip}:${this.deployment.ports.control}/-/instances/${this.id}`, {
        method,
        signal: AbortSignal.timeout(ACK_TIMEOUT_MS),
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      await response.text()
      return response.status
    } catch {
      return 0
    }
  }

  stopBeats () {
    clearInterval(this.beatTimer)
  }

  async stop () {
    this.stopBeats()
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  handle (incoming, response) {
    const id = incoming.headers['x-attempt-id']
    if (incoming.headers['x-target-instance'] !== undefined && incoming.headers['x-target-instance'] !== this.id) {
      incoming.resume()
      response.writeHead(421, { 'x-instance-id': this.id, 'x-attempt-id': id ?? '' }).end()
      return
    }
    if (this.options.answer?.(incoming, response, this) === true) return
    incoming.resume()
    if (this.running < this.options.slots) this.run(incoming, response)
    else if (this.waiting.length < this.options.queue) this.waiting.push([incoming, response])
    else response.writeHead(503, { 'x-not-executed': '1', 'x-attempt-id': id ?? '' }).end()
  }

  async run (incoming, response) {
    const id = incoming.headers['x-attempt-id'] ?? ''
    this.running++
    this.runs.push({ id, atMs: performance.now(), url: incoming.url })
    await sleep(this.options.workMs)
    this.running--
    const next = this.waiting.shift()
    if (next !== undefined) this.run(...next)
    const body = `${incoming.method} ${incoming.url} of ${id} at ${this.id}`
    response.writeHead(200, { 'x-attempt-id': id, 'x-server-seal': `s-${id}`, 'content-length': Buffer.byteLength(body) }).end(body)
  }
}

let nextAttempt = 0

/** Sends one request of a client to the node of its machine, without retries. */
export async function send (deployment, node, { path, method = 'GET', deadlineMs = 4_000, agent = false, body, headers = {}, id = `a-${process.pid}-${nextAttempt++}` }) {
  const startedMs = performance.now()
  return await new Promise(resolve => {
    const finish = result => resolve({ id, tookMs: Math.round(performance.now() - startedMs), ...result })
    const outgoing = request({
      host: node.ip,
      port: deployment.ports.outbound,
      method,
      path,
      agent,
      headers: {
        host: HOST,
        'x-attempt-id': id,
        'x-request-deadline': String(deadlineMs),
        ...(body === undefined ? {} : { 'content-length': body.length }),
        ...headers
      }
    }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', error => finish({ status: 0, error: error.code ?? error.message }))
      response.on('end', () => finish({ status: response.statusCode, seal: response.headers['x-server-seal'], body: Buffer.concat(chunks).toString(), headers: response.headers }))
    })
    outgoing.on('error', error => finish({ status: 0, error: error.code ?? error.message }))
    const timer = setTimeout(() => outgoing.destroy(new Error('time limit')), deadlineMs + 500)
    outgoing.on('close', () => clearTimeout(timer))
    outgoing.end(body)
  })
}

export { Agent }
