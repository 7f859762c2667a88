/**
 * Measures distribution to a fleet of simulated nodes: convergence time, control traffic, CPU time, and the recovery when all
 * nodes reconnect at once after a restart of the source. The baseline in the same run (plain) has every node subscribe to the
 * source, which sends the whole catalogue at each change.
 * Usage: node bench/feed.mjs [NODES] [CHANGES] [RELAYS]
 */
import { fork } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Metrics, NullLog, SystemClock, SystemRandom } from '@lagoonswitch/common'
import { ControlRole } from '@lagoonswitch/control'
import { formatEntry, parseEntry, parseSettings } from '@lagoonswitch/schema'
import { PeerChannels, PeerListener, PlainCredentials } from '@lagoonswitch/transport'
import { findPorts, summarize, waitUntil } from './harness.mjs'

const NODES = Number(process.argv[2] ?? 630)
const CHANGES = Number(process.argv[3] ?? 20)
const RELAYS = Number(process.argv[4] ?? 64)
const PROCESSES = 5
const SERVICES = 50
const IDLE_INTERVAL_MS = 10_000
const CHANGE_PAUSE_MS = 500
const TIMEOUT_MS = 60_000

function readLoopbackBytes () {
  const line = readFileSync('/proc/net/dev', 'utf8').split('\n').find(text => text.trim().startsWith('lo:'))
  return Number(line.trim().split(/\s+/)[1])
}

function createDeclaration (index, owner) {
  const entry = parseEntry({
    entry: `service-${index}`,
    owner,
    class: 'normal',
    limits: { slots: 14, connections: 130, deadline: '5s' },
    routes: Array.from({ length: 4 }, (_, route) => ({
      name: `route-${route}`, path: `/service-${index}/route-${route}`, methods: ['GET'], idempotency: 'safe'
    })),
    version: 'v1'
  })
  return formatEntry(entry.unwrap())
}

class Source {
  constructor (folder, port, isPlain) {
    this.folder = folder
    this.port = port
    this.isPlain = isPlain
  }

  async start () {
    const settings = parseSettings(`[process]
name = c1
roles = control
region = r0
availability_zone = z0
data_folder = ${this.folder}
[control]
members = c1=127.0.0.1:${this.port}
source_streams = ${this.isPlain ? 1000 : RELAYS}
`, 'bench.ini').unwrap()
    this.channels = new PeerChannels(new PlainCredentials())
    this.listener = new PeerListener(new PlainCredentials())
    this.control = new ControlRole({
      settings,
      peerAddress: `127.0.0.1:${this.port}`,
      clock: new SystemClock(),
      random: new SystemRandom(),
      log: new NullLog(),
      metrics: new Metrics(),
      channels: this.channels
    })
    if (this.isPlain) {
      const { store } = this.control
      const compute = store.computeDelta.bind(store)
      store.computeDelta = heldVersion => compute(heldVersion) === undefined ? undefined : compute({ epoch: 0, version: 0 })
    }
    this.control.addServices(this.listener)
    await this.listener.listen('127.0.0.1', this.port)
    await this.control.start()
    await waitUntil('the first epoch', () => this.control.store.version.epoch > 0)
  }

  async change (edits) {
    const reply = await this.control.applyChange({ requestId: `r-${Math.random()}`, operator: 'bench', edits })
    return reply.unwrap().version.version
  }

  stop () {
    this.control.dispose()
    this.listener.close()
    this.channels.dispose()
  }
}

