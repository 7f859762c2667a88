import { expect, test } from 'vitest'
import { ManualClock, NullLog, SeededRandom } from '@lagoonswitch/common'
import { LogEntryKind, Members, type AppendReply, type AppendRequest } from '@lagoonswitch/schema'
import { ListStateMachine } from '../testing/FakeCluster.js'
import { MemoryStorage } from './MemoryStorage.js'
import { RaftLeader } from './RaftLeader.js'
import { RaftTransport } from './RaftTransport.js'
import { Replica } from './Replica.js'

/** Larger than one batch, so that the entry is sent without the entry of the new term. */
const LARGE_ENTRY_BYTES = 1_100_000
const TERM = 4

/** Followers that accept the entry of the old term and nothing else. */
class OldEntryTransport extends RaftTransport {
  readonly holders = new Set<string>()

  async sendAppend (address: string, { entries, prevIndex }: AppendRequest): Promise<AppendReply> {
    if (entries.length === 1 && entries[0]?.index === 2) {
      this.holders.add(address)
      return { term: TERM, success: true, matchIndex: 2, known: true }
    }
    if (prevIndex === 2 && !this.holders.has(address)) return { term: TERM, success: false, matchIndex: 1, known: true }
    throw new Error('lost')
  }

  async sendVote (): Promise<never> { throw new Error('lost') }
  async sendSnapshot (): Promise<never> { throw new Error('lost') }
  async sendIdentify (): Promise<never> { throw new Error('lost') }
}

test('entry of an older term is not committed by counting its replicas', async () => {
  const members = ['a', 'b', 'c'].map(name => ({ name, replicaId: name, address: name, voter: true }))
  const storage = new MemoryStorage('a')
  await storage.saveHardState({ term: TERM, votedFor: 'a' })
  await storage.append([
    { index: 1, term: 1, kind: LogEntryKind.LOG_ENTRY_KIND_MEMBERS, data: Buffer.from(Members.encode({ members }).finish()) },
    { index: 2, term: 2, kind: LogEntryKind.LOG_ENTRY_KIND_COMMAND, data: Buffer.alloc(LARGE_ENTRY_BYTES) }
  ])
  const clock = new ManualClock()
  const transport = new OldEntryTransport()
  const replica = new Replica({
    group: 'g',
    name: 'a',
    initialMembers: [],
    heartbeatMs: 100,
    electionTimeoutMs: 1_000,
    snapshotEntries: 100,
    clock,
    random: new SeededRandom(1),
    log: new NullLog(),
    storage,
    transport,
    stateMachine: new ListStateMachine()
  })
  await replica.load()
  const leader = new RaftLeader(replica, TERM, () => {})
  await clock.advance(2_000)
  expect([...transport.holders].sort()).toEqual(['b', 'c'])
  expect(replica.commitIndex).toBe(0)
  leader.dispose()
})
