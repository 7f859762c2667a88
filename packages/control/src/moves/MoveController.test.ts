import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import {
  CatalogueCommand, ChangeCommand, EndpointRecord, EndpointState, MoveStatus, formatEntry, parseEntry, type MoveRecord
} from '@lagoonswitch/schema'
import { CatalogueMachine } from '../catalogue/CatalogueMachine.js'
import { MoveController } from './MoveController.js'
import { FULL_SHARE_PPM, planSteps } from './MoveSchedule.js'

const LENGTH_S = 100
const WATCH_S = 20
let clock: ManualClock
let store: CatalogueStore
let machine: CatalogueMachine
let endpoints: EndpointView
let controller: MoveController
let isCommitting: boolean

function createController (): MoveController {
  return new MoveController({
    clock,
    log: new NullLog(),
    metrics: new Metrics(),
    store,
    endpoints,
    isLeader: () => true,
    propose: async command => {
      if (isCommitting) machine.apply(command)
      return isCommitting
    }
  })
}

function getMove (): MoveRecord {
  const move = store.getMove('desk')
  if (move === undefined) throw new Error('no move')
  return move
}

function startMove (prefer = 'check', hasTarget = true): void {
  const by = new Date(clock.readWallTime().getTime() + LENGTH_S * 1000).toISOString()
  const entry = parseEntry({
    entry: 'desk',
    owner: 'o',
    class: 'first',
    limits: { slots: 4, connections: 9 },
    routes: [{ name: 'r', path: '/r', methods: ['GET'], idempotency: 'safe' }],
    version: 'v1',
    move: { to: 'v2', by, first_share: 0.01, watch: `${WATCH_S}s`, prefer }
  }).unwrap()
  const nowMs = clock.readWallTime().getTime()
  machine.apply(CatalogueCommand.encode({ nowMs, command: { $case: 'bootstrap', value: { epoch: 1 } } }).finish())
  machine.apply(CatalogueCommand.encode({
    nowMs,
    command: {
      $case: 'change',
      value: ChangeCommand.fromPartial({
        requestId: 'r', operator: 'o', edits: [{ name: 'desk', expectedVersion: 0, declaration: formatEntry(entry) }]
      })
    }
  }).finish())
  if (!hasTarget) return
  endpoints.merge([EndpointRecord.fromPartial({
    targetId: 't',
    incarnation: 1,
    sequence: 1,
    state: EndpointState.ENDPOINT_STATE_READY,
    service: 'desk',
    version: 'v2',
    linkAddress: '',
    region: '',
    availabilityZone: '',
    slots: 4,
    node: 'n'
  })])
}

/** Runs seconds with 100 calls each, of which the new version fails a part. */
async function run (seconds: number, failures = 0, calls = 100): Promise<void> {
  for (let second = 0; second < seconds; second++) {
    await clock.advance(1_000)
    const newCalls = Math.round(calls * getMove().sharePpm / FULL_SHARE_PPM)
    const add = (version: string, count: number, failed: number): void => controller.addEvidence([
      { service: 'desk', version, route: 'r', targetId: version, calls: count, failures: failed, latency: { buckets: [20], counts: [count] } }
    ])
    if (newCalls > 0) add('v2', newCalls, Math.round(newCalls * failures))
    if (newCalls < calls) add('v1', calls - newCalls, 0)
    await controller.decide()
  }
}

beforeEach(() => {
  clock = new ManualClock()
  store = new CatalogueStore()
  machine = new CatalogueMachine(store)
  endpoints = new EndpointView()
  controller = createController()
  isCommitting = true
})

test('schedule ends before the set time', () => {
  const steps = planSteps(0, 100_000, 0.01)
  expect(steps.map(step => step.sharePpm)).toEqual([10_000, 50_000, 200_000, 500_000, 980_000, FULL_SHARE_PPM])
  expect(steps.at(-1)?.startMs).toBeLessThan(100_000)
})

