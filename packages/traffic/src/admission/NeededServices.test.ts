import { beforeEach, expect, test } from 'vitest'
import { ManualClock, SeededRandom, type IRandom } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import { SlotLimiter, type ISlotTicket } from '../slots/SlotLimiter.js'
import { EventClock } from '../testing/EventClock.js'
import { NeededServices, type INeedChange } from './NeededServices.js'

const NEVER_PROBE: IRandom = { draw: () => 0.99 }
let clock: ManualClock
let needed: NeededServices
let changes: INeedChange[]

beforeEach(() => {
  clock = new ManualClock()
  changes = []
  needed = new NeededServices(clock, NEVER_PROBE, change => changes.push(change))
})

function recordNestedCalls (refused: number, served: number, service = 'store'): void {
  for (let index = 0; index < refused + served; index++) needed.recordNestedCall(service, index < refused)
}

test('call is not begun only if its route needs a service that refuses more than half of at least 10 calls', () => {
  needed.recordRun('buy', new Set(['store']))
  needed.recordRun('look', new Set())
  recordNestedCalls(9, 0)
  expect(needed.findRefusal('buy')).toBeUndefined()
  recordNestedCalls(1, 0)
  expect(needed.findRefusal('buy')?.service).toBe('store')
  expect([needed.findRefusal('look'), needed.findRefusal('unknown')]).toEqual([undefined, undefined])
  recordNestedCalls(0, 10)
  expect(needed.findRefusal('buy')).toBeUndefined()
})

test('refusals of more than a second ago do not count', async () => {
  needed.recordRun('buy', new Set(['store']))
  recordNestedCalls(20, 0)
  await clock.advance(800)
  expect(needed.findRefusal('buy')).toBeDefined()
  await clock.advance(400)
  expect(needed.findRefusal('buy')).toBeUndefined()
  expect(changes.map(({ isRefusing }) => isRefusing)).toEqual([true, false])
})

test('route that seldom calls a service does not need it', () => {
  for (let index = 0; index < 100; index++) needed.recordRun('buy', new Set(index % 5 === 0 ? ['store'] : []))
  recordNestedCalls(20, 0)
  expect(needed.findRefusal('buy')).toBeUndefined()
})

test('some calls are begun to notice when the service takes calls again', () => {
  needed = new NeededServices(clock, new SeededRandom(1), () => undefined)
  needed.recordRun('buy', new Set(['store']))
  recordNestedCalls(20, 0)
  const begun = Array.from({ length: 1_000 }, () => needed.findRefusal('buy')).filter(refusal => refusal === undefined).length
  expect(begun).toBeGreaterThan(50)
  expect(begun).toBeLessThan(150)
})

const OUTAGE_MS = [5_000, 11_000] as const
const RUN_MS = 20_000

interface IRunCounts {
  wasted: number
  buys: number
  looks: number
  /** Time after the outage at which 10 purchases had been served. */
  recoveredMs: number
}

/** Runs a target with 13 slots: purchases make two nested calls, of which 85% are refused during an outage; the others make none. */
function runOutage (seed: number, isGuarded: boolean): IRunCounts {
  const events = new EventClock()
  const random = new SeededRandom(seed)
  const guard = new NeededServices(events, random, () => undefined)
  const limiter = new SlotLimiter(events, 13)
  const counts: IRunCounts = { wasted: 0, buys: 0, looks: 0, recoveredMs: 0 }
  let servedAfter = 0
  const callNested = (left: number, onEnd: (isServed: boolean) => void): void => {
    events.schedule(80, () => {
      const nowMs = events.readMonotonicMs()
      const isRefused = nowMs >= OUTAGE_MS[0] && nowMs < OUTAGE_MS[1] && random.draw() < 0.85
      guard.recordNestedCall('store', isRefused)
      if (isRefused || left === 1) onEnd(!isRefused)
      else callNested(left - 1, onEnd)
    })
  }
  const startCall = (isBuy: boolean): void => {
    if (isGuarded && isBuy && guard.findRefusal('buy') !== undefined) return
    const ticket: ISlotTicket = limiter.acquire({
      callClass: CallClass.CALL_CLASS_NORMAL,
      remainingMs: 2_000,
      objectiveMs: 800,
      expectedMs: 250,
      queueLimit: 32,
      onRefused: () => undefined,
      onGranted: () => events.schedule(100, () => {
        if (!isBuy) {
          counts.looks++
          events.schedule(150, () => ticket.release())
          return
        }
        callNested(2, isServed => {
          ticket.release()
          guard.recordRun('buy', new Set(['store']))
          if (isServed) counts.buys++
          else counts.wasted++
          if (isServed && events.readMonotonicMs() > OUTAGE_MS[1] && ++servedAfter === 10) {
            counts.recoveredMs = events.readMonotonicMs() - OUTAGE_MS[1]
          }
        })
      })
    })
  }
  const schedule = (isBuy: boolean): void => {
    events.schedule(-Math.log(1 - random.draw()) * 1_000 / 35, () => {
      if (events.readMonotonicMs() > RUN_MS) return
      startCall(isBuy)
      schedule(isBuy)
    })
  }
  schedule(true)
  schedule(false)
  events.runUntil(RUN_MS + 3_000)
  return counts
}

test.each([1, 2, 3])('calls whose nested calls would be refused leave their slots to others: seed %s', seed => {
  const before = runOutage(seed, false)
  const now = runOutage(seed, true)
  console.log(`seed ${seed}: before ${JSON.stringify(before)}, now ${JSON.stringify(now)}`)
  expect(now.wasted).toBeLessThan(before.wasted / 2)
  expect(now.looks).toBeGreaterThan(before.looks)
  expect(now.recoveredMs).toBeLessThan(1_500)
})
