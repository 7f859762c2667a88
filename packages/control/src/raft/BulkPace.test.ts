import { beforeEach, expect, test } from 'vitest'
import { BulkPace } from './BulkPace.js'

const TIMEOUT_MS = 800
const FIRST_BYTES = 65_536
let pace: BulkPace

beforeEach(() => { pace = new BulkPace(TIMEOUT_MS) })

test('fast answers double the parts up to 1 MiB', () => {
  for (const bytes of [65_536, 131_072, 262_144, 524_288, 1_048_576]) {
    expect(pace.partBytes).toBe(bytes)
    pace.recordAnswer(bytes, 10)
  }
  expect(pace.partBytes).toBe(1_048_576)
})

test('fast answer to a small part says nothing about large ones', () => {
  pace.recordAnswer(16_384, 1)
  expect(pace.partBytes).toBe(FIRST_BYTES)
})

test('parts are halved after a timeout, and wait longer once they cannot be smaller', () => {
  for (const bytes of [32_768, 16_384]) {
    pace.recordFailure(pace.partBytes, TIMEOUT_MS)
    expect([pace.partBytes, pace.timeoutMs]).toEqual([bytes, TIMEOUT_MS])
  }
  for (const timeoutMs of [1_600, 3_200, 6_400, 10_000, 10_000]) {
    pace.recordFailure(16_384, pace.timeoutMs)
    expect(pace.timeoutMs).toBe(timeoutMs)
  }
  pace.recordAnswer(16_384, 100)
  expect(pace.timeoutMs).toBe(TIMEOUT_MS)
})

// Guards against a VM that is sent little at a time, with long waits, after it was down.
test('refused connections leave size and wait as they are', () => {
  for (let attempt = 0; attempt < 20; attempt++) pace.recordFailure(pace.partBytes, 1)
  expect([pace.partBytes, pace.timeoutMs]).toEqual([FIRST_BYTES, TIMEOUT_MS])
})
