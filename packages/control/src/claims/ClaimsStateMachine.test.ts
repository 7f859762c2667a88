import { beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { ClaimOutcome, ClaimReply, ClaimStatus, ClaimsCommand, type RecordedAnswer } from '@lagoonswitch/schema'
import { ClaimsStateMachine } from './ClaimsStateMachine.js'

const RETENTION_MS = 10_000
const LEASE_MS = 1_000
const FINGERPRINT = Buffer.from('request')
const ANSWER: RecordedAnswer = { status: 201, headers: ['a', 'b'], body: Buffer.from('done') }
let machine: ClaimsStateMachine

function claim (token: string, nowMs = 0, fingerprint = FINGERPRINT, key = 'key'): ClaimOutcome {
  return apply(ClaimsCommand.encode({
    nowMs, command: { $case: 'claim', value: { key, token, fingerprint, leaseMs: LEASE_MS } }
  }).finish()).outcome
}

function settle (token: string, status: ClaimStatus, nowMs = 0): ClaimOutcome {
  return apply(ClaimsCommand.encode({
    nowMs, command: { $case: 'settle', value: { key: 'key', token, status, answer: ANSWER } }
  }).finish()).outcome
}

function apply (command: Uint8Array): ClaimReply {
  return ClaimReply.decode(machine.apply(command))
}

beforeEach(() => { machine = new ClaimsStateMachine({ retentionMs: RETENTION_MS, capacity: 10 }) })

test('second claim is in progress, then gets the recorded answer', () => {
  expect(claim('a')).toBe(ClaimOutcome.CLAIM_OUTCOME_GRANTED)
  expect(claim('b')).toBe(ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS)
  settle('a', ClaimStatus.CLAIM_STATUS_ANSWERED)
  expect(claim('b')).toBe(ClaimOutcome.CLAIM_OUTCOME_ANSWERED)
})

test('resent claim of the holder is granted again', () => {
  claim('a')
  expect(claim('a')).toBe(ClaimOutcome.CLAIM_OUTCOME_GRANTED)
})

test('claim after the lease of its holder is unknown, never granted', () => {
  claim('a')
  expect(claim('b', LEASE_MS + 1)).toBe(ClaimOutcome.CLAIM_OUTCOME_UNKNOWN)
})

test('clock that steps back does not end a claim early', () => {
  claim('a', 5_000)
  expect(claim('b', 100)).toBe(ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS)
})

test('released key is granted to the next token', () => {
  claim('a')
  settle('a', ClaimStatus.CLAIM_STATUS_RELEASED)
  expect(claim('b')).toBe(ClaimOutcome.CLAIM_OUTCOME_GRANTED)
})

test('release that overtakes its claim blocks it', () => {
  settle('a', ClaimStatus.CLAIM_STATUS_RELEASED)
  expect(claim('a')).toBe(ClaimOutcome.CLAIM_OUTCOME_RELEASED)
})

test('release by another token has no effect', () => {
  claim('a')
  settle('b', ClaimStatus.CLAIM_STATUS_RELEASED)
  expect(claim('b')).toBe(ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS)
})

test('same key with another request is refused', () => {
  claim('a')
  expect(claim('b', 0, Buffer.from('other'))).toBe(ClaimOutcome.CLAIM_OUTCOME_MISMATCH)
})

test('full shard refuses new keys and keeps old ones', () => {
  for (let index = 0; index < 10; index++) claim('a', 0, FINGERPRINT, `key-${index}`)
  expect(claim('a', 0, FINGERPRINT, 'one-more')).toBe(ClaimOutcome.CLAIM_OUTCOME_FULL)
  expect(claim('b', 0, FINGERPRINT, 'key-3')).toBe(ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS)
})

test('key is free after its retention', () => {
  claim('a')
  expect(claim('b', RETENTION_MS + 1)).toBe(ClaimOutcome.CLAIM_OUTCOME_GRANTED)
})

test('random bytes as a command throw no error', () => {
  claim('a')
  fc.assert(fc.property(fc.uint8Array({ maxLength: 64 }), bytes => {
    expect(apply(bytes).outcome).not.toBe(ClaimOutcome.CLAIM_OUTCOME_ANSWERED)
  }), { seed: 13, numRuns: 2_000 })
})

test('snapshot keeps claims', () => {
  claim('a')
  const copy = new ClaimsStateMachine({ retentionMs: RETENTION_MS, capacity: 10 })
  copy.restoreSnapshot(machine.takeSnapshot())
  machine = copy
  expect(claim('b')).toBe(ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS)
})

test('random sequences grant a key to at most one running holder', () => {
  const step = fc.record({
    token: fc.constantFrom('a', 'b', 'c'),
    action: fc.constantFrom('claim', 'answered', 'unknown', 'released'),
    afterMs: fc.nat(800)
  })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    machine = new ClaimsStateMachine({ retentionMs: 1e9, capacity: 10 })
    let holder = ''
    let nowMs = 0
    let hasRun = false
    for (const { token, action, afterMs } of steps) {
      nowMs += afterMs
      if (action === 'claim') {
        if (claim(token, nowMs) !== ClaimOutcome.CLAIM_OUTCOME_GRANTED) continue
        expect(hasRun).toBe(false)
        expect(holder === '' || holder === token).toBe(true)
        holder = token
      } else if (holder === token) {
        const status = {
          answered: ClaimStatus.CLAIM_STATUS_ANSWERED,
          unknown: ClaimStatus.CLAIM_STATUS_UNKNOWN,
          released: ClaimStatus.CLAIM_STATUS_RELEASED
        }[action]
        settle(token, status, nowMs)
        if (action === 'released') {
          holder = ''
        } else {
          hasRun = true
        }
      }
    }
  }), { seed: 7, numRuns: 500 })
})
