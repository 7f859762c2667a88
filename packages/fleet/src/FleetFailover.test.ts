/**
 * Time until a change is in force at all nodes of a large fleet while sources of the feed are lost.
 */
import { afterEach, expect, test } from 'vitest'
import { Fleet } from './Fleet.js'
import { LARGE_SITE } from './FleetSite.js'

/** Maximum time from the acknowledgement of a change until it is in force on all nodes. */
const MAX_PROPAGATION_MS = 2_000
const PUBLICATION_INTERVAL_MS = 100
const OBSERVATION_MS = 6_000
const LOSE_AFTER_MS = 500
const SAMPLE_MS = 5
/** Nodes of a new version, started beside those of the old one. */
const ADDED_NODES = 117
const SITE = { ...LARGE_SITE, routes: 100 }
let fleet: Fleet

afterEach(() => fleet.dispose())

test.each([13, 14])('change is in force in time although the busiest relays fall silent (seed %i)', async seed => {
  fleet = new Fleet(SITE, seed)
  await fleet.start()
  fleet.addNodes(ADDED_NODES)
  await observe(() => {
    for (const { feed, machine } of fleet.nodes) if (feed.relay.getStreamCount() > 1) machine.freeze()
  })
  expect(fleet.listLate(MAX_PROPAGATION_MS)).toEqual([])
}, 60_000)

test.each([12, 13])('change is in force in time although a control VM falls silent while nodes join it (seed %i)', async seed => {
  fleet = new Fleet(SITE, seed)
  await fleet.start()
  fleet.addNodes(ADDED_NODES)
  await observe(() => fleet.getControl('d').machine.freeze())
  expect(fleet.listLate(MAX_PROPAGATION_MS)).toEqual([])
}, 60_000)

test('node keeps its source until the control VM of its zone has accepted it', async () => {
  fleet = new Fleet(SITE, 1)
  await fleet.start()
  const added = fleet.addNodes(ADDED_NODES)
  const endMs = fleet.time.readMonotonicMs() + OBSERVATION_MS
  const withoutSource = new Set<string>()
  while (fleet.time.readMonotonicMs() < endMs) {
    await fleet.time.runUntil(fleet.time.readMonotonicMs() + SAMPLE_MS)
    for (const { feed, machine } of added) if (feed.client.isReady && feed.client.source === '') withoutSource.add(machine.name)
  }
  expect([...withoutSource]).toEqual([])
}, 60_000)

test('node stays with its source while the control VM of its zone does not respond', async () => {
  fleet = new Fleet(SITE, 11)
  await fleet.start()
  fleet.addNodes(ADDED_NODES)
  await observe(() => fleet.getControl('a').machine.freeze(), { loseAfterMs: 307 })
  expect(fleet.listLate(MAX_PROPAGATION_MS)).toEqual([])
}, 60_000)

test('change is in force in time although the leader falls silent and no control VM is current for a while', async () => {
  fleet = new Fleet(SITE, 12)
  await fleet.start()
  fleet.addNodes(ADDED_NODES)
  await observe(() => fleet.findLeader()?.machine.freeze(), { loseAfterMs: 444 })
  expect(fleet.listLate(MAX_PROPAGATION_MS)).toEqual([])
}, 60_000)

test('change is in force in time below a control VM that is cut off from the others', async () => {
  fleet = new Fleet(SITE, 41)
  await fleet.start()
  fleet.addNodes(ADDED_NODES)
  const { machine } = fleet.getControl('b')
  await observe(() => {
    for (const other of fleet.controls) {
      fleet.network.cut(machine, other.machine)
      fleet.network.cut(other.machine, machine)
    }
  })
  expect(fleet.listLate(MAX_PROPAGATION_MS)).toEqual([])
}, 60_000)

test('node keeps a source that still sends while another leader is elected', async () => {
  fleet = new Fleet(SITE, 5)
  await fleet.start()
  await fleet.time.runUntil(fleet.time.readMonotonicMs() + OBSERVATION_MS)
  const leader = fleet.findLeader()
  const sourcesBefore = new Map(fleet.nodes.map(node => [node, node.feed.client.source]))
  const unaffected = fleet.nodes.filter(({ feed }) => feed.client.level === 1 && feed.client.source !== leader?.machine.name)
  leader?.machine.freeze()
  await fleet.time.runUntil(fleet.time.readMonotonicMs() + OBSERVATION_MS / 2)
  expect(unaffected.filter(node => node.feed.client.source !== sourcesBefore.get(node)).map(({ machine }) => machine.name)).toEqual([])
}, 60_000)

test('relay of another zone stays current while the control VM of its own zone does not respond', async () => {
  fleet = new Fleet(SITE, 5)
  await fleet.start()
  await fleet.time.runUntil(fleet.time.readMonotonicMs() + OBSERVATION_MS)
  fleet.getControl('b').machine.freeze()
  const endMs = fleet.time.readMonotonicMs() + 3 * OBSERVATION_MS
  await fleet.time.runUntil(fleet.time.readMonotonicMs() + OBSERVATION_MS / 2)
  const outdated = new Set<string>()
  while (fleet.time.readMonotonicMs() < endMs) {
    await fleet.time.runUntil(fleet.time.readMonotonicMs() + PUBLICATION_INTERVAL_MS)
    for (const { feed, machine } of fleet.nodes) if (!feed.client.isCurrent) outdated.add(machine.name)
  }
  expect([...outdated]).toEqual([])
}, 60_000)

test('source that a node has replaced is not logged as lost', async () => {
  fleet = new Fleet(SITE, 1)
  await fleet.start()
  const lines = fleet.nodes.flatMap(({ log }) => log.listLines())
  expect(lines.filter(line => line.includes('feed_left') && line.includes('reason=replaced')).length).toBeGreaterThan(0)
  expect(lines.filter(line => line.includes('feed_lost'))).toEqual([])
}, 60_000)

/** Publishes changes, and loses something shortly after the start. */
async function observe (lose: () => void, { loseAfterMs = LOSE_AFTER_MS } = {}): Promise<void> {
  const startMs = fleet.time.readMonotonicMs()
  const publishing = fleet.operator.publishUntil(PUBLICATION_INTERVAL_MS, startMs + OBSERVATION_MS)
  await fleet.time.runUntil(startMs + loseAfterMs)
  lose()
  await fleet.runWhile(publishing)
  await fleet.time.runUntil(fleet.time.readMonotonicMs() + MAX_PROPAGATION_MS)
}
