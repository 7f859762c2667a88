/**
 * Sends load through control VMs, nodes and stand-in targets of the platform, once for each fault of targets. Prints the outcomes,
 * and how many guarantees were violated. Usage: node bench/platform.mjs [SECONDS] [CALLS_PER_S]
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@lagoonswitch/common'
import { HOST, PlatformWorld, createConfiguration } from './platform-world.mjs'

const DURATION_S = Number(process.argv[2] ?? 3)
const CALLS_PER_S = Number(process.argv[3] ?? 100)
const FAULT_CASES = [undefined, 'short', 'unframed', 'extra', 'rubbish', 'lost', 'error']
const NODES = ['n1', 'n2', 'n3']
const FAULT_SHARE = 0.05
const OBJECTIVE_MS = 300

async function measureFault (fault) {
  const random = new SeededRandom(7)
  const draw = () => random.draw()
  const world = new PlatformWorld()
  await world.start(3, NODES.length, createConfiguration(1, 0, ['desk'], OBJECTIVE_MS / 1_000))
  for (const node of NODES) await world.addTarget(node, { id: `t-${node}`, service: 'desk', draw, fault, share: FAULT_SHARE })
  const clients = NODES.map(node => world.createClient(node, node, draw))
  const pendingCalls = []
  for (let index = 0; index < DURATION_S * CALLS_PER_S; index++) {
    const isSafe = index % 3 !== 0
    const kind = isSafe ? 'safe' : 'unsafe'
    pendingCalls.push(clients[index % clients.length].call({ host: HOST, path: `/desk/${kind}/x`, method: isSafe ? 'GET' : 'POST', isSafe }))
    await sleep(1_000 / CALLS_PER_S)
  }
  const results = await Promise.all(pendingCalls)
  const count = predicate => results.filter(predicate).length
  const timesMs = results.map(({ tookMs }) => tookMs).sort((a, b) => a - b)
  const repeatedRuns = world.targets.flatMap(target => [...target.runs.values()]).filter(runs => runs > 1).length
  console.log([
    fault ?? 'none', results.length, count(({ outcome, tookMs }) => outcome === 'served' && tookMs <= OBJECTIVE_MS),
    count(({ outcome }) => outcome === 'served'), count(({ outcome }) => outcome === 'refused'), count(({ outcome }) => outcome === 'failed'),
    timesMs[Math.floor(timesMs.length / 2)].toFixed(1), timesMs[Math.floor(timesMs.length * 0.99)].toFixed(1),
    clients.reduce((sum, { broken }) => sum + broken.length, 0), repeatedRuns
  ].join(' | '))
  await world.stop()
}

console.log('fault | calls | in time | served | refused | failed | p50 ms | p99 ms | wrong responses | ids run more than once on a target')
for (const fault of FAULT_CASES) await measureFault(fault)
process.exit(0)
