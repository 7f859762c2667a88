import { expect, test } from 'vitest'
import { formatStatus, type IStatus, type ITargetStatus } from './StatusText.js'

/** Lines and columns of a usual terminal. */
const SCREEN = { lines: 24, columns: 220 }
const ZONES = ['a', 'b', 'c', 'd', 'e', 'f']

function createTarget (index: number): ITargetStatus {
  return {
    targetId: `i-${index}`,
    service: index < 117 ? 'booking-desk' : 'listings-press',
    version: index % 40 === 0 ? 'v2' : 'v1',
    node: `sidecar-${index}`,
    availabilityZone: `qc-east-${ZONES[index % ZONES.length]}`,
    draining: index % 50 === 3
  }
}

function createStatus (lostCount: number): IStatus {
  const targets = Array.from({ length: 195 }, (_, index) => createTarget(index))
  return {
    version: { epoch: 1, version: 41 },
    streams: 40,
    fleet: { nodes: 195, lowest: { version: 39 } },
    groups: [{
      group: 'catalogue',
      role: 'leader',
      term: 3,
      leaderName: 'c1',
      commitIndex: 99,
      members: [{ name: 'c1', voter: true }, { name: 'c2', voter: false }]
    }],
    targets,
    lost: targets.slice(0, lostCount)
  }
}

test('status of a fleet of 200 fits a screen', () => {
  const lines = formatStatus(createStatus(30), false).split('\n')
  expect(lines.length).toBeLessThanOrEqual(SCREEN.lines)
  expect(Math.max(...lines.map(line => line.length))).toBeLessThanOrEqual(SCREEN.columns)
})

test('status counts targets by service, version and availability zone, and names what is behind or lost', () => {
  const text = formatStatus(createStatus(6), false)
  expect(text).toContain('lowest version 39 (behind)')
  expect(text).toContain('members c1, c2 (learner)')
  expect(text).toMatch(/^booking-desk v1: 114 \(3 draining\) targets, in qc-east-a 19, qc-east-b 20 \(1 draining\), qc-east-c 19/m)
  expect(text).toContain('lost target i-0: booking-desk v2 on sidecar-0 in qc-east-a')
  expect(text).toContain('lost targets in all: 6')
})

test('status lists each target if wanted', () => {
  expect(formatStatus(createStatus(0), true).match(/^target i-/mg)).toHaveLength(195)
})
