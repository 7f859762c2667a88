/**
 * Decisions of a node on calls of capped accounts.
 */
import { expect, test } from 'vitest'
import type { AccountAnswer, UsageReply, UsageRequest } from '@lagoonswitch/schema'
import { NodeCaps } from './NodeCaps.js'
import { LEASE_VALIDITY_MS } from './CapRules.js'
import type { ICapDecision } from './NodeLease.js'

const TOLERANCE = { windowMs: 5_000, excess: 0, slack: 0 }
const CAP = { rate: 100, burst: 10 }

function createCaps (tolerance = TOLERANCE): NodeCaps {
  const caps = new NodeCaps({ name: 'n1', incarnation: 1, tolerance, random: { draw: () => 0 }, countNodes: () => 10 }, 0)
  caps.setCaps(new Map([['a', CAP]]), 0)
  return caps
}

function createReply (answer: Partial<AccountAnswer>, epoch = 1): UsageReply {
  return { leads: true, leaderAddress: '', epoch, nodes: 10, accounts: [{ lease: undefined, tokens: 0, waitMs: 0, ...answer }] }
}

function ask (caps: NodeCaps, nowMs: number, decisions: ICapDecision[] = []): UsageRequest {
  expect(caps.admit('a', nowMs, decision => decisions.push(decision))).not.toHaveProperty('kind')
  const request = caps.createRequest(nowMs)
  if (request === undefined) throw new Error('no message')
  return request
}

function grant (caps: NodeCaps, sequence: number, rate: number, nowMs: number, epoch = 1): void {
  const lease = { sequence, rate, burst: 5, capRate: CAP.rate }
  // Uses up the lease, so that the next call asks.
  while (caps.leases.get('a')?.takeToken(nowMs) === true);
  caps.applyReply(ask(caps, nowMs), createReply({ lease, tokens: 1 }, epoch), nowMs, nowMs)
}

test('calls within the lease are admitted without a message until it has run out', () => {
  const caps = createCaps()
  grant(caps, 1, 10, 0)
  expect(caps.admit('a', 200, () => undefined)).toMatchObject({ kind: 'admitted', source: 'lease' })
  expect(caps.admit('a', LEASE_VALIDITY_MS + 200, () => undefined)).not.toHaveProperty('kind')
})

// Guards against a lease that was lowered and confirmed, and raised again by a late answer.
test('late answer does not restore an older lease', () => {
  const caps = createCaps()
  grant(caps, 2, 1, 0)
  grant(caps, 1, 50, 10)
  expect(caps.leases.get('a')?.leasedRate).toBe(1)
  grant(caps, 1, 2, 20, 2)
  grant(caps, 9, 50, 30, 1)
  expect(caps.leases.get('a')?.leasedRate).toBe(2)
})

// Guards against 0.5 s and more of calls beyond a cap that the node already knows.
test('lease shrinks at once when the catalogue lowers the cap, also if a leader answers by the former one', () => {
  const caps = createCaps()
  grant(caps, 1, 40, 0)
  caps.setCaps(new Map([['a', { rate: 60, burst: 10 }]]), 100)
  expect(caps.leases.get('a')?.leasedRate).toBeCloseTo(20)
  grant(caps, 2, 40, 150)
  expect(caps.leases.get('a')?.leasedRate).toBeCloseTo(20)
  caps.setCaps(new Map(), 200)
  expect(caps.admit('a', 250, () => undefined)).toMatchObject({ kind: 'admitted', source: 'none' })
})

test('waiting calls are asked for in one message, and those beyond its tokens are refused with the time', () => {
  const caps = createCaps()
  const decisions: ICapDecision[] = []
  caps.admit('a', 0, decision => decisions.push(decision))
  const request = ask(caps, 0, decisions)
  expect(request.accounts[0]?.asked).toBe(2)
  expect(caps.createRequest(1)).toBeUndefined()
  caps.applyReply(request, createReply({ tokens: 1, waitMs: 300 }), 0, 2)
  expect(decisions).toMatchObject([{ kind: 'admitted' }, { kind: 'refused', waitMs: 300 }])
  expect(caps.admit('a', 10, () => undefined)).toMatchObject({ kind: 'refused' })
})

// Guards against a lost message that holds up the calls behind it until its timeout.
test('calls are asked for again soon after a message that is not answered', () => {
  const caps = createCaps()
  ask(caps, 0)
  expect(caps.computeNextMs(1)).toBeLessThan(50)
  expect(caps.createRequest(caps.computeNextMs(1))?.accounts[0]?.asked).toBe(1)
})

test('call is undecided after the longest wait, or takes from the reserve of the account', () => {
  const decisions: ICapDecision[] = []
  for (const slack of [0, 20]) {
    const caps = createCaps({ ...TOLERANCE, slack })
    ask(caps, 0, decisions)
    caps.expireWaiters(100)
  }
  expect(decisions).toMatchObject([{ kind: 'undecided' }, { kind: 'admitted', source: 'reserve' }])
})

test('token for a call that has ended goes back with the next message', () => {
  const caps = createCaps()
  const waiter = caps.admit('a', 0, () => undefined)
  const request = caps.createRequest(0) as UsageRequest
  if (!('kind' in waiter)) waiter.isDone = true
  caps.applyReply(request, createReply({ tokens: 1 }), 0, 5)
  expect(caps.createRequest(500)?.accounts[0]).toMatchObject({ returned: 1 })
})

test('node without a leader admits its share of what is never leased, and of the whole rate once all leases have run out', () => {
  const caps = createCaps()
  ask(caps, 0)
  caps.failRequest(0, 250)
  const admit = (nowMs: number): unknown => caps.admit('a', nowMs, () => undefined)
  expect(caps.getMode(5_000)).toBe('no-contact')
  expect(admit(5_000)).toMatchObject({ kind: 'admitted', source: 'fallback' })
  expect(admit(5_100)).toMatchObject({ kind: 'undecided' })
  const lateMs = LEASE_VALIDITY_MS + 1
  expect(caps.getMode(lateMs)).toBe('fallback')
  expect(admit(lateMs)).toMatchObject({ kind: 'refused', waitMs: 100 })
  expect(admit(lateMs + 100)).toMatchObject({ kind: 'admitted', source: 'fallback' })
  caps.applyReply(caps.createRequest(lateMs + 200) as UsageRequest, createReply({}), lateMs + 200, lateMs + 200)
  expect(caps.getMode(lateMs + 200)).toBe('contact')
})
