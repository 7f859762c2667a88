import { expect, test } from 'vitest'
import type { IDisposable } from './Disposable.js'
import { ManualClock } from './ManualClock.js'

class CountingClock extends ManualClock {
  timers = 0

  override schedule (delayMs: number, callback: () => void): IDisposable {
    this.timers++
    return super.schedule(delayMs, callback)
  }
}

test('tasks that wait for the same period share one timer', async () => {
  const clock = new CountingClock()
  const woken: number[] = []
  const run = async (id: number): Promise<void> => {
    for (let turn = 0; turn < 3; turn++) {
      await clock.waitTick(200)
      woken.push(id)
    }
  }
  for (let id = 0; id < 5; id++) void run(id)
  await clock.advance(199)
  expect(woken).toEqual([])
  await clock.advance(1)
  expect(woken).toEqual([0, 1, 2, 3, 4])
  await clock.advance(400)
  expect(woken).toHaveLength(15)
  expect(clock.timers).toBe(3)
})

test('each period has its own ticks, and no timer while no task waits', async () => {
  const clock = new CountingClock()
  let isWoken = false
  void clock.waitTick(200)
  void clock.waitTick(300).then(() => { isWoken = true })
  await clock.advance(200)
  expect(isWoken).toBe(false)
  await clock.advance(1_000)
  expect([isWoken, clock.timers]).toEqual([true, 2])
})

test('task that starts to wait between two ticks waits for less than a period', async () => {
  const clock = new ManualClock()
  let wokenMs = 0
  void clock.waitTick(200)
  await clock.advance(150)
  void clock.waitTick(200).then(() => { wokenMs = clock.readMonotonicMs() })
  await clock.advance(500)
  expect(wokenMs).toBe(200)
})
