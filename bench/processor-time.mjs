/**
 * Measures CPU time and wake-ups of threads, by role and per call, of bundled processes that use the platform's interface, with
 * stand-in targets. Run `npm run bundle` first. Usage: node bench/processor-time.mjs [SECONDS] [BUNDLE...]; several bundles are
 * measured one after the other, each with processes of its own. BENCH_CASES lists the cases (idle, steady, far, crowd);
 * BENCH_NODE_FLAGS gives Node.js flags for the processes, such as --cpu-prof.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@lagoonswitch/common'
import { findPorts, waitUntil } from './harness.mjs'
import { HOST, createConfiguration } from './platform-world.mjs'
import { StandInOperator, StandInTarget } from './stand-in-platform.mjs'

const DURATION_S = Number(process.argv[2] ?? 8)
const BUNDLES = process.argv.length > 3 ? process.argv.slice(3) : ['target/lagoonswitch.cjs']
const CASES = (process.env.BENCH_CASES ?? 'idle,steady,far,crowd').split(',')
const NODE_FLAGS = process.env.BENCH_NODE_FLAGS?.split(' ') ?? []
const CONTROLS = 3
const NODES = 4
const ZONES = 2
const SLOTS = 13
const WORK_MS = 68
/** Calls per second at each node; a target can serve about 190. */
const STEADY_PER_S = 100
const CROWD_PER_S = 250
const WARM_UP_S = 4
const CALL_DEADLINE_MS = 800
const OBJECTIVE_S = 0.2
/** One call in this many uses a new connection. */
const CALLS_PER_NEW_CONNECTION = 2
const NS_PER_MS = 1e6

/** @returns CPU time in milliseconds and voluntary context switches, summed over all threads of a process */
function readUsage ({ pid }) {
  let cpuMs = 0
  let wakes = 0
  for (const task of readdirSync(`/proc/${pid}/task`)) {
    cpuMs += Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]) / NS_PER_MS
    wakes += Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/task/${task}/status`, 'utf8'))[1])
  }
  return { cpuMs, wakes }
}

class World {
  constructor (bundle) {
    this.bundle = bundle
    this.folder = mkdtempSync(join(tmpdir(), 'processor-time-'))
    this.children = new Map()
    this.targets = []
    this.random = new SeededRandom(11)
    this.outcomes = {}
  }

  async start (selectTargetNodes) {
    this.ports = await findPorts(7)
    this.controls = Array.from({ length: CONTROLS }, (_, index) => `127.0.1.${index + 1}`)
    this.controls.forEach((host, index) => this._spawn(`c${index + 1}`, host, index, 'roles = control'))
    this.nodes = Array.from({ length: NODES }, (_, index) => ({ name: `n${index + 1}`, host: `127.0.2.${index + 1}` }))
    this.nodes.forEach(({ name, host }, index) => this._spawn(name, host, index, 'roles = node'))
    const operator = new StandInOperator(this.controls.map(host => `http://${host}:${this.ports[1]}`))
    await operator.order('PUT', '/-/config', createConfiguration(1, 0, ['desk'], OBJECTIVE_S))
    for (const { name, host } of this.nodes) {
      await waitUntil(`readiness of ${name}`, async () => (await fetch(`http://${host}:${this.ports[4]}/-/ready`)).status === 200)
    }
    for (const { name, host } of selectTargetNodes(this.nodes)) {
      const [port] = await findPorts(1)
      const target = new StandInTarget({
        host,
        port,
        beats: `http://${host}:${this.ports[3]}`,
        id: `t-${name}`,
        service: 'desk',
        slots: SLOTS,
        queue: SLOTS,
        workMs: WORK_MS,
        draw: () => this.random.draw()
      })
      this.targets.push(target)
      await target.start()
    }
    for (const node of this.nodes) {
      node.agent = new Agent({ keepAlive: true, maxSockets: 200 })
      await waitUntil(`a call at ${node.name}`, async () => await this.call(node, false) === 200)
    }
  }

  /**
   * Sends calls to all nodes, at random intervals.
   * @param perNode - mean rate at each node, in calls per second
   * @returns number of calls
   */
  async load (seconds, perNode) {
    const endMs = performance.now() + seconds * 1_000
    const open = new Set()
    let nextMs = performance.now()
    let callCount = 0
    while (performance.now() < endMs) {
      while (nextMs <= performance.now()) {
        nextMs += -Math.log(1 - this.random.draw()) * 1_000 / (perNode * NODES)
        const call = this.call(this.nodes[callCount % NODES], callCount % CALLS_PER_NEW_CONNECTION === 0).then(status => {
          this.outcomes[status] = (this.outcomes[status] ?? 0) + 1
          open.delete(call)
        })
        open.add(call)
        callCount++
      }
      await sleep(1)
    }
    await Promise.all(open)
    return callCount
  }

  async call ({ host, agent }, isNewConnection) {
    const isSafe = this.random.draw() < 0.7
    const id = `a${Math.floor(this.random.draw() * 1e12).toString(16)}`
    return await new Promise(resolve => {
      const outgoing = request({
        host,
        port: this.ports[2],
        agent: isNewConnection ? false : agent,
        method: isSafe ? 'GET' : 'POST',
        path: `/desk/${isSafe ? 'safe' : 'unsafe'}/x`,
        headers: { host: HOST, 'x-attempt-id': id, 'x-request-deadline': String(CALL_DEADLINE_MS), ...(isSafe ? {} : { 'content-length': 1_000 }) }
      }, response => {
        response.resume()
        response.on('error', () => resolve(0))
        response.on('end', () => resolve(response.statusCode))
      })
      outgoing.on('error', () => resolve(0))
      outgoing.end(isSafe ? undefined : Buffer.alloc(1_000, 'b'))
    })
  }

  async stop () {
    await Promise.all(this.targets.map(async target => await target.stop()))
    await Promise.all([...this.children.values()].map(async child => {
      const ended = new Promise(resolve => child.on('exit', resolve))
      child.kill('SIGTERM')
      await ended
    }))
    for (const { agent } of this.nodes) agent?.destroy()
    rmSync(this.folder, { recursive: true, force: true })
  }

  _spawn (name, host, index, roles) {
    const [peers, operators, calls, local, ready, links, metrics] = this.ports
    const file = join(this.folder, `${name}.ini`)
    writeFileSync(file, `[process]
name = ${name}
region = r1
availability_zone = z${index % ZONES}
service = client
data_folder = ${join(this.folder, name)}
${roles}
stop_timeout = 3s
[listen]
peers = ${host}:${peers}
operators = ${host}:${operators}
calls = ${host}:${calls}
local = ${host}:${local}
ready = ${host}:${ready}
links = ${host}:${links}
metrics = ${host}:${metrics}
[control]
seeds = ${this.controls.map(seed => `${seed}:1`).join()}
open_operators = true
claim_shards = 0
heartbeat = 200ms
election_timeout = 800ms
first_start = ${name.startsWith('c')}
`)
    this.children.set(name, spawn(process.execPath, [...NODE_FLAGS, this.bundle], {
      env: { ...process.env, LAGOONSWITCH_CONFIG: file }, stdio: ['ignore', 'ignore', 'inherit']
    }))
  }
}

