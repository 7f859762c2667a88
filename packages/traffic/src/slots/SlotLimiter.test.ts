import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { ManualClock } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import { SlotLimiter, type ISlotTicket } from './SlotLimiter.js'

let clock: ManualClock
let limiter: SlotLimiter
let events: string[]

function acquireSlot (name: string, callClass = CallClass.CALL_CLASS_NORMAL, remainingMs = 10_000, queueLimit = 3): ISlotTicket {
  return limiter.acquire({
    callClass,
    remainingMs,
    queueLimit,
    onGranted: () => events.push(`${name} granted`),
    onRefused: reason => events.push(`${name} ${reason}`)
  })
}

beforeEach(() => {
  clock = new ManualClock()
  limiter = new SlotLimiter(clock, 1)
  events = []
})

test('call of the first class goes first', () => {
  const running = acquireSlot('a')
  acquireSlot('low', CallClass.CALL_CLASS_LOW)
  acquireSlot('first', CallClass.CALL_CLASS_FIRST)
  running.release()
  expect(events).toEqual(['a granted', 'first granted'])
})

test('low class does not starve', async () => {
  let running = acquireSlot('a')
  acquireSlot('low', CallClass.CALL_CLASS_LOW)
  for (let index = 0; index < 20; index++) {
    await clock.advance(100)
    const next = acquireSlot(`f${index}`, CallClass.CALL_CLASS_FIRST)
    running.release()
    running = next
  }
  expect(events).toContain('low granted')
})

test('full queue sheds the lowest class', () => {
  acquireSlot('a')
  for (const name of ['b', 'c', 'd']) acquireSlot(name, CallClass.CALL_CLASS_LOW)
  acquireSlot('first', CallClass.CALL_CLASS_FIRST)
  acquireSlot('low', CallClass.CALL_CLASS_LOW)
  expect(events).toEqual(['a granted', 'd shed', 'low queue-full'])
})

test('call that cannot meet its deadline is refused at once', async () => {
  const slow = acquireSlot('a')
  await clock.advance(10_000)
  slow.release()
  acquireSlot('b')
  acquireSlot('c', CallClass.CALL_CLASS_NORMAL, 500)
  expect(events.at(-1)).toBe('c deadline-queue')
})

test('queued call is refused when its deadline passes', async () => {
  acquireSlot('a')
  acquireSlot('b', CallClass.CALL_CLASS_NORMAL, 200)
  await clock.advance(200)
  expect(events).toEqual(['a granted', 'b deadline-queue'])
})

test('call that other calls wait for goes before older calls that none waits for', async () => {
  const running = acquireSlot('a')
  acquireSlot('old')
  await clock.advance(700)
  acquireSlot('awaited', CallClass.CALL_CLASS_FIRST)
  running.release()
  expect(events).toEqual(['a granted', 'awaited granted'])
})

test('expected time of the call itself counts, not that of other calls', async () => {
  const slow = acquireSlot('a')
  await clock.advance(10_000)
  slow.release()
  acquireSlot('b')
  const request = { callClass: CallClass.CALL_CLASS_NORMAL, remainingMs: 10_000, queueLimit: 3, onGranted: () => {} }
  limiter.acquire({ ...request, objectiveMs: 1_100, expectedMs: 50, onRefused: () => events.push('short refused') })
  limiter.acquire({ ...request, objectiveMs: 1_100, expectedMs: 500, onRefused: () => events.push('long refused') })
  expect(events.slice(-1)).toEqual(['long refused'])
})

/** Runs calls of 100 ms each, so that this is the usual time, and starts one that keeps running. */
async function startAfterUsualCalls (): Promise<ISlotTicket> {
  for (let index = 0; index < 60; index++) {
    const ticket = acquireSlot('usual')
    await clock.advance(100)
    ticket.release()
  }
  const running = acquireSlot('running')
  events = []
  return running
}

function acquireWithObjective (name: string, objectiveMs: number, callClass = CallClass.CALL_CLASS_NORMAL): ISlotTicket {
  return limiter.acquire({
    callClass,
    remainingMs: 2_000,
    objectiveMs,
    expectedMs: 100,
    queueLimit: 20,
    onGranted: () => events.push(`${name} granted`),
    onRefused: reason => events.push(`${name} ${reason}`)
  })
}

test('oldest goes first in a short burst', async () => {
  const running = await startAfterUsualCalls()
  acquireWithObjective('old', 600)
  await clock.advance(100)
  acquireWithObjective('new', 600)
  running.release()
  expect(events).toEqual(['old granted'])
})

test('newest goes first once the oldest has waited long', async () => {
  const running = await startAfterUsualCalls()
  acquireWithObjective('old', 600)
  await clock.advance(300)
  acquireWithObjective('new', 600)
  running.release()
  expect(events).toEqual(['new granted'])
})

test('call that can no longer be in time is refused while it waits', async () => {
  await startAfterUsualCalls()
  acquireWithObjective('a', 500)
  await clock.advance(400)
  expect(events).toEqual([])
  await clock.advance(50)
  expect(events).toEqual(['a deadline-queue'])
})

