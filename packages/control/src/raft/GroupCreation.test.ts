import { afterEach, beforeEach, expect, test } from 'vitest'
import fc from 'fast-check'
import { FakeCluster } from '../testing/FakeCluster.js'

const INITIAL_MEMBERS = ['a', 'b', 'c']
const NAMES = [...INITIAL_MEMBERS, 'd', 'e']
/** Time within which a group exists although an initial member is lost: three turns of the creators and elections. */
const CREATED_MS = 6_000
let cluster: FakeCluster

function createCluster (seed = 1): FakeCluster {
  return new FakeCluster(NAMES, seed, 1_000, INITIAL_MEMBERS)
}

async function propose (command: string): Promise<void> {
  expect(await cluster.propose(await cluster.waitLeader(), command)).toBe(true)
}

/** A leader that was just cut off may be deposed, which leaves the outcome of its proposals open. */
async function proposeRepeatedly (command: string): Promise<boolean> {
  for (let attempt = 0; attempt < 3; attempt++) {
    if (await cluster.propose(await cluster.waitLeader(), command)) return true
  }
  return false
}

async function expectJoined (name: string, commands: readonly string[]): Promise<void> {
  await cluster.waitFor('five voters', () => cluster.listVoters().length === 5)
  await cluster.waitFor(`the commands on ${name}`, () => cluster.getVm(name).stateMachine.commands.length === commands.length)
  expect(cluster.getVm(name).stateMachine.commands).toEqual(commands)
}

beforeEach(() => { cluster = createCluster() })
afterEach(() => cluster.dispose())

// Only the first of the initial members created the group, so its loss during the first start left the system without one for good.
test.each(INITIAL_MEMBERS)('group is created although %s is lost during the first start', async lost => {
  for (const name of NAMES) if (name !== lost) await cluster.start(name)
  await cluster.waitLeader(CREATED_MS)
  await propose('x')
  await cluster.start(lost, false)
  await expectJoined(lost, ['x'])
})

test('initial member that was lost after it had written the members itself follows the group of the others', async () => {
  const { storage } = cluster.getVm('a')
  const append = storage.append.bind(storage)
  storage.append = async entries => {
    await append(entries)
    cluster.kill('a')
  }
  for (const name of NAMES) await cluster.start(name)
  await cluster.waitLeader(CREATED_MS)
  await propose('x')
  expect((await storage.load()).entries).toHaveLength(1)
  storage.append = append
  await cluster.start('a', false)
  await expectJoined('a', ['x'])
})

// The failed write was a rejection that nobody handled, which ends a process.
test.each(['hard-state', 'append'])('group is created although a write of its creator fails: %s', async kind => {
  let isFull = true
  cluster.getVm('a').storage.onWrite = async written => { if (isFull && written === kind) throw new Error('no space left on device') }
  for (const name of INITIAL_MEMBERS) await cluster.start(name)
  await cluster.clock.advance(1_000)
  isFull = false
  await cluster.waitLeader(CREATED_MS)
  await propose('x')
})

test('replica that was restarted does not count for a creation without all initial members', async () => {
  await cluster.start('b')
  await cluster.start('c', false)
  await expect(cluster.waitLeader(CREATED_MS)).rejects.toThrow('no leader')
  await cluster.start('a')
  await cluster.waitLeader(CREATED_MS)
})

test('initial members with empty disks create no second group while one of them belongs to the first', async () => {
  for (const name of INITIAL_MEMBERS) await cluster.start(name)
  await propose('x')
  for (const name of INITIAL_MEMBERS) cluster.kill(name)
  for (const name of ['a', 'b']) cluster.getVm(name).loseDisk()
  for (const name of INITIAL_MEMBERS) await cluster.start(name, true)
  await expect(cluster.waitLeader(CREATED_MS)).rejects.toThrow('no leader')
})

const step = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), name: fc.constantFrom(...INITIAL_MEMBERS) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('start' as const), name: fc.constantFrom(...NAMES) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('isolate' as const), name: fc.constantFrom(...INITIAL_MEMBERS) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('propose' as const), name: fc.constantFrom(...NAMES) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 50, max: 1_500 }) }) }
)

test('failures during the first start create one group, which keeps all accepted commands', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 25 }), fc.nat(1_000), async (steps, seed) => {
    cluster = createCluster(seed)
    const started = new Set<string>()
    const start = async (name: string): Promise<void> => {
      if (cluster.getVm(name).group !== undefined) return
      const isFirstStart = !started.has(name)
      started.add(name)
      await cluster.start(name, isFirstStart)
    }
    for (const name of NAMES) await start(name)
    const accepted: string[] = []
    for (const [index, item] of steps.entries()) {
      switch (item.kind) {
        case 'kill': cluster.kill(item.name); break
        case 'start': await start(item.name); break
        case 'isolate': cluster.isolate(item.name); break
        case 'heal': cluster.heal(); break
        case 'propose': if (await cluster.propose(cluster.getVm(item.name), `c${index}`)) accepted.push(`c${index}`); break
        case 'wait': await cluster.clock.advance(item.ms)
      }
    }
    cluster.heal()
    for (const name of NAMES) await start(name)
    // Without a group the members that were restarted create none: too few can tell that there was none.
    const leader = await cluster.waitLeader(30_000).catch(() => undefined)
    if (leader === undefined) expect(accepted).toEqual([])
    else expect(await proposeRepeatedly('last')).toBe(true)
    await cluster.clock.advance(5_000)
    const lists = NAMES.map(name => cluster.getVm(name).stateMachine.commands)
    const longest = lists.reduce((best, list) => list.length > best.length ? list : best, [])
    for (const list of lists) expect(longest.slice(0, list.length)).toEqual(list)
    for (const command of accepted) expect(longest).toContain(command)
    cluster.dispose()
  }), { seed: 7, numRuns: 150 })
}, 120_000)
