import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { ManualClock } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import { SlotGate, type ISlotTicket } from './SlotGate.js'

let clock: ManualClock
let gate: SlotGate
let events: string[]

function ask (name: string, callClass = CallClass.CALL_CLASS_NORMAL, remainingMs = 10_000, queueLimit = 3): ISlotTicket {
  return gate.acquire({
    callClass,
    remainingMs,
    queueLimit,
    onGranted: () => events.push(`${name} granted`),
    onRefused: reason => events.push(`${name} ${reason}`)
  })
}

beforeEach(() => {
  clock = new ManualClock()
  gate = new SlotGate(clock, 1)
  events = []
})

test('important class goes first', () => {
  const running = ask('a')
  ask('low', CallClass.CALL_CLASS_LOW)
  ask('first', CallClass.CALL_CLASS_FIRST)
  running.release()
  expect(events).toEqual(['a granted', 'first granted'])
})

test('low class does not starve', async () => {
  let running = ask('a')
  ask('low', CallClass.CALL_CLASS_LOW)
  for (let index = 0; index < 20; index++) {
    await clock.advance(100)
    const next = ask(`f${index}`, CallClass.CALL_CLASS_FIRST)
    running.release()
    running = next
  }
  expect(events).toContain('low granted')
})

test('full queue sheds the lowest class', () => {
  ask('a')
  for (const name of ['b', 'c', 'd']) ask(name, CallClass.CALL_CLASS_LOW)
  ask('first', CallClass.CALL_CLASS_FIRST)
  ask('low', CallClass.CALL_CLASS_LOW)
  expect(events).toEqual(['a granted', 'd shed', 'low queue-full'])
})

test('call that cannot make its deadline is refused at once', async () => {
  const slow = ask('a')
  await clock.advance(10_000)
  slow.release()
  ask('b')
  ask('c', CallClass.CALL_CLASS_NORMAL, 500)
  expect(events.at(-1)).toBe('c deadline-queue')
})

test('queued call is refused when its deadline passes', async () => {
  ask('a')
  ask('b', CallClass.CALL_CLASS_NORMAL, 200)
  await clock.advance(200)
  expect(events).toEqual(['a granted', 'b deadline-queue'])
})

test('call that others wait for goes before older ones that nobody waits for', async () => {
  const running = ask('a')
  ask('old')
  await clock.advance(700)
  ask('awaited', CallClass.CALL_CLASS_FIRST)
  running.release()
  expect(events).toEqual(['a granted', 'awaited granted'])
})

test('own usual time counts, not that of other calls', async () => {
  const slow = ask('a')
  await clock.advance(10_000)
  slow.release()
  ask('b')
  const request = { callClass: CallClass.CALL_CLASS_NORMAL, remainingMs: 10_000, queueLimit: 3, onGranted: () => {} }
  gate.acquire({ ...request, objectiveMs: 1_100, expectedMs: 50, onRefused: () => events.push('short refused') })
  gate.acquire({ ...request, objectiveMs: 1_100, expectedMs: 500, onRefused: () => events.push('long refused') })
  expect(events.slice(-1)).toEqual(['long refused'])
})

test('random orders never exceed the slots and lose no call', () => {
  const step = fc.record({ isAsk: fc.boolean(), callClass: fc.integer({ min: 1, max: 4 }), pick: fc.nat(20) })
  fc.assert(fc.property(fc.array(step, { maxLength: 80 }), fc.integer({ min: 1, max: 4 }), (steps, slots) => {
    gate = new SlotGate(new ManualClock(), slots)
    const open: Array<{ state: 'queued' | 'running' | 'refused', ticket?: ISlotTicket }> = []
    for (const { isAsk, callClass, pick } of steps) {
      if (isAsk) {
        const call: typeof open[number] = { state: 'queued' }
        open.push(call)
        call.ticket = gate.acquire({
          callClass, remainingMs: 1e6, queueLimit: 5, onGranted: () => { call.state = 'running' }, onRefused: () => { call.state = 'refused' }
        })
      } else if (open.length > 0) {
        const [call] = open.splice(pick % open.length, 1)
        call?.ticket?.release()
      }
      const running = open.filter(call => call.state === 'running').length
      const queued = open.filter(call => call.state === 'queued').length
      expect(running).toBeLessThanOrEqual(slots)
      expect(gate.load).toMatchObject({ inFlight: running, queued })
      if (running < slots) expect(queued).toBe(0)
    }
  }), { seed: 9, numRuns: 300 })
})
