/**
 * Sends each keyed call twice, through two nodes, while nodes and control VMs are killed and restarted.
 * Prints how many keys ran more than once (expected: 0). Usage: node bench/at-most-once.mjs [KEYS]
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Fleet, findPorts, summarize, waitUntil } from './harness.mjs'

const KEYS = Number(process.argv[2] ?? 5_000)
const WORKERS = 24
const KILL_EVERY_MS = 3_000
const DOWNTIME_MS = 500

const fleet = new Fleet()
const outcomes = new Map()
const samples = []

async function send (node, key) {
  const startedMs = performance.now()
  try {
    const response = await fetch(`http://127.0.0.1:${fleet.vms.get(node).calls}/order`, {
      method: 'POST', headers: { 'idempotency-key': key }, body: 'chair', signal: AbortSignal.timeout(8_000)
    })
    const text = await response.text()
    const label = response.status === 200 ? (response.headers.get('lagoon-repeated') ? 'repeated' : 'run') : JSON.parse(text).reason
    if (label === 'run') samples.push(performance.now() - startedMs)
    return label
  } catch {
    return 'no response'
  }
}

try {
  await fleet.plan([
    ...['c1', 'c2', 'c3'].map(name => ({ name, roles: 'control' })),
    ...['n1', 'n2', 'n3'].map(name => ({ name, roles: 'node' }))
  ])
  for (const name of fleet.vms.keys()) fleet.startVm(name)
  const ports = await findPorts(2)
  for (const name of ['n1', 'n2', 'n3']) await fleet.waitReady(name)
  for (const [index, port] of ports.entries()) {
    fleet.startScript(`t${index}`, 'bench/stand-in-target.mjs', `t${index}`, 'desk', 'v1', port, fleet.vms.get(`n${index + 1}`).local, 14, 2)
  }
  await fleet.putEntry('c1', {
    entry: 'desk',
    owner: 'bench',
    class: 'first',
    limits: { slots: 14, connections: 130, deadline: '3s', queue: 64 },
    routes: [{ name: 'order', path: '/order', methods: ['POST'], idempotency: 'keyed' }],
    version: 'v1'
  })
  await waitUntil('an order', async () => await send('n1', `warm-${Math.random()}`) === 'run')
  const state = { isDone: false }
  const killedVms = []
  const killer = (async () => {
    const victims = ['n2', 'c1', 'n3', 'c2', 'n1', 'c3']
    for (let index = 0; !state.isDone; index++) {
      await sleep(KILL_EVERY_MS)
      if (state.isDone) return
      const victim = victims[index % victims.length]
      await fleet.kill(victim, 'SIGKILL')
      killedVms.push(victim)
      await sleep(DOWNTIME_MS)
      fleet.startVm(victim)
    }
  })()
  let next = 0
  await Promise.all(Array.from({ length: WORKERS }, async (_, worker) => {
    while (next < KEYS) {
      const key = `key-${next++}`
      const nodes = ['n1', 'n2', 'n3']
      const first = nodes[worker % 3]
      const second = nodes[(worker + 1) % 3]
      const results = await Promise.all([send(first, key), sleep(Math.random() * 20).then(() => send(second, key))])
      for (const result of results) outcomes.set(result, (outcomes.get(result) ?? 0) + 1)
    }
  }))
  state.isDone = true
  await killer
  const runs = new Map()
  for (const port of ports) {
    const stats = await (await fetch(`http://127.0.0.1:${port}/stats`)).json()
    for (const [key, count] of stats.runs) runs.set(key, (runs.get(key) ?? 0) + count)
  }
  const duplicates = [...runs.values()].filter(count => count > 1).length
  const { p50, p99 } = summarize(samples)
  console.log(`${KEYS} keys sent twice, ${killedVms.length} kills (${killedVms.join(' ')}): ${runs.size} keys ran, ${duplicates} of them more than once`)
  console.log(`outcomes: ${[...outcomes].map(([label, count]) => `${label}=${count}`).join(' ')}`)
  console.log(`claimed calls that ran: p50=${p50.toFixed(1)} p99=${p99.toFixed(1)} ms`)
} finally {
  await fleet.stop()
}
process.exit(0)
