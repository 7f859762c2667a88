/**
 * Each kind of fault alone in a small fleet, and what a run reports.
 */
import { expect, test } from 'vitest'
import { SeededRandom } from '@lagoonswitch/common'
import { FAULT_KINDS } from './FaultKinds.js'
import { FleetRun, planFaults } from './FleetRun.js'
import { parseSite, type ISiteSettings } from './FleetSite.js'

const TIMEOUT_MS = 120_000

function createSettings (text: string): ISiteSettings {
  const site = parseSite(text, 'site.ini')
  if (site.err) throw new Error(site.val.map(({ message }) => message).join('\n'))
  return site.val
}

const SMALL_FLEET = '[fleet]\nnodes = 30\nroutes = 20\n[load]\nduration = 4s\n'

test.each(FAULT_KINDS)('publications are in place in time under a fault: %s', async kind => {
  const settings = createSettings(`${SMALL_FLEET}[faults]\nkinds = ${kind}\ncount = 1\nmin_duration = 1s\nmax_duration = 2s\n`)
  const report = await new FleetRun(settings, 1).play()
  expect(report.violations).toEqual([])
  expect(report.publications).toBeGreaterThan(5)
}, TIMEOUT_MS)

test('same seed gives the same run under faults', async () => {
  const settings = createSettings(SMALL_FLEET)
  expect(await new FleetRun(settings, 8).play()).toEqual(await new FleetRun(settings, 8).play())
}, TIMEOUT_MS)

test('late publication is reported with the last events of the node', async () => {
  const settings = createSettings(`${SMALL_FLEET}[faults]\ncount = 0\n[bounds]\npropagation = 1ms\n`)
  const { violations } = await new FleetRun(settings, 1).play()
  expect(violations[0]).toMatchObject({ kind: 'late', text: expect.stringMatching(/^publication \d+; \d+ was acknowledged \d+ ms ago$/) })
  expect(violations[0]?.events.join('\n')).toContain('feed_joined')
}, TIMEOUT_MS)

test('node that is not ready in time is reported', async () => {
  const settings = createSettings(`${SMALL_FLEET}[faults]\ncount = 0\n[bounds]\nready = 1ms\n`)
  const { violations } = await new FleetRun(settings, 1).play()
  expect(violations.filter(({ kind }) => kind === 'not-ready')).toHaveLength(30)
}, TIMEOUT_MS)

test('faults are within the load and differ between seeds', () => {
  const settings = createSettings('[faults]\ncount = 20\n')
  const planned = [1, 2].map(seed => planFaults(settings, new SeededRandom(seed)))
  for (const { atMs, durationMs } of planned.flat()) {
    expect(atMs).toBeLessThanOrEqual(settings.load.durationMs)
    expect(durationMs).toBeGreaterThanOrEqual(settings.faults.minDurationMs)
    expect(durationMs).toBeLessThanOrEqual(settings.faults.maxDurationMs)
  }
  expect(planned[0]).not.toEqual(planned[1])
})
