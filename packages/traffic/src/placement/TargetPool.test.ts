import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, SeededRandom } from '@lagoonswitch/common'
import { EndpointView } from '@lagoonswitch/feed'
import { CallClass, EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import { ReportedTimes } from './ReportedTimes.js'
import { TargetPool, type ITargetState } from './TargetPool.js'

const NONE = new Set<string>()
const WARM_MS = 20_000
let clock: ManualClock
let endpoints: EndpointView
let pool: TargetPool

function add (targetId: string, fields: Partial<EndpointRecord> = {}): void {
  endpoints.merge([{
    targetId,
    incarnation: 1,
    sequence: 1,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 's',
    version: 'v1',
    linkAddress: `link-${targetId}`,
    region: 'r1',
    availabilityZone: 'z1',
    slots: 4,
    node: targetId,
    ...fields
  }])
}

function pick (): ITargetState {
  const state = pool.pickTarget('s', 'v1', NONE)
  if (state === undefined) throw new Error('no target')
  return state
}

function countPicks (times = 200): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let index = 0; index < times; index++) {
    const { targetId } = pick().record
    counts[targetId] = (counts[targetId] ?? 0) + 1
  }
  return counts
}

function finish (state: ITargetState, outcome: 'good' | 'failed', latencyMs = 5): void {
  pool.recordStart(state)
  pool.recordEnd(state, outcome, latencyMs)
}

beforeEach(() => {
  clock = new ManualClock()
  endpoints = new EndpointView()
  pool = new TargetPool({
    region: 'r1',
    availabilityZone: 'z1',
    linkAddress: 'link-own',
    clock,
    random: new SeededRandom(1),
    metrics: new Metrics(),
    endpoints
  })
})

test('target of this VM is preferred until it is loaded', () => {
  add('own')
  add('near')
  expect(countPicks()).toEqual({ own: 200 })
  const own = pick()
  for (let index = 0; index < 3; index++) pool.recordStart(own)
  expect(countPicks().near).toBeGreaterThan(0)
})

test('own availability zone is preferred, and others are used before it is overloaded', () => {
  add('near')
  add('far', { availabilityZone: 'z2' })
  expect(countPicks()).toEqual({ near: 200 })
  const near = pick()
  for (let index = 0; index < 4; index++) pool.recordStart(near)
  expect(countPicks().far).toBeGreaterThan(0)
})

test('cold target takes fewer calls', async () => {
  for (const id of ['a', 'b', 'c']) add(id)
  await clock.advance(WARM_MS)
  add('cold')
  expect(countPicks(400).cold ?? 0).toBeLessThan(60)
  await clock.advance(WARM_MS)
  expect(countPicks(400).cold).toBeGreaterThan(60)
})

test('failing target is ejected and comes back', async () => {
  for (const id of ['a', 'b', 'c']) add(id)
  const bad = pick()
  for (let index = 0; index < 10; index++) finish(bad, 'failed')
  expect(countPicks()[bad.record.targetId]).toBeUndefined()
  await clock.advance(5_000)
  expect(countPicks()[bad.record.targetId]).toBeGreaterThan(0)
})

test('most of the pool is never ejected', () => {
  for (const id of ['a', 'b', 'c', 'd']) add(id)
  for (let index = 0; index < 200; index++) finish(pick(), 'failed')
  expect(Object.keys(countPicks()).length).toBeGreaterThanOrEqual(2)
})

test('slow target takes fewer calls', async () => {
  add('fast')
  add('slow')
  await clock.advance(WARM_MS)
  for (let index = 0; index < 50; index++) {
    const state = pick()
    finish(state, 'good', state.record.targetId === 'slow' ? 50 : 5)
  }
  const counts = countPicks()
  expect(counts.slow ?? 0).toBeLessThan(counts.fast ?? 0)
})

