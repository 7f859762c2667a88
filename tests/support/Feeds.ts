/**
 * Feed clients, hubs and fake sources on their own, for tests that choose the source of each subscriber.
 */
import { createServer, type AddressInfo } from 'node:net'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { Metrics, NullLog, SeededRandom } from '@lagoonswitch/common'
import { CatalogueStore, ControlDirectory, EndpointView, FeedClient, FeedHub, RELAY_LEVEL, type IFeedHubOptions } from '@lagoonswitch/feed'
import { FeedService, type FeedDown, type FeedUp } from '@lagoonswitch/schema'
import { PeerListener, PlainCredentials } from '@lagoonswitch/transport'
import { findPorts, type World } from './World.js'

const STUB_BEAT_INTERVAL_MS = 200

export interface IHub {
  hub: FeedHub
  address: string
  close: () => void
}

interface IClientOptions {
  seed?: number
  /** Address that this subscriber announces as a relay; empty for none. */
  feedAddress?: string
}

export function startFeedClient (
  world: World, addresses: readonly string[], store: CatalogueStore, { seed = 1, feedAddress = '' }: IClientOptions = {}
): FeedClient {
  const client = new FeedClient({
    node: feedAddress === '' ? 'fake' : `fake at ${feedAddress}`,
    region: 'r1',
    availabilityZone: 'z1',
    feedAddress,
    incarnation: 1,
    directory: new ControlDirectory(addresses),
    isMesh: false,
    clock: world.clock,
    random: new SeededRandom(seed),
    log: new NullLog(),
    metrics: new Metrics(),
    channels: world.channels,
    store,
    endpoints: new EndpointView(),
    computeFleetStatus: () => ({ nodes: 1, lowest: store.version }),
    takeEvidence: () => [],
    isServing: () => false
  })
  client.start()
  return client
}

/** Starts a hub that serves a copy of the control VM's catalogue and confirms its version unless the options say otherwise. */
export async function startHub (world: World, name: string, options: Partial<IFeedHubOptions> = {}): Promise<IHub> {
  const store = new CatalogueStore()
  store.restoreContent(world.control.store.getContent())
  const [port] = await findPorts(1)
  const hub = new FeedHub({
    name,
    clock: world.clock,
    random: new SeededRandom(1),
    log: new NullLog(),
    metrics: new Metrics(),
    store,
    endpoints: new EndpointView(),
    maxStreams: 10,
    subscriberLevel: RELAY_LEVEL,
    isCurrent: () => true,
    getAgeMs: () => 0,
    confirm: async () => ({ confirmed: true, version: { ...store.version }, message: '', withdrawals: [] }),
    directory: new ControlDirectory([]),
    onEvidence: () => {},
    ...options
  })
  const listener = new PeerListener(new PlainCredentials())
  listener.addService(FeedService, hub.createHandlers())
  await listener.listen('127.0.0.1', port ?? 0)
  return {
    hub,
    address: `127.0.0.1:${port}`,
    close: () => {
      hub.dispose()
      listener.close()
    }
  }
}

export interface IStubSource {
  address: string
  /** Stops sending and ignores new subscribers, like a process that is cut off from the network. */
  stopResponding: () => void
  close: () => void
}

/** Starts a fake source that welcomes every subscriber and then only sends beats which say that it is current. */
export async function startStubSource (name: string, store: CatalogueStore): Promise<IStubSource> {
  const [port] = await findPorts(1)
  const streams = new Set<ServerDuplexStream<FeedUp, FeedDown>>()
  let isSilent = false
  const listener = new PeerListener(new PlainCredentials())
  listener.addService(FeedService, {
    subscribe: (stream: ServerDuplexStream<FeedUp, FeedDown>) => {
      stream.on('error', () => undefined)
      stream.on('data', () => undefined)
      if (isSilent) return
      streams.add(stream)
      stream.write({ frame: { $case: 'welcome', value: { source: name, level: 1, relays: [] } } })
    },
    confirm: () => {}
  })
  await listener.listen('127.0.0.1', port ?? 0)
  const beats = setInterval(() => {
    if (isSilent) return
    for (const stream of streams) stream.write({ frame: { $case: 'beat', value: { version: { ...store.version }, current: true, ageMs: 0 } } })
  }, STUB_BEAT_INTERVAL_MS)
  return {
    address: `127.0.0.1:${port}`,
    stopResponding: () => { isSilent = true },
    close: () => {
      clearInterval(beats)
      listener.close()
    }
  }
}

/** Starts a server that accepts connections and never answers, like a VM that has lost power. */
export async function startSilentServer (): Promise<{ address: string, close: () => void }> {
  const server = createServer(() => {})
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => { server.close() } }
}
