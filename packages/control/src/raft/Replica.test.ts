import { afterEach, expect, test } from 'vitest'
import { ManualClock, NullLog, SeededRandom } from '@lagoonswitch/common'
import { LogEntryKind, type LogEntry } from '@lagoonswitch/schema'
import { FakeCluster, ListStateMachine, type FakeVm } from '../testing/FakeCluster.js'
import { MemoryStorage } from './MemoryStorage.js'
import type { RaftTransport } from './RaftTransport.js'
import { Replica } from './Replica.js'

const NAMES = ['a', 'b', 'c']
const SNAPSHOT_ENTRIES = 16
let cluster: FakeCluster | undefined

function createReplica (storage = new MemoryStorage('a')): Replica {
  return new Replica({
    group: 'g',
    name: 'a',
    initialMembers: [],
    heartbeatMs: 100,
    electionTimeoutMs: 1_000,
    snapshotEntries: SNAPSHOT_ENTRIES,
    clock: new ManualClock(),
    random: new SeededRandom(1),
    log: new NullLog(),
    storage,
    transport: {} as RaftTransport,
    stateMachine: new ListStateMachine()
  })
}

function createEntry (index: number): LogEntry {
  return { index, term: 1, kind: LogEntryKind.LOG_ENTRY_KIND_COMMAND, data: Buffer.from(`c${index}`) }
}

/** Suspends the writes of a disk, from the first one of a kind on, until the returned function is called. */
function stallDisk ({ storage }: FakeVm, fromKind?: 'snapshot'): () => void {
  let resume = (): void => {}
  const resumed = new Promise<void>(resolve => { resume = resolve })
  let isStalled = false
  storage.onWrite = async kind => {
    isStalled ||= fromKind === undefined || kind === fromKind
    if (isStalled) await resumed
  }
  return () => {
    storage.onWrite = async () => {}
    resume()
  }
}

async function proposeAll (cluster: FakeCluster, leader: FakeVm, commands: readonly string[]): Promise<void> {
  for (const command of commands) expect(await cluster.propose(leader, command)).toBe(true)
}

function createCommands (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`)
}

/** Returns the indexes that the entries of a stored log should have and those that they have. */
async function readIndexes ({ storage }: FakeVm): Promise<{ wanted: number[], stored: number[] }> {
  const { baseIndex, entries } = await storage.load()
  return { wanted: entries.map((_, offset) => baseIndex + offset + 1), stored: entries.map(entry => entry.index) }
}

afterEach(() => {
  cluster?.dispose()
  cluster = undefined
})

// The other replicas commit entries that a leader with a stalled disk has not written, and a snapshot that is due covers them. Its log
// then began after the last entry that counted as written, so later entries were stored under wrong indexes and twice.
test.each([4, 17, 40])('log of a leader whose disk stalled for %s commits before a snapshot has each entry at its index', async count => {
  cluster = new FakeCluster(NAMES, 1, SNAPSHOT_ENTRIES)
  await cluster.startAll()
  const leader = await cluster.waitLeader()
  const before = createCommands('x', SNAPSHOT_ENTRIES - 2)
  await proposeAll(cluster, leader, before)
  const resume = stallDisk(leader)
  const during = createCommands('y', count)
  await proposeAll(cluster, leader, during)
  resume()
  const after = createCommands('z', 8)
  await proposeAll(cluster, leader, after)
  await cluster.clock.advance(500)
  const { wanted, stored } = await readIndexes(leader)
  expect(stored).toEqual(wanted)
  cluster.kill(leader.name)
  const next = await cluster.waitLeader()
  await cluster.start(leader.name)
  await proposeAll(cluster, next, ['last'])
  await cluster.clock.advance(2_000)
  expect(leader.stateMachine.commands).toEqual([...before, ...during, ...after, 'last'])
})

// What the others committed while its disk stalled is applied but not in its log. A snapshot below what it had applied was then passed over
// again and again, and counted as stored.
test('former leader whose log ends below its commit index catches up from a snapshot', async () => {
  cluster = new FakeCluster(NAMES, 1, SNAPSHOT_ENTRIES)
  await cluster.startAll()
  const former = await cluster.waitLeader()
  const resume = stallDisk(former, 'snapshot')
  const commands = createCommands('y', 3 * SNAPSHOT_ENTRIES + 6)
  await proposeAll(cluster, former, commands)
  cluster.isolate(former.name)
  await cluster.clock.advance(3_000)
  resume()
  await cluster.clock.advance(1_000)
  const { entries } = await former.storage.load()
  expect(entries.length).toBeLessThan(SNAPSHOT_ENTRIES)
  cluster.heal()
  const leader = await cluster.waitLeader()
  const other = NAMES.find(name => name !== leader.name && name !== former.name) ?? ''
  await cluster.clock.advance(2_000)
  // Both that are left have to store it.
  cluster.kill(other)
  await proposeAll(cluster, leader, ['last'])
  await cluster.clock.advance(2_000)
  expect(former.stateMachine.commands).toEqual([...commands, 'last'])
  const stored = await former.storage.load()
  expect(stored.baseIndex + stored.entries.length).toBe(former.group?.getStatus().lastIndex)
})

test('entry that does not follow the last one on the disk is refused and stops the replica', async () => {
  const storage = new MemoryStorage('a')
  const replica = createReplica(storage)
  await replica.load()
  await replica.syncEntries([createEntry(1)])
  await expect(replica.syncEntries([createEntry(3)])).rejects.toThrow('entry 3 doesn\'t follow 1')
  expect(replica.hasFailed).toBe(true)
  expect((await storage.load()).entries.map(entry => entry.index)).toEqual([1])
})

// A process that is killed between the two files of an installed snapshot leaves the old log, which ends before the snapshot.
test.each([0, 3, 12])('log of %s entries that lacks the last entry of the snapshot starts over after it', async count => {
  const storage = new MemoryStorage('a')
  const header = { lastIndex: 10, lastTerm: 2, members: { members: [] } }
  const entries = Array.from({ length: count }, (_, offset) => createEntry(offset + 1))
  await storage.saveSnapshot({ header, state: Buffer.from('["state"]') }, 0, 0, entries)
  const replica = createReplica(storage)
  await replica.load()
  expect([replica.appliedIndex, replica.log.lastIndex, replica.log.lastTerm]).toEqual([10, 10, 2])
  const entry = { ...createEntry(11), term: 2 }
  replica.log.push(entry)
  await replica.syncEntries([entry])
  const stored = await storage.load()
  expect([stored.baseIndex, stored.baseTerm, stored.entries.map(({ index }) => index)]).toEqual([10, 2, [11]])
})

test('log that holds the last entry of the snapshot is kept', async () => {
  const storage = new MemoryStorage('a')
  const entries = Array.from({ length: 12 }, (_, offset) => createEntry(offset + 1))
  const header = { lastIndex: 10, lastTerm: 1, members: { members: [] } }
  await storage.saveSnapshot({ header, state: Buffer.from('["state"]') }, 0, 0, entries)
  const replica = createReplica(storage)
  await replica.load()
  expect([replica.log.baseIndex, replica.log.lastIndex]).toEqual([0, 12])
})
