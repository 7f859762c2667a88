import { expect, test } from 'vitest'
import { computeKeyDigest } from '@lagoonswitch/schema'
import { readBearerKey } from './BearerKey.js'

function read (...values: string[]): string {
  const key = readBearerKey(['Host', 'h', ...values.flatMap(value => ['Authorization', value])])
  return key.kind === 'digest' ? key.digest : key.kind
}

test.each([
  ['no header', [], 'none'],
  ['an empty value', [''], 'none'],
  ['the scheme alone', ['Bearer'], 'none'],
  ['the scheme and blanks', ['Bearer   '], 'none'],
  ['another scheme', ['Basic k-1'], 'none'],
  ['a scheme that begins alike', ['Bearers k-1'], 'none'],
  ['two headers', ['Bearer k-1', 'Bearer k-1'], 'ambiguous'],
  ['a header of another scheme and a key', ['Basic x', 'Bearer k-1'], 'ambiguous']
])('request with %s has no single key', (_label, values, kind) => {
  expect(read(...values)).toBe(kind)
})

test.each(['Bearer k-1', 'bearer k-1', 'BEARER k-1', 'Bearer    k-1'])('key is read: %s', value => {
  expect(read(value)).toBe(computeKeyDigest('k-1'))
})

test.each(['k-1 x', 'K-1', 'k-1,Bearer k-1', '\xff\xfe', 'x'.repeat(16_384)])('key that differs has another digest: %s', key => {
  expect(read(`Bearer ${key}`)).toMatch(/^[0-9a-f]{64}$/)
  expect(read(`Bearer ${key}`)).not.toBe(computeKeyDigest('k-1'))
})

test('key of many blanks takes no time that grows with their square', () => {
  const startMs = performance.now()
  for (let index = 0; index < 100; index++) read(`Bearer ${' '.repeat(60_000)}x${' '.repeat(60_000)}y`)
  expect(performance.now() - startMs).toBeLessThan(1_000)
})
