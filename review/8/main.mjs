/**
 * Case 6: connections of one machine go silent, after which its node sends nothing more to the upstream beside it.
 */
import { createServer } from 'node:net'
import { BROKEN, Fleet, HELD, NOT_RUN, Record, Upstream, attempt, connect, createConfiguration, performance, sleep } from '../lib-2/fleet.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** Time after the connections have gone silent from which requests are counted; contact-s is 3 s. */
const CALM_MS = 25_000
/** Requests on the first routes, and on the routes that were added later, in each phase. */
const REQUESTS = 40
const MIN_SHARE = 0.25
const record = new Record(process.env.RECORD)
const fleet = new Fleet({ controls: 5, nodes: 3, services: ['alpha', 'beta', 'gamma'] })

/** The path between n1 and one control VM. Its connections can go silent, without a reset, while new ones work. */
class Path {
  constructor (host, target, port) {
    this.pairs = new Set()
    this.server = createServer(near => {
      const far = connect(port, target)
      const pair = [near, far]
      this.pairs.add(pair)
      for (const [from, to] of [pair, [far, near]]) {
        from.on('data', chunk => { if (this.pairs.has(pair)) to.write(chunk) })
        from.on('end', () => { if (this.pairs.has(pair)) to.end() })
        from.on('error', () => { if (this.pairs.has(pair)) to.destroy() })
        from.on('close', () => { if (this.pairs.has(pair)) to.destroy() })
      }
    })
    this.listening = new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  /** Drops whatever comes on the present connections from now on, and keeps both ends open. */
  silence () {
    const count = this.pairs.size
    this.pairs.clear()
    return count
  }
}

/** Puts a path between n1 and each control VM; the zones of the nodes have no control VM, as one zone of the large installation. */
async function layPaths () {
  const { ports, machines } = fleet
  const controls = [...machines.values()].filter(({ role }) => role === 'control').slice(0, 3)
  const paths = controls.map(({ host }) => new Path(host.replace('.1.', '.3.'), host, ports.peers))
  await Promise.all(paths.map(async path => await path.listening))
  const n1 = machines.get('n1')
  n1.seeds = controls.map(({ host }) => `${host.replace('.1.', '.3.')}:${ports.operators}`)
  for (const [index, name] of ['n1', 'n2', 'n3'].entries()) machines.get(name).zone = `z${6 + index}`
  return paths
}

/** Sends requests from clients of n1 on the first routes (alpha) and on those that were added later (beta). */
async function sendRequests (phase) {
  const served = { alpha: 0, beta: 0 }
  for (let index = 0; index < REQUESTS; index++) {
    for (const service of ['alpha', 'beta']) {
      const isSafe = index % 2 === 0
      const outcome = await attempt(fleet.outbound('n1'), {
        method: isSafe ? 'GET' : 'POST', path: `/${service}/${isSafe ? 'safe' : 'unsafe'}/x`, body: isSafe ? undefined : 'order'
      })
      if (outcome.status === 200) served[service]++
      const reason = outcome.status === 200 ? '' : ` ${/"reason":"([^"]*)"/.exec(outcome.text ?? '')?.[1] ?? outcome.error ?? ''}`
      record.add(`${phase}: sent ${outcome.id} ${outcome.method} ${outcome.path}, answered ${outcome.status}${reason}`, outcome.sentMs)
    }
    await sleep(50)
  }
  record.add(`${phase}: served ${served.alpha} of ${REQUESTS} on the first routes, ${served.beta} of ${REQUESTS} on the routes that were added later`)
  return served
}

async function play () {
  let paths
  await fleet.start(createConfiguration(1, 0, ['alpha']), async () => { paths = await layPaths() })
  // The upstream of alpha is beside n2, the one of beta beside n1.
  for (const [node, service] of [['n2', 'alpha'], ['n1', 'beta']]) {
    const upstream = new Upstream({
      id: `i-${service}`,
      service,
      host: fleet.machines.get(node).host,
      port: fleet.ports.app,
      beats: fleet.beats(node),
      onRun: run => record.add(`i-${service}: runs ${run.attempt}`, run.atMs)
    })
    await upstream.start()
  }
  const added = await fleet.order('PUT', '/-/config', createConfiguration(2, 1, ['alpha', 'beta']))
  record.add(`operator: version 2 adds the routes of beta, answered ${added.status}`)
  if (added.status !== 200) return NOT_RUN
  await sleep(6_000)
  const before = await sendRequests('before')
  if (before.alpha < REQUESTS || before.beta < REQUESTS) return NOT_RUN

  if (HAS_TROUBLE) {
    const count = paths.reduce((sum, path) => sum + path.silence(), 0)
    record.add(`the open connections of n1 to the control VMs go silent: ${count}; new ones work`)
  }
  await sleep(CALM_MS)
  const after = await sendRequests('after')
  await sleep(10_000)
  const later = await sendRequests('10 s later')
  if (fleet.ends.length > 0) {
    record.add(`processes that ended: ${JSON.stringify(fleet.ends)}`)
    return NOT_RUN
  }
  const isBroken = [after, later].some(({ alpha, beta }) => beta < MIN_SHARE * alpha)
  return isBroken ? BROKEN : HELD
}

let result = NOT_RUN
const startedMs = performance.now()
try {
  result = await play()
} catch (error) {
  record.add(`the case could not run: ${error.message}`)
} finally {
  await fleet.stop()
  record.add(`result ${result} after ${((performance.now() - startedMs) / 1_000).toFixed(0)} s`)
  record.write()
}
process.exit(result)
