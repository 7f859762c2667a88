/**
 * Case 8: one ping of another writer, whose bytes can't be read, ends a node and all requests on it.
 */
import { Agent, request } from 'node:http'
import { BROKEN, Fleet, HELD, NOT_RUN, Record, Upstream, createConfiguration, performance, send, sleep } from '../lib-2/fleet.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const CLIENTS = 8
const WORK_MS = 6_000
const PING_BYTES = 16_000_000
const MAX_LOST = 3
const record = new Record(process.env.RECORD)
const fleet = new Fleet({ controls: 3, nodes: 2 })

/** A client that keeps its connection for many requests. */
class KeptClient {
  constructor (index) {
    this.index = index
    this.count = 0
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
  }

  async call (method) {
    const id = `k${this.index}-${this.count++}`
    const sentMs = performance.now()
    const outcome = await new Promise(resolve => {
      const outgoing = request({
        ...fleet.outbound('n1'),
        agent: this.agent,
        method,
        path: '/alpha/unsafe/x',
        headers: { host: 'h.example', 'x-attempt-id': id, 'x-request-deadline': '10000', 'content-length': 0 }
      }, response => {
        response.resume()
        response.on('error', () => resolve({ status: response.statusCode, isComplete: false }))
        response.on('end', () => resolve({ status: response.statusCode, isComplete: response.complete }))
      })
      outgoing.on('error', error => resolve({ status: 0, error: error.code }))
      outgoing.end()
    })
    record.add(`client ${this.index}: sent ${id} ${method} /alpha/unsafe/x, answered ${outcome.status === 0 ? `nothing, connection ended (${outcome.error})` : outcome.status}`, sentMs)
    return { id, ...outcome }
  }
}

async function play () {
  await fleet.start(createConfiguration(1, 0, ['alpha'], { timeoutS: 10, objectiveS: 8 }))
  // The upstream is beside the other node, so that it is sound all the while.
  const upstream = new Upstream({
    id: 'i-n2',
    service: 'alpha',
    host: fleet.machines.get('n2').host,
    port: fleet.ports.app,
    beats: fleet.beats('n2'),
    slots: 16,
    onRun: run => record.add(`i-n2: runs ${run.attempt}`, run.atMs)
  })
  await upstream.start()
  await sleep(4_000)
  const clients = Array.from({ length: CLIENTS }, (_, index) => new KeptClient(index))
  const first = await Promise.all(clients.map(async client => await client.call('POST')))
  if (first.some(({ status }) => status !== 200) || fleet.ends.length > 0) return NOT_RUN

  upstream.options.workMs = WORK_MS
  const running = Promise.all(clients.map(async client => await client.call('POST')))
  await sleep(500)
  if (HAS_TROUBLE) {
    const start = '{"address":"127.0.0.1:1","x":['
    const ping = start + '{},'.repeat((PING_BYTES - start.length) / 3)
    record.add(`another writer: PUT /-/instances/i-other at n1, ${ping.length} bytes, JSON that is cut short`)
    const reply = await send(`${fleet.beats('n1')}/-/instances/i-other`, 'PUT', ping, 8_000).catch(error => ({ status: error.message }))
    record.add(`another writer: answered ${reply.status}`)
  }
  const outcomes = await running
  const lost = outcomes.filter(({ id, status }) => status === 0 && upstream.runs.some(run => run.attempt === id))
  record.add(`requests passed on to i-n2 whose kept connections ended without an answer: ${lost.length}`)
  for (const end of fleet.ends) record.add(`${end.name} ended by itself: ${end.signal ?? end.code}`)
  return lost.length > MAX_LOST ? BROKEN : HELD
}

let result = NOT_RUN
try {
  result = await play()
} catch (error) {
  record.add(`the case could not run: ${error.message}`)
} finally {
  await fleet.stop()
  record.add(`result ${result}`)
  record.write()
}
process.exit(result)
