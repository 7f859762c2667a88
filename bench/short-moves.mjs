/**
 * Simulates ordered moves that last seconds with the move controller of the control VMs, in windows of 250 ms: calls are drawn
 * from a seed, their outcomes count when they end, and a changed share takes effect after the delay of evidence, commit and feed.
 * Usage: node bench/short-moves.mjs [REPLAYS] [CALLS_PER_S] [SECONDS] [FIRST_SEED] [LATENCY_FACTOR] [EVIDENCE_DELAY_WINDOWS]
 */
import { ManualClock, Metrics, NullLog, SeededRandom, computeBucket } from '@lagoonswitch/common'
import { CatalogueStateMachine, MoveController } from '@lagoonswitch/control'
import { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import { CatalogueCommand, ChangeCommand, EndpointRecord, EndpointState, MoveStatus, formatEntry, parseEntry } from '@lagoonswitch/schema'

const REPLAYS = Number(process.argv[2] ?? 50)
const CALLS_PER_S = Number(process.argv[3] ?? 150)
const MOVE_S = Number(process.argv[4] ?? 15)
const FIRST_SEED = Number(process.argv[5] ?? 1)
/** Latency of calls relative to the usual one. */
const LATENCY_FACTOR = Number(process.argv[6] ?? 1)
/** Windows between the end of a window and the arrival of its evidence at the leader. */
const EVIDENCE_DELAY_WINDOWS = Number(process.argv[7] ?? 0)
const WINDOW_MS = 250
/** Windows until a decision takes effect at the nodes. */
const DECISION_DELAY_WINDOWS = 2
const TARGETS = 4
/** Bound of the calls that may reach a bad version: a share of all calls until the end of the move, plus a fixed number. */
const EXPOSURE = { share: 0.1, slack: 50 }
/** Maximum from the 50th bad response to the decision: half a second of the required 5 s is left for it to reach all nodes. */
const MAX_ROLLBACK_DECISION_MS = 4_500
const ROUTES = [{ name: 'browse', weight: 0.77, ms: 220, failure: 0.001 }, { name: 'reserve', weight: 0.23, ms: 290, failure: 0.004 }]
const LOG_NORMAL_SIGMA = 0.8
/** Latency objective of a route relative to its usual latency. */
const OBJECTIVE_RATIO = 2.7

const SCENARIOS = {
  good: () => ({}),
  'good, old one slow in part': ({ isNew, target, seconds }) => !isNew && target === 0 && seconds > 4 && seconds < 10 ? { slow: 5 } : {},
  'good, old one loses answers': ({ isNew, seconds, draw }) => !isNew && seconds > 4 && seconds < 8 && draw < 0.05 ? { isFailed: true } : {},
  'good, both lose answers': ({ seconds, draw }) => seconds > 4 && seconds < 8 && draw < 0.1 ? { isFailed: true } : {},
  'good, both lose answers late': ({ seconds, draw }) => seconds > 0.65 * MOVE_S && seconds < 0.65 * MOVE_S + 4 && draw < 0.1 ? { isFailed: true } : {},
  errors: ({ isNew, draw }) => isNew && draw < 0.5 ? { isFailed: true, isBad: true } : {},
  slow: ({ isNew, draw }) => isNew && draw < 0.5 ? { slow: 8, isBad: true } : {},
  'under load': ({ isNew, draw, share }) => isNew && share >= 0.3 && draw < 0.5 ? { isFailed: true, isBad: true } : {},
  'under full load': ({ isNew, draw, share }) => isNew && share >= 0.7 && draw < 0.5 ? { isFailed: true, isBad: true } : {},
  'under full load, both lose answers late': ({ isNew, seconds, draw, share }) => isNew && share >= 0.7 && draw < 0.5 ? { isFailed: true, isBad: true } : seconds > 0.65 * MOVE_S && seconds < 0.65 * MOVE_S + 4 && draw > 0.9 ? { isFailed: true } : {},
  'slow under full load': ({ isNew, draw, share }) => isNew && share >= 0.7 && draw < 0.5 ? { slow: 8, isBad: true } : {},
  'one route': ({ isNew, draw, route }) => isNew && route === 'reserve' && draw < 0.5 ? { isFailed: true, isBad: true } : {},
  late: ({ isNew, draw, seconds }) => isNew && seconds > 3 && draw < 0.5 ? { isFailed: true, isBad: true } : {},
  'errors in a third': ({ isNew, draw }) => isNew && draw < 0.32 ? { isFailed: true, isBad: true } : {}
}

function drawStandardNormal (random) {
  return Math.sqrt(-2 * Math.log(1 - random.draw())) * Math.cos(2 * Math.PI * random.draw())
}

function drawCall (random, scenario, nowMs, share) {
  const isNew = random.draw() < share
  const route = random.draw() < ROUTES[0].weight ? ROUTES[0] : ROUTES[1]
  const target = Math.floor(random.draw() * TARGETS)
  const effect = SCENARIOS[scenario]({ isNew, route: route.name, target, seconds: nowMs / 1_000, draw: random.draw(), share })
  const tookMs = route.ms * LATENCY_FACTOR *
    Math.exp(LOG_NORMAL_SIGMA * drawStandardNormal(random) - LOG_NORMAL_SIGMA ** 2 / 2) * (effect.slow ?? 1)
  const isFailed = effect.isFailed === true || random.draw() < route.failure
  const objectiveMs = route.ms * OBJECTIVE_RATIO
  return {
    isNew,
    route: route.name,
    target,
    endMs: nowMs + tookMs,
    judgedMs: nowMs + Math.min(tookMs, objectiveMs),
    isOverdue: tookMs > objectiveMs,
    tookMs,
    isFailed,
    isBad: effect.isBad === true
  }
}

function toRecords ({ endedCalls, judgedCalls }) {
  const records = new Map()
  const ensureRecord = ({ isNew, route, target }) => {
    const targetId = `${isNew ? 'new' : 'old'}-${target}`
    const key = `${route} ${targetId}`
    const record = records.get(key) ?? {
      service: 'desk',
      version: isNew ? 'v2' : 'v1',
      route,
      targetId,
      calls: 0,
      failures: 0,
      latency: { buckets: [], counts: [] },
      judged: 0,
      overdue: 0
    }
    records.set(key, record)
    return record
  }
  for (const call of judgedCalls) {
    const record = ensureRecord(call)
    record.judged++
    if (call.isOverdue) record.overdue++
  }
  for (const call of endedCalls) {
    const { isFailed, tookMs } = call
    const record = ensureRecord(call)
    record.calls++
    if (isFailed) record.failures++
    record.latency.buckets.push(computeBucket(tookMs))
    record.latency.counts.push(1)
  }
  // A bucket may occur more than once, but the controller uses the last count of each, so the counts are summed here.
  for (const { latency } of records.values()) {
    const counts = new Map()
    for (const bucket of latency.buckets) counts.set(bucket, (counts.get(bucket) ?? 0) + 1)
    latency.buckets = [...counts.keys()]
    latency.counts = [...counts.values()]
  }
  return [...records.values()]
}

async function replay (scenario, seed) {
  const random = new SeededRandom(seed)
  const clock = new ManualClock()
  const store = new CatalogueStore()
  const machine = new CatalogueStateMachine(store)
  const endpoints = new EndpointView()
  const apply = command => machine.apply(CatalogueCommand.encode({ nowMs: clock.readWallTime().getTime(), command }).finish())
  apply({ $case: 'bootstrap', value: { epoch: 1 } })
  const entry = parseEntry({ entry: 'desk', owner: 'o', class: 'first', limits: { slots: 9, connections: 130 }, routes: [] }).unwrap()
  const edits = [{ name: 'desk', expectedVersion: 0, declaration: formatEntry(entry) }]
  apply({ $case: 'change', value: ChangeCommand.fromPartial({ requestId: 'r', operator: 'o', edits }) })
  endpoints.merge([EndpointRecord.fromPartial({
    targetId: 't', incarnation: 1, sequence: 1, state: EndpointState.ENDPOINT_STATE_READY, service: 'desk', version: 'v2', slots: 9
  })])
  apply({ $case: 'order', value: { service: 'desk', from: 'v1', to: 'v2', withinMs: MOVE_S * 1_000 } })
  const controller = new MoveController({
    clock,
    log: new NullLog(),
    metrics: new Metrics(),
    store,
    endpoints,
    exposure: EXPOSURE,
    isLeader: () => true,
    propose: async command => { machine.apply(command); return true }
  })
  const shares = []
  let unfinishedCalls = []
  let unjudgedCalls = []
  const delayedEvidence = []
  const result = { exposed: 0, total: 0, bad: 0, afterFiftieth: undefined, doneAt: undefined, backAt: undefined }
  for (let window = 0; window * WINDOW_MS < MOVE_S * 1_000; window++) {
    const nowMs = window * WINDOW_MS
    const share = shares[window - DECISION_DELAY_WINDOWS] ?? 0
    for (let call = 0; call < CALLS_PER_S * WINDOW_MS / 1_000; call++) {
      const drawn = drawCall(random, scenario, nowMs + random.draw() * WINDOW_MS, share)
      unfinishedCalls.push(drawn)
      unjudgedCalls.push(drawn)
      result.total++
      if (drawn.isNew) result.exposed++
    }
    await clock.advance(WINDOW_MS)
    const endMs = nowMs + WINDOW_MS
    const endedCalls = unfinishedCalls.filter(call => call.endMs <= endMs)
    unfinishedCalls = unfinishedCalls.filter(call => call.endMs > endMs)
    result.bad += endedCalls.filter(call => call.isBad).length
    if (result.bad >= 50) result.afterFiftieth ??= nowMs
    const judgedCalls = unjudgedCalls.filter(call => call.judgedMs <= endMs)
    unjudgedCalls = unjudgedCalls.filter(call => call.judgedMs > endMs)
    delayedEvidence.push({ endedCalls, judgedCalls })
    if (delayedEvidence.length > EVIDENCE_DELAY_WINDOWS) controller.addEvidence(toRecords(delayedEvidence.shift()))
    await controller.decide()
    const move = store.getMove('desk')
    shares[window] = move.status === MoveStatus.MOVE_STATUS_TAKEN_BACK ? 0 : move.sharePpm / 1e6
    if (move.status === MoveStatus.MOVE_STATUS_TAKEN_BACK) result.backAt ??= endMs
    if (move.status === MoveStatus.MOVE_STATUS_DONE) result.doneAt ??= endMs
  }
  return result
}

console.log('kind | done | taken back | latest end s | exposed, median | exposed, max | beyond the bound | taken back later than 5 s after the 50th bad response')
for (const scenario of Object.keys(SCENARIOS)) {
  const results = []
  for (let seed = FIRST_SEED; seed < FIRST_SEED + REPLAYS; seed++) results.push(await replay(scenario, seed))
  const exposed = results.map(result => result.exposed).sort((a, b) => a - b)
  const isBad = !scenario.startsWith('good')
  const overBound = isBad ? results.filter(({ exposed: count, total }) => count > EXPOSURE.share * total + EXPOSURE.slack).length : 0
  const isLate = ({ afterFiftieth, backAt }) => afterFiftieth !== undefined && !(backAt < afterFiftieth + MAX_ROLLBACK_DECISION_MS)
  const late = isBad ? results.filter(isLate).length : 0
  const ends = results.map(({ doneAt, backAt }) => doneAt ?? backAt ?? Infinity)
  console.log([
    scenario, results.filter(({ doneAt }) => doneAt !== undefined).length, results.filter(({ backAt }) => backAt !== undefined).length,
    Math.max(...ends) / 1_000, exposed[Math.floor(exposed.length / 2)], exposed.at(-1), overBound, late
  ].join(' | '))
}
