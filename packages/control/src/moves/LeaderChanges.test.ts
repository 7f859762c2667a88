/**
 * Orders whose leader changes, loses its quorum or reads another time of day.
 */
import { beforeEach, expect, test, vi } from 'vitest'
import { MoveCommand, MoveStatus } from '@lagoonswitch/schema'
import { EXPOSURE_LIMIT, MoveHarness, ORDERED_MOVE_DURATION_S, type IFailureRates } from '../testing/MoveHarness.js'
import { FULL_SHARE_PPM } from './MoveSchedule.js'
import { ORDERED_LOW_SHARE_PPM, planOrderedSteps } from './OrderedSchedule.js'

let world: MoveHarness

function failUnderLoad (share: number): IFailureRates {
  return { new: share >= 0.7 ? 0.5 : 0, old: 0 }
}

/** Orders a move to a version that shows no fault until it has all calls. */
async function startWatchedOrder (): Promise<void> {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.66)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
}

beforeEach(() => { world = new MoveHarness() })

test('new leader takes back a version with a fault under load that its predecessor gave all calls', async () => {
  await startWatchedOrder()
  world.replaceLeader()
  await world.runOrdered(2, failUnderLoad)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_TAKEN_BACK })
})

test('new leader takes back a version that got all calls by a decision of its predecessor that was committed late', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.64)
  world.hasQuorum = false
  await world.runOrdered(1)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_RUNNING)
  world.machine.apply(world.rejectedCommand)
  world.hasQuorum = true
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
  world.replaceLeader()
  await world.runOrdered(2, failUnderLoad)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('good version is done although the leader changes in its watch', async () => {
  await startWatchedOrder()
  world.replaceLeader()
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.27)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('new leader that has no rates of the old version takes the new one back', async () => {
  await startWatchedOrder()
  world.apply({
    $case: 'move',
    value: MoveCommand.fromPartial({ ...world.getMove(), expectedVersion: world.getMove().version, baseline: [] })
  })
  world.replaceLeader()
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.3, failUnderLoad)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('new leader that sees no calls takes the version back', async () => {
  await startWatchedOrder()
  world.replaceLeader()
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.3, undefined, 0)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('new leader that sees few calls at the small share does not give all calls to the new version', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.5)
  world.replaceLeader()
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.4, undefined, 20)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('version that got all calls too late to show a fault is not done', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.6)
  world.hasQuorum = false
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.3)
  world.hasQuorum = true
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.1)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('jump of the time of day does not end the small share of an ordered move early', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.5)
  world.clock.stepWall(ORDERED_MOVE_DURATION_S * 300)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.1)
  expect(world.getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.1)
  expect(world.getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test.each([0.3, -0.3])('jump of the time of day by %d of the order does not hide a fault under load', async fraction => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.66)
  expect(world.getMove().sharePpm).toBe(FULL_SHARE_PPM)
  world.clock.stepWall(ORDERED_MOVE_DURATION_S * 1_000 * fraction)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.28, failUnderLoad)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('order that follows a jump back of the time of day is done in time', async () => {
  world.clock.stepWall(5_000)
  world.putEntry({})
  world.clock.stepWall(-5_000)
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S - 1)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test.each([0.5, 1, 1.25])('new leader does not choose the small share from a rate that it has not measured, %d s after the order', async seconds => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(seconds, undefined, 400)
  expect(world.getMove().sharePpm).toBe(ORDERED_LOW_SHARE_PPM)
  world.replaceLeader()
  await world.runOrdered(3, undefined, 400)
  const planned = planOrderedSteps(0, ORDERED_MOVE_DURATION_S * 650, 160_000, 0.4, EXPOSURE_LIMIT)[1]?.sharePpm
  expect(world.getMove().sharePpm).toBe(planned)
})

test('control VM that is not ready to lead opens no move', async () => {
  const opened = vi.spyOn(world.log, 'info')
  world.startOrder(ORDERED_MOVE_DURATION_S)
  world.isLeader = false
  await world.runOrdered(1)
  expect(opened).not.toHaveBeenCalled()
  world.isLeader = true
  await world.runOrdered(1)
  expect(opened.mock.calls.filter(([event]) => event === 'move_opened').length).toBe(1)
})

test('share stays low while a leader sees no calls', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.6, undefined, 0)
  expect(world.getMove().sharePpm).toBe(ORDERED_LOW_SHARE_PPM)
})
