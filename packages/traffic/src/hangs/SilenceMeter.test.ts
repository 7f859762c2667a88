import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { SilenceMeter } from './SilenceMeter.js'

const STEP_MS = 50

async function step (clock: ManualClock, meter: SilenceMeter, elapsedMs = STEP_MS): Promise<void> {
  meter.planStep(STEP_MS)
  await clock.advance(elapsedMs)
  meter.step()
}

test('silence counts from what must be answered until bytes arrive', async () => {
  const clock = new ManualClock()
  const meter = new SilenceMeter(clock)
  await step(clock, meter)
  expect(meter.awaitedMs).toBe(0)
  meter.await()
  await step(clock, meter)
  meter.await()
  await step(clock, meter)
  expect(meter.awaitedMs).toBe(100)
  meter.recordReceived()
  expect([meter.awaitedMs, meter.isAwaiting, meter.quietMs]).toEqual([0, false, 0])
})

// Otherwise a process that was paused takes all others as silent until it has read what arrived meanwhile.
test('pause of the own process is not silence of the other one', async () => {
  const clock = new ManualClock()
  const meter = new SilenceMeter(clock)
  meter.await()
  await step(clock, meter)
  meter.planStep(STEP_MS)
  await clock.advance(10_000)
  expect(meter.awaitedMs).toBe(150)
  meter.step()
  expect(meter.awaitedMs).toBe(100)
  await step(clock, meter)
  expect(meter.awaitedMs).toBe(150)
})

test('silence goes on to count between pauses of the own process', async () => {
  const clock = new ManualClock()
  const meter = new SilenceMeter(clock)
  meter.await()
  for (let count = 0; count < 10; count++) await step(clock, meter, 300)
  expect(meter.awaitedMs).toBe(10 * STEP_MS)
})

// Otherwise a link seems silent while the ping waits behind bytes that are still on their way.
test('time that the message needs to arrive is not silence', async () => {
  const clock = new ManualClock()
  const meter = new SilenceMeter(clock)
  meter.await(2 * STEP_MS)
  await step(clock, meter)
  await step(clock, meter)
  expect([meter.awaitedMs, meter.isAwaiting]).toEqual([0, true])
  // A later message neither extends nor shortens it.
  meter.await(STEP_MS)
  await step(clock, meter)
  expect(meter.awaitedMs).toBe(STEP_MS)
})

test('pause of the own process does not shorten the time that the message needs to arrive', async () => {
  const clock = new ManualClock()
  const meter = new SilenceMeter(clock)
  meter.await(20 * STEP_MS)
  await step(clock, meter, 5 * STEP_MS)
  for (let count = 0; count < 15; count++) await step(clock, meter)
  expect(meter.awaitedMs).toBe(0)
  await step(clock, meter)
  expect(meter.awaitedMs).toBe(STEP_MS)
})
