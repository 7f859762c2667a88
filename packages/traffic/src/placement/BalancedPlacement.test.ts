import { beforeEach, expect, test } from 'vitest'
import { Emitter, ManualClock, Metrics, SeededRandom } from '@lagoonswitch/common'
import { CallClass, EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import { PlacementModel, type IPlacementResult } from '../testing/PlacementModel.js'
import { BalancedPlacement } from './BalancedPlacement.js'
import { LocalPlacement } from './LocalPlacement.js'
import { TargetPool, type ITargetState } from './TargetPool.js'

const WAVE = 0.55
/** Stated target: under an overload of all zones, the share in time is never lower than before by more than this. */
const MAX_LOSS = 0.02
const SLOTS = 13

interface IShares {
  readonly inTime: number
  readonly served: number
  /** Calls that crossed and were taken. */
  readonly crossed: number
}

function report (name: string, result: IPlacementResult): IShares {
  const { calls, inTime, late, refusals, crossings, refusedCrossings, busiest } = result
  const format = (count: number): string => (count / calls).toFixed(3)
  console.log(`${name}: in time ${format(inTime)}, served ${format(inTime + late)}, refused attempts per call ${format(refusals)}, ` +
    `crossings per call ${format(crossings)}, refused ${format(refusedCrossings)}, busiest target ${busiest.toFixed(2)} of the mean`)
  return { inTime: inTime / calls, served: (inTime + late) / calls, crossed: (crossings - refusedCrossings) / calls }
}

function runBoth (seed: number, load: number, amplitude: number): { local: IShares, balanced: IShares } {
  const name = `load ${load}, wave ${amplitude}, seed ${seed}`
  const settings = { seed, load, amplitude }
  return {
    local: report(`${name}, local`, new PlacementModel({ ...settings, createPolicy: options => new LocalPlacement(options) }).run()),
    balanced: report(`${name}, balanced`, new PlacementModel({ ...settings, createPolicy: options => new BalancedPlacement(options) }).run())
  }
}

test.each([[0.7, 1], [0.7, 2], [0.85, 1], [0.85, 2], [1.2, 1], [1.2, 2]])('zones in waves serve more together: load %s, seed %s', (load, seed) => {
  const { local, balanced } = runBoth(seed, load, WAVE)
  expect(balanced.inTime).toBeGreaterThan(local.inTime)
  expect(balanced.served).toBeGreaterThan(local.served)
})

test.each([[WAVE, 1], [WAVE, 2], [0, 1], [0, 2]])('overload of all zones is not made worse: wave %s, seed %s', (amplitude, seed) => {
  const { local, balanced } = runBoth(seed, 1.6, amplitude)
  expect(balanced.inTime).toBeGreaterThan(local.inTime - MAX_LOSS)
  // Without waves no zone has room for the calls of another.
  if (amplitude === 0) expect(balanced.crossed).toBeLessThan(0.01)
})

let clock: ManualClock
let pool: TargetPool
let metrics: Metrics

beforeEach(() => {
  clock = new ManualClock()
  metrics = new Metrics()
  const records = ['z1', 'z2'].flatMap(zone => [0, 1, 2, 3].map((index): EndpointRecord => ({
    targetId: `${zone}-${index}`,
    incarnation: 1,
    sequence: 1,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 's',
    version: 'v',
    linkAddress: `link-${zone}-${index}`,
    region: 'r',
    availabilityZone: zone,
    slots: SLOTS,
    node: `${zone}-${index}`,
    warmupMs: 0,
    targetBorn: 0,
    targetSequence: 0,
    withdrawn: false,
    instance: ''
  })))
  const options = { region: 'r', availabilityZone: 'z1', linkAddress: 'own', random: new SeededRandom(1) }
  pool = new TargetPool({
    ...options,
    clock,
    metrics,
    placement: new BalancedPlacement(options),
    endpoints: { getRecords: () => records, onChanged: new Emitter<{ records: EndpointRecord[] }>().event }
  })
})

function pick (isAway = false): ITargetState {
  const tried = new Set(isAway ? [0, 1, 2, 3].map(index => `z1-${index}`) : [])
  const state = pool.pickTarget('s', 'v', tried, { route: 'r', objectiveLeftMs: 800, callClass: CallClass.CALL_CLASS_NORMAL })
  if (state === undefined) throw new Error('no target')
  return state
}

function countZones (times = 200): Record<string, number> {
  const counts: Record<string, number> = { z1: 0, z2: 0 }
  for (let index = 0; index < times; index++) counts[pick().record.availabilityZone]!++
  return counts
}

/** Reports the same load for all targets of a zone. */
function reportZone (isAway: boolean, inFlight: number, queued: number): void {
  for (let index = 0; index < 60; index++) {
    const state = pick(isAway)
    if ((state.record.availabilityZone === 'z2') !== isAway) continue
    pool.recordServiceTime(state, 'r', 250)
    pool.recordLoad(state, { inFlight, queued, slots: SLOTS, served: 9, serviceMs: 250, isRepeatDenied: false })
  }
}

test('call stays in its zone while it is likely to be in time there, whatever the size of its response', () => {
  for (let index = 0; index < 50; index++) pool.recordResponseBytes('r', 5_000)
  reportZone(true, 1, 0)
  reportZone(false, 10, 0)
  expect(countZones()).toEqual({ z1: 200, z2: 0 })
})

test('call that would be late in its own zone uses several targets of another', async () => {
  for (let index = 0; index < 50; index++) pool.recordResponseBytes('r', 5_000)
  reportZone(true, 2, 0)
  reportZone(false, SLOTS, 25)
  const used = new Set(Array.from({ length: 100 }, () => pick().record.targetId))
  expect([...used].filter(id => id.startsWith('z2')).length).toBe(4)
  expect(await metrics.format()).toContain('zone_crossings_total{reason="home-late"}')
})

test('refusals of a zone keep calls away only for a short time', async () => {
  reportZone(true, 2, 0)
  reportZone(false, SLOTS, 25)
  expect(countZones().z2).toBeGreaterThan(150)
  for (let index = 0; index < 10; index++) pool.recordRefusal(pick(true), 'no-spare')
  expect(countZones().z2).toBe(0)
  await clock.advance(1_500)
  reportZone(false, SLOTS, 25)
  expect(countZones().z2).toBeGreaterThan(150)
})
