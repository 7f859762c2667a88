/**
 * Runs of 200 nodes with faults that the seeds choose. Few routes are declared, as their number mostly costs time here.
 */
import { expect, test } from 'vitest'
import { FleetRun } from './FleetRun.js'
import { parseSite } from './FleetSite.js'

const SITE = '[fleet]\nnodes = 200\nroutes = 50\n[load]\nduration = 4s\n[faults]\nmax_duration = 3s\n'

test.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])('publications are in place in time at 200 nodes under faults (seed %i)', async seed => {
  const site = parseSite(SITE, 'site.ini')
  if (site.err) throw new Error(site.val.map(({ message }) => message).join('\n'))
  const { violations } = await new FleetRun(site.val, seed).play()
  expect(violations).toEqual([])
}, 120_000)
