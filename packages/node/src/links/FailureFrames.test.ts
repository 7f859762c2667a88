import { expect, test } from 'vitest'
import { FAILURE_REASONS } from '@lagoonswitch/traffic'
import { decodeFailure, encodeFailure } from './FailureFrames.js'

/** Reasons of the first version with links; a process of that version fails with an exception on any other. */
const FIRST_REASONS = [
  'queue-full', 'shed', 'deadline', 'deadline-queue', 'no-target', 'draining', 'unreachable', 'link-lost', 'connect', 'broken', 'cancelled',
  'oversized', 'bad-frame', 'target-busy', 'target-replaced', 'crossed', 'link-silent', 'no-spare', 'no-budget'
]

test.each(FAILURE_REASONS)('reason is exact for this version and known to earlier ones: %s', reason => {
  const frame = encodeFailure({ reason, isNotRun: false, retryAfterMs: 1 }, undefined)
  expect(FIRST_REASONS).toContain(frame.reason)
  expect(decodeFailure(frame)).toEqual({ reason, isNotRun: false, retryAfterMs: 1 })
})
