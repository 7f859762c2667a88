/**
 * Failover of nodes below a relay: how soon they have another source, and that they stay with it.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { CatalogueStore, ControlDirectory, LEAF_LEVEL, type FeedClient } from '@lagoonswitch/feed'
import { FeedClient as FeedServiceClient, WithdrawalRecord, type ConfirmReply, type ConfirmRequest } from '@lagoonswitch/schema'
import { sendUnary } from '@lagoonswitch/transport'
import { startFeedClient, startHub, startSilentServer, startStubSource } from './support/Feeds.js'
import { DESK, World, waitFor } from './support/World.js'

/** Maximum time from the acknowledgement of a change until it is in force on all nodes. */
const MAX_PROPAGATION_MS = 2_000
/** Number of relays that the control VM has named and that accept connections but never respond. */
const DEAD_RELAYS = 4
/** More than twice the wait before a switch to a control VM in the own availability zone. */
const OBSERVATION_MS = 5_500
const POLL_MS = 25
/** Duration of a confirmation by a busy control VM. */
const SLOW_CONFIRM_MS = 500
/** With this seed the first of three listed sources is chosen first. */
const SEED_PICKING_FIRST = 1
let world: World

afterEach(async () => { await world.stop() })

test('change is in force in time below a relay that stops, although other known relays are dead', async () => {
  world = await World.start([], `source_streams = ${DEAD_RELAYS + 1}`)
  await world.putEntry(DESK)
  const silent = await Promise.all(Array.from({ length: DEAD_RELAYS }, startSilentServer))
  const source = world.control.listStatus()[0]?.leaderAddress ?? ''
  const deadRelays = silent.map(({ address }) => startFeedClient(world, [source], new CatalogueStore(), { feedAddress: address }))
  await waitFor('the relays that will die', () => deadRelays.every(deadRelay => deadRelay.isReady))
  const relay = await world.startNode('relay')
  const leaf = await world.startNode('leaf')
  await waitFor('the node below the relay', () => leaf.role.feed.source === 'relay')
  for (const deadRelay of deadRelays) deadRelay.dispose()
  for (let index = 1; index <= DEAD_RELAYS; index++) await world.startNode(`r${index}`)
  const stopping = relay.role.stop(3_000)
  await sleep(100)
  await world.control.applyChange({
    requestId: 'after the stop',
    operator: 'test',
    edits: [{
      name: 'desk',
      expectedVersion: world.control.store.getRecord('desk')?.version ?? 0,
      declaration: JSON.stringify({ ...DESK, owner: 'second' })
    }]
  })
  const acknowledgedMs = world.clock.readMonotonicMs()
  await waitFor('the change below', () => leaf.role.store.view.entries.get('desk')?.owner === 'second')
  expect(world.clock.readMonotonicMs() - acknowledgedMs).toBeLessThan(MAX_PROPAGATION_MS)
  await stopping
  for (const { close } of silent) close()
})

test('change is in force in time below a relay that stops sending, although a confirmation takes half a second', async () => {
  world = await World.start([])
  await world.putEntry(DESK)
  const store = new CatalogueStore()
  store.restoreContent(world.control.store.getContent())
  const confirm = async (): Promise<ConfirmReply> => {
    await sleep(SLOW_CONFIRM_MS)
    return { confirmed: true, version: { ...store.version }, message: '', withdrawals: [] }
  }
  const controls = [await startHub(world, 'one', { store, confirm }), await startHub(world, 'other', { store, confirm })]
  const silent = await startStubSource('silent', store)
  const received = new CatalogueStore()
  const client = startFeedClient(world, [silent.address, ...controls.map(({ address }) => address)], received, { seed: SEED_PICKING_FIRST })
  await waitFor('the relay', () => client.source === 'silent')
  silent.stopResponding()
  store.commitRecords({ ...store.version, version: store.version.version + 1 }, [], [])
  const acknowledgedMs = world.clock.readMonotonicMs()
  await waitFor('the change below', () => received.version.version === store.version.version)
  expect(world.clock.readMonotonicMs() - acknowledgedMs).toBeLessThan(MAX_PROPAGATION_MS)
  client.dispose()
  for (const { close } of controls) close()
  silent.close()
})

