/**
 * Grants of the leader.
 */
import { expect, test } from 'vitest'
import type { AccountUse, UsageReply } from '@lagoonswitch/schema'
import { UsageLedger } from './UsageLedger.js'
import { LEASE_VALIDITY_MS, computeLeasableBurst, computeLeasableRate } from './CapRules.js'
import { computeFairLevel } from './AccountLedger.js'

const TOLERANCE = { windowMs: 5_000, excess: 0.1, slack: 20 }
const CAP = { rate: 120, burst: 60 }
const LEASABLE = computeLeasableRate(CAP.rate)
const LATER_MS = 60_000

function send (ledger: UsageLedger, node: string, use: Partial<AccountUse>, nowMs: number, incarnation = 1): UsageReply {
  const idle = { account: 'a', calls: 0, sequence: 0, rate: 0, burst: 0, asked: 0, returned: 0, returnedAgeMs: 0, epoch: ledger.epoch }
  return ledger.handleRequest({ node, incarnation, intervalMs: 500, accounts: [{ ...idle, ...use }] }, () => CAP, nowMs)
}

test('lowered lease counts at its old rate until the node confirms the new one', () => {
  const ledger = new UsageLedger(1, TOLERANCE, 0)
  const first = send(ledger, 'n1', { calls: 50 }, LATER_MS).accounts[0]?.lease
  expect(first?.rate).toBeCloseTo(LEASABLE)
  const second = send(ledger, 'n1', { sequence: first?.sequence, rate: first?.rate, burst: first?.burst }, LATER_MS + 2_000).accounts[0]?.lease
  expect(second?.rate).toBe(0)
  expect(send(ledger, 'n2', { calls: 50 }, LATER_MS + 2_100).accounts[0]?.lease).toBeUndefined()
  send(ledger, 'n1', { sequence: second?.sequence }, LATER_MS + 2_500)
  expect(send(ledger, 'n2', { calls: 50 }, LATER_MS + 2_600).accounts[0]?.lease?.rate).toBeCloseTo(LEASABLE)
})

// The start without memory has no lease, but the process before it may still run.
test('lease of a node that restarts counts until it has run out', () => {
  const ledger = new UsageLedger(1, TOLERANCE, 0)
  send(ledger, 'n1', { calls: 50 }, LATER_MS)
  expect(send(ledger, 'n1', { calls: 50 }, LATER_MS + 1_000, 2).accounts[0]?.lease).toBeUndefined()
  const late = LATER_MS + LEASE_VALIDITY_MS + 1_000
  expect(send(ledger, 'n1', { calls: 50 }, late, 2).accounts[0]?.lease?.rate).toBeCloseTo(LEASABLE)
})

test('leases never exceed the leasable rate and burst of an account', () => {
  const ledger = new UsageLedger(1, TOLERANCE, 0)
  for (let step = 0; step < 400; step++) send(ledger, `n${step % 50}`, { calls: (step * 7) % 40 }, LATER_MS + 20 * step)
  const account = ledger.ledgers.get('a')
  expect(account?.leasedRate).toBeGreaterThan(0)
  expect(account?.leasedRate).toBeLessThanOrEqual(LEASABLE + 1e-6)
  expect(account?.leasedBurst).toBeLessThanOrEqual(computeLeasableBurst(CAP, TOLERANCE) + 1e-6)
})

// Guards against a new leader that leases a rate which nodes still hold from the earlier one.
test('new leader grants no more than what nodes say they hold, and tokens from what is never leased', () => {
  const ledger = new UsageLedger(2, TOLERANCE, LATER_MS)
  const held = { sequence: 7, epoch: 1, rate: 10, burst: 3 }
  expect(send(ledger, 'n1', { ...held, calls: 50 }, LATER_MS + 500).accounts[0]?.lease).toMatchObject({ rate: 10, burst: 3 })
  expect(send(ledger, 'n2', { calls: 50 }, LATER_MS + 600).accounts[0]?.lease).toBeUndefined()
  const tokens = send(ledger, 'n2', { asked: 100 }, LATER_MS + 600).accounts[0]?.tokens ?? 0
  expect(tokens).toBe(Math.floor((CAP.rate - LEASABLE) * 0.6))
  expect(send(ledger, 'n2', { calls: 50 }, LATER_MS + LEASE_VALIDITY_MS + 500).accounts[0]?.lease?.rate).toBeGreaterThan(10)
})

test('tokens beyond the spare bucket are denied with the time, and returned ones are granted again', () => {
  const ledger = new UsageLedger(1, TOLERANCE, 0)
  expect(send(ledger, 'n1', { asked: 100 }, LATER_MS).accounts[0]).toMatchObject({ tokens: CAP.burst, waitMs: 9 })
  expect(send(ledger, 'n2', { asked: 5, returned: 3, returnedAgeMs: 0 }, LATER_MS).accounts[0]).toMatchObject({ tokens: 3 })
  expect(send(ledger, 'n2', { asked: 5, returned: 5, returnedAgeMs: 1_000 }, LATER_MS).accounts[0]).toMatchObject({ tokens: 0 })
})

test('level of max-min fairness serves small demands in full', () => {
  expect(computeFairLevel([1, 2, 30, 40], 23)).toBe(10)
  expect(computeFairLevel([5, 5], 4)).toBe(2)
})
