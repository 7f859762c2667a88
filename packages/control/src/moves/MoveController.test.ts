import { beforeEach, expect, test } from 'vitest'
import { MoveStatus } from '@lagoonswitch/schema'
import { EXPOSURE_LIMIT, MoveHarness, ORDERED_MOVE_DURATION_S, createRecord } from '../testing/MoveHarness.js'
import { FULL_SHARE_PPM, planSteps } from './MoveSchedule.js'
import { ORDERED_LOW_SHARE_PPM, planOrderedSteps } from './OrderedSchedule.js'

const MOVE_DURATION_S = 100
const WATCH_S = 20
let world: MoveHarness

function startMove (prefer = 'check', hasTarget = true): void {
  const by = new Date(world.clock.readWallTime().getTime() + MOVE_DURATION_S * 1000).toISOString()
  world.putEntry({ version: 'v1', move: { to: 'v2', by, first_share: 0.01, watch: `${WATCH_S}s`, prefer } })
  if (hasTarget) world.putTarget()
}

/** Runs the controller with 100 calls per second by default, of which the new version fails a fraction. */
async function runSeconds (seconds: number, failureRate = 0, calls = 100): Promise<void> {
  for (let second = 0; second < seconds; second++) {
    await world.clock.advance(1_000)
    const newCalls = Math.round(calls * world.getMove().sharePpm / FULL_SHARE_PPM)
    if (newCalls > 0) world.controller.addEvidence([createRecord('v2', newCalls, Math.round(newCalls * failureRate))])
    if (newCalls < calls) world.controller.addEvidence([createRecord('v1', calls - newCalls, 0)])
    await world.controller.decide()
  }
}

beforeEach(() => { world = new MoveHarness() })

test('planned steps reach the full share before the set time', () => {
  const steps = planSteps(0, 100_000, 0.01)
  expect(steps.map(step => step.sharePpm)).toEqual([10_000, 50_000, 200_000, 500_000, 980_000, FULL_SHARE_PPM])
  expect(steps.at(-1)?.startMs).toBeLessThan(100_000)
})

test('good version gets the full share in time and is done after the watch', async () => {
  startMove()
  await runSeconds(MOVE_DURATION_S)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM, late: false })
  await runSeconds(WATCH_S)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('bad version is taken back for good', async () => {
  startMove()
  await runSeconds(30, 1)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_TAKEN_BACK, sharePpm: 0 })
  expect(world.getMove().reason).toMatch(/failures (on route r|over all routes): \d+ of \d+ calls failed/)
  await runSeconds(100)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('version that fails during the watch is taken back', async () => {
  startMove()
  await runSeconds(MOVE_DURATION_S)
  await runSeconds(WATCH_S, 0.3)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('move without a ready target of the new version is held and reported as late', async () => {
  startMove('check', false)
  await runSeconds(MOVE_DURATION_S)
  expect(world.getMove()).toMatchObject({ sharePpm: 0, late: true })
  expect(world.getMove().reason).toMatch(/no ready target of version v2; start some/)
})

test('move without calls is held where the entry prefers the check', async () => {
  startMove('check')
  await runSeconds(MOVE_DURATION_S, 0, 0)
  expect(world.getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  expect(world.getMove().late).toBe(true)
})

test('move without calls gets the full share where the entry prefers time', async () => {
  startMove('time')
  await runSeconds(MOVE_DURATION_S, 0, 0)
  expect(world.getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test('new leader continues the move of the previous one', async () => {
  startMove()
  await runSeconds(50)
  const before = world.getMove().sharePpm
  world.replaceLeader()
  await runSeconds(1)
  expect(world.getMove().sharePpm).toBe(before)
  await runSeconds(50)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_WATCHING)
})

test('new leader ends a probe that it did not start', async () => {
  startMove()
  await runSeconds(MOVE_DURATION_S)
  await runSeconds(2, 0.2)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: 200_000 })
  world.replaceLeader()
  await runSeconds(14)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
})

test('probe whose end is not committed counts as one regression', async () => {
  startMove()
  await runSeconds(80)
  await runSeconds(1, 0.2)
  expect(world.getMove().sharePpm).toBe(200_000)
  world.hasQuorum = false
  await runSeconds(15)
  world.hasQuorum = true
  await runSeconds(30)
  expect(world.getMove().status).not.toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(world.getMove().sharePpm).toBeGreaterThan(200_000)
})

test('probe with few calls ends after a quarter of the move\'s duration', async () => {
  startMove()
  await runSeconds(80)
  await runSeconds(1, 0.2)
  expect(world.getMove().sharePpm).toBe(200_000)
  await runSeconds(MOVE_DURATION_S * 0.25 - 1, 0, 5)
  expect(world.getMove().sharePpm).toBe(200_000)
  await runSeconds(2, 0, 5)
  expect(world.getMove().sharePpm).toBeGreaterThan(200_000)
})

test('decision without a quorum changes nothing', async () => {
  startMove()
  await runSeconds(50)
  const before = world.getMove().sharePpm
  world.hasQuorum = false
  await runSeconds(30, 1)
  expect(world.getMove()).toMatchObject({ sharePpm: before, status: MoveStatus.MOVE_STATUS_RUNNING })
  world.hasQuorum = true
  await runSeconds(1)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('ordered move ends in time although a probe interrupts the watch', async () => {
  world.startOrder(MOVE_DURATION_S)
  await world.runOrdered(MOVE_DURATION_S * 0.82)
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: FULL_SHARE_PPM })
  await world.runOrdered(1, () => ({ new: 0.2, old: 0.2 }))
  expect(world.getMove().sharePpm).toBe(ORDERED_LOW_SHARE_PPM)
  await world.runOrdered(MOVE_DURATION_S * (0.96 - 0.83), () => ({ new: 0.2, old: 0.2 }))
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_DONE, to: 'v2' })
})

test('ordered move to a good version is done in time', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S - 1)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test.each([[60, 16], [143, 16], [150, 12], [600, 12]])('fault under load stays within the limit, %d calls/s in %d s', async (calls, seconds) => {
  world.startOrder(seconds)
  const { all, exposed } = await world.runOrdered(seconds, share => ({ new: share >= 0.7 ? 0.5 : 0, old: 0 }), calls)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(exposed).toBeLessThanOrEqual(EXPOSURE_LIMIT.share * all + EXPOSURE_LIMIT.slack)
})

test('small share depends on the call rate of the last second, not on the average since the start', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(0.5, undefined, 0)
  await world.runOrdered(1.25, undefined, 400)
  // 300 of 400 calls/s are reported for the last second, and 200 calls/s since the start. A lower rate gives a larger share.
  expect(world.getMove().sharePpm).toBe(planOrderedSteps(0, ORDERED_MOVE_DURATION_S * 650, 160_000, 0.3, EXPOSURE_LIMIT)[1]?.sharePpm)
})

