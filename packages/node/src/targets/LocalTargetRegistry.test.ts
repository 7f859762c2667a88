import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { ManualClock, Metrics, NullLog, SeededRandom } from '@lagoonswitch/common'
import { EndpointView } from '@lagoonswitch/feed'
import { EndpointState } from '@lagoonswitch/schema'
import { TargetPool } from '@lagoonswitch/traffic'
import { LagoonDialect } from '../calls/CallDialect.js'
import type { ITargetAnnouncement } from './LocalTarget.js'
import { LocalTargetRegistry } from './LocalTargetRegistry.js'

const LEASE_MS = 3_000
const { ENDPOINT_STATE_READY: READY, ENDPOINT_STATE_DRAINING: DRAINING, ENDPOINT_STATE_GONE: GONE } = EndpointState
let clock: ManualClock
let endpoints: EndpointView
let registry: LocalTargetRegistry

function createRegistry (incarnation: number): LocalTargetRegistry {
  return new LocalTargetRegistry({
    node: 'n1',
    region: 'r1',
    availabilityZone: 'z1',
    linkAddress: 'link',
    incarnation,
    leaseMs: LEASE_MS,
    clock,
    log: new NullLog(),
    metrics: new Metrics(),
    endpoints,
    dialect: new LagoonDialect(),
    canTakeRepeat: () => true
  })
}

function announce (fields: Partial<ITargetAnnouncement> = {}): string {
  const bornMs = fields.bornMs ?? 1_000
  return registry.announce({
    id: 't1',
    service: 'desk',
    version: 'v1',
    address: '127.0.0.1:1',
    slots: 4,
    connections: 9,
    instance: String(bornMs),
    sequence: 1,
    warmupMs: 0,
    ...fields,
    bornMs
  })
}

function getState (id = 't1'): EndpointState | undefined {
  return endpoints.getRecord(id)?.state
}

beforeEach(() => {
  clock = new ManualClock()
  endpoints = new EndpointView()
  registry = createRegistry(10)
})

test('announcement that arrives after a later one changes nothing', () => {
  announce({ sequence: 5 })
  expect(announce({ sequence: 4, slots: 9 })).toBe('stale')
  expect(announce({ sequence: 9, bornMs: 999 })).toBe('stale')
  expect(endpoints.getRecord('t1')?.slots).toBe(4)
})

test('late announcement does not restore a withdrawn target', () => {
  announce({ sequence: 5 })
  registry.withdraw('t1', 1_000, 6)
  expect(announce({ sequence: 7 })).toBe('stale')
  expect(getState()).toBe(DRAINING)
})

test('target that starts again with the same id takes calls', () => {
  announce()
  registry.withdraw('t1', 1_000)
  expect(announce({ bornMs: 2_000 })).toBe('taken')
  expect(getState()).toBe(READY)
})

test('withdrawal that arrives before any heartbeat makes late ones stale', () => {
  expect(registry.withdraw('t1', 1_000, 4)).toBe(false)
  expect(announce({ sequence: 3 })).toBe('stale')
  expect(getState()).toBeUndefined()
})

// Guards against calls to a target that a restarted node knows by its record only, if the clock was set back since the target started.
test('withdrawal without a start holds for the recorded start, even if that is in the future', () => {
  const bornMs = clock.readWallTime().getTime()
  announce({ bornMs })
  registry.dispose()
  clock.stepWall(-60_000)
  registry = createRegistry(11)
  registry.withdraw('t1')
  expect(announce({ bornMs, sequence: 9 })).toBe('stale')
  expect(announce({ bornMs: bornMs + 1 })).toBe('taken')
})

test('withdrawal of an earlier instance does not affect the current one', () => {
  announce({ bornMs: 2_000 })
  registry.withdraw('t1', 1_000)
  expect(getState()).toBe(READY)
})

test('restarted node keeps a withdrawal that it acknowledged before', () => {
  announce({ sequence: 3 })
  registry.withdraw('t1', 1_000, 4)
  registry.dispose()
  registry = createRegistry(11)
  expect(announce({ sequence: 2 })).toBe('stale')
  expect(announce({ sequence: 9 })).toBe('stale')
  expect(getState()).toBe(DRAINING)
})

test('restarted node keeps the withdrawal of a target that states an instance only', async () => {
  const announcement: ITargetAnnouncement = {
    id: 't1', service: 'desk', version: 'v1', address: '127.0.0.1:1', slots: 4, connections: 9, instance: 'run-1'
  }
  registry.announce(announcement)
  registry.withdraw('t1')
  registry.dispose()
  registry = createRegistry(20)
  registry.announce(announcement)
  expect(getState()).toBe(DRAINING)
  await clock.advance(LEASE_MS / 2)
  registry.announce(announcement)
  expect(getState()).toBe(DRAINING)
  registry.announce({ ...announcement, instance: 'run-2' })
  expect(getState()).toBe(READY)
})

// After a restart of all processes no endpoint record of the target is left; only the recorded withdrawal is.
test.each([[1_000, 1_001], [0, 5_001]])(
  'late announcement of a target whose recorded withdrawal states the start %s is stale, that of a later start is not',
  (targetBorn, laterBornMs) => {
    registry.restoreWithdrawals([{ targetId: 't1', node: 'n1', targetBorn, instance: '', withdrawnMs: 5_000, recordedMs: 5_000 }])
    expect(announce({ bornMs: 1_000, sequence: 9 })).toBe('stale')
    expect(announce({ bornMs: laterBornMs, sequence: 1 })).toBe('taken')
    expect(getState()).toBe(READY)
  })

