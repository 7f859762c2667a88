import { afterEach, expect, test } from 'vitest'
import { EndpointState } from '@lagoonswitch/schema'
import { CatalogueStore, ControlDirectory } from '@lagoonswitch/feed'
import { startFeedClient, startHub, startSilentServer, startStubSource } from './support/Feeds.js'
import { DESK, World, findPorts, waitFor } from './support/World.js'

const ONE_STREAM = 'source_streams = 1'
let world: World

function changeOwner (owner: string): Promise<void> {
  return world.putEntry({ ...DESK, owner })
}

afterEach(async () => { await world.stop() })

test('control VM without free streams redirects nodes to a relay', async () => {
  world = await World.start(['n1', 'n2', 'n3'], ONE_STREAM)
  await changeOwner('first')
  const levels = [...world.nodes.values()].map(node => node.role.feed.level).sort()
  expect(levels).toEqual([1, 2, 2])
  await waitFor('all nodes counted', () => world.control.hub.computeFleetStatus().nodes === 3)
})

test('nodes below a crashed relay find another source', async () => {
  world = await World.start(['n1', 'n2', 'n3'], ONE_STREAM)
  await changeOwner('first')
  const relay = [...world.nodes].find(([, node]) => node.role.feed.level === 1)?.[0] ?? ''
  world.crashNode(relay)
  await waitFor('new sources', () => [...world.nodes.values()].every(node => node.role.feed.level > 0))
  await changeOwner('second')
  for (const node of world.nodes.values()) expect(node.role.store.view.entries.get('desk')?.owner).toBe('second')
})

test('restarted control VM continues from the same version', async () => {
  world = await World.start(['n1', 'n2'])
  await changeOwner('first')
  const before = world.getNode('n1').role.store.version
  world.stopControl()
  await world.startControl()
  await changeOwner('second')
  expect(world.getNode('n1').role.store.version).toEqual({ epoch: before.epoch, version: before.version + 1 })
})

test('control VM that restarts after hundreds of changes applies few of them again', async () => {
  world = await World.start([])
  for (let index = 0; index < 300; index++) await changeOwner(`owner-${index}`)
  const { version } = world.control.store
  world.stopControl()
  const stored = await world.storages.get('catalogue')?.load()
  const lastIndex = (stored?.baseIndex ?? 0) + (stored?.entries.length ?? 0)
  // Each publication of some hundred routes takes milliseconds to apply, and no call is routed meanwhile.
  expect(lastIndex - (stored?.snapshot?.header.lastIndex ?? 0)).toBeLessThanOrEqual(100)
  await world.startControl()
  await waitFor('the last version', () => world.control.store.version.version === version.version)
  expect(world.control.store.version).toEqual(version)
}, 30_000)

test('restarted node catches up on hundreds of missed changes', async () => {
  world = await World.start(['n1'])
  await changeOwner('first')
  world.crashNode('n1')
  for (let index = 0; index < 300; index++) await changeOwner(`owner-${index}`)
  const { role } = await world.startNode('n1')
  expect(role.store.view.entries.get('desk')?.owner).toBe('owner-299')
})

test('node is not ready with a version that no quorum has confirmed', async () => {
  world = await World.start([])
  await changeOwner('first')
  const stale = await startHub(world, 'stale', { confirm: async () => ({ confirmed: false, version: undefined, message: 'no quorum', withdrawals: [] }) })
  const store = new CatalogueStore()
  const client = startFeedClient(world, [stale.address], store)
  await waitFor('the stale version', () => store.version.epoch > 0)
  expect(client.isReady).toBe(false)
  client.dispose()
  stale.close()
})

test('node that has never held an entry refuses calls as not ready', async () => {
  world = await World.start(['n1'])
  expect(await world.call('n1', 'GET', '/read')).toMatchObject({ status: 503 })
  await changeOwner('first')
  expect((await world.call('n1', 'GET', '/elsewhere')).status).toBe(404)
})

test('node does not switch to a control VM in its own zone that is down', async () => {
  world = await World.start([])
  await changeOwner('first')
  const [deadPort] = await findPorts(1)
  const directory = new ControlDirectory([])
  const far = await startHub(world, 'far', { directory })
  directory.setMembers([
    { address: far.address, availabilityZone: 'z2' }, { address: `127.0.0.1:${deadPort}`, availabilityZone: 'z1' }
  ])
  const client = startFeedClient(world, [far.address], new CatalogueStore())
  await waitFor('the far source', () => client.isReady)
  const sources = new Set<string>()
  for (let step = 0; step < 50; step++) {
    sources.add(client.source)
    await world.clock.sleep(50)
  }
  expect([...sources]).toEqual(['far'])
  client.dispose()
  far.close()
})

test('timeouts of sources that are down do not add up', async () => {
  world = await World.start([])
  await changeOwner('first')
  const silent = await Promise.all(Array.from({ length: 4 }, startSilentServer))
  const addresses = [world.control.listStatus()[0]?.leaderAddress ?? '', ...silent.map(({ address }) => address)]
  for (let seed = 1; seed <= 4; seed++) {
    const client = startFeedClient(world, addresses, new CatalogueStore(), { seed })
    const startedMs = world.clock.readMonotonicMs()
    await waitFor('the live source', () => client.isReady)
    expect(world.clock.readMonotonicMs() - startedMs).toBeLessThan(2_500)
    client.dispose()
  }
  for (const { close } of silent) close()
})

test('node leaves a source that stops sending', async () => {
  world = await World.start([])
  await changeOwner('first')
  const silent = await startStubSource('silent', new CatalogueStore())
  const store = new CatalogueStore()
  const client = startFeedClient(world, [silent.address, world.control.listStatus()[0]?.leaderAddress ?? ''], store)
  await waitFor('the source', () => client.source === 'silent')
  silent.stopResponding()
  await waitFor('another source', () => client.source === 'c1' && client.isReady)
  client.dispose()
  silent.close()
})

test('node does not follow a source with an older version', async () => {
  world = await World.start(['n1'])
  await changeOwner('first')
  const store = new CatalogueStore()
  store.restoreContent(world.control.store.getContent())
  store.commitRecords({ epoch: store.version.epoch + 1, version: 1 }, [], [])
  const client = startFeedClient(world, [world.control.listStatus()[0]?.leaderAddress ?? ''], store)
  await new Promise(resolve => setTimeout(resolve, 500))
  expect(client.level).toBe(0)
  expect(store.version.version).toBe(1)
  client.dispose()
})

test('targets of a crashed node are marked as gone on all nodes', async () => {
  world = await World.start(['n1', 'n2', 'n3'], ONE_STREAM)
  await changeOwner('first')
  await world.addTarget('n3', 't3', 'v1', (_request, response) => response.end())
  world.crashNode('n3')
  await waitFor('the removal', () => [...world.nodes.values()].every(node =>
    node.role.endpoints.getRecord('t3')?.state === EndpointState.ENDPOINT_STATE_GONE))
})

test('target is announced again after a restart of the control VM', async () => {
  world = await World.start(['n1', 'n2'])
  await changeOwner('first')
  await world.addTarget('n1', 't1', 'v1', (_request, response) => response.end('ok'))
  world.stopControl()
  await world.startControl()
  await waitFor('the target at the control VM', () =>
    world.control.endpoints.getRecord('t1')?.state === EndpointState.ENDPOINT_STATE_READY)
  expect((await world.call('n2', 'GET', '/read')).body).toBe('ok')
})