test('withdrawn and gone targets take no calls', () => {
  add('a')
  add('b', { state: EndpointState.ENDPOINT_STATE_DRAINING })
  add('c', { state: EndpointState.ENDPOINT_STATE_GONE })
  expect(countPicks()).toEqual({ a: 200 })
})

test('calls wait in their own zone, and in others only if their own has no target', () => {
  add('near')
  add('far', { availabilityZone: 'z2' })
  const [near, far] = ['near', 'far'].map(id => {
    const state = pool.pickTarget('s', 'v1', new Set([id === 'near' ? 'far' : 'near']))
    if (state === undefined) throw new Error('no target')
    return state
  }) as [ITargetState, ITargetState]
  const normal = CallClass.CALL_CLASS_NORMAL
  expect([pool.isLimitedToSpareSlots(near, normal), pool.isLimitedToSpareSlots(far, normal)]).toEqual([false, true])
  expect(pool.isLimitedToSpareSlots(far, CallClass.CALL_CLASS_FIRST)).toBe(false)
  endpoints.merge([{ ...near.record, state: EndpointState.ENDPOINT_STATE_GONE, sequence: 2 }])
  expect(pool.isLimitedToSpareSlots(far, normal)).toBe(false)
})

test('target of another zone that reported no free slot is not picked', () => {
  add('near')
  add('far', { availabilityZone: 'z2' })
  const far = pool.pickTarget('s', 'v1', new Set(['near']))
  if (far === undefined) throw new Error('no target')
  pool.recordLoad(far, { inFlight: 4, slots: 4, queued: 0, served: 9, serviceMs: 0, isRepeatDenied: false }, 'r')
  const near = pick()
  for (let index = 0; index < 12; index++) pool.recordStart(near)
  expect(countPicks()).toEqual({ near: 200 })
  expect(pool.pickTarget('s', 'v1', new Set(['near']))).toBeUndefined()
})

test('call that a target of another zone refused for lack of a free slot is sent to no target of another zone', () => {
  add('near')
  add('far', { availabilityZone: 'z2' })
  const criteria = { route: 'r', objectiveLeftMs: 100 }
  expect(pool.pickTarget('s', 'v1', new Set(['near']), criteria)?.record.targetId).toBe('far')
  expect(pool.pickTarget('s', 'v1', new Set(['near']), { ...criteria, isSpareExcluded: true })).toBeUndefined()
})

test('large response that is unlikely to be in time is not fetched from another zone', () => {
  add('near')
  add('far', { availabilityZone: 'z2' })
  const near = pick()
  for (let index = 0; index < 60; index++) {
    pool.recordServiceTime(near, 'r', 200)
    pool.recordResponseBytes('r', 5_000)
  }
  const pickFar = (objectiveLeftMs: number): ITargetState | undefined =>
    pool.pickTarget('s', 'v1', new Set(['near']), { route: 'r', objectiveLeftMs })
  expect(pickFar(2_000)?.record.targetId).toBe('far')
  expect(pickFar(250)).toBeUndefined()
})

test('slowdown that a target reports shortens no comparison with its usual time, by which hangs of a slow service are told apart', async () => {
  pool = new TargetPool({
    region: 'r1',
    availabilityZone: 'z1',
    linkAddress: 'link-own',
    clock,
    random: new SeededRandom(1),
    metrics: new Metrics(),
    endpoints,
    reportedTimes: new ReportedTimes(new SeededRandom(1))
  })
  add('a')
  await clock.advance(WARM_MS)
  const state = pick()
  const load = { inFlight: 1, slots: 4, queued: 0, served: 9, serviceMs: 100, isRepeatDenied: false }
  for (let index = 0; index < 50; index++) pool.recordServiceTime(state, 'r', 100)
  pool.recordLoad(state, { ...load, expectedMs: 500 }, 'r')
  expect(pool.computeExpectedMs(state, 'r')).toBe(500)
  expect(pool.computeUsualMs(state, 'r')).toBeLessThan(150)
})
