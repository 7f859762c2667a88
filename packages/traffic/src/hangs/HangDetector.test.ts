import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { HangDetector, type IHang } from './HangDetector.js'
import { ServicePace } from './ServicePace.js'

const RUN_MS = 100
const LIMIT_MS = 3 * RUN_MS

interface IWatched {
  hung: IHang | undefined
  isBusy: boolean
  hasReceived: boolean
  slowReports: number
}

class Bench {
  readonly clock = new ManualClock()
  readonly pace = new ServicePace(this.clock)
  readonly detector = new HangDetector(this.clock, sinceMs => this.pace.isSlow('desk', 't1', sinceMs))

  learn (route: string, durationMs = RUN_MS, runs = 30): void {
    for (let run = 0; run < runs; run++) this.detector.recordFirstByte(route, durationMs)
  }

  watch (route: string): IWatched {
    const watched: IWatched = { hung: undefined, isBusy: false, hasReceived: false, slowReports: 0 }
    this.detector.watch(route, {
      isBusy: () => watched.isBusy,
      hasReceived: () => watched.hasReceived,
      onServiceSlow: () => { watched.slowReports++ },
      onHung: hang => { watched.hung = hang }
    })
    return watched
  }
}

test('call without a first byte is hung after three times the longest run of its route', async () => {
  const bench = new Bench()
  bench.learn('read')
  const call = bench.watch('read')
  await bench.clock.advance(LIMIT_MS - 1)
  expect(call.hung).toBeUndefined()
  await bench.clock.advance(1)
  expect(call.hung).toEqual({ runs: 30, longestMs: RUN_MS, averageMs: RUN_MS, limitMs: LIMIT_MS, waitedMs: LIMIT_MS })
})

test('call of a slow route among fast ones is not hung at their limit', async () => {
  const bench = new Bench()
  bench.learn('read', 10)
  bench.learn('report', 800)
  const slow = bench.watch('report')
  await bench.clock.advance(2_350)
  expect(slow.hung).toBeUndefined()
  await bench.clock.advance(50)
  expect(slow.hung?.limitMs).toBe(2_400)
})

test('call of a fast route is not hung before 250 ms', async () => {
  const bench = new Bench()
  bench.learn('read', 2)
  const call = bench.watch('read')
  await bench.clock.advance(249)
  expect(call.hung).toBeUndefined()
  await bench.clock.advance(1)
  expect(call.hung?.limitMs).toBe(250)
})

test.each([0, 29])('no call is hung while few runs are known: %d', async runs => {
  const bench = new Bench()
  bench.learn('read', RUN_MS, runs)
  const call = bench.watch('read')
  await bench.clock.advance(60_000)
  expect(call.hung).toBeUndefined()
})

test('time of a nested call, or in which the request is sent, does not count', async () => {
  const bench = new Bench()
  bench.learn('read')
  const call = bench.watch('read')
  await bench.clock.advance(200)
  call.isBusy = true
  await bench.clock.advance(5_000)
  call.isBusy = false
  await bench.clock.advance(50)
  expect(call.hung).toBeUndefined()
  await bench.clock.advance(50)
  expect(call.hung?.waitedMs).toBe(LIMIT_MS)
})

test('call of which a part of the response has arrived is not hung', async () => {
  const bench = new Bench()
  bench.learn('read')
  const call = bench.watch('read')
  call.hasReceived = true
  await bench.clock.advance(60_000)
  expect(call.hung).toBeUndefined()
})

// A timer that is late stands for a process that was paused: the response may wait to be read.
test('pause of the own process does not count', async () => {
  const bench = new Bench()
  bench.learn('read')
  const call = bench.watch('read')
  let lateMs = 0
  const readMs = bench.clock.readMonotonicMs.bind(bench.clock)
  bench.clock.readMonotonicMs = () => readMs() + lateMs
  await bench.clock.advance(200)
  lateMs = 10_000
  await bench.clock.advance(50)
  expect(call.hung).toBeUndefined()
  await bench.clock.advance(100)
  expect(call.hung?.waitedMs).toBe(LIMIT_MS)
})

test('no call is hung while all targets of the service are slow', async () => {
  const bench = new Bench()
  bench.learn('read')
  for (const id of ['t1', 't2', 't3']) bench.pace.recordSend('desk', id)
  const call = bench.watch('read')
  await bench.clock.advance(2_000)
  expect([call.hung, call.slowReports]).toEqual([undefined, 1])
})

test('call is hung once most of the other targets answer as usual', async () => {
  const bench = new Bench()
  bench.learn('read')
  const tickets = ['t2', 't3', 't4'].map(id => bench.pace.recordSend('desk', id))
  const call = bench.watch('read')
  await bench.clock.advance(1_000)
  tickets[0]?.recordFirstByte(RUN_MS, RUN_MS)
  tickets[1]?.recordFirstByte(5 * RUN_MS, RUN_MS)
  await bench.clock.advance(100)
  expect(call.hung).toBeUndefined()
  bench.pace.recordSend('desk', 't3').recordFirstByte(RUN_MS, RUN_MS)
  await bench.clock.advance(50)
  expect(call.hung).toBeDefined()
})

test('attempt at another target that ended without a first byte says nothing', async () => {
  const bench = new Bench()
  bench.learn('read')
  bench.pace.recordSend('desk', 't2').end()
  const call = bench.watch('read')
  await bench.clock.advance(LIMIT_MS)
  expect(call.hung).toBeDefined()
})

// Otherwise each call of a route whose runs have become longer for good would be broken off, and none could show its new time.
test('times of a route are forgotten after five hangs in a row', async () => {
  const bench = new Bench()
  bench.learn('read')
  for (let count = 0; count < 5; count++) {
    const call = bench.watch('read')
    await bench.clock.advance(LIMIT_MS)
    expect(call.hung).toBeDefined()
  }
  expect(bench.detector.findLimit('read')).toBeUndefined()
})

// Otherwise uploads of slow senders make a service seem slow, and calls that hang at another target of it are not detected.
test('large body that is on its way to a target is no sign that its service is slow', async () => {
  const { clock, pace } = new Bench()
  const upload = pace.recordSend('desk', 't2', false)
  await clock.advance(1_000)
  expect(pace.isSlow('desk', 't1', 500)).toBe(false)
  // The time in the slot of the target still counts.
  upload.recordFirstByte(3 * RUN_MS, RUN_MS)
  expect(pace.isSlow('desk', 't1', 500)).toBe(true)
  upload.recordFirstByte(RUN_MS, RUN_MS)
  expect(pace.isSlow('desk', 't1', 500)).toBe(true)
})
