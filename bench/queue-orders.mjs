/**
 * Compares orders of the queue before a target on one seeded run of calls for each load: the product's own gate and three plain
 * ones. Callers that are refused come back up to twice, after the time they are told, at most a third of what they have left.
 * Usage: node bench/queue-orders.mjs [SECONDS] [SEED]
 */
import { ManualClock, SeededRandom } from '@lagoonswitch/common'
import { SlotLimiter } from '@lagoonswitch/node'
import { CallClass } from '@lagoonswitch/schema'

const SECONDS = Number(process.argv[2] ?? 60)
const SEED = Number(process.argv[3] ?? 1)
const SLOTS = 9
const STEP_MS = 5
const SPREAD = 0.8
const RETRIES = 2
const LATE_VALUE = 0.3
const LOADS = [0.7, 0.95, 1.2, 1.6, 2.5]
const KINDS = [
  { name: 'normal', callClass: CallClass.CALL_CLASS_NORMAL, share: 0.77, meanMs: 220, objectiveMs: 600, worth: 1 },
  { name: 'high', callClass: CallClass.CALL_CLASS_HIGH, share: 0.23, meanMs: 290, objectiveMs: 800, worth: 2 }
]
const LIMIT_MS = 4_000
const QUEUE_LIMIT = 32

/** A queue without any forecast: a call waits until its objective is over. */
class PlainGate {
  constructor (clock, compare) {
    this.clock = clock
    this.compare = compare
    this.waiting = []
    this.free = SLOTS
    this.arrivals = 0
  }

  acquire (request) {
    const waiter = { ...request, place: this.arrivals++ }
    if (this.free > 0) {
      this.free--
      waiter.isRunning = true
      request.onGranted()
    } else if (this.waiting.length >= QUEUE_LIMIT) {
      request.onRefused('queue-full', 100)
    } else {
      this.waiting.push(waiter)
      waiter.timer = this.clock.schedule(Math.min(request.remainingMs, request.objectiveMs), () => {
        this.waiting.splice(this.waiting.indexOf(waiter), 1)
        request.onRefused('deadline-queue', 100)
      })
    }
    return { release: () => this.release() }
  }

  release () {
    this.waiting.sort(this.compare)
    const next = this.waiting.shift()
    if (next === undefined) {
      this.free++
      return
    }
    next.timer.dispose()
    next.onGranted()
  }
}

const ORDERS = {
  'oldest first': clock => new PlainGate(clock, (a, b) => a.place - b.place),
  'newest first': clock => new PlainGate(clock, (a, b) => b.place - a.place),
  'strict classes': clock => new PlainGate(clock, (a, b) => a.callClass - b.callClass || a.place - b.place),
  'the product': clock => new SlotLimiter(clock, SLOTS)
}

function drawGauss (random) {
  return Math.sqrt(-2 * Math.log(1 - random.draw())) * Math.cos(2 * Math.PI * random.draw())
}

/** The same calls for each order. */
function drawCalls (load) {
  const random = new SeededRandom(SEED)
  const meanMs = KINDS.reduce((sum, kind) => sum + kind.share * kind.meanMs, 0)
  const gapMs = meanMs / SLOTS / load
  const calls = []
  for (let atMs = 0; atMs < SECONDS * 1_000; atMs += -Math.log(1 - random.draw()) * gapMs) {
    const kind = random.draw() < KINDS[0].share ? KINDS[0] : KINDS[1]
    calls.push({ atMs, kind, workMs: kind.meanMs * Math.exp(SPREAD * drawGauss(random) - SPREAD ** 2 / 2) })
  }
  return calls
}

function send (clock, gate, call, tries) {
  const nowMs = clock.readMonotonicMs()
  const leftMs = LIMIT_MS - (nowMs - call.startMs)
  if (leftMs <= 0) return
  const { kind } = call
  const ticket = gate.acquire({
    callClass: kind.callClass,
    remainingMs: leftMs,
    objectiveMs: Math.max(1, kind.objectiveMs - (nowMs - call.startMs)),
    expectedMs: kind.meanMs,
    queueLimit: QUEUE_LIMIT,
    onGranted: () => {
      clock.schedule(call.workMs, () => {
        call.endMs = clock.readMonotonicMs()
        // The first grant comes before the ticket is there.
        queueMicrotask(() => ticket.release())
      })
    },
    onRefused: (_reason, retryAfterMs) => {
      if (tries < RETRIES) clock.schedule(Math.min(retryAfterMs, leftMs / 3), () => send(clock, gate, call, tries + 1))
    }
  })
}

async function runOrder (createGate, load) {
  const clock = new ManualClock()
  const gate = createGate(clock)
  const calls = drawCalls(load)
  let next = 0
  for (let nowMs = 0; nowMs < SECONDS * 1_000 + LIMIT_MS * 2; nowMs += STEP_MS) {
    for (; calls[next]?.atMs <= nowMs; next++) {
      calls[next].startMs = nowMs
      send(clock, gate, calls[next], 0)
    }
    await clock.advance(STEP_MS)
  }
  return calls
}

function sumUp (calls) {
  const result = { earned: 0, owed: 0, late: 0, unserved: 0 }
  const inTime = new Map(KINDS.map(kind => [kind.name, { all: 0, good: 0 }]))
  for (const { kind, startMs, endMs } of calls) {
    const counts = inTime.get(kind.name)
    counts.all++
    result.owed += kind.worth
    if (endMs === undefined) {
      result.unserved++
    } else if (endMs - startMs <= kind.objectiveMs) {
      counts.good++
      result.earned += kind.worth
    } else {
      result.late++
      result.earned += kind.worth * LATE_VALUE
    }
  }
  const formatShare = (part, whole) => (part / whole).toFixed(3)
  return [
    formatShare(result.earned, result.owed), ...[...inTime.values()].map(({ good, all }) => formatShare(good, all)),
    formatShare(result.late, calls.length), formatShare(result.unserved, calls.length)
  ]
}

console.log('| load | order | payoff | normal in time | high in time | late | not served |')
console.log('|---|---|---|---|---|---|---|')
for (const load of LOADS) {
  for (const [name, createGate] of Object.entries(ORDERS)) {
    console.log(`| ${load} | ${name} | ${sumUp(await runOrder(createGate, load)).join(' | ')} |`)
  }
}
