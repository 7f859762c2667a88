import { beforeEach, expect, test } from 'vitest'
import type { Member } from '@lagoonswitch/schema'
import { MembershipPlanner, type IMemberChange, type IMembershipView } from './MembershipPlanner.js'

const DESIRED_VOTERS = 5
const HEARTBEAT_MS = 100
let planner: MembershipPlanner
/** Silence of each peer in milliseconds, 0 unless set. */
let silenceMs: Map<string, number>
let replaced: Set<string>
let caughtUp: Set<string>

function createMember (replicaId: string, voter: boolean): Member {
  const name = replicaId.slice(0, 1)
  return { name, replicaId, address: name, voter, availabilityZone: 'z1' }
}

function createView (voters: string, learners = ''): IMembershipView {
  const list = (ids: string, isVoter: boolean): Member[] => ids.split(' ').filter(id => id !== '').map(id => createMember(id, isVoter))
  return {
    selfId: 'a1',
    members: [...list(voters, true), ...list(learners, false)],
    getSilenceMs: id => silenceMs.get(id) ?? 0,
    hasAnswered: () => true,
    isReplaced: id => replaced.has(id),
    isCaughtUp: id => caughtUp.has(id)
  }
}

function plan (voters: string, learners = ''): string {
  const change: IMemberChange | undefined = planner.planChange(createView(voters, learners), 0)
  if (change === undefined) return 'none'
  const list = (isVoter: boolean): string => change.members.filter(({ voter }) => voter === isVoter).map(({ replicaId }) => replicaId).join(' ')
  return `${change.reason}: ${list(true)} | ${list(false)}`
}

beforeEach(() => {
  planner = new MembershipPlanner(DESIRED_VOTERS, HEARTBEAT_MS)
  silenceMs = new Map()
  replaced = new Set()
  caughtUp = new Set()
})

// Guards against VMs that catch up later than they could, since other changes were made first.
test('all replicas that ask are added in one change, before anything else', () => {
  replaced = new Set(['d1', 'e1'])
  for (const id of ['d2', 'e2']) planner.recordJoin(createMember(id, false), 0)
  expect(plan('a1 b1 c1 d1 e1')).toBe('joined: a1 b1 c1 d1 e1 | d2 e2')
})

test('two lost voters are replaced with a quorum of three at each step', () => {
  replaced = new Set(['d1', 'e1'])
  caughtUp = new Set(['d2', 'e2'])
  expect(plan('a1 b1 c1 d1 e1', 'd2 e2')).toBe('disk-lost: a1 b1 c1 e1 | d2 e2')
  expect(plan('a1 b1 c1 e1', 'd2 e2')).toBe('caught-up: a1 b1 c1 e1 d2 | e2')
  expect(plan('a1 b1 c1 e1 d2', 'e2')).toBe('disk-lost: a1 b1 c1 d2 | e2')
  expect(plan('a1 b1 c1 d2', 'e2')).toBe('caught-up: a1 b1 c1 d2 e2 | ')
})

test('four voters are not reduced to three', () => {
  replaced = new Set(['e1'])
  expect(plan('a1 b1 c1 e1', 'd2')).toBe('none')
})

test('sixth voter comes only while all five answer', () => {
  caughtUp = new Set(['f1'])
  expect(plan('a1 b1 c1 d1 e1', 'f1')).toBe('caught-up: a1 b1 c1 d1 e1 f1 | ')
  silenceMs.set('e1', 4 * HEARTBEAT_MS)
  expect(plan('a1 b1 c1 d1 e1', 'f1')).toBe('none')
  silenceMs.set('e1', 2_000)
  expect(plan('a1 b1 c1 d1 e1', 'f1')).toBe('silent: a1 b1 c1 d1 | f1')
})

test('silent voter stays while no learner can take its place', () => {
  silenceMs.set('e1', 60_000)
  expect(plan('a1 b1 c1 d1 e1', 'f1')).toBe('none')
})

test('learner whose disk was lost again is removed and not added anew', () => {
  planner.recordJoin(createMember('d2', false), 0)
  replaced = new Set(['d2'])
  expect(plan('a1 b1 c1 e1', 'd2')).toBe('disk-lost: a1 b1 c1 e1 | ')
  expect(plan('a1 b1 c1 e1')).toBe('none')
})

test('later request from an address takes the place of an earlier one', () => {
  for (const id of ['d2', 'd3']) planner.recordJoin(createMember(id, false), 0)
  expect(plan('a1 b1 c1 e1')).toBe('joined: a1 b1 c1 e1 | d3')
})
