/**
 * Runs many simulated nodes in one process for feed.mjs: each has the feed client and the relay of a node, but routes no calls.
 * Takes its settings as JSON in the first argument, and reports to the parent process over IPC.
 */
import { Metrics, NullLog, SystemClock, SystemRandom } from '@lagoonswitch/common'
import { CatalogueStore, ControlDirectory, EndpointView, FeedClient, FeedHub } from '@lagoonswitch/feed'
import { FeedService } from '@lagoonswitch/schema'
import { PeerChannels, PeerListener, PlainCredentials } from '@lagoonswitch/transport'

const { first, count, control, isPlain, relayStreams } = JSON.parse(process.argv[2])
const ZONES = 8
const clock = new SystemClock()
const random = new SystemRandom()
const log = new NullLog()
const metrics = new Metrics()
const nodes = []

for (let index = first; index < first + count; index++) {
  const store = new CatalogueStore()
  const endpoints = new EndpointView()
  const channels = new PeerChannels(new PlainCredentials())
  const listener = new PeerListener(new PlainCredentials())
  const zone = index % ZONES
  const feedRefs = { directory: new ControlDirectory(control) }
  const hub = new FeedHub({
    name: `n${index}`,
    clock,
    random,
    log,
    metrics,
    store,
    endpoints,
    maxStreams: isPlain ? 0 : relayStreams,
    subscriberLevel: 2,
    isCurrent: () => feedRefs.client.level === 1 && feedRefs.client.isCurrent && feedRefs.client.isReady,
    confirm: async nodes => await feedRefs.client.confirm(nodes),
    directory: feedRefs.directory,
    onEvidence: () => {}
  })
  listener.addService(FeedService, hub.createHandlers())
  const port = await listener.listen('127.0.0.1', 0)
  const client = new FeedClient({
    node: `n${index}`,
    region: `r${zone % 3}`,
    availabilityZone: `z${zone}`,
    feedAddress: isPlain ? '' : `127.0.0.1:${port}`,
    incarnation: Date.now(),
    directory: feedRefs.directory,
    isMesh: false,
    clock,
    random,
    log,
    metrics,
    channels,
    store,
    endpoints,
    computeFleetStatus: () => {
      const subtreeStatus = hub.computeFleetStatus()
      const isOwnVersionLower = subtreeStatus.nodes === 0 || store.version.version < subtreeStatus.lowest.version
      return { nodes: subtreeStatus.nodes + 1, lowest: isOwnVersionLower ? store.version : subtreeStatus.lowest }
    },
    takeEvidence: () => []
  })
  store.onChanged(({ version }) => process.send({ kind: 'applied', node: index, version: version.version, atMs: Date.now() }))
  client.onReady(() => process.send({ kind: 'ready', node: index, atMs: Date.now(), level: client.level }))
  feedRefs.client = client
  nodes.push({ client, hub, store })
  client.start()
}

process.on('message', message => {
  if (message.kind === 'usage') {
    const { user, system } = process.cpuUsage()
    process.send({
      kind: 'usage',
      cpuMs: (user + system) / 1000,
      rss: process.memoryUsage().rss,
      levels: nodes.map(node => node.client.level)
    })
  }
})
process.on('disconnect', () => process.exit(0))
process.on('SIGTERM', () => process.exit(0))
