/**
 * Goodput by class at overload, and extra attempts when a third of the targets fail. Baseline in the same run:
 * a plain round robin over the targets without limits, classes or budgets, which repeats each failure twice.
 * Usage: node bench/overload.mjs [SECONDS]
 */
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Fleet, findPorts, summarize, waitUntil } from './harness.mjs'

const SECONDS = Number(process.argv[2] ?? 6)
const SLOTS = 4
const DELAY_MS = 20
const TARGETS = 3
const CAPACITY = TARGETS * SLOTS * 1000 / DELAY_MS
const DEADLINE_MS = 500
const CLASSES = [['first', 0.3], ['normal', 0.4], ['low', 0.3]]

const agent = new Agent({ keepAlive: true, maxSockets: 1_000 })

async function call (port, path, headers) {
  const startedMs = performance.now()
  return await new Promise(resolve => {
    const outgoing = request({ agent, port, host: '127.0.0.1', path, headers, timeout: DEADLINE_MS }, answer => {
      answer.resume()
      answer.on('end', () => resolve({ status: answer.statusCode, ms: performance.now() - startedMs }))
      answer.on('error', () => resolve({ status: 0, ms: DEADLINE_MS }))
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve({ status: 0, ms: DEADLINE_MS }))
    outgoing.end()
  })
}

async function load (send, rate) {
  const good = Object.fromEntries(CLASSES.map(([name]) => [name, 0]))
  const offered = Object.fromEntries(CLASSES.map(([name]) => [name, 0]))
  const samples = []
  const open = []
  const endMs = performance.now() + SECONDS * 1000
  let nextMs = performance.now()
  let index = 0
  while (performance.now() < endMs) {
    while (nextMs <= performance.now()) {
      nextMs += 1000 / rate
      const pick = (index++ * 0.618034) % 1
      const name = pick < 0.3 ? 'first' : pick < 0.7 ? 'normal' : 'low'
      offered[name]++
      open.push(send(name).then(({ status, ms }) => {
        if (status !== 200 || ms > DEADLINE_MS) return
        good[name]++
        samples.push(ms)
      }))
    }
    await sleep(1)
  }
  await Promise.all(open)
  const parts = CLASSES.map(([name]) => `${name} ${(good[name] / offered[name] * 100).toFixed(0)}%`).join(' ')
  const { p99 } = summarize(samples)
  return `${(Object.values(good).reduce((sum, count) => sum + count, 0) / SECONDS).toFixed(0)} good/s of ${rate}, ${parts}, p99=${p99.toFixed(0)} ms`
}

async function readHighest (ports) {
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
    // The failing set: one target in three answers 500.
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
  const entries = Array.from({ length: TARGETS }, (_, index) => fleet.vms.get(`n${index}`).calls)
  await waitUntil('calls', async () => (await call(entries[0], '/desk')).status === 200 && (await call(entries[1], '/shaky')).status === 200)
  let turn = 0
  const through = path => async name => await call(entries[turn++ % TARGETS], path, { 'lagoon-class': name })
  console.log(`capacity ${CAPACITY} calls/s: ${TARGETS} targets of ${SLOTS} slots and ${DELAY_MS} ms, deadline ${DEADLINE_MS} ms, ${SECONDS} s each`)
  for (const factor of [0.5, 2, 5]) {
    console.log(`lagoonswitch ${factor}x: ${await load(through('/desk'), CAPACITY * factor)}`)
    await sleep(1_000)
  }
  const good = ports.slice(0, TARGETS)
  console.log(`most calls at once on a target of ${SLOTS} slots: ${await readHighest(good)}`)
  let attempts = 0
  const shaky = ports.slice(TARGETS)
  const roundRobin = async () => {
    for (let attempt = 0; attempt < 3; attempt++) {
      attempts++
      const answer = await call(shaky[turn++ % TARGETS], '/shaky')
      if (answer.status === 200) return answer
    }
    return { status: 500, ms: 0 }
  }
  const rate = CAPACITY * 0.3
  console.log(`one target in three fails, lagoonswitch: ${await load(through('/shaky'), rate)}`)
  const metrics = await Promise.all([...Array(TARGETS).keys()].map(async index =>
    await (await fetch(`http://127.0.0.1:${fleet.vms.get(`n${index}`).local}/metrics`)).text()))
  const retries = metrics.flatMap(text => [...text.matchAll(/^lagoonswitch_retries_total\{reason="([^"]+)"\} (\d+)/gm)])
  const total = retries.reduce((sum, [, , count]) => sum + Number(count), 0)
  console.log(`extra attempts over the whole run, lagoonswitch: ${total} (${retries.map(([, reason, count]) => `${reason} ${count}`).join(', ')})`)
  console.log(`one target in three fails, round robin and naive repeats: ${await load(roundRobin, rate)}, ` +
    `extra attempts per call ${(attempts / (rate * SECONDS) - 1).toFixed(3)}`)
} finally {
  agent.destroy()
  await fleet.stop()
}
process.exit(0)
