/**
 * Usage caps on a model of 85 nodes: the bound in every window over all nodes, and the share of calls within the cap that are refused.
 */
import { expect, test } from 'vitest'
import { CapModel, NODES, type IModelOptions, type IModelResult } from '../testing/CapModel.js'

const CUT_NODES = 8
const MAX_LOST_SHARE = 0.005

interface ICase {
  readonly name: string
  readonly options?: Partial<IModelOptions>
  readonly disturb?: (model: CapModel) => void
  readonly boundFromMs?: number
}

function pickHome (account: number, nowMs: number): number {
  return (account * 31 + Math.floor(nowMs / 4_000 + account / 7) * 17) % NODES
}

const USUAL_CASES: ICase[] = [
  { name: 'callers are spread' },
  { name: 'all callers of an account are on one node', options: { pickNode: account => (account * 7) % NODES } },
  { name: 'all callers of all accounts are on one node', options: { pickNode: () => 3 } },
  {
    name: 'callers wander',
    options: { pickNode: (account, nowMs, random) => random.draw() < 0.8 ? pickHome(account, nowMs) : Math.floor(random.draw() * NODES) }
  },
  { name: 'callers send 7.5 times the usual for 6.5 s', options: { computeLoad: nowMs => nowMs >= 12_000 && nowMs < 18_500 ? 7.5 : 1 } },
  {
    name: 'callers on one node send 7.5 times the usual for 6.5 s',
    options: { pickNode: account => (account * 7) % NODES, computeLoad: nowMs => nowMs >= 12_000 && nowMs < 18_500 ? 7.5 : 1 }
  },
  {
    name: 'nodes are cut off for 20 s',
    disturb: model => {
      model.at(10_000, () => model.nodes.slice(0, CUT_NODES).forEach(node => { node.isCut = true }))
      model.at(30_000, () => model.nodes.forEach(node => { node.isCut = false }))
    }
  },
  {
    name: 'nodes are paused and restarted without memory',
    disturb: model => {
      for (let index = 0; index < CUT_NODES; index++) {
        model.at(8_000 + 700 * index, () => { (model.nodes[index] as typeof model.nodes[number]).pausedUntilMs = model.nowMs + 3_000 })
        model.at(14_000 + 700 * index, () => model.restartNode(index))
      }
    }
  },
  {
    name: 'the leader changes halfway',
    disturb: model => {
      model.at(20_000, () => model.stopLeader())
      model.at(21_200, () => model.elect())
    }
  },
  {
    name: 'all control VMs are down for 5 s',
    disturb: model => {
      model.at(15_000, () => model.stopLeader())
      model.at(20_000, () => model.elect())
    }
  },
  {
    name: 'all control VMs are down for 30 s',
    options: { durationMs: 60_000 },
    disturb: model => {
      model.at(15_000, () => model.stopLeader())
      model.at(45_000, () => model.elect())
    }
  },
  {
    name: 'all nodes restart within 3 s',
    disturb: model => {
      for (let index = 0; index < NODES; index++) model.at(15_000 + 3_000 * index / NODES, () => model.restartNode(index))
    }
  },
  { name: 'the caps are lowered to a third', disturb: model => model.at(15_000, () => model.scaleCaps(1 / 3)), boundFromMs: 17_000 },
  { name: 'messages cross each other', options: { maxDelayMs: 60, lossShare: 0.02 } }
]

/** Floods that last, so that every token that a fault creates is used; the cap alone decides how many calls run. */
const FLOOD_CASES: ICase[] = [
  { name: 'a lasting flood', options: { computeLoad: () => 5 } },
  {
    name: 'a flood that moves between nodes',
    options: { computeLoad: () => 5, pickNode: (account, nowMs) => (pickHome(account, nowMs) + Math.floor(nowMs / 700) * 29) % NODES }
  },
  {
    name: 'floods after pauses, elsewhere each time',
    options: {
      computeLoad: nowMs => nowMs % 8_000 < 6_500 ? 0.3 : 20,
      pickNode: (account, nowMs) => (account + Math.floor(nowMs / 6_500) * 13) % NODES
    }
  },
  {
    name: 'a flood beside cut, paused and restarted nodes and two changes of the leader',
    options: { computeLoad: () => 5, maxDelayMs: 60, lossShare: 0.02 },
    disturb: model => {
      model.at(6_000, () => model.nodes.slice(0, CUT_NODES).forEach(node => { node.isCut = true }))
      model.at(9_000, () => model.stopLeader())
      model.at(10_200, () => model.elect())
      for (let index = 20; index < NODES; index += 2) model.at(11_000 + 60 * index, () => model.restartNode(index))
      model.at(17_000, () => model.stopLeader())
      model.at(17_900, () => model.elect())
      model.at(25_000, () => model.nodes.forEach(node => { node.isCut = false }))
      for (let index = 1; index < NODES; index += 9) {
        model.at(26_000, () => { (model.nodes[index] as typeof model.nodes[number]).pausedUntilMs = model.nowMs + 2_000 })
      }
    }
  },
  {
    name: 'a flood while all control VMs are down for 30 s',
    options: { computeLoad: () => 5, durationMs: 60_000 },
    disturb: model => {
      model.at(15_000, () => model.stopLeader())
      model.at(45_000, () => model.elect())
    }
  },
  {
    name: 'a flood after a pause while all control VMs are down for 30 s',
    options: { computeLoad: nowMs => nowMs >= 18_000 && nowMs < 38_000 ? 0.05 : 7.5, durationMs: 48_000 },
    disturb: model => model.at(15_000, () => model.stopLeader())
  },
  {
    name: 'a flood and caps lowered to a third',
    options: { computeLoad: () => 5 },
    disturb: model => model.at(15_000, () => model.scaleCaps(1 / 3)),
    boundFromMs: 17_000
  }
]
const SEEDS = [11, 12]
const results = new Map<string, IModelResult>()

function list (cases: readonly ICase[]): Array<[string, ICase]> {
  return cases.map(usageCase => [usageCase.name, usageCase])
}

/** Runs a case once for all tests that check it. */
function play ({ name, options, disturb, boundFromMs }: ICase, seed: number): IModelResult {
  const key = `${name} ${seed}`
  const known = results.get(key)
  if (known !== undefined) return known
  const model = new CapModel({ seed, ...options })
  disturb?.(model)
  const result = model.run(boundFromMs)
  results.set(key, result)
  const { offered, admitted, lostShare, undecided, worstWindow, messages } = result
  console.log(`${name}, seed ${seed}: calls=${offered} admitted=${admitted} refused_within_cap=${(100 * lostShare).toFixed(3)}% ` +
    `undecided=${undecided} worst_window=${worstWindow.toFixed(3)} of the bound, messages=${messages}`)
  return result
}

// Guards against tokens that are counted twice: by leases that overlap, by answers that are late, or by state that a restart loses.
test.each(list([...USUAL_CASES, ...FLOOD_CASES]))('no account runs more calls than its cap in any window: %s', (_, usageCase) => {
  for (const seed of SEEDS) expect(play(usageCase, seed).worstWindow).toBeLessThanOrEqual(1)
})

// Guards against calls that are lost although their account has room: by leases that stay where their callers were, or by lost messages.
test.each(list(USUAL_CASES))('calls within the cap are served: %s', (_, usageCase) => {
  for (const seed of SEEDS) expect(play(usageCase, seed).lostShare).toBeLessThan(MAX_LOST_SHARE)
})

test('the same seed gives the same run', () => {
  const run = (): IModelResult => new CapModel({ seed: 3, durationMs: 3_000 }).run()
  expect(run()).toEqual(run())
})