async function measure (world, label, perNode) {
  if (perNode > 0) await world.load(WARM_UP_S, perNode)
  world.outcomes = {}
  const before = new Map([...world.children].map(([name, child]) => [name, readUsage(child)]))
  const startedMs = performance.now()
  let calls = 0
  if (perNode > 0) calls = await world.load(DURATION_S, perNode)
  else await sleep(DURATION_S * 1_000)
  const seconds = (performance.now() - startedMs) / 1_000
  const sum = { c: { cpuMs: 0, wakes: 0 }, n: { cpuMs: 0, wakes: 0 } }
  for (const [name, child] of world.children) {
    const { cpuMs, wakes } = readUsage(child)
    const total = sum[name[0]]
    total.cpuMs += cpuMs - before.get(name).cpuMs
    total.wakes += wakes - before.get(name).wakes
  }
  const perCall = calls === 0 ? '' : `, a call ${(sum.n.cpuMs / calls * 1_000).toFixed(0)} us ${(sum.n.wakes / calls).toFixed(1)} wake-ups`
  console.log(`${label}: node ${(sum.n.cpuMs / NODES / seconds / 10).toFixed(2)}% of a core ${(sum.n.wakes / NODES / seconds).toFixed(0)} wake-ups/s, ` +
    `control VM ${(sum.c.cpuMs / CONTROLS / seconds / 10).toFixed(2)}% ${(sum.c.wakes / CONTROLS / seconds).toFixed(0)}/s${perCall} ` +
    JSON.stringify(world.outcomes))
}

async function measureBundle (bundle, selectTargetNodes, cases) {
  const world = new World(bundle)
  try {
    await world.start(selectTargetNodes)
    for (const [label, perNode] of cases) await measure(world, `${bundle} ${label}`, perNode)
  } finally {
    await world.stop()
  }
}

for (const bundle of BUNDLES) {
  const localTargetCases = [['idle', 0], ['steady', STEADY_PER_S], ['crowd', CROWD_PER_S]].filter(([label]) => CASES.includes(label))
  if (localTargetCases.length > 0) await measureBundle(bundle, nodes => nodes, localTargetCases)
  // Only half of the nodes have a target, so calls that enter at the others take two hops.
  if (CASES.includes('far')) await measureBundle(bundle, nodes => nodes.slice(NODES / 2), [['far', STEADY_PER_S / 2]])
}
process.exit(0)