test('good version is done in time, then final', async () => {
  startMove()
  await run(LENGTH_S)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM, late: false })
  await run(WATCH_S)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('bad version is taken back and stays so', async () => {
  startMove()
  await run(30, 1)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_TAKEN_BACK, sharePpm: 0 })
  expect(getMove().reason).toMatch(/failures (on route r|over all routes): \d+ of \d+ calls failed/)
  await run(100)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('fault after done is taken back', async () => {
  startMove()
  await run(LENGTH_S)
  await run(WATCH_S, 0.3)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('no target of the new version holds the move and says so', async () => {
  startMove('check', false)
  await run(LENGTH_S)
  expect(getMove()).toMatchObject({ sharePpm: 0, late: true })
  expect(getMove().reason).toMatch(/no ready target of version v2; start some/)
})

test('no calls hold the move, unless time goes first', async () => {
  startMove('check')
  await run(LENGTH_S, 0, 0)
  expect(getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  expect(getMove().late).toBe(true)
})

test('time goes first where the entry says so', async () => {
  startMove('time')
  await run(LENGTH_S, 0, 0)
  expect(getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test('new leader goes on where the old one stopped', async () => {
  startMove()
  await run(50)
  const before = getMove().sharePpm
  controller = createController()
  await run(1)
  expect(getMove().sharePpm).toBe(before)
  await run(50)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_WATCHING)
})

test('new leader ends a comparison that it did not start', async () => {
  startMove()
  await run(LENGTH_S)
  await run(2, 0.2)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: 200_000 })
  controller = createController()
  await run(14)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
})

test('comparison whose end is not committed counts once', async () => {
  startMove()
  await run(80)
  await run(1, 0.2)
  expect(getMove().sharePpm).toBe(200_000)
  isCommitting = false
  await run(15)
  isCommitting = true
  await run(30)
  expect(getMove().status).not.toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(getMove().sharePpm).toBeGreaterThan(200_000)
})

test('decision without a quorum changes nothing', async () => {
  startMove()
  await run(50)
  const before = getMove().sharePpm
  isCommitting = false
  await run(30, 1)
  expect(getMove()).toMatchObject({ sharePpm: before, status: MoveStatus.MOVE_STATUS_RUNNING })
  isCommitting = true
  await run(1)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('ordered move ends in its time though a comparison interrupts the watch', async () => {
  startMove()
  await run(LENGTH_S + WATCH_S)
  const nowMs = clock.readWallTime().getTime()
  endpoints.merge([{ ...endpoints.getRecord('t') as EndpointRecord, version: 'v3', sequence: 2 }])
  machine.apply(CatalogueCommand.encode({
    nowMs, command: { $case: 'order', value: { service: 'desk', from: 'v2', to: 'v3', withinMs: LENGTH_S * 1_000 } }
  }).finish())
  await runOrdered(LENGTH_S * 0.82)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
  await runOrdered(1, 0.2)
  expect(getMove().sharePpm).toBe(200_000)
  await runOrdered(LENGTH_S * 0.96 - LENGTH_S * 0.83)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_DONE, to: 'v3' })
})

/** As {@link run}, for a move from v2 to v3. */
async function runOrdered (seconds: number, failures = 0): Promise<void> {
  for (let second = 0; second < Math.round(seconds); second++) {
    await clock.advance(1_000)
    const newCalls = Math.round(100 * getMove().sharePpm / FULL_SHARE_PPM)
    for (const [version, calls] of [['v3', newCalls], ['v2', 100 - newCalls]] as const) {
      if (calls === 0) continue
      const failed = version === 'v3' ? Math.round(calls * failures) : 0
      controller.addEvidence([
        { service: 'desk', version, route: 'r', targetId: version, calls, failures: failed, latency: { buckets: [20], counts: [calls] } }
      ])
    }
    await controller.decide()
  }
}
