import { afterEach, expect, test } from 'vitest'
import { FakeCluster, type ISlowLink } from '../testing/FakeCluster.js'

const NAMES = ['a', 'b', 'c', 'd', 'e']
const ENTRY_BYTES = 50_000
const ENTRIES = 20
const PACKET_BYTES = 1_400
const RETRANSMISSION_MS = 200
/** A catch-up may take this many times what the bytes need on the link, and the time to join. */
const MAX_TIME_RATIO = 3
const JOIN_MS = 2_000

let cluster: FakeCluster

/** Computes the time that bytes need on a link on the average, in milliseconds. */
function computeLinkMs (bytes: number, { bytesPerSecond, packetLoss }: ISlowLink): number {
  return 1_000 * bytes / bytesPerSecond + packetLoss * bytes / PACKET_BYTES * RETRANSMISSION_MS
}

async function startWithLog (entryBytes: number, entries: number, snapshotEntries: number): Promise<string> {
  cluster = new FakeCluster(NAMES, 1, snapshotEntries, NAMES.slice(0, 3))
  await cluster.startAll()
  await cluster.waitFor('five voters', () => cluster.listVoters().length === 5)
  const leader = await cluster.waitLeader()
  for (let index = 0; index < entries; index++) {
    expect(await cluster.propose(leader, String(index).padEnd(entryBytes))).toBe(true)
  }
  await cluster.clock.advance(1_000)
  return NAMES.find(name => name !== leader.name) ?? ''
}

/** Loses the disk of a VM behind a link, and waits until it is a voter again. */
async function measureCatchUp (name: string, link: ISlowLink, limitMs: number): Promise<void> {
  cluster.kill(name)
  cluster.getVm(name).loseDisk()
  cluster.slowLinks.set(name, link)
  await cluster.start(name)
  await cluster.waitFor('the new replica as a voter', () => cluster.listVoters().includes(`${name}/${name}-disk-2`), limitMs)
}

afterEach(() => cluster.dispose())

const LINKS: readonly ISlowLink[] = [
  { bytesPerSecond: 6_250, packetLoss: 0 },
  { bytesPerSecond: 100_000, packetLoss: 0 },
  { bytesPerSecond: 2_000_000, packetLoss: 0.035 },
  { bytesPerSecond: 250_000, packetLoss: 0.05 }
]

// Guards against a VM with an empty disk that never catches up: a batch of the log that the link does not carry within the election timeout
// was sent again whole, and the learner removed as silent.
test.each(LINKS)('log reaches an empty VM at $bytesPerSecond B/s and a packet loss of $packetLoss', async link => {
  const name = await startWithLog(ENTRY_BYTES, ENTRIES, 1_000)
  await measureCatchUp(name, link, MAX_TIME_RATIO * computeLinkMs(ENTRY_BYTES * ENTRIES, link) + JOIN_MS)
}, 60_000)

test.each(LINKS)('snapshot reaches an empty VM at $bytesPerSecond B/s and a packet loss of $packetLoss', async link => {
  const name = await startWithLog(ENTRY_BYTES, ENTRIES, 10)
  await measureCatchUp(name, link, MAX_TIME_RATIO * computeLinkMs(ENTRY_BYTES * ENTRIES, link) + JOIN_MS)
}, 60_000)

test('entry that takes longer than the election timeout reaches an empty VM', async () => {
  const link = { bytesPerSecond: 100_000, packetLoss: 0 }
  const name = await startWithLog(600_000, 2, 1_000)
  await measureCatchUp(name, link, MAX_TIME_RATIO * computeLinkMs(1_200_000, link) + JOIN_MS)
})

test('leader stays while it sends a large entry to a slow voter', async () => {
  const name = await startWithLog(1_000, 1, 1_000)
  cluster.slowLinks.set(name, { bytesPerSecond: 50_000, packetLoss: 0 })
  const leader = await cluster.waitLeader()
  const term = leader.group?.getStatus().term
  expect(await cluster.propose(leader, 'x'.repeat(400_000))).toBe(true)
  await cluster.waitFor('the entry on the slow voter', () => cluster.getVm(name).stateMachine.commands.length === 2, 30_000)
  expect(cluster.getVm(name).group?.getStatus().term).toBe(term)
  expect(cluster.findLeader()?.name).toBe(leader.name)
})