test('target that states an instance only stays withdrawn by its recorded withdrawal', () => {
  registry.restoreWithdrawals([
    { targetId: 't1', node: 'n1', targetBorn: 0, instance: 'run-1', withdrawnMs: 5_000, recordedMs: 5_000 }
  ])
  const announcement: ITargetAnnouncement = {
    id: 't1', service: 'desk', version: 'v1', address: '127.0.0.1:1', slots: 4, connections: 9, instance: 'run-1'
  }
  registry.announce(announcement)
  expect(getState()).toBe(DRAINING)
  registry.announce({ ...announcement, instance: 'run-2' })
  expect(getState()).toBe(READY)
})

test('recorded withdrawal does not replace one that arrived since the start', () => {
  registry.withdraw('t1', 2_000)
  registry.restoreWithdrawals([{ targetId: 't1', node: 'n1', targetBorn: 1_000, instance: '', withdrawnMs: 5_000, recordedMs: 5_000 }])
  expect(announce({ bornMs: 2_000 })).toBe('stale')
})

test('records of a restarted node whose wall clock was set back are accepted', () => {
  announce({ sequence: 3 })
  registry.dispose()
  registry = createRegistry(2)
  expect(announce({ sequence: 4 })).toBe('taken')
  expect(getState()).toBe(READY)
  registry.withdraw('t1', 1_000, 5)
  expect(getState()).toBe(DRAINING)
})

test('target at the address of another one replaces it', () => {
  announce()
  announce({ id: 't2', service: 'press' })
  expect([getState(), getState('t2')]).toEqual([GONE, READY])
})

test('stop of the node does not withdraw its targets', () => {
  announce({ sequence: 3 })
  registry.drain()
  expect(getState()).toBe(DRAINING)
  registry.dispose()
  registry = createRegistry(11)
  expect(announce({ sequence: 4 })).toBe('taken')
  expect(getState()).toBe(READY)
})

test('target without heartbeats is gone after its lease', async () => {
  announce()
  await clock.advance(LEASE_MS + 1)
  expect(getState()).toBe(GONE)
})

test('removal by a process that lost contact is refuted', () => {
  announce()
  const record = endpoints.getRecord('t1')
  if (record !== undefined) endpoints.markGone([record])
  expect(getState()).toBe(READY)
})

// Guards against a node that refuses all calls to its own target for good: the pool learnt of the refutation before the removal.
test('target whose removal is refuted stays in the pool of its own node', () => {
  const pool = new TargetPool({
    region: 'r1', availabilityZone: 'z1', linkAddress: 'link', clock, random: new SeededRandom(1), metrics: new Metrics(), endpoints
  })
  announce()
  expect(pool.countTargets('desk', 'v1')).toBe(1)
  const record = endpoints.getRecord('t1')
  if (record !== undefined) endpoints.markGone([record])
  expect(getState()).toBe(READY)
  expect(pool.countTargets('desk', 'v1')).toBe(1)
})

// Guards against calls to a target that has withdrawn: an announcement without a start seemed newer than any other one.
test.each([
  'ready', 'withdrawn', 'gone', 'of an earlier process', 'recorded as withdrawn'
])('announcement without a start is stale: target %s', async state => {
  if (state === 'recorded as withdrawn') {
    registry.restoreWithdrawals([{ targetId: 't1', node: 'n1', targetBorn: 1_000, instance: '', withdrawnMs: 5_000, recordedMs: 5_000 }])
  } else {
    announce({ sequence: 5 })
  }
  if (state === 'withdrawn') registry.withdraw('t1', 1_000, 6)
  if (state === 'gone') await clock.advance(LEASE_MS + 1)
  if (state === 'of an earlier process') {
    registry.dispose()
    registry = createRegistry(11)
  }
  const before = endpoints.getRecord('t1')
  expect(registry.announce({
    id: 't1', service: 'desk', version: 'v1', address: '127.0.0.1:1', slots: 9, connections: 9, instance: '', sequence: 1
  })).toBe('stale')
  expect(endpoints.getRecord('t1')).toEqual(before)
})

// Guards against any order of late, repeated and foreign announcements that restores a withdrawn instance or shuts out a newer one.
test('withdrawn instance stays out and a newer one comes in, in any order of what arrives', () => {
  const message = fc.record({
    kind: fc.constantFrom('announce', 'announce', 'withdraw', 'foreign'),
    bornMs: fc.constantFrom(1_000, 2_000, 3_000),
    sequence: fc.integer({ min: 1, max: 6 })
  })
  fc.assert(fc.property(fc.array(message, { minLength: 1, maxLength: 25 }), messages => {
    endpoints = new EndpointView()
    registry = createRegistry(10)
    const announced = new Set<number>()
    let withdrawnMs = 0
    for (const { kind, bornMs, sequence } of messages) {
      if (kind === 'announce') {
        announce({ bornMs, sequence })
        announced.add(bornMs)
      } else if (kind === 'withdraw') {
        registry.withdraw('t1', bornMs, sequence)
        withdrawnMs = Math.max(withdrawnMs, bornMs)
      } else if (announced.size > 0 || withdrawnMs > 0) {
        registry.announce({ id: 't1', service: 'desk', version: 'v1', address: '127.0.0.1:1', slots: 9, connections: 9, instance: '', sequence })
      }
      const newestMs = Math.max(0, ...announced)
      const record = endpoints.getRecord('t1')
      expect(record?.state === READY).toBe(newestMs > withdrawnMs)
      if (newestMs > withdrawnMs) expect([record?.targetBorn, record?.slots]).toEqual([newestMs, 4])
    }
    registry.dispose()
  }), { seed: 9, numRuns: 500 })
})
