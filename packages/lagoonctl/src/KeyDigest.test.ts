import { expect, test } from 'vitest'
import { computeKeyDigest } from '@lagoonswitch/schema'
import { computeInputDigest } from './KeyDigest.js'

test('line break at the end is not part of the key', () => {
  for (const end of ['', '\n', '\r\n']) expect(computeInputDigest(`k-1${end}`).val).toBe(computeKeyDigest('k-1'))
})

test.each(['', '\n', 'secret \n', 'secret\nsecret\n'])('input that is no key is refused without showing it: %j', input => {
  const digest = computeInputDigest(input)
  expect(digest.err && digest.val.message).toMatch(/can't carry it/)
  expect(String(digest.val)).not.toContain('secret')
})
