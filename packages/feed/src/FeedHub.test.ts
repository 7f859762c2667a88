import { Duplex } from 'node:stream'
import { beforeEach, expect, test } from 'vitest'
import type { ServerDuplexStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import { ManualClock, Metrics, NullLog, SeededRandom } from '@lagoonswitch/common'
import { EndpointState, type EndpointRecord, type FeedDown, type FeedUp } from '@lagoonswitch/schema'
import { CatalogueStore } from './CatalogueStore.js'
import { ControlDirectory } from './ControlDirectory.js'
import { EndpointView } from './EndpointView.js'
import { FeedHub, RELAY_LEVEL } from './FeedHub.js'

const { ENDPOINT_STATE_READY: READY, ENDPOINT_STATE_GONE: GONE } = EndpointState
/** Longer than the time after which the targets of a lost subscriber are removed. */
const REMOVAL_MS = 3_100
let clock: ManualClock
let endpoints: EndpointView
let handlers: UntypedServiceImplementation

function createRecord (sequence: number): EndpointRecord {
  return {
    targetId: 't1',
    incarnation: 1,
    sequence,
    state: READY,
    service: 'desk',
    version: 'v1',
    linkAddress: 'x:1',
    region: 'r1',
    availabilityZone: 'z1',
    slots: 1,
    node: 'n1'
  }
}

/** Stream of a subscriber; what is sent to it is dropped. */
class SubscriberStream extends Duplex {
  readonly frames: FeedDown[] = []

  constructor () {
    super({ objectMode: true, read: () => {}, write: (message: FeedDown, _encoding, done) => { this.frames.push(message); done() } })
  }

  report (frame: FeedUp['frame']): void {
    this.push({ frame })
  }

  lose (): void {
    this.destroy(new Error('connection lost'))
  }
}

async function subscribe (node: string): Promise<SubscriberStream> {
  const stream = new SubscriberStream()
  const handler = handlers.subscribe as unknown as (stream: ServerDuplexStream<FeedUp, FeedDown>) => void
  handler(stream as unknown as ServerDuplexStream<FeedUp, FeedDown>)
  stream.report({
    $case: 'hello',
    value: {
      node, region: 'r1', availabilityZone: 'z1', level: RELAY_LEVEL, held: undefined, digest: Buffer.alloc(0), feedAddress: '', incarnation: 1
    }
  })
  await settle()
  return stream
}

/** Lets the streams of a subscriber deliver what was written. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 5; turn++) await new Promise(resolve => setImmediate(resolve))
}

function getState (): EndpointState | undefined {
  return endpoints.getRecord('t1')?.state
}

beforeEach(() => {
  clock = new ManualClock()
  endpoints = new EndpointView()
  const store = new CatalogueStore()
  const hub = new FeedHub({
    name: 'c1',
    clock,
    random: new SeededRandom(1),
    log: new NullLog(),
    metrics: new Metrics(),
    store,
    endpoints,
    maxStreams: 10,
    subscriberLevel: RELAY_LEVEL,
    isCurrent: () => true,
    getAgeMs: () => 0,
    confirm: async () => ({ confirmed: true, version: { ...store.version }, message: '', withdrawals: [] }),
    directory: new ControlDirectory([]),
    onEvidence: () => {}
  })
  handlers = hub.createHandlers()
})

test('targets of a lost subscriber are removed', async () => {
  const stream = await subscribe('n1')
  stream.report({ $case: 'endpoints', value: { full: false, records: [createRecord(1)] } })
  await settle()
  stream.lose()
  await settle()
  expect(getState()).toBe(READY)
  await clock.advance(REMOVAL_MS)
  expect(getState()).toBe(GONE)
})

// Guards against the removal of a target that is well: its node has left a connection that went silent and has announced the target
// through another one, before this hub learns that the first one is lost.
test('target that was announced again elsewhere outlives the connection that its node left', async () => {
  const left = await subscribe('n1')
  left.report({ $case: 'endpoints', value: { full: false, records: [createRecord(1)] } })
  const current = await subscribe('n1')
  current.report({ $case: 'endpoints', value: { full: false, records: [createRecord(2)] } })
  await settle()
  left.lose()
  await settle()
  await clock.advance(REMOVAL_MS)
  expect(getState()).toBe(READY)
  current.lose()
  await settle()
  await clock.advance(REMOVAL_MS)
  expect(getState()).toBe(GONE)
})

test('older record that a subscriber repeats does not keep its targets', async () => {
  const stream = await subscribe('n1')
  for (const sequence of [2, 1]) stream.report({ $case: 'endpoints', value: { full: false, records: [createRecord(sequence)] } })
  await settle()
  stream.lose()
  await settle()
  await clock.advance(REMOVAL_MS)
  expect(getState()).toBe(GONE)
})
