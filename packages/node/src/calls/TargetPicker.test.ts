import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, SeededRandom } from '@lagoonswitch/common'
import { EndpointView } from '@lagoonswitch/feed'
import { CallClass, EndpointState, type EndpointRecord, type IEntry } from '@lagoonswitch/schema'
import { TargetPool } from '../routing/TargetPool.js'
import type { ICompiledRoute } from '../routing/RouteTable.js'
import { TargetPicker, type IPickerContext } from './TargetPicker.js'

const SHARE_PPM = 80_000
let endpoints: EndpointView
let context: IPickerContext
let isVersionCut: boolean

function addTarget (targetId: string, version: string): void {
  endpoints.merge([{
    targetId,
    incarnation: 1,
    sequence: 1,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 's',
    version,
    linkAddress: targetId,
    region: 'r1',
    availabilityZone: 'z1',
    slots: 4,
    node: targetId
  } as EndpointRecord])
}

function createPicker (): TargetPicker {
  const split = { from: 'v1', to: 'v2', sharePpm: SHARE_PPM, excluded: 'v2' }
  const parts = [{ service: 's', weight: 1, serviceEntry: {} as IEntry, split }]
  const route = { key: 'r', parts, totalWeight: 1 } as unknown as ICompiledRoute
  return new TargetPicker(context, { route, callClass: CallClass.CALL_CLASS_NORMAL })
}

beforeEach(() => {
  endpoints = new EndpointView()
  isVersionCut = false
  const pool = new TargetPool({
    region: 'r1',
    availabilityZone: 'z1',
    linkAddress: 'own',
    clock: new ManualClock(),
    random: new SeededRandom(1),
    metrics: new Metrics(),
    endpoints
  })
  context = { pool, random: new SeededRandom(3), evidence: { isVersionCut: () => isVersionCut } as unknown as IPickerContext['evidence'] }
})

/** Counts attempts by version over 1,000 calls that each try targets until none is left. */
function countTriedVersions (): Map<string, number> {
  const counts = new Map<string, number>()
  for (let call = 0; call < 1_000; call++) {
    const picker = createPicker()
    for (let target = picker.pickTarget(0, undefined); target !== undefined; target = picker.pickTarget(0, 'queue-full')) {
      picker.markTried(target)
      counts.set(target.record.version, (counts.get(target.record.version) ?? 0) + 1)
    }
  }
  return counts
}

test('full targets of the old version do not raise the share of the new one', () => {
  for (const id of ['a', 'b']) addTarget(id, 'v1')
  addTarget('c', 'v2')
  const counts = countTriedVersions()
  expect(counts.get('v2')).toBeGreaterThan(1_000 * SHARE_PPM / 1e6 / 2)
  expect(counts.get('v2')).toBeLessThan(1_000 * SHARE_PPM / 1e6 * 1.5)
})

test('calls of a version without targets go to the other version unless that is cut', () => {
  addTarget('c', 'v2')
  expect(countTriedVersions().get('v2')).toBe(1_000)
  isVersionCut = true
  expect(countTriedVersions().size).toBe(0)
})