test('small share is lowered when the call rate rises, and not raised when it falls', async () => {
  const planShare = (callsPerMs: number): number | undefined =>
    planOrderedSteps(0, ORDERED_MOVE_DURATION_S * 650, 160_000, callsPerMs, EXPOSURE_LIMIT)[1]?.sharePpm
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(4, undefined, 80)
  expect(world.getMove().sharePpm).toBe(planShare(0.08))
  await world.runOrdered(3, undefined, 400)
  expect(world.getMove().sharePpm).toBeLessThanOrEqual((planShare(0.4) ?? 0) * 1.5)
  const lowered = world.getMove().sharePpm
  await world.runOrdered(1, undefined, 80)
  await world.runOrdered(2, undefined, 0)
  expect(world.getMove().sharePpm).toBe(lowered)
})

test('targets that start late get a small share before the full one', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S, false)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.7)
  expect(world.getMove().sharePpm).toBe(0)
  world.putTarget()
  await world.runOrdered(1)
  expect(world.getMove().sharePpm).toBeLessThan(FULL_SHARE_PPM)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.25)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('fault of both versions does not take back an ordered move', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.7)
  expect(world.getMove().sharePpm).toBe(FULL_SHARE_PPM)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.2, () => ({ new: 0.2, old: 0.2 }))
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.08)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_DONE)
})

test('new leader takes back an ordered move whose probe it did not start', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.7)
  await world.runOrdered(1, () => ({ new: 0.2, old: 0 }))
  expect(world.getMove()).toMatchObject({ status: MoveStatus.MOVE_STATUS_WATCHING, sharePpm: ORDERED_LOW_SHARE_PPM })
  world.replaceLeader()
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.25)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})

test('suspected version gets the full share once the old version fails too', async () => {
  await startSuspectedOrder()
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_RUNNING)
  expect(world.controller.getProgress('desk')?.next).toMatch(/suspected/)
  await world.runOrdered(1, () => ({ new: 0, old: 0.1 }), 400)
  expect(world.getMove().sharePpm).toBe(FULL_SHARE_PPM)
})

test('version that stays suspected is taken back at the latest start of the full share', async () => {
  await startSuspectedOrder()
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.14, undefined, 0)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(world.getMove().reason).toMatch(/still suspected/)
})

/** Orders a move whose version fails too few calls for a finding, and runs it past the planned start of the full share. */
async function startSuspectedOrder (): Promise<void> {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.6)
  world.controller.addEvidence([createRecord('v2', 10, 3), createRecord('v1', 60, 0)])
  await world.runOrdered(1.25, undefined, 0)
}

test.each([60, 110, 300])('bad version whose calls were not seen before all are due stays within the limit, %d calls/s', async calls => {
  world.startOrder(ORDERED_MOVE_DURATION_S, false)
  await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.66, undefined, calls)
  world.putTarget()
  const rates = (): { new: number, old: number } => ({ new: 0.12, old: 0 })
  const { exposed } = await world.runOrdered(ORDERED_MOVE_DURATION_S * 0.34, rates, calls)
  const { share, slack } = EXPOSURE_LIMIT
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
  expect(exposed).toBeLessThanOrEqual(slack + share * calls * ORDERED_MOVE_DURATION_S)
})

test('version without evidence is taken back rather than given all calls', async () => {
  world.startOrder(ORDERED_MOVE_DURATION_S)
  await world.runOrdered(3)
  // From here on no outcome of the new version arrives.
  for (let window = 0; window < 40; window++) {
    world.controller.addEvidence([createRecord('v1', 25, 0)])
    await world.clock.advance(250)
    await world.controller.decide()
  }
  expect(world.getMove().sharePpm).not.toBe(FULL_SHARE_PPM)
  expect(world.getMove().status).toBe(MoveStatus.MOVE_STATUS_TAKEN_BACK)
})
