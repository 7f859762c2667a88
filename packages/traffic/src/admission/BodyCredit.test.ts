import { ManualClock } from '@lagoonswitch/common'
import { beforeEach, expect, test } from 'vitest'
import { BodyCreditAllocator, CALL_TRANSIT_BYTES, MAX_TRANSIT_BYTES, MAX_WAITING_BYTES, SLOT_BODY_BYTES, type BodyCredit } from './BodyCredit.js'

const BODY_BYTES = 360_000
/** Part of a body that is granted while other bodies have something to send. */
const PART_BYTES = 16_384
let clock: ManualClock
let allocator: BodyCreditAllocator
let limits: string[]

beforeEach(() => {
  clock = new ManualClock()
  limits = []
  allocator = new BodyCreditAllocator(clock, limit => limits.push(limit))
})

/** Opens a body and records what it is granted. */
function open (bodyBytes = BODY_BYTES): { body: BodyCredit, grants: number[] } {
  const grants: number[] = []
  return { body: allocator.open(bodyBytes, bytes => grants.push(bytes)), grants }
}

/** Sends a body as fast as it gets credit, until it gets no more. */
function sendAll (body: BodyCredit, bytes: number): void {
  body.offer(bytes)
  while (body.transitBytes > 0) body.receive(body.transitBytes)
}

// A sender that takes credit without sending would hold the link's share for all others.
test('credit is granted for offered bytes only, at most 64 kB a call', () => {
  const { body, grants } = open()
  expect(grants).toEqual([])
  body.offer(1_000)
  body.offer(BODY_BYTES - 1_000)
  expect(grants).toEqual([1_000, CALL_TRANSIT_BYTES - 1_000])
  body.receive(CALL_TRANSIT_BYTES)
  expect(allocator.waitingBytes).toBe(CALL_TRANSIT_BYTES)
  expect(allocator.transitBytes).toBe(CALL_TRANSIT_BYTES)
})

test('earlier bodies are granted first, and one near its end before them', () => {
  const bodies = Array.from({ length: 6 }, () => open())
  for (const { body } of bodies) body.offer(BODY_BYTES)
  const short = open(10_000)
  short.body.offer(10_000)
  expect([...bodies, short].map(({ grants }) => grants.length)).toEqual([1, 0, 0, 0, 0, 0, 0])
  bodies[0]?.body.receive(CALL_TRANSIT_BYTES)
  expect(short.grants).toEqual([10_000])
  expect(bodies.map(({ grants }) => grants[1] ?? grants[0])).toEqual([PART_BYTES, PART_BYTES, PART_BYTES, undefined, undefined, undefined])
  expect(limits).toContain('transit')
})

// Credit that senders on slow paths or silent VMs hold would stop all uploads to the node.
test('bodies that stall make room for others, up to 512 kB in transit', async () => {
  const bodies = Array.from({ length: 50 }, () => open())
  for (const { body } of bodies) body.offer(BODY_BYTES)
  for (let round = 0; round < 20; round++) {
    await clock.advance(250)
    expect(allocator.transitBytes).toBeLessThanOrEqual(MAX_TRANSIT_BYTES)
  }
  expect(allocator.transitBytes).toBe(MAX_TRANSIT_BYTES)
  expect(bodies.filter(({ grants }) => grants.length > 0).length).toBeGreaterThan(20)
  bodies[0]?.body.close()
  expect(allocator.transitBytes).toBe(MAX_TRANSIT_BYTES)
})

// Bodies that fill the memory halfway each could not be completed and would wait until their deadlines.
test('first body can be completed although the memory is full, and a finished one makes room', () => {
  const bodies = Array.from({ length: 100 }, () => open(SLOT_BODY_BYTES))
  for (const { body } of bodies) sendAll(body, 300_000)
  expect(allocator.waitingBytes + allocator.transitBytes).toBeLessThanOrEqual(MAX_WAITING_BYTES)
  expect(limits).toContain('memory')
  const first = bodies[0]?.body as BodyCredit
  sendAll(first, SLOT_BODY_BYTES - 300_000)
  expect(first.waitingBytes).toBe(SLOT_BODY_BYTES)
  expect(allocator.waitingBytes).toBeLessThanOrEqual(MAX_WAITING_BYTES)
  const before = bodies.reduce((sum, { grants }) => sum + grants.length, 0)
  first.close()
  expect(bodies.reduce((sum, { grants }) => sum + grants.length, 0)).toBeGreaterThan(before)
})

test('body of unknown length is granted 512 kB before its target takes any', () => {
  const { body } = open(0)
  // Parts that don't divide 512 kB left the last bytes before the slot without credit.
  sendAll(body, 30_001)
  sendAll(body, 2_000_000)
  expect(body.waitingBytes).toBe(SLOT_BODY_BYTES)
  body.consume(100_000)
  expect(body.transitBytes).toBe(CALL_TRANSIT_BYTES)
})

test('closed bodies leave nothing behind', () => {
  const bodies = Array.from({ length: 20 }, () => open())
  for (const { body } of bodies) body.offer(BODY_BYTES)
  bodies[0]?.body.receive(10_000)
  for (const { body } of bodies) body.close()
  bodies[0]?.body.receive(10_000)
  expect([allocator.transitBytes, allocator.waitingBytes, allocator.bodyCount]).toEqual([0, 0, 0])
})
