import { expect, test } from 'vitest'
import { applyArguments, parseArguments } from './FleetArguments.js'
import { parseSite } from './FleetSite.js'

const DEFAULTS = { seeds: '1', jobs: '1' }

test('numbers of nodes and a range of seeds are read', () => {
  const parsed = parseArguments({ nodes: '30,200', seeds: '3-5', faults: 'leader-lost,roll-out', jobs: 2 })
  expect(parsed.ok && parsed.val).toEqual({ nodes: [30, 200], seeds: [3, 4, 5], faults: ['leader-lost', 'roll-out'], count: undefined, jobs: 2 })
})

test('what is not stated comes from the site', () => {
  const parsed = parseArguments(DEFAULTS)
  expect(parsed.ok && parsed.val).toEqual({ nodes: [], seeds: [1], faults: undefined, count: undefined, jobs: 1 })
})

test.each([
  [{ nodes: '0' }, '--nodes'], [{ nodes: '30,' }, '--nodes'], [{ nodes: '1e3' }, '--nodes'], [{ nodes: '2001' }, '--nodes'],
  [{ seeds: '' }, '--seeds'], [{ seeds: '5-3' }, '--seeds'], [{ seeds: '1-2-3' }, '--seeds'], [{ seeds: '-4' }, '--seeds'],
  [{ faults: 'fire' }, '--faults'], [{ faults: '' }, '--faults'], [{ count: '21' }, '--count'], [{ jobs: 0 }, '--jobs'], [{ jobs: '1.5' }, '--jobs']
])('odd value is refused with the option and the remedy: %j', (options, name) => {
  const parsed = parseArguments({ ...DEFAULTS, ...options })
  expect(parsed.err && parsed.val.message).toMatch(new RegExp(`${name}.*use`))
})

test('arguments replace the values of the site', () => {
  const site = parseSite('[faults]\ncount = 3\n', 'site.ini')
  const parsed = parseArguments({ ...DEFAULTS, nodes: '30,74', faults: 'roll-out' })
  if (site.err || parsed.err) throw new Error('not valid')
  const applied = applyArguments(site.val, parsed.val)
  expect(applied.map(({ fleet }) => fleet.nodes)).toEqual([30, 74])
  expect(applied[0]?.faults).toMatchObject({ kinds: ['roll-out'], count: 3 })
})
