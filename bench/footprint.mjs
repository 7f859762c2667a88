/**
 * Measures memory and CPU time of a control VM, of the node where calls enter (entry) and of the node beside the target (beside),
 * with a catalogue and an endpoint view of the planned size, idle and under load. Usage: node bench/footprint.mjs [TARGETS] [ENTRIES]
 */
import { readFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Fleet, findPorts, waitUntil } from './harness.mjs'

const TARGETS = Number(process.argv[2] ?? 630)
const ENTRIES = Number(process.argv[3] ?? 50)
const INTERVAL_MS = 8_000
const TICKS_PER_SECOND = 100
const RATES_PER_S = [190, 760]

const agent = new Agent({ keepAlive: true, maxSockets: 64 })
const fleet = new Fleet()

function readUsage (name) {
  const { pid } = fleet.children.get(name)
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  const rss = Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1000
  return { cpuS: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND, rss }
}

async function measure (label, work) {
  const names = ['c1', 'entry', 'beside']
  const before = names.map(readUsage)
  const startedMs = performance.now()
  await work()
  const seconds = (performance.now() - startedMs) / 1000
  const parts = names.map((name, index) => {
    const { cpuS, rss } = readUsage(name)
    return `${name} ${((cpuS - before[index].cpuS) / seconds * 100).toFixed(1)}% of a core ${rss.toFixed(0)} MB`
  })
  console.log(`${label}: ${parts.join(', ')}`)
}

async function call (port) {
  await new Promise(resolve => {
    request({ agent, port, host: '127.0.0.1', path: '/service-0/r' }, response => {
      response.resume()
      response.on('end', resolve)
    }).on('error', resolve).end()
  })
}

try {
  await fleet.plan([{ name: 'c1', roles: 'control' }, { name: 'entry', roles: 'node' }, { name: 'beside', roles: 'node', extra: '[node]\ntarget_lease = 120s' }])
  for (const name of fleet.vms.keys()) fleet.startVm(name)
  for (const name of ['entry', 'beside']) await fleet.waitReady(name)
  await sleep(2_000)
  await measure('empty catalogue, idle', async () => await sleep(INTERVAL_MS))
  const [port] = await findPorts(1)
  const { local } = fleet.vms.get('beside')
  fleet.startScript('target', 'bench/stand-in-target.mjs', 't', 'service-0', 'v1', port, local)
  await fleet.sendOperatorRequest('c1', 'POST', '/v1/changes', {
    requestId: 'all-entries',
    edits: Array.from({ length: ENTRIES }, (_, index) => ({
      name: `service-${index}`,
      expectedVersion: 0,
      declaration: {
        entry: `service-${index}`,
        owner: 'bench',
        class: 'normal',
        limits: { slots: 14, connections: 130 },
        routes: Array.from({ length: 4 }, (_, route) => ({
          name: `r${route}`, path: `/service-${index}/r${route === 0 ? '' : route}`, methods: ['GET'], idempotency: 'safe'
        })),
        version: 'v1'
      }
    }))
  })
  for (let index = 0; index < TARGETS; index++) {
    await fetch(`http://127.0.0.1:${local}/v1/targets/x${index}`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ service: `service-${1 + index % (ENTRIES - 1)}`, version: 'v1', address: '127.0.0.1:1', slots: 14, connections: 130 })
    })
  }
  const { calls } = fleet.vms.get('entry')
  await waitUntil('calls', async () => (await fetch(`http://127.0.0.1:${calls}/service-0/r`)).status === 200)
  await sleep(2_000)
  await measure(`${ENTRIES} entries and ${TARGETS} targets, idle`, async () => await sleep(INTERVAL_MS))
  for (const rate of RATES_PER_S) {
    await measure(`${rate} calls/s`, async () => {
      const endMs = performance.now() + INTERVAL_MS
      let nextMs = performance.now()
      while (performance.now() < endMs) {
        while (nextMs <= performance.now()) {
          nextMs += 1000 / rate
          void call(calls)
        }
        await sleep(1)
      }
    })
  }
} finally {
  agent.destroy()
  await fleet.stop()
}
process.exit(0)
