import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { TransitMeter } from './TransitMeter.js'

const BYTES = 360_000
const TRANSIT_MS = 720

// Otherwise a link that carries whole bodies seems silent while one of them is on its way.
test('large frames arrive one after the other at 4 Mbit/s', async () => {
  const clock = new ManualClock()
  const meter = new TransitMeter(clock)
  meter.recordSent(1, BYTES)
  meter.recordSent(2, BYTES)
  expect(meter.leftMs).toBe(2 * TRANSIT_MS)
  await clock.advance(TRANSIT_MS)
  expect(meter.leftMs).toBe(TRANSIT_MS)
  await clock.advance(5 * TRANSIT_MS)
  expect(meter.leftMs).toBe(0)
})

// Otherwise many large bodies on a fast link would hide for long that its other end is gone.
test('answer to a call or ping confirms that and everything before it, and nothing after it', () => {
  const meter = new TransitMeter(new ManualClock())
  meter.recordSent(1, BYTES)
  meter.recordSent(2, BYTES)
  meter.recordAnswer(2)
  expect(meter.leftMs).toBe(0)
  meter.recordPing()
  meter.recordSent(3, BYTES)
  meter.recordPing()
  meter.recordAnswer(99)
  meter.recordPingAnswer()
  expect(meter.leftMs).toBe(TRANSIT_MS)
  meter.recordPingAnswer()
  expect(meter.leftMs).toBe(0)
})
