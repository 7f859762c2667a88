import { beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import {
  CatalogueCommand, ChangeCommand, EndpointRecord, EndpointState, MoveCommand, MoveStatus, formatEntry, parseEntry, type EvidenceRecord,
  type MoveRecord
} from '@lagoonswitch/schema'
import { CatalogueStateMachine } from '../catalogue/CatalogueStateMachine.js'
import { MoveController } from './MoveController.js'
import { FULL_SHARE_PPM, planSteps } from './MoveSchedule.js'
import { ORDERED_LOW_SHARE_PPM, planOrderedSteps } from './OrderedSchedule.js'

const MOVE_DURATION_S = 100
const WATCH_S = 20
const ORDERED_MOVE_DURATION_S = 16
const EXPOSURE_LIMIT = { share: 0.1, slack: 50 }
let clock: ManualClock
let store: CatalogueStore
let machine: CatalogueStateMachine
let endpoints: EndpointView
let controller: MoveController
let hasQuorum: boolean
/** Latest command that was not committed. */
let rejectedCommand: Uint8Array

function createController (): MoveController {
  return new MoveController({
    clock,
    log: new NullLog(),
    metrics: new Metrics(),
    store,
    endpoints,
    exposure: EXPOSURE_LIMIT,
    isLeader: () => true,
    propose: async command => {
      if (hasQuorum) machine.apply(command)
      else rejectedCommand = command
      return hasQuorum
    }
  })
}

function getMove (): MoveRecord {
  const move = store.getMove('desk')
  if (move === undefined) throw new Error('no move')
  return move
}

function apply (command: CatalogueCommand['command']): void {
  machine.apply(CatalogueCommand.encode({ nowMs: clock.readWallTime().getTime(), command }).finish())
}

function putEntry (move: object): void {
  const entry = parseEntry({
    entry: 'desk',
    owner: 'o',
    class: 'first',
    limits: { slots: 4, connections: 9 },
    routes: [{ name: 'r', path: '/r', methods: ['GET'], idempotency: 'safe' }],
    ...move
  }).unwrap()
  apply({ $case: 'bootstrap', value: { epoch: 1 } })
  apply({
    $case: 'change',
    value: ChangeCommand.fromPartial({
      requestId: 'r', operator: 'o', edits: [{ name: 'desk', expectedVersion: 0, declaration: formatEntry(entry) }]
    })
  })
}

function putTarget (): void {
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

function startMove (prefer = 'check', hasTarget = true): void {
  const by = new Date(clock.readWallTime().getTime() + MOVE_DURATION_S * 1000).toISOString()
  putEntry({ version: 'v1', move: { to: 'v2', by, first_share: 0.01, watch: `${WATCH_S}s`, prefer } })
  if (hasTarget) putTarget()
}

/** Runs the controller with 100 calls per second by default, of which the new version fails a fraction. */
async function runSeconds (seconds: number, failureRate = 0, calls = 100): Promise<void> {
  for (let second = 0; second < seconds; second++) {
    await clock.advance(1_000)
    const newCalls = Math.round(calls * getMove().sharePpm / FULL_SHARE_PPM)
    if (newCalls > 0) controller.addEvidence([createRecord('v2', newCalls, Math.round(newCalls * failureRate))])
    if (newCalls < calls) controller.addEvidence([createRecord('v1', calls - newCalls, 0)])
    await controller.decide()
  }
}

beforeEach(() => {
  clock = new ManualClock()
  store = new CatalogueStore()
  machine = new CatalogueStateMachine(store)
  endpoints = new EndpointView()
  controller = createController()
  hasQuorum = true
})

test('planned steps reach the full share before the set time', () => {
  const steps = planSteps(0, 100_000, 0.01)
  expect(steps.map(step => step.sharePpm)).toEqual([10_000, 50_000, 200_000, 500_000, 980_000, FULL_SHARE_PPM])
  expect(steps.at(-1)?.startMs).toBeLessThan(100_000)
})

test('good version gets the full share in time and is done after the watch', async () => {
  startMove()
  await runSeconds(MOVE_DURATION_S)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM, late: false })
  await runSeconds(WATCH_S)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('bad version is taken back for good', async () => {
  startMove()
  await runSeconds(30, 1)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_TAKEN_BACK, sharePpm: 0 })
  expect(getMove().reason).toMatch(/failures (on route r|over all routes): \d+ of \d+ calls failed/)
  await runSeconds(100)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('version that fails during the watch is taken back', async () => {
  startMove()
  await runSeconds(MOVE_DURATION_S)
  await runSeconds(WATCH_S, 0.3)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('move without a ready target of the new version is held and reported as late', async () => {
  startMove('check', false)
  await runSeconds(MOVE_DURATION_S)
  expect(getMove()).toMatchObject({ sharePpm: 0, late: true })
  expect(getMove().reason).toMatch(/no ready target of version v2; start some/)
})

test('move without calls is held where the entry prefers the check', async () => {
  startMove('check')
  await runSeconds(MOVE_DURATION_S, 0, 0)
  expect(getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  expect(getMove().late).toBe(true)
})

test('move without calls gets the full share where the entry prefers time', async () => {
  startMove('time')
  await runSeconds(MOVE_DURATION_S, 0, 0)
  expect(getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test('new leader continues the move of the previous one', async () => {
  startMove()
  await runSeconds(50)
  const before = getMove().sharePpm
  controller = createController()
  await runSeconds(1)
  expect(getMove().sharePpm).toBe(before)
  await runSeconds(50)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_WATCHING)
})

test('new leader ends a probe that it did not start', async () => {
  startMove()
  await runSeconds(MOVE_DURATION_S)
  await runSeconds(2, 0.2)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: 200_000 })
  controller = createController()
  await runSeconds(14)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
})

test('probe whose end is not committed counts as one regression', async () => {
  startMove()
  await runSeconds(80)
  await runSeconds(1, 0.2)
  expect(getMove().sharePpm).toBe(200_000)
  hasQuorum = false
  await runSeconds(15)
  hasQuorum = true
  await runSeconds(30)
  expect(getMove().status).not.toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(getMove().sharePpm).toBeGreaterThan(200_000)
})

test('probe with few calls ends after a quarter of the move\'s duration', async () => {
  startMove()
  await runSeconds(80)
  await runSeconds(1, 0.2)
  expect(getMove().sharePpm).toBe(200_000)
  await runSeconds(MOVE_DURATION_S * 0.25 - 1, 0, 5)
  expect(getMove().sharePpm).toBe(200_000)
  await runSeconds(2, 0, 5)
  expect(getMove().sharePpm).toBeGreaterThan(200_000)
})

test('decision without a quorum changes nothing', async () => {
  startMove()
  await runSeconds(50)
  const before = getMove().sharePpm
  hasQuorum = false
  await runSeconds(30, 1)
  expect(getMove()).toMatchObject({ sharePpm: before, status: MoveStatus.MOVE_STATUS_RUNNING })
  hasQuorum = true
  await runSeconds(1)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('ordered move ends in time although a probe interrupts the watch', async () => {
  startOrder(MOVE_DURATION_S)
  await runOrdered(MOVE_DURATION_S * 0.82)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
  await runOrdered(1, () => ({ new: 0.2, old: 0.2 }))
  expect(getMove().sharePpm).toBe(ORDERED_LOW_SHARE_PPM)
  await runOrdered(MOVE_DURATION_S * (0.96 - 0.83), () => ({ new: 0.2, old: 0.2 }))
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_DONE, to: 'v2' })
})

test('ordered move to a good version is done in time', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S - 1)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test.each([[60, 16], [143, 16], [150, 12], [600, 12]])('fault under load stays within the limit, %d calls/s in %d s', async (calls, seconds) => {
  startOrder(seconds)
  const { all, exposed } = await runOrdered(seconds, share => ({ new: share >= 0.7 ? 0.5 : 0, old: 0 }), calls)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(exposed).toBeLessThanOrEqual(EXPOSURE_LIMIT.share * all + EXPOSURE_LIMIT.slack)
})

test('small share depends on the call rate of the last second, not on the average since the start', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(0.5, undefined, 0)
  await runOrdered(1.25, undefined, 400)
  // 300 of 400 calls/s are reported for the last second, and 200 calls/s since the start. A lower rate gives a larger share.
  expect(getMove().sharePpm).toBe(planOrderedSteps(0, ORDERED_MOVE_DURATION_S * 650, 160_000, 0.3, EXPOSURE_LIMIT)[1]?.sharePpm)
})

test('new leader takes back a version with a fault under load that its predecessor gave all calls', async () => {
  await startWatchedOrder()
  controller = createController()
  await runOrdered(2, failUnderLoad)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_TAKEN_BACK })
})

test('new leader takes back a version that got all calls by a decision of its predecessor that was committed late', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.64)
  hasQuorum = false
  await runOrdered(1)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_RUNNING)
  machine.apply(rejectedCommand)
  hasQuorum = true
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
  controller = createController()
  await runOrdered(2, failUnderLoad)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('good version is done although the leader changes in its watch', async () => {
  await startWatchedOrder()
  controller = createController()
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.27)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('new leader that has no rates of the old version takes the new one back', async () => {
  await startWatchedOrder()
  apply({ $case: 'move', value: MoveCommand.fromPartial({ ...getMove(), expectedVersion: getMove().version, baseline: [] }) })
  controller = createController()
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.3, failUnderLoad)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('new leader that sees no calls takes the version back', async () => {
  await startWatchedOrder()
  controller = createController()
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.3, undefined, 0)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('new leader that sees few calls at the small share does not give all calls to the new version', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.5)
  controller = createController()
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.4, undefined, 20)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('version that got all calls too late to show a fault is not done', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.6)
  hasQuorum = false
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.3)
  hasQuorum = true
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.1)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('jump of the time of day does not end the small share of an ordered move early', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.5)
  clock.stepWall(ORDERED_MOVE_DURATION_S * 300)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.1)
  expect(getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.1)
  expect(getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test.each([0.3, -0.3])('jump of the time of day by %d of the order does not hide a fault under load', async fraction => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.66)
  expect(getMove().sharePpm).toBe(FULL_SHARE_PPM)
  clock.stepWall(ORDERED_MOVE_DURATION_S * 1_000 * fraction)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.28, share => ({ new: share >= 0.7 ? 0.5 : 0, old: 0 }))
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('order that follows a jump back of the time of day is done in time', async () => {
  clock.stepWall(5_000)
  putEntry({})
  clock.stepWall(-5_000)
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S - 1)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test.each([0.5, 1, 1.25])('new leader does not choose the small share from a rate that it has not measured, %d s after the order', async seconds => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(seconds, undefined, 400)
  expect(getMove().sharePpm).toBe(ORDERED_LOW_SHARE_PPM)
  controller = createController()
  await runOrdered(3, undefined, 400)
  const planned = planOrderedSteps(0, ORDERED_MOVE_DURATION_S * 650, 160_000, 0.4, EXPOSURE_LIMIT)[1]?.sharePpm
  expect(getMove().sharePpm).toBe(planned)
})

