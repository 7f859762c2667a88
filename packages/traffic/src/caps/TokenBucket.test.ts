/**
 * Token bucket with a changing rate.
 */
import { expect, test } from 'vitest'
import { TokenBucket } from './TokenBucket.js'

test('bucket fills at its rate up to its depth and tells when the next token is there', () => {
  const bucket = new TokenBucket(10, 2, 0)
  expect(bucket.take(1, 50)).toBe(0)
  expect(bucket.computeWaitMs(50)).toBeCloseTo(50)
  expect(bucket.take(5, 1_000)).toBe(2)
  bucket.change(0, 2, 1_100)
  expect(bucket.take(5, 9_000)).toBe(1)
  expect(bucket.computeWaitMs(9_000)).toBe(Infinity)
})

// Guards against tokens that are created by giving back one in whose place another has already come.
test('token given back after the bucket was full again is lost', () => {
  const bucket = new TokenBucket(10, 2, 0)
  bucket.take(1, 1_000)
  bucket.putBack(1, 1_000, 1_010)
  expect(bucket.readTokens(1_010)).toBe(2)
  bucket.take(1, 1_010)
  expect(bucket.readTokens(2_000)).toBe(2)
  bucket.take(1, 2_000)
  bucket.putBack(1, 1_010, 2_000)
  expect(bucket.readTokens(2_000)).toBe(1)
})

test('tokens that do not fit in are counted once', () => {
  const bucket = new TokenBucket(10, 2, 0)
  expect(bucket.takeOverflow(1_000)).toBe(8)
  expect(bucket.takeOverflow(1_000)).toBe(0)
})
