import { afterEach, expect, test } from 'vitest'
import { FakeCluster, type FakeVm } from '../testing/FakeCluster.js'

const NAMES = ['a', 'b', 'c']
const SNAPSHOT_ENTRIES = 16
let cluster: FakeCluster

async function startCluster (): Promise<FakeVm> {
  cluster = new FakeCluster(NAMES, 1, SNAPSHOT_ENTRIES)
  await cluster.startAll()
  return await cluster.waitLeader()
}

/** Suspends the writes of a disk until the returned function is called. */
function stallDisk ({ storage }: FakeVm): () => void {
  let resume = (): void => {}
  const resumed = new Promise<void>(resolve => { resume = resolve })
  storage.onWrite = async () => { await resumed }
  return () => {
    storage.onWrite = async () => {}
    resume()
  }
}

async function proposeAll (leader: FakeVm, commands: readonly string[]): Promise<void> {
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

afterEach(() => cluster.dispose())

// The other replicas commit entries that a leader with a stalled disk has not written, and a snapshot that is due covers them. Its log
// then began after the last entry that counted as written, so later entries were stored under wrong indexes and twice.
test.each([4, 17, 40])('log of a leader whose disk stalled for %s commits before a snapshot has each entry at its index', async count => {
  const leader = await startCluster()
  const before = createCommands('x', SNAPSHOT_ENTRIES - 2)
  await proposeAll(leader, before)
  const resume = stallDisk(leader)
  const during = createCommands('y', count)
  await proposeAll(leader, during)
  resume()
  const after = createCommands('z', 8)
  await proposeAll(leader, after)
  await cluster.clock.advance(500)
  const { wanted, stored } = await readIndexes(leader)
  expect(stored).toEqual(wanted)
  cluster.kill(leader.name)
  const next = await cluster.waitLeader()
  await cluster.start(leader.name)
  await proposeAll(next, ['last'])
  await cluster.clock.advance(2_000)
  expect(leader.stateMachine.commands).toEqual([...before, ...during, ...after, 'last'])
})
