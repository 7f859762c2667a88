/**
 * Measures the latency that the call path adds: direct calls, a plain TCP proxy, one hop (the call enters at the node on the
 * target's VM) and two hops, interleaved in one run. Usage: node bench/calls.mjs [SECONDS] [CALLS_PER_SECOND_EACH]
 */
import { createServer, connect } from 'node:net'
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Fleet, findPorts, summarize, waitUntil } from './harness.mjs'

const DURATION_S = Number(process.argv[2] ?? 20)
const CALLS_PER_S = Number(process.argv[3] ?? 190)
const WARM_UP_CALLS = 2_000
const ADDED_LATENCY_GOAL_MS = 0.44

const agent = new Agent({ keepAlive: true, maxSockets: 32 })

async function call (port) {
  const startedMs = performance.now()
  return await new Promise((resolve, reject) => {
    request({ agent, port, host: '127.0.0.1', path: '/openings' }, response => {
      response.resume()
      response.on('end', () => resolve({ ms: performance.now() - startedMs, status: response.statusCode }))
    }).on('error', reject).end()
  })
}

const fleet = new Fleet()
try {
  await fleet.plan([
    { name: 'control', roles: 'control' }, { name: 'near', roles: 'node' }, { name: 'far', roles: 'node' }
  ])
  for (const name of ['control', 'near', 'far']) fleet.startVm(name)
  const [targetPort, proxyPort] = await findPorts(2)
  await fleet.waitReady('near')
  await fleet.waitReady('far')
  fleet.startScript('target', 'bench/stand-in-target.mjs', 't1', 'desk', 'v1', targetPort, fleet.vms.get('near').local)
  await fleet.putEntry('control', {
    entry: 'desk',
    owner: 'bench',
    class: 'first',
    limits: { slots: 14, connections: 130 },
    routes: [{ name: 'openings', path: '/openings', methods: ['GET'], idempotency: 'safe' }],
    version: 'v1'
  })
  const proxy = createServer(socket => {
    const upstream = connect(targetPort, '127.0.0.1')
    socket.setNoDelay(true).pipe(upstream.setNoDelay(true)).pipe(socket)
    for (const stream of [socket, upstream]) stream.on('error', () => { socket.destroy(); upstream.destroy() })
  })
  await new Promise(resolve => proxy.listen(proxyPort, '127.0.0.1', resolve))
  const paths = {
    direct: targetPort, 'tcp proxy': proxyPort, 'one hop': fleet.vms.get('near').calls, 'two hops': fleet.vms.get('far').calls
  }
  for (const port of Object.values(paths)) await waitUntil('a call', async () => (await call(port)).status === 200)
  for (let index = 0; index < WARM_UP_CALLS; index++) await Promise.all(Object.values(paths).map(port => call(port)))
  const samples = Object.fromEntries(Object.keys(paths).map(name => [name, []]))
  const failures = {}
  const endMs = performance.now() + DURATION_S * 1000
  await Promise.all(Object.entries(paths).map(async ([name, port], index) => {
    await sleep(index * 1000 / CALLS_PER_S / 4)
    const pendingCalls = []
    let nextMs = performance.now()
    while (performance.now() < endMs) {
      pendingCalls.push(call(port).then(({ ms, status }) => {
        if (status === 200) samples[name].push(ms)
        else failures[name] = (failures[name] ?? 0) + 1
      }))
      nextMs += 1000 / CALLS_PER_S
      const pauseMs = nextMs - performance.now()
      if (pauseMs > 0) await sleep(pauseMs)
    }
    await Promise.all(pendingCalls)
  }))
  const baseline = summarize(samples.direct)
  console.log(`${DURATION_S} s, ${CALLS_PER_S} calls/s on each path, 1 kB responses; goal: at most ${ADDED_LATENCY_GOAL_MS} ms added at p99`)
  for (const [name, pathSamples] of Object.entries(samples)) {
    const { count, p50, p90, p99 } = summarize(pathSamples)
    console.log(`${name.padEnd(9)} n=${count} p50=${p50.toFixed(3)} p90=${p90.toFixed(3)} p99=${p99.toFixed(3)} ` +
      `added p50=${(p50 - baseline.p50).toFixed(3)} p90=${(p90 - baseline.p90).toFixed(3)} p99=${(p99 - baseline.p99).toFixed(3)} ` +
      `ratio p50=${(p50 / baseline.p50).toFixed(2)} failures=${failures[name] ?? 0}`)
  }
} finally {
  agent.destroy()
  await fleet.stop()
}
process.exit(0)
