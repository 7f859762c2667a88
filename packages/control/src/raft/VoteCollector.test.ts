import { expect, test } from 'vitest'
import { FakeCluster } from '../testing/FakeCluster.js'

const NAMES = ['a', 'b', 'c', 'd', 'e']

/** Times from the loss of the leader and another voter of five until a leader is there, in milliseconds. */
async function measureElections (seeds: number, lossRate: number): Promise<number[]> {
  const times: number[] = []
  for (let seed = 1; seed <= seeds; seed++) {
    const cluster = new FakeCluster(NAMES, seed)
    await cluster.startAll()
    const leader = await cluster.waitLeader()
    await cluster.clock.advance(seed * 7)
    const other = NAMES.find(name => name !== leader.name) ?? ''
    for (const name of [leader.name, other]) cluster.kill(name)
    cluster.lossRate = lossRate
    const startMs = cluster.clock.readMonotonicMs()
    await cluster.waitLeader()
    times.push(cluster.clock.readMonotonicMs() - startMs)
    cluster.dispose()
  }
  return times.sort((a, b) => a - b)
}

// Each of the three that are left is needed. A candidate whose question or answer was lost, or that asked while another voter still heard
// of the leader, waited for a whole election timeout again.
test.each([0, 0.04])('leader is there within 2.5 election timeouts after two of five are lost, at a loss of %s', async lossRate => {
  const times = await measureElections(60, lossRate)
  expect(times.at(-1)).toBeLessThan(2_500)
})