test('call whose response will be late goes after those in time, and waits only a short time', async () => {
  const running = await startAfterUsualCalls()
  acquireWithObjective('late', 1)
  acquireWithObjective('timely', 600)
  running.release()
  expect(events).toEqual(['timely granted'])
  await clock.advance(150)
  expect(events).toEqual(['timely granted', 'late deadline-queue'])
})

test('calls in a queue that does not empty wait only a fraction of their objective', async () => {
  await startAfterUsualCalls()
  for (let index = 0; index < 8; index++) {
    acquireWithObjective(`a${index}`, 600)
    await clock.advance(100)
  }
  events = []
  acquireWithObjective('b', 600)
  await clock.advance(179)
  expect(events).not.toContain('b deadline-queue')
  await clock.advance(2)
  expect(events).toContain('b deadline-queue')
})

test('call from another zone takes a free slot and waits for none', () => {
  limiter = new SlotLimiter(clock, 1)
  const request = { callClass: CallClass.CALL_CLASS_HIGH, remainingMs: 1_000, queueLimit: 5, isSpareOnly: true }
  limiter.acquire({ ...request, onGranted: () => events.push('a granted'), onRefused: reason => events.push(`a ${reason}`) })
  limiter.acquire({ ...request, onGranted: () => events.push('b granted'), onRefused: reason => events.push(`b ${reason}`) })
  expect(events).toEqual(['a granted', 'b no-spare'])
})

test('call from another zone leaves some slots to local calls, unless it is of a high class', () => {
  limiter = new SlotLimiter(clock, 4)
  const request = { remainingMs: 1_000, queueLimit: 5, isSpareOnly: true }
  for (const [name, callClass] of [
    ['a', CallClass.CALL_CLASS_NORMAL], ['b', CallClass.CALL_CLASS_NORMAL], ['c', CallClass.CALL_CLASS_NORMAL],
    ['d', CallClass.CALL_CLASS_NORMAL], ['e', CallClass.CALL_CLASS_HIGH]
  ] as const) {
    limiter.acquire({
      ...request, callClass, onGranted: () => events.push(`${name} granted`), onRefused: reason => events.push(`${name} ${reason}`)
    })
  }
  expect(events).toEqual(['a granted', 'b granted', 'c granted', 'd no-spare', 'e granted'])
})

test('no class bears an overload alone', async () => {
  let running: ISlotTicket | undefined = await startAfterUsualCalls()
  const tickets = new Map<string, ISlotTicket>()
  const granted = { high: 0, normal: 0 }
  for (let index = 0; index < 400; index++) {
    // Two calls arrive for each slot that becomes free.
    tickets.set(`high-${index}`, acquireWithObjective(`high-${index}`, 600, CallClass.CALL_CLASS_HIGH))
    tickets.set(`normal-${index}`, acquireWithObjective(`normal-${index}`, 600))
    await clock.advance(100)
    running?.release()
    const last = events.filter(event => event.endsWith('granted')).at(-1)?.split(' ')[0] ?? ''
    running = tickets.get(last)
    granted[last.startsWith('high') ? 'high' : 'normal']++
  }
  expect(granted.high).toBeGreaterThanOrEqual(granted.normal)
  expect(granted.normal).toBeGreaterThanOrEqual(granted.high / 2)
})

test('random requests and releases never exceed the slots and lose no call', () => {
  const step = fc.record({ isRequest: fc.boolean(), callClass: fc.integer({ min: 1, max: 4 }), pick: fc.nat(20) })
  fc.assert(fc.property(fc.array(step, { maxLength: 80 }), fc.integer({ min: 1, max: 4 }), (steps, slots) => {
    limiter = new SlotLimiter(new ManualClock(), slots)
    const open: Array<{ state: 'queued' | 'running' | 'refused', ticket?: ISlotTicket }> = []
    for (const { isRequest, callClass, pick } of steps) {
      if (isRequest) {
        const call: typeof open[number] = { state: 'queued' }
        open.push(call)
        call.ticket = limiter.acquire({
          callClass, remainingMs: 1e6, queueLimit: 5, onGranted: () => { call.state = 'running' }, onRefused: () => { call.state = 'refused' }
        })
      } else if (open.length > 0) {
        const [call] = open.splice(pick % open.length, 1)
        call?.ticket?.release()
      }
      const running = open.filter(call => call.state === 'running').length
      const queued = open.filter(call => call.state === 'queued').length
      expect(running).toBeLessThanOrEqual(slots)
      expect(limiter.load).toMatchObject({ inFlight: running, queued })
      if (running < slots) expect(queued).toBe(0)
    }
  }), { seed: 9, numRuns: 300 })
})

test('slots that are held back after hangs come back one by one, and the last slot stays usable', async () => {
  limiter = new SlotLimiter(clock, 3)
  for (let hang = 0; hang < 5; hang++) limiter.holdBack()
  expect(limiter.load.slots).toBe(1)
  for (const name of ['a', 'b', 'c']) acquireSlot(name)
  expect(events.length).toBe(1)
  await clock.advance(2_999)
  expect(events.length).toBe(1)
  await clock.advance(1)
  expect(events.length).toBe(2)
  await clock.advance(1_000)
  // Waiting calls go newest first by then.
  expect(events).toEqual(['a granted', 'c granted', 'b granted'])
  expect(limiter.load.slots).toBe(3)
})
