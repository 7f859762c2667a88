import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { EndpointView } from '@lagoonswitch/feed'
import { CallClass } from '@lagoonswitch/schema'
import { LagoonDialect } from '../calls/CallDialect.js'
import type { ICallEvents, ICallFailure, ICallRequest } from '../calls/CallTypes.js'
import { LocalTargetRegistry } from './LocalTargetRegistry.js'
import { NestedCalls } from './NestedCalls.js'

const REQUEST: ICallRequest = {
  service: 'desk',
  version: 'v1',
  targetId: 't1',
  method: 'GET',
  path: '/buy/7',
  headers: ['accept', 'host', 'host', 'desk.test'],
  remainingMs: 1_000,
  callClass: CallClass.CALL_CLASS_NORMAL,
  callId: '1',
  objectiveMs: 0,
  expectedMs: 0,
  isRetryable: true,
  isSpareOnly: false,
  isRepeat: false,
  isBulk: false,
  owner: 'o',
  account: '',
  body: Buffer.alloc(0),
  isBodyComplete: true,
  slots: 4,
  connections: 4,
  queue: 4
}
let nestedCalls: NestedCalls
let metrics: Metrics
let failures: ICallFailure[]
let registry: LocalTargetRegistry

beforeEach(() => {
  const clock = new ManualClock()
  metrics = new Metrics()
  failures = []
  nestedCalls = new NestedCalls({
    clock,
    random: { draw: () => 0.99 },
    log: new NullLog(),
    metrics,
    findRoute: (host, method, path) => `${host} ${method} ${path.split('/')[1]}`
  })
  registry = new LocalTargetRegistry({
    node: 'n',
    region: 'r',
    availabilityZone: 'z',
    linkAddress: 'link',
    incarnation: 1,
    leaseMs: 60_000,
    clock,
    log: new NullLog(),
    metrics,
    endpoints: new EndpointView(),
    dialect: new LagoonDialect(),
    nestedCalls,
    canTakeRepeat: () => true
  })
  registry.announce({
    id: 't1', service: 'desk', version: 'v1', address: '127.0.0.1:1', slots: 4, connections: 4, instance: '', bornMs: 1, sequence: 1
  })
})

function open (): void {
  const events = { onFailure: (failure: ICallFailure) => failures.push(failure) }
  registry.open(REQUEST, events as unknown as ICallEvents)
}

/** Records a run whose nested calls ended for the reason. */
function recordRun (times: number, reason: string): void {
  const run = { ...REQUEST, path: '/buy/8' }
  for (let index = 0; index < times; index++) nestedCalls.recordNestedCall(run, 'store', reason)
  nestedCalls.recordRun(run, true)
}

test('call whose nested calls are refused is refused as not run before it takes a slot', () => {
  recordRun(12, 'queue-full')
  open()
  expect(failures).toMatchObject([{ reason: 'needed-refused', isNotRun: true }])
  expect(failures[0]?.retryAfterMs).toBeGreaterThan(0)
  expect(registry.listTargets()[0]).toMatchObject({ inFlight: 0, queued: 0 })
  expect(metrics.readCount('calls_not_begun_total', 'store')).toBe(1)
})

test.each(['', 'no-route', 'bad-header'])('nested calls that are not refused for lack of capacity keep no call from its target: %s', reason => {
  recordRun(12, reason)
  expect(nestedCalls.findRefusal(REQUEST)).toBeUndefined()
})

test('run that ended without a nested call does not need the service', () => {
  recordRun(12, 'shed')
  const other = { ...REQUEST, path: '/look' }
  nestedCalls.recordRun(other, true)
  expect(nestedCalls.findRefusal(other)).toBeUndefined()
})
