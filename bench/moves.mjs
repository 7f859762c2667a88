/**
 * Simulates moves to good and bad versions with the move controller of the control VMs, without processes: calls are drawn from
 * a seed, one second at a time, and the controller decides on a simulated clock. The two baselines in the same run are fixed
 * steps by time, and fixed steps with a threshold on the failure rate.
 * Usage: node bench/moves.mjs [REPLAYS]
 */
import { ManualClock, Metrics, NullLog, SeededRandom, computeBucket } from '@lagoonswitch/common'
import { CatalogueStateMachine, MoveController, planSteps } from '@lagoonswitch/control'
import { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import { CatalogueCommand, ChangeCommand, EndpointRecord, EndpointState, MoveStatus, formatEntry, parseEntry } from '@lagoonswitch/schema'

const REPLAYS = Number(process.argv[2] ?? 30)
const MOVE_S = 600
const WATCH_S = 120
const FAILURE_RATE_THRESHOLD = 0.05
/** Bound for ordered moves; the controller requires it, but these replays have no ordered moves. */
const EXPOSURE = { share: 0.1, slack: 50 }
const ROUTES = [['browse', 0.7], ['reserve', 0.29], ['rare', 0.01]]
const BASE_FAILURE_RATE = 0.002
const BASE_LATENCY_MS = 20

/** Returns the added failure probability and the latency factor of one call of the new version, or of both if isCommon is set. */
const SCENARIOS = {
  good: () => ({}),
  'good, common fault': ({ second }) => second > 200 && second < 260 ? { failure: 0.2, isCommon: true } : {},
  'good, one bad VM': ({ target }) => target === 0 ? { failure: 0.5 } : {},
  'fails at once': () => ({ failure: 0.3 }),
  'fails 3% at once': () => ({ failure: 0.03 }),
  'fails late': ({ second }) => second > 300 ? { failure: 0.2 } : {},
  'fails under load': ({ share }) => share >= 0.5 ? { failure: 0.2 } : {},
  'fails on a 1% route': ({ route }) => route === 'rare' ? { failure: 0.5 } : {},
  'slow by 20%': () => ({ slow: 1.2 }),
  'slow by 2x': () => ({ slow: 2 }),
  flapping: ({ second }) => second % 20 < 5 ? { failure: 0.3 } : {},
  'slow leak': ({ second }) => ({ slow: 1 + second / 300 }),
  'fails after done': ({ second }) => second > MOVE_S * 0.95 ? { failure: 0.2 } : {}
}
const GOOD_SCENARIOS = new Set(['good', 'good, common fault', 'good, one bad VM'])

function drawSecond (random, scenario, second, share, rate, targets) {
  const sides = { new: new Map(), old: new Map() }
  let failedByVersion = 0
  for (let call = 0; call < rate; call++) {
    const side = random.draw() < share ? 'new' : 'old'
    let pick = random.draw()
    const route = ROUTES.find(([, weight]) => (pick -= weight) < 0)?.[0] ?? 'browse'
    const target = Math.floor(random.draw() * targets)
    const effect = SCENARIOS[scenario]({ second, share, route, target })
    const applies = side === 'new' || effect.isCommon === true
    const failure = BASE_FAILURE_RATE + (applies ? effect.failure ?? 0 : 0)
    const isFailure = random.draw() < failure
    const latencyMs = BASE_LATENCY_MS * Math.exp((random.draw() + random.draw() + random.draw() - 1.5) * 0.8) * (side === 'new' ? effect.slow ?? 1 : 1)
    if (side === 'new' && isFailure && !effect.isCommon && random.draw() > BASE_FAILURE_RATE / failure) failedByVersion++
    const key = `${route} ${target}`
    const counts = sides[side].get(key) ?? { route, targetId: `${side}-${target}`, calls: 0, failures: 0, latency: new Map() }
    counts.calls++
    if (isFailure) counts.failures++
    const bucket = computeBucket(latencyMs)
    counts.latency.set(bucket, (counts.latency.get(bucket) ?? 0) + 1)
    sides[side].set(key, counts)
  }
  return { sides, failedByVersion }
}

async function replay (policy, scenario, rate, targets, seed) {
  const random = new SeededRandom(seed)
  const clock = new ManualClock()
  const startMs = clock.readWallTime().getTime()
  const store = new CatalogueStore()
  const machine = new CatalogueStateMachine(store)
  const endpoints = new EndpointView()
  const apply = command => machine.apply(CatalogueCommand.encode({ nowMs: clock.readWallTime().getTime(), command }).finish())
  apply({ $case: 'bootstrap', value: { epoch: 1 } })
  const entry = parseEntry({
    entry: 'desk',
    owner: 'o',
    class: 'first',
    limits: { slots: 9, connections: 130 },
    routes: ROUTES.map(([name]) => ({ name, path: `/${name}`, methods: ['GET'], idempotency: 'safe' })),
    version: 'v1',
    move: { to: 'v2', by: new Date(startMs + MOVE_S * 1000).toISOString(), first_share: 0.01, watch: `${WATCH_S}s` }
  }).unwrap()
  apply({
    $case: 'change',
    value: ChangeCommand.fromPartial({
      requestId: 'r', operator: 'o', edits: [{ name: 'desk', expectedVersion: 0, declaration: formatEntry(entry) }]
    })
  })
  endpoints.merge([EndpointRecord.fromPartial({
    targetId: 't',
    incarnation: 1,
    sequence: 1,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 'desk',
    version: 'v2',
    linkAddress: '',
    region: '',
    availabilityZone: '',
    slots: 9,
    node: 'n'
  })])
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
  const steps = planSteps(startMs, startMs + MOVE_S * 1000, 0.01)
  const totals = { newCalls: 0, newFailures: 0 }
  let failed = 0
  let calls = 0
  let status = 'open'
  let doneAt
  let firstFaultAt
  let endedAt
  let share = 0
  for (let second = 0; second < MOVE_S + WATCH_S && status !== 'taken back'; second++) {
    const { sides, failedByVersion } = drawSecond(random, scenario, second, share, rate, targets)
    failed += failedByVersion
    calls += rate
    if (failedByVersion > 0) firstFaultAt ??= second
    await clock.advance(1000)
    if (policy === 'lagoonswitch') {
      const toRecord = version => counts => ({
        service: 'desk',
        version,
        route: counts.route,
        targetId: counts.targetId,
        calls: counts.calls,
        failures: counts.failures,
        latency: { buckets: [...counts.latency.keys()], counts: [...counts.latency.values()] }
      })
      controller.addEvidence([...sides.new.values()].map(toRecord('v2')))
      controller.addEvidence([...sides.old.values()].map(toRecord('v1')))
      await controller.decide()
      const move = store.getMove('desk')
      share = move.status === MoveStatus.MOVE_STATUS_TAKEN_BACK ? 0 : move.sharePpm / 1e6
      if (move.status === MoveStatus.MOVE_STATUS_TAKEN_BACK) status = 'taken back'
    } else {
      for (const counts of sides.new.values()) {
        totals.newCalls += counts.calls
        totals.newFailures += counts.failures
      }
      const isOverThreshold = policy === 'threshold' && totals.newCalls >= 20 && totals.newFailures / totals.newCalls > FAILURE_RATE_THRESHOLD
      const nowMs = startMs + second * 1000
      share = isOverThreshold ? 0 : (steps.findLast(step => step.startMs <= nowMs)?.sharePpm ?? 0) / 1e6
      if (isOverThreshold) status = 'taken back'
    }
    if (share === 1) doneAt ??= second
    if (status === 'taken back') endedAt = second
  }
  return { isDone: doneAt !== undefined && doneAt <= MOVE_S && status !== 'taken back', isTakenBack: status === 'taken back', failed, calls, firstFaultAt, endedAt }
}

const FLEET_SIZES = [['Beaulieu', 60, 7], ['Verband', 40, 6], ['low traffic', 1, 4]]
for (const [label, rate, targets] of FLEET_SIZES) {
  console.log(`${label}: ${rate} calls/s, ${targets} targets of each version, ${REPLAYS} replays of each kind`)
  for (const scenario of Object.keys(SCENARIOS)) {
    const columns = []
    for (const policy of ['lagoonswitch', 'fixed', 'threshold']) {
      const results = []
      for (let seed = 1; seed <= REPLAYS; seed++) results.push(await replay(policy, scenario, rate, targets, seed))
      const share = pick => `${Math.round(results.filter(pick).length / REPLAYS * 100)}%`
      const failedShare = results.reduce((sum, result) => sum + result.failed, 0) / results.reduce((sum, result) => sum + result.calls, 0)
      const times = results.filter(result => result.endedAt !== undefined && result.firstFaultAt !== undefined)
        .map(result => result.endedAt - result.firstFaultAt).sort((a, b) => a - b)
      columns.push(`${policy}: ${GOOD_SCENARIOS.has(scenario) ? `done ${share(result => result.isDone)}` : `taken back ${share(result => result.isTakenBack)}`}` +
        ` failed ${(failedShare * 100).toFixed(3)}%${times.length > 0 ? ` in ${times[Math.floor(times.length / 2)]} s` : ''}`)
    }
    console.log(`  ${scenario.padEnd(20)} ${columns.join(' | ')}`)
  }
}
process.exit(0)
