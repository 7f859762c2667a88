/**
 * Compares orders of the queue before a target, with the same seeded calls for each order: the SlotLimiter of lagoonswitch and
 * three baselines. A refused caller retries up to twice, after the time that the refusal gives, but at most a third of its
 * remaining time.
 * Usage: node bench/queue-orders.mjs [SECONDS] [SEED]
 */
import { ManualClock, SeededRandom } from '@lagoonswitch/common'
import { SlotLimiter } from '@lagoonswitch/node'
import { CallClass } from '@lagoonswitch/schema'

const DURATION_S = Number(process.argv[2] ?? 60)
const SEED = Number(process.argv[3] ?? 1)
const SLOTS = 9
const STEP_MS = 5
const LOG_NORMAL_SIGMA = 0.8
const MAX_RETRIES = 2
const LATE_PAYOFF_FACTOR = 0.3
const LOADS = [0.7, 0.95, 1.2, 1.6, 2.5]
const CALL_KINDS = [
  { name: 'normal', callClass: CallClass.CALL_CLASS_NORMAL, share: 0.77, meanMs: 220, objectiveMs: 600, worth: 1 },
  { name: 'high', callClass: CallClass.CALL_CLASS_HIGH, share: 0.23, meanMs: 290, objectiveMs: 800, worth: 2 }
]
const CALL_DEADLINE_MS = 4_000
const QUEUE_LIMIT = 32

/** Limits concurrency with a plain queue, which doesn't forecast waiting times: a call waits until its latency objective has passed. */
class BaselineLimiter {
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

const QUEUE_ORDERS = {
  'oldest first': clock => new BaselineLimiter(clock, (a, b) => a.place - b.place),
  'newest first': clock => new BaselineLimiter(clock, (a, b) => b.place - a.place),
  'strict classes': clock => new BaselineLimiter(clock, (a, b) => a.callClass - b.callClass || a.place - b.place),
  'slot limiter': clock => new SlotLimiter(clock, SLOTS)
}

function drawStandardNormal (random) {
  return Math.sqrt(-2 * Math.log(1 - random.draw())) * Math.cos(2 * Math.PI * random.draw())
}

/** Draws arrivals and service times from the seed, so that each order gets the same calls. */
function drawCalls (load) {
  const random = new SeededRandom(SEED)
  const meanMs = CALL_KINDS.reduce((sum, kind) => sum + kind.share * kind.meanMs, 0)
  const meanGapMs = meanMs / SLOTS / load
  const calls = []
  for (let atMs = 0; atMs < DURATION_S * 1_000; atMs += -Math.log(1 - random.draw()) * meanGapMs) {
    const kind = random.draw() < CALL_KINDS[0].share ? CALL_KINDS[0] : CALL_KINDS[1]
    calls.push({ atMs, kind, workMs: kind.meanMs * Math.exp(LOG_NORMAL_SIGMA * drawStandardNormal(random) - LOG_NORMAL_SIGMA ** 2 / 2) })
  }
  return calls
}

function send (clock, limiter, call, retriesMade) {
  const nowMs = clock.readMonotonicMs()
  const leftMs = CALL_DEADLINE_MS - (nowMs - call.startMs)
  if (leftMs <= 0) return
  const { kind } = call
  const ticket = limiter.acquire({
    callClass: kind.callClass,
    remainingMs: leftMs,
    objectiveMs: Math.max(1, kind.objectiveMs - (nowMs - call.startMs)),
    expectedMs: kind.meanMs,
    queueLimit: QUEUE_LIMIT,
    onGranted: () => {
      clock.schedule(call.workMs, () => {
        call.endMs = clock.readMonotonicMs()
        // onGranted may run before acquire has returned the ticket.
        queueMicrotask(() => ticket.release())
      })
    },
    onRefused: (_reason, retryAfterMs) => {
      if (retriesMade < MAX_RETRIES) clock.schedule(Math.min(retryAfterMs, leftMs / 3), () => send(clock, limiter, call, retriesMade + 1))
    }
  })
}

async function runOrder (createLimiter, load) {
  const clock = new ManualClock()
  const limiter = createLimiter(clock)
  const calls = drawCalls(load)
  let next = 0
  for (let nowMs = 0; nowMs < DURATION_S * 1_000 + CALL_DEADLINE_MS * 2; nowMs += STEP_MS) {
    for (; calls[next]?.atMs <= nowMs; next++) {
      calls[next].startMs = nowMs
      send(clock, limiter, calls[next], 0)
    }
    await clock.advance(STEP_MS)
  }
  return calls
}

function summarizeCalls (calls) {
  const result = { earned: 0, owed: 0, late: 0, unserved: 0 }
  const inTime = new Map(CALL_KINDS.map(kind => [kind.name, { all: 0, good: 0 }]))
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
      result.earned += kind.worth * LATE_PAYOFF_FACTOR
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
  for (const [name, createLimiter] of Object.entries(QUEUE_ORDERS)) {
    console.log(`| ${load} | ${name} | ${summarizeCalls(await runOrder(createLimiter, load)).join(' | ')} |`)
  }
}
