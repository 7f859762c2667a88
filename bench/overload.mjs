/**
 * Measures goodput by call class under overload, and extra attempts when one of three targets fails. The baseline in the same run
 * is a round robin over the targets without limits, classes or retry budgets, which retries each failure up to twice.
 * Usage: node bench/overload.mjs [SECONDS]
 */
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Fleet, findPorts, summarize, waitUntil } from './harness.mjs'

const DURATION_S = Number(process.argv[2] ?? 6)
const SLOTS = 4
const DELAY_MS = 20
const TARGETS = 3
const CAPACITY_PER_S = TARGETS * SLOTS * 1000 / DELAY_MS
const DEADLINE_MS = 500
const CLASS_SHARES = [['first', 0.3], ['normal', 0.4], ['low', 0.3]]

const agent = new Agent({ keepAlive: true, maxSockets: 1_000 })

async function call (port, path, headers) {
  const startedMs = performance.now()
  return await new Promise(resolve => {
    const outgoing = request({ agent, port, host: '127.0.0.1', path, headers, timeout: DEADLINE_MS }, response => {
      response.resume()
      response.on('end', () => resolve({ status: response.statusCode, ms: performance.now() - startedMs }))
      response.on('error', () => resolve({ status: 0, ms: DEADLINE_MS }))
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve({ status: 0, ms: DEADLINE_MS }))
    outgoing.end()
  })
}

async function offerLoad (send, rate) {
  const goodByClass = Object.fromEntries(CLASS_SHARES.map(([name]) => [name, 0]))
  const offeredByClass = Object.fromEntries(CLASS_SHARES.map(([name]) => [name, 0]))
  const samples = []
  const pendingCalls = []
  const endMs = performance.now() + DURATION_S * 1000
  let nextMs = performance.now()
  let index = 0
  while (performance.now() < endMs) {
    while (nextMs <= performance.now()) {
      nextMs += 1000 / rate
      const pick = (index++ * 0.618034) % 1
      const name = pick < 0.3 ? 'first' : pick < 0.7 ? 'normal' : 'low'
      offeredByClass[name]++
      pendingCalls.push(send(name).then(({ status, ms }) => {
        if (status !== 200 || ms > DEADLINE_MS) return
        goodByClass[name]++
        samples.push(ms)
      }))
    }
    await sleep(1)
  }
  await Promise.all(pendingCalls)
  const parts = CLASS_SHARES.map(([name]) => `${name} ${(goodByClass[name] / offeredByClass[name] * 100).toFixed(0)}%`).join(' ')
  const { p99 } = summarize(samples)
  return `${(Object.values(goodByClass).reduce((sum, count) => sum + count, 0) / DURATION_S).toFixed(0)} good/s of ${rate}, ${parts}, p99=${p99.toFixed(0)} ms`
}

async function readMaxConcurrency (ports) {
  const stats = await Promise.all(ports.map(async port => await (await fetch(`http://127.0.0.1:${port}/stats`)).json()))
  return Math.max(...stats.map(({ highest }) => highest))
}

const fleet = new Fleet()
try {
  await fleet.plan([{ name: 'c1', roles: 'control' }, ...Array.from({ length: TARGETS }, (_, index) => ({ name: `n${index}`, roles: 'node' }))])
  for (const name of fleet.vms.keys()) fleet.startVm(name)
  const ports = await findPorts(TARGETS * 2)
  for (let index = 0; index < TARGETS; index++) await fleet.waitReady(`n${index}`)
  for (let index = 0; index < TARGETS; index++) {
    const { local } = fleet.vms.get(`n${index}`)
    fleet.startScript(`t${index}`, 'bench/stand-in-target.mjs', `t${index}`, 'desk', 'v1', ports[index], local, SLOTS, DELAY_MS)
    // The service with failures: one target in three responds with 500.
    fleet.startScript(`f${index}`, 'bench/stand-in-target.mjs', `f${index}`, 'shaky', 'v1', ports[TARGETS + index], local, SLOTS, DELAY_MS,
      index === 0 ? 1 : 0)
  }
  const createEntry = name => ({
    entry: name,
    owner: 'bench',
    class: 'first',
    limits: { slots: SLOTS, connections: 130, queue: 16, deadline: `${DEADLINE_MS}ms`, retry_budget: 0.1 },
    routes: [{ name: 'read', path: `/${name}`, methods: ['GET'], idempotency: 'safe' }],
    version: 'v1'
  })
  await fleet.putEntry('c1', createEntry('desk'))
  await fleet.putEntry('c1', createEntry('shaky'))
  const nodePorts = Array.from({ length: TARGETS }, (_, index) => fleet.vms.get(`n${index}`).calls)
  await waitUntil('calls', async () => (await call(nodePorts[0], '/desk')).status === 200 && (await call(nodePorts[1], '/shaky')).status === 200)
  let nextIndex = 0
  const sendToNodes = path => async name => await call(nodePorts[nextIndex++ % TARGETS], path, { 'lagoon-class': name })
  console.log(`capacity ${CAPACITY_PER_S} calls/s: ${TARGETS} targets of ${SLOTS} slots and ${DELAY_MS} ms, deadline ${DEADLINE_MS} ms, ${DURATION_S} s each`)
  for (const factor of [0.5, 2, 5]) {
    console.log(`lagoonswitch ${factor}x: ${await offerLoad(sendToNodes('/desk'), CAPACITY_PER_S * factor)}`)
    await sleep(1_000)
  }
  const healthyPorts = ports.slice(0, TARGETS)
  console.log(`most calls at once on a target of ${SLOTS} slots: ${await readMaxConcurrency(healthyPorts)}`)
  let attempts = 0
  const failingPorts = ports.slice(TARGETS)
  const sendRoundRobin = async () => {
    for (let attempt = 0; attempt < 3; attempt++) {
      attempts++
      const response = await call(failingPorts[nextIndex++ % TARGETS], '/shaky')
      if (response.status === 200) return response
    }
    return { status: 500, ms: 0 }
  }
  const rate = CAPACITY_PER_S * 0.3
  console.log(`one target in three fails, lagoonswitch: ${await offerLoad(sendToNodes('/shaky'), rate)}`)
  const metrics = await Promise.all([...Array(TARGETS).keys()].map(async index =>
    await (await fetch(`http://127.0.0.1:${fleet.vms.get(`n${index}`).local}/metrics`)).text()))
  const retries = metrics.flatMap(text => [...text.matchAll(/^lagoonswitch_retries_total\{reason="([^"]+)"\} (\d+)/gm)])
  const retryCount = retries.reduce((sum, [, , count]) => sum + Number(count), 0)
  console.log(`extra attempts over the whole run, lagoonswitch: ${retryCount} (${retries.map(([, reason, count]) => `${reason} ${count}`).join(', ')})`)
  console.log(`one target in three fails, round robin and naive retries: ${await offerLoad(sendRoundRobin, rate)}, ` +
    `extra attempts per call ${(attempts / (rate * DURATION_S) - 1).toFixed(3)}`)
} finally {
  agent.destroy()
  await fleet.stop()
}
process.exit(0)