async function measure (isPlain) {
  const folder = mkdtempSync(join(tmpdir(), 'feed-'))
  const [port] = await findPorts(1)
  const source = new Source(folder, port, isPlain)
  await source.start()
  await source.change(Array.from({ length: SERVICES }, (_, index) => ({
    name: `service-${index}`, expectedVersion: 0, declaration: createDeclaration(index, 'first')
  })))
  const applied = new Map()
  const usages = []
  const ready = new Set()
  const children = Array.from({ length: PROCESSES }, (_, index) => {
    const first = Math.floor(NODES * index / PROCESSES)
    const count = Math.floor(NODES * (index + 1) / PROCESSES) - first
    const child = fork('bench/feed-nodes.mjs', [JSON.stringify({
      first, count, control: [`127.0.0.1:${port}`], isPlain, relayStreams: 32
    })])
    child.on('message', message => {
      if (message.kind === 'ready') ready.add(message.node)
      if (message.kind === 'usage') usages.push(message)
      if (message.kind !== 'applied') return
      const times = applied.get(message.version) ?? new Map()
      times.set(message.node, message.atMs)
      applied.set(message.version, times)
    })
    return child
  })
  const startedMs = Date.now()
  try {
    await waitUntil('readiness', () => ready.size === NODES, TIMEOUT_MS)
    const joinedMs = Date.now() - startedMs
    await sleep(3_000)
    const idle = await measureInterval(IDLE_INTERVAL_MS, children, usages)
    const delays = []
    const usageBeforeChanges = { bytes: readLoopbackBytes(), cpu: process.cpuUsage() }
    for (let index = 0; index < CHANGES; index++) {
      const serviceIndex = index % SERVICES
      const name = `service-${serviceIndex}`
      const sentMs = Date.now()
      const version = await source.change([{
        name, expectedVersion: source.control.store.getRecord(name).version, declaration: createDeclaration(serviceIndex, `owner-${index}`)
      }])
      await waitUntil('the change', () => applied.get(version)?.size === NODES, TIMEOUT_MS)
      for (const atMs of applied.get(version).values()) delays.push(atMs - sentMs)
      await sleep(CHANGE_PAUSE_MS)
    }
    const bytesPerChange = (readLoopbackBytes() - usageBeforeChanges.bytes) / CHANGES
    const changesCpu = process.cpuUsage(usageBeforeChanges.cpu)
    source.stop()
    await sleep(2_000)
    await source.start()
    const restartedMs = Date.now()
    const version = await source.change([{
      name: 'service-0',
      expectedVersion: source.control.store.getRecord('service-0').version,
      declaration: createDeclaration(0, 'after-restart')
    }])
    await waitUntil('the change after the restart', () => applied.get(version)?.size === NODES, TIMEOUT_MS)
    const recoveryMs = Math.max(...applied.get(version).values()) - restartedMs
    const { p50, p99, max } = summarize(delays)
    console.log(`${isPlain ? 'plain' : 'tree '} nodes=${NODES} levels=${idle.levels} join=${joinedMs} ms ` +
      `convergence p50=${p50} p99=${p99} max=${max} ms, recovery after restart=${recoveryMs} ms, ` +
      `idle bytes per node and s=${(idle.bytes / NODES / IDLE_INTERVAL_MS * 1000).toFixed(0)}, ` +
      `bytes per change and node=${(bytesPerChange / NODES).toFixed(0)}, ` +
      `idle cpu: source ${idle.sourceCpu.toFixed(2)}% of a core, node ${idle.nodeCpu.toFixed(3)}%, ` +
      `source cpu per change=${((changesCpu.user + changesCpu.system) / 1000 / CHANGES).toFixed(1)} ms, ` +
      `memory per simulated node=${(idle.rss / NODES / 1e6).toFixed(2)} MB`)
  } finally {
    for (const child of children) child.kill('SIGTERM')
    await Promise.all(children.map(child => new Promise(resolve => child.on('exit', resolve))))
    source.stop()
    rmSync(folder, { recursive: true, force: true })
  }
}

async function readUsage (children, usages) {
  usages.length = 0
  for (const child of children) child.send({ kind: 'usage' })
  await waitUntil('usage', () => usages.length === children.length)
  return {
    cpuMs: usages.reduce((sum, usage) => sum + usage.cpuMs, 0),
    rss: usages.reduce((sum, usage) => sum + usage.rss, 0),
    levels: usages.flatMap(usage => usage.levels)
  }
}

async function measureInterval (lengthMs, children, usages) {
  const before = await readUsage(children, usages)
  const bytes = readLoopbackBytes()
  const cpuBefore = process.cpuUsage()
  await sleep(lengthMs)
  const sourceCpu = process.cpuUsage(cpuBefore)
  const transferredBytes = readLoopbackBytes() - bytes
  const after = await readUsage(children, usages)
  const counts = [0, 0, 0]
  for (const level of after.levels) counts[level]++
  return {
    bytes: transferredBytes,
    sourceCpu: (sourceCpu.user + sourceCpu.system) / 1000 / lengthMs * 100,
    nodeCpu: (after.cpuMs - before.cpuMs) / NODES / lengthMs * 100,
    rss: after.rss,
    levels: counts.join('/')
  }
}

await measure(false)
await measure(true)
process.exit(0)
