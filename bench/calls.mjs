/**
 * Added latency of the call path: direct, a TCP copy, one hop (the entry is the target's VM) and two hops,
 * interleaved in one run. Usage: node bench/calls.mjs [SECONDS] [CALLS_PER_SECOND_EACH]
 */
import { createServer, connect } from 'node:net'
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Fleet, findPorts, summarize, waitUntil } from './harness.mjs'

const SECONDS = Number(process.argv[2] ?? 20)
const RATE = Number(process.argv[3] ?? 190)
const WARM_CALLS = 2_000
const TARGET_ADDED_MS = 0.44

const agent = new Agent({ keepAlive: true, maxSockets: 32 })

async function call (port) {
  const startedMs = performance.now()
  return await new Promise((resolve, reject) => {
    request({ agent, port, host: '127.0.0.1', path: '/openings' }, answer => {
      answer.resume()
      answer.on('end', () => resolve({ ms: performance.now() - startedMs, status: answer.statusCode }))
    }).on('error', reject).end()
  })
}

const fleet = new Fleet()
try {
  await fleet.plan([
    { name: 'control', roles: 'control' }, { name: 'near', roles: 'node' }, { name: 'far', roles: 'node' }
  ])
  for (const name of ['control', 'near', 'far']) fleet.startVm(name)
  const [targetPort, copyPort] = await findPorts(2)
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
  const copy = createServer(socket => {
    const out = connect(targetPort, '127.0.0.1')
    socket.setNoDelay(true).pipe(out.setNoDelay(true)).pipe(socket)
    for (const end of [socket, out]) end.on('error', () => { socket.destroy(); out.destroy() })
  })
  await new Promise(resolve => copy.listen(copyPort, '127.0.0.1', resolve))
  const paths = {
    direct: targetPort, 'tcp copy': copyPort, 'one hop': fleet.vms.get('near').calls, 'two hops': fleet.vms.get('far').calls
  }
  for (const port of Object.values(paths)) await waitUntil('a call', async () => (await call(port)).status === 200)
  for (let index = 0; index < WARM_CALLS; index++) await Promise.all(Object.values(paths).map(port => call(port)))
  const samples = Object.fromEntries(Object.keys(paths).map(name => [name, []]))
  const failures = {}
  const endMs = performance.now() + SECONDS * 1000
  await Promise.all(Object.entries(paths).map(async ([name, port], index) => {
    await sleep(index * 1000 / RATE / 4)
    const open = []
    let nextMs = performance.now()
    while (performance.now() < endMs) {
      open.push(call(port).then(({ ms, status }) => {
        if (status === 200) samples[name].push(ms)
        else failures[name] = (failures[name] ?? 0) + 1
      }))
      nextMs += 1000 / RATE
      const pauseMs = nextMs - performance.now()
      if (pauseMs > 0) await sleep(pauseMs)
    }
    await Promise.all(open)
  }))
  const base = summarize(samples.direct)
  console.log(`${SECONDS} s, ${RATE} calls/s on each path, 1 kB answers; target: ${TARGET_ADDED_MS} ms added for 99 in 100`)
  for (const [name, list] of Object.entries(samples)) {
    const { count, p50, p90, p99 } = summarize(list)
    console.log(`${name.padEnd(9)} n=${count} p50=${p50.toFixed(3)} p90=${p90.toFixed(3)} p99=${p99.toFixed(3)} ` +
      `added p50=${(p50 - base.p50).toFixed(3)} p90=${(p90 - base.p90).toFixed(3)} p99=${(p99 - base.p99).toFixed(3)} ` +
      `ratio p50=${(p50 / base.p50).toFixed(2)} failures=${failures[name] ?? 0}`)
  }
} finally {
  agent.destroy()
  await fleet.stop()
}
process.exit(0)