test('share stays low while a leader sees no calls', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.6, undefined, 0)
  expect(getMove().sharePpm).toBe(ORDERED_LOW_SHARE_PPM)
})

test('targets that start late get a small share before the full one', async () => {
  startOrder(ORDERED_MOVE_DURATION_S, false)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.7)
  expect(getMove().sharePpm).toBe(0)
  putTarget()
  await runOrdered(1)
  expect(getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.25)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('fault of both versions does not take back an ordered move', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.7)
  expect(getMove().sharePpm).toBe(FULL_SHARE_PPM)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.2, () => ({ new: 0.2, old: 0.2 }))
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.08)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('new leader takes back an ordered move whose probe it did not start', async () => {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.7)
  await runOrdered(1, () => ({ new: 0.2, old: 0 }))
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: ORDERED_LOW_SHARE_PPM })
  controller = createController()
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.25)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('suspected version gets the full share once the old version fails too', async () => {
  await startSuspectedOrder()
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_RUNNING)
  expect(controller.getProgress('desk')?.next).toMatch(/suspected/)
  await runOrdered(1, () => ({ new: 0, old: 0.1 }), 400)
  expect(getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test('version that stays suspected is taken back at the latest start of the full share', async () => {
  await startSuspectedOrder()
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.14, undefined, 0)
  expect(getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(getMove().reason).toMatch(/still suspected/)
})

/** Orders a move whose version fails too few calls for a finding, and runs it past the planned start of the full share. */
async function startSuspectedOrder (): Promise<void> {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.6)
  controller.addEvidence([createRecord('v2', 10, 3), createRecord('v1', 60, 0)])
  await runOrdered(1.25, undefined, 0)
}

function failUnderLoad (share: number): { new: number, old: number } {
  return { new: share >= 0.7 ? 0.5 : 0, old: 0 }
}

/** Orders a move to a version that shows no fault until it has all calls. */
async function startWatchedOrder (): Promise<void> {
  startOrder(ORDERED_MOVE_DURATION_S)
  await runOrdered(ORDERED_MOVE_DURATION_S * 0.66)
  expect(getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
}

/** Orders a move from v1 to v2. */
function startOrder (seconds: number, hasTarget = true): void {
  putEntry({})
  if (hasTarget) putTarget()
  apply({ $case: 'order', value: { service: 'desk', from: 'v1', to: 'v2', withinMs: seconds * 1_000 } })
}

/**
 * Runs windows of 250 ms. Outcomes are reported one window after their calls, and a share takes effect one window after its
 * decision.
 * @returns calls to the service, and those to the new version
 */
async function runOrdered (
  seconds: number, getFailureRates = (_share: number): { new: number, old: number } => ({ new: 0, old: 0 }), callsPerS = 100
): Promise<{ all: number, exposed: number }> {
  const counts = { all: 0, exposed: 0 }
  let activeSharePpm = getMove().sharePpm
  let pendingEvidence: EvidenceRecord[] = []
  for (let window = 1; window <= Math.round(seconds * 4); window++) {
    const calls = Math.floor(callsPerS * window / 4) - Math.floor(callsPerS * (window - 1) / 4)
    const share = activeSharePpm / FULL_SHARE_PPM
    activeSharePpm = getMove().sharePpm
    const newCalls = Math.round(calls * share)
    counts.all += calls
    counts.exposed += newCalls
    const failures = getFailureRates(share)
    controller.addEvidence(pendingEvidence)
    pendingEvidence = [
      createRecord('v2', newCalls, Math.round(newCalls * failures.new)),
      createRecord('v1', calls - newCalls, Math.round((calls - newCalls) * failures.old))
    ].filter(record => record.calls > 0)
    await clock.advance(250)
    await controller.decide()
  }
  controller.addEvidence(pendingEvidence)
  return counts
}

function createRecord (version: string, calls: number, failures: number): EvidenceRecord {
  return { service: 'desk', version, route: 'r', targetId: version, calls, failures, latency: { buckets: [20], counts: [calls] } }
}