test('change is in force in time below a relay that is cut off from the control VMs', async () => {
  world = await World.start([])
  await world.putEntry(DESK)
  const store = new CatalogueStore()
  store.restoreContent(world.control.store.getContent())
  const control = await startHub(world, 'control', { store })
  const cutOffSource = await startStubSource('cut', store)
  const relayed = new CatalogueStore()
  relayed.restoreContent(store.getContent())
  const upstream = startFeedClient(world, [cutOffSource.address], relayed, { feedAddress: 'none' })
  const relay = await startHub(world, 'relay', { store: relayed, isCurrent: () => upstream.level > 0 && upstream.isCurrent, getAgeMs: () => upstream.getStatus().currentMs })
  upstream.onCannotRelay(() => relay.hub.redirectAll())
  await waitFor('the source of the relay', () => upstream.isCurrent)
  const received = new CatalogueStore()
  const client = startFeedClient(world, [relay.address, control.address], received)
  await waitFor('the relay', () => client.source === 'relay' && received.version.version === store.version.version)
  store.commitRecords({ ...store.version, version: store.version.version + 1 }, [], [])
  const acknowledgedMs = world.clock.readMonotonicMs()
  cutOffSource.stopResponding()
  await waitFor('the change below', () => received.version.version === store.version.version)
  expect(world.clock.readMonotonicMs() - acknowledgedMs).toBeLessThan(MAX_PROPAGATION_MS)
  for (const one of [client, upstream]) one.dispose()
  for (const { close } of [control, relay, cutOffSource]) close()
})

test('relay without a source does not forward requests for a confirmed version', async () => {
  world = await World.start([])
  let confirmCalls = 0
  const confirm = async (): Promise<ConfirmReply> => {
    confirmCalls++
    return { confirmed: true, version: undefined, message: '', withdrawals: [] }
  }
  const relay = await startHub(world, 'relay', { subscriberLevel: LEAF_LEVEL, isCurrent: () => false, confirm })
  const client = world.channels.getClient(FeedServiceClient, relay.address)
  const reply = await sendUnary<ConfirmRequest, ConfirmReply>(client.confirm.bind(client), { nodes: [] }, MAX_PROPAGATION_MS)
  expect([reply.confirmed, confirmCalls]).toEqual([false, 0])
  relay.close()
})

test('requests that share a confirmation get the withdrawals of their own nodes', async () => {
  world = await World.start([])
  const asked: Array<readonly string[]> = []
  const confirm = async (nodes: readonly string[]): Promise<ConfirmReply> => {
    asked.push(nodes)
    const withdrawals = nodes.map(node => WithdrawalRecord.fromPartial({ targetId: `target of ${node}`, node }))
    return { confirmed: true, version: undefined, message: '', withdrawals }
  }
  const hub = await startHub(world, 'hub', { confirm })
  const client = world.channels.getClient(FeedServiceClient, hub.address)
  const replies = await Promise.all([['n1'], ['n2'], []].map(async nodes =>
    await sendUnary<ConfirmRequest, ConfirmReply>(client.confirm.bind(client), { nodes }, MAX_PROPAGATION_MS)))
  expect(asked.flat().sort()).toEqual(['n1', 'n2'])
  expect(replies.map(reply => reply.withdrawals.map(({ targetId }) => targetId))).toEqual([['target of n1'], ['target of n2'], []])
  hub.close()
})

test('node that was redirected to another relay stays there while the control VMs have no free streams', async () => {
  world = await World.start([])
  await world.putEntry(DESK)
  const directory = new ControlDirectory([])
  const controls = [
    await startHub(world, 'near', { directory, maxStreams: 2 }), await startHub(world, 'also near', { directory, maxStreams: 2 })
  ]
  directory.setMembers(controls.map(({ address }) => ({ address, availabilityZone: 'z1' })))
  const relays = [
    await startHub(world, 'first', { directory, subscriberLevel: LEAF_LEVEL }),
    await startHub(world, 'second', { directory, subscriberLevel: LEAF_LEVEL })
  ]
  const relayClients = controls.flatMap(control => relays.map(({ address }) =>
    startFeedClient(world, [control.address], new CatalogueStore(), { feedAddress: address })))
  await waitFor('full control VMs', () => controls.every(({ hub }) => hub.getStreamCount() === relays.length))
  const client = startFeedClient(world, [controls[0]?.address ?? ''], new CatalogueStore())
  await waitFor('a relay', () => client.isReady && client.source !== '')
  const previousSource = client.source
  relays.find(({ hub }) => hub.getStreamCount() > 0)?.hub.drain()
  await waitFor('the other relay', () => client.source !== previousSource && client.source !== '')
  expect(await observeSources(client, OBSERVATION_MS)).toEqual([client.source])
  for (const one of [client, ...relayClients]) one.dispose()
  for (const { close } of [...controls, ...relays]) close()
})

async function observeSources (client: FeedClient, durationMs: number): Promise<string[]> {
  const sources = new Set<string>()
  const endMs = world.clock.readMonotonicMs() + durationMs
  while (world.clock.readMonotonicMs() < endMs) {
    sources.add(client.source)
    await sleep(POLL_MS)
  }
  return [...sources]
}
