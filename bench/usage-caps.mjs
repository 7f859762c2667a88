/**
 * Measures the messages and the decision time of usage caps, with callers spread over all nodes, which needs most messages: bytes from the
 * encoder and processor time of the decisions and of encoding, without sockets. Answers come at once.
 * Usage: node bench/usage-caps.mjs [SECONDS] [NODES...]
 */
import { SeededRandom } from '@lagoonswitch/common'
import { UsageReply, UsageRequest } from '@lagoonswitch/schema'
import { NodeCaps, UsageLedger } from '@lagoonswitch/traffic'

const DURATION_S = Number(process.argv[2] ?? 20)
const SIZES = process.argv.length > 3 ? process.argv.slice(3).map(Number) : [43, 85, 170]
const ACCOUNTS = 85
/** Calls per second that arrive at a node; 1,278 at 85 nodes. */
const CALLS_PER_NODE = 15
const EXPONENT = Math.log(200) / Math.log(ACCOUNTS)
const RATE_PER_DEMAND = 1.6
const WARM_UP_S = 5
const STEP_MS = 5
const TOLERANCE = { windowMs: 5_000, excess: 0.1, slack: 20 }
const MS_PER_SECOND = 1_000
const NS_PER_MS = 1e6

function createWorld (nodeCount) {
  const weights = Array.from({ length: ACCOUNTS }, (_, index) => 1 / (index + 1) ** EXPONENT)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const accounts = weights.map((weight, index) => {
    const demand = weight / total * CALLS_PER_NODE * nodeCount
    return { name: `account-${index}`, demand, cap: { rate: RATE_PER_DEMAND * demand, burst: RATE_PER_DEMAND * demand } }
  })
  const caps = new Map(accounts.map(({ name, cap }) => [name, cap]))
  const nodes = Array.from({ length: nodeCount }, (_, index) => {
    const identity = { name: `node-${index}`, incarnation: 1_764_000_000_000, tolerance: TOLERANCE, random: new SeededRandom(index), countNodes: () => nodeCount }
    const node = new NodeCaps(identity, 0)
    node.setCaps(caps, 0)
    return node
  })
  return { accounts, caps, nodes, ledger: new UsageLedger(7, TOLERANCE, -20_000) }
}

function measure (nodeCount) {
  const random = new SeededRandom(1)
  const { accounts, caps, nodes, ledger } = createWorld(nodeCount)
  const sums = { calls: 0, leased: 0, reports: 0, reportBytes: 0, asks: 0, askBytes: 0, nodeNs: 0, leaderNs: 0 }
  const cumulative = []
  let total = 0
  for (const { demand } of accounts) cumulative.push(total += demand)
  let nowMs = 0
  let isMeasured = false
  const time = (key, run) => {
    const start = process.hrtime.bigint()
    const result = run()
    if (isMeasured) sums[key] += Number(process.hrtime.bigint() - start)
    return result
  }
  const exchange = node => {
    const bytes = time('nodeNs', () => {
      node.expireWaiters(nowMs)
      const request = node.createRequest(nowMs)
      return request === undefined ? undefined : { request, up: UsageRequest.encode(request).finish() }
    })
    if (bytes === undefined) return
    const down = time('leaderNs', () => UsageReply.encode(ledger.handleRequest(UsageRequest.decode(bytes.up), name => caps.get(name), nowMs)).finish())
    time('nodeNs', () => node.applyReply(bytes.request, UsageReply.decode(down), nowMs, nowMs))
    if (!isMeasured) return
    const isReport = bytes.request.intervalMs > 0
    sums[isReport ? 'reports' : 'asks']++
    sums[isReport ? 'reportBytes' : 'askBytes'] += bytes.up.length + down.length
  }
  const endMs = (WARM_UP_S + DURATION_S) * MS_PER_SECOND
  let nextCallMs = 0
  for (nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    isMeasured = nowMs >= WARM_UP_S * MS_PER_SECOND
    for (; nextCallMs <= nowMs; nextCallMs -= Math.log(1 - random.draw()) / total * MS_PER_SECOND) {
      const drawn = random.draw() * total
      const account = accounts[cumulative.findIndex(sum => drawn < sum)] ?? accounts[0]
      const node = nodes[Math.floor(random.draw() * nodeCount)]
      const result = time('nodeNs', () => node.admit(account.name, nowMs, () => {}))
      if (isMeasured) {
        sums.calls++
        if (result.source === 'lease') sums.leased++
      }
      if (!('kind' in result)) exchange(node)
    }
    for (const node of nodes) {
      if (node.computeNextMs(nowMs) <= nowMs) exchange(node)
    }
  }
  const perNodeSecond = value => value / nodeCount / DURATION_S
  return {
    nodes: nodeCount,
    calls: perNodeSecond(sums.calls),
    leasedShare: sums.leased / sums.calls,
    reports: perNodeSecond(sums.reports),
    reportBytes: perNodeSecond(sums.reportBytes),
    asks: perNodeSecond(sums.asks),
    askBytes: perNodeSecond(sums.askBytes),
    nodeMs: perNodeSecond(sums.nodeNs) / NS_PER_MS,
    leaderMs: sums.leaderNs / DURATION_S / NS_PER_MS
  }
}

measure(SIZES[0])
for (const size of SIZES) {
  const result = measure(size)
  console.log(Object.entries(result).map(([key, value]) => `${key}=${Number(value.toPrecision(4))}`).join(' '))
}
