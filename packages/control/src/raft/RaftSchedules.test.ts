import { expect, test } from 'vitest'
import fc from 'fast-check'
import { FakeCluster } from '../testing/FakeCluster.js'

const NAMES = ['a', 'b', 'c']
const name = fc.constantFrom(...NAMES)
const step = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('propose' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), name }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('start' as const), name }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('isolate' as const), name }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), name, other: name }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 50, max: 4_000 }) }) }
)

/** Expects the commands applied on each VM to be a prefix of one common sequence. */
function expectSameOrder (cluster: FakeCluster): void {
  const lists = NAMES.map(other => cluster.getVm(other).stateMachine.commands)
  const longest = lists.reduce((best, list) => list.length > best.length ? list : best, [])
  for (const list of lists) expect(longest.slice(0, list.length)).toEqual(list)
}

test('random failures neither lose nor reorder accepted commands', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), fc.nat(1_000), async (steps, seed) => {
    const cluster = new FakeCluster(NAMES, seed, 8)
    await cluster.startAll()
    const accepted: string[] = []
    let count = 0
    for (const item of steps) {
      switch (item.kind) {
        case 'propose': {
          const command = `c${count++}`
          const vm = NAMES.map(other => cluster.getVm(other)).find(other => other.group?.role === 'leader')
          if (vm !== undefined && await cluster.propose(vm, command)) accepted.push(command)
          break
        }
        case 'kill': cluster.kill(item.name); break
        case 'start': if (cluster.getVm(item.name).group === undefined) await cluster.start(item.name); break
        case 'isolate': cluster.isolate(item.name); break
        case 'cut': cluster.cut(item.name, item.other); break
        case 'lose': cluster.lossRate = 0.2; break
        case 'heal': cluster.heal(); break
        case 'wait': await cluster.clock.advance(item.ms)
      }
      expectSameOrder(cluster)
    }
    cluster.heal()
    for (const other of NAMES) if (cluster.getVm(other).group === undefined) await cluster.start(other)
    const leader = await cluster.waitLeader(60_000)
    expect(await cluster.propose(leader, 'last')).toBe(true)
    await cluster.clock.advance(5_000)
    expectSameOrder(cluster)
    for (const other of NAMES) {
      const { commands } = cluster.getVm(other).stateMachine
      expect(commands.at(-1)).toBe('last')
      expect(new Set(commands).size).toBe(commands.length)
      expect(accepted.filter(command => !commands.includes(command))).toEqual([])
    }
    cluster.dispose()
  }), { seed: 42, numRuns: 40 })
}, 120_000)
