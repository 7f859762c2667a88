/**
 * A simulated platform whose targets record the headers of their requests and make nested calls, and whose logs are kept.
 */
// @ts-expect-error the simulated platform is plain JavaScript, shared with the benchmarks
import { HOST, PlatformWorld, createConfiguration } from '../../bench/platform-world.mjs'
import { createServer, request, type IncomingHttpHeaders, type ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { ILog, ILogFields } from '@lagoonswitch/common'
import { findPorts, waitFor } from './World.js'

const HEARTBEAT_INTERVAL_MS = 300

/** Tenant in a configuration. */
export interface ITenant {
  name: string
  'api-keys': string[]
  priority?: number
}

/** Configuration as it is sent; routes are `/desk/safe/` and `/desk/unsafe/`, and `/open/safe/` and `/open/unsafe/` without a key. */
export interface IConfiguration {
  version: number
  tenants?: ITenant[]
  'virtual-hosts': Array<{ paths: Array<{ name: string, 'allow-anonymous'?: boolean }> }>
}

/** Request as a target received it. */
export interface IReceived {
  path: string
  headers: IncomingHttpHeaders
}

export interface IReply {
  status: number
  headers: IncomingHttpHeaders
  body: string
}

export function createTenantConfiguration (version: number, base: number, tenants?: ITenant[]): IConfiguration {
  const configuration = createConfiguration(version, base, ['desk', 'open'], 3, 8) as IConfiguration
  for (const { paths } of configuration['virtual-hosts']) {
    for (const path of paths) if (path.name.startsWith('r-open')) path['allow-anonymous'] = true
  }
  return tenants === undefined ? configuration : { ...configuration, tenants }
}

class KeptLog implements ILog {
  constructor (private readonly _lines: string[], private readonly _process: string) {}
  debug (event: string, fields?: ILogFields): void { this._add(event, fields) }
  info (event: string, fields?: ILogFields): void { this._add(event, fields) }
  warn (event: string, fields?: ILogFields): void { this._add(event, fields) }
  error (event: string, fields?: ILogFields): void { this._add(event, fields) }
  private _add (event: string, fields: ILogFields = {}): void {
    this._lines.push(JSON.stringify({ process: this._process, event, ...fields }))
  }
}

export class AccountWorld {
  /** One line of JSON for each event of all processes. */
  readonly logLines: string[] = []
  readonly platform = new PlatformWorld((name: string) => new KeptLog(this.logLines, name))
  readonly received: IReceived[] = []
  /** Responses to requests whose path ends in `/hold`, until a test ends them. */
  readonly held: ServerResponse[] = []
  readonly heldApart: ServerResponse[] = []
  private readonly _closers: Array<() => Promise<void>> = []
  private _idCount = 0

  static async start (configuration: IConfiguration, controls = 1): Promise<AccountWorld> {
    const world = new AccountWorld()
    await world.platform.start(controls, 2, configuration)
    return world
  }

  /** Publishes a configuration; returns its HTTP status and text. */
  async publish (configuration: IConfiguration): Promise<{ status: number, text: string }> {
    return await this.platform.operator.order('PUT', '/-/config', configuration)
  }

  async readConfiguration (): Promise<unknown> {
    return JSON.parse((await this.platform.operator.order('GET', '/-/config')).text)
  }

  /** Publishes a configuration and waits until all nodes use it. */
  async publishEverywhere (configuration: IConfiguration): Promise<void> {
    const { status, text } = await this.publish(configuration)
    if (status !== 200) throw new Error(text)
    await waitFor('the configuration at all nodes', () => [...this.platform.processes.values()].every(process =>
      process.node === undefined || process.node.store.view.publication?.number === configuration.version))
  }

  createId (): string {
    return `id${this._idCount++}`
  }

  getPort (): number {
    return this.platform.ports[2]
  }

  /**
   * Adds a target: a request for `/hold` is answered when the test ends it, one for `/nested` makes a call of its own first.
   * Requests for `/hold-apart` are kept in {@link heldApart}.
   */
  async addTarget (node: string, service: string, slots = 4): Promise<void> {
    const host = `127.0.2.${node.slice(1)}`
    const [port] = await findPorts(1)
    const id = `${node}-${service}`
    const server = createServer((incoming, response) => {
      const { url = '', headers } = incoming
      this.received.push({ path: url, headers })
      incoming.resume()
      const callId = String(headers['x-attempt-id'])
      response.setHeader('x-attempt-id', callId)
      if (url.endsWith('/hold')) this.held.push(response)
      else if (url.endsWith('/hold-apart')) this.heldApart.push(response)
      else if (url.endsWith('/nested')) {
        void this.call(node, '/desk/safe/inner', { 'x-attempt-id': `${callId}.1`, 'x-tenant': 'forged' })
          .then(inner => response.end(`inner ${inner.status}`))
      } else response.end('served')
    })
    await new Promise<void>(resolve => server.listen(port, host, resolve))
    let sequence = 0
    const announce = async (): Promise<void> => {
      await fetch(`http://${host}:${this.platform.ports[3]}/-/instances/${id}`, {
        method: 'PUT',
        body: JSON.stringify({
          address: `${host}:${port}`,
          info: { service, version: 'v1', zone: 'z', 'max-concurrency': slots },
          status: { state: 'ready', sequence: ++sequence, 'warmup-left-s': 0 },
          born: 1
        })
      }).catch(() => undefined)
    }
    const timer = setInterval(() => { void announce() }, HEARTBEAT_INTERVAL_MS)
    this._closers.push(async () => {
      clearInterval(timer)
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    })
    await announce()
    await waitFor(`${id} at all nodes`, () => [...this.platform.processes.values()].every(process =>
      process.node === undefined || process.node.endpoints.getRecord(id) !== undefined))
  }

  /** Sends a call; a key of undefined sends no Authorization header. */
  async call (node: string, path: string, headers: Record<string, string> = {}, key?: string): Promise<IReply> {
    return await new Promise((resolve, reject) => {
      const outgoing = request({
        host: `127.0.2.${node.slice(1)}`,
        port: this.getPort(),
        path,
        agent: false,
        headers: {
          host: HOST, 'x-attempt-id': this.createId(), ...(key === undefined ? {} : { authorization: `Bearer ${key}` }), ...headers
        }
      }, response => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk))
        response.on('error', reject)
        response.on('end', () => resolve({
          status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString()
        }))
      })
      outgoing.on('error', reject)
      outgoing.end()
    })
  }

  /** Sends a request with header lines as they are, one byte for each character; returns the status. */
  async sendLines (node: string, path: string, lines: readonly string[]): Promise<number> {
    return await new Promise((resolve, reject) => {
      const socket = connect(this.getPort(), `127.0.2.${node.slice(1)}`)
      let text = ''
      socket.on('data', chunk => { text += chunk.toString('latin1') })
      socket.on('error', reject)
      socket.on('close', () => resolve(Number(text.split(' ')[1])))
      const head = [`GET ${path} HTTP/1.1`, `Host: ${HOST}`, `X-Attempt-Id: ${this.createId()}`, 'Connection: close', ...lines, '', '']
      socket.write(Buffer.from(head.join('\r\n'), 'latin1'))
    })
  }

  /** Reads the metrics page of a node. */
  async readMetrics (node: string): Promise<string> {
    return await (await fetch(`http://127.0.2.${node.slice(1)}:${this.platform.ports[6]}/metrics`)).text()
  }

  async stop (): Promise<void> {
    for (const response of [...this.held, ...this.heldApart]) response.end()
    await Promise.all(this._closers.map(async close => await close()))
    await this.platform.stop()
  }
}
