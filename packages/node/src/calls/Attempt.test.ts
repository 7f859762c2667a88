import { expect, test } from 'vitest'
import { ManualClock, Metrics } from '@lagoonswitch/common'
import { EndpointRecord } from '@lagoonswitch/schema'
import { ServicePace, TargetState } from '@lagoonswitch/traffic'
import { Attempt } from './Attempt.js'
import type { ICallContext } from './CallContext.js'
import type { ICallEvents } from './CallTypes.js'

const WARMUP_MS = 3_000
const SERVICE_MS = 400
const LOAD = { inFlight: 1, slots: 4, queued: 0, serviceMs: SERVICE_MS, isRepeatDenied: false }

test.each([
  ['cold', WARMUP_MS - 1, 1, false], ['warm', WARMUP_MS, 1, true], ['of many calls', 0, 51, true]
])('latency of a target that is %s is evidence for its version: sent at %d ms, %d calls', async (_name, sentMs, served, isEvidence) => {
  const clock = new ManualClock()
  const target = new TargetState(EndpointRecord.fromPartial({ targetId: 't', version: 'v2', warmupMs: WARMUP_MS }), 0)
  const latencies: Array<number | undefined> = []
  const context = {
    clock,
    metrics: new Metrics(),
    pace: new ServicePace(clock),
    pool: { recordStart: () => {}, recordEnd: () => {}, recordLoad: () => {}, recordServiceTime: () => {}, computeUsualMs: () => 0 },
    evidence: {
      recordOutcome: (_service: string, _version: string, _route: string, _target: string, _isFailure: boolean, latencyMs?: number) => {
        latencies.push(latencyMs)
      }
    }
  } as unknown as ICallContext
  await clock.advance(sentMs)
  const attempt = new Attempt(context, { key: 'r' } as never, target, { onHead: () => {} } as unknown as ICallEvents)
  await clock.advance(SERVICE_MS)
  attempt.onHead(200, [], { ...LOAD, served })
  expect(latencies).toEqual([isEvidence ? SERVICE_MS : undefined])
})

// Uploads would be sent to other zones as if their bodies cost nothing.
test('body of a request counts in the usual bytes of its route', () => {
  const recorded: Array<[string, number]> = []
  const clock = new ManualClock()
  const context = {
    clock,
    metrics: new Metrics(),
    pace: new ServicePace(clock),
    pool: {
      recordStart: () => {},
      recordEnd: () => {},
      recordLoad: () => {},
      recordServiceTime: () => {},
      recordRunTime: () => {},
      computeExpectedMs: () => 0,
      computeUsualMs: () => 0,
      recordResponseBytes: (route: string, bytes: number) => recorded.push([route, bytes])
    },
    evidence: { recordOutcome: () => {} }
  } as unknown as ICallContext
  const events = { onHead: () => {}, onData: () => {}, onEnd: () => {} } as unknown as ICallEvents
  const target = new TargetState(EndpointRecord.fromPartial({ targetId: 't' }), 0)
  const attempt = new Attempt(context, { key: 'r', isBulkBody: true } as never, target, events)
  attempt.requestBytes = 60_000
  attempt.onHead(200, [], { ...LOAD, served: 1 })
  attempt.onData(Buffer.alloc(100))
  attempt.onEnd()
  expect(recorded).toEqual([['r', 60_100]])
})
