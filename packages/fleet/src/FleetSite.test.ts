import { expect, test } from 'vitest'
import { createFleetSite, parseSite } from './FleetSite.js'

test('empty file describes the default site', () => {
  const parsed = parseSite('', 'site.ini')
  expect(parsed.ok && createFleetSite(parsed.val)).toMatchObject({ nodes: 195, controlZones: ['a', 'b', 'c', 'd', 'e'], syncMs: 0.5 })
})

test('values of a file replace the defaults', () => {
  const parsed = parseSite('[fleet]\nnodes = 30\nzones = 4\ncontrol_vms = 3\n[node]\nlink = 250\n[faults]\nkinds = roll-out\n', 'site.ini')
  expect(parsed.ok && parsed.val.faults.kinds).toEqual(['roll-out'])
  expect(parsed.ok && createFleetSite(parsed.val)).toMatchObject({
    nodes: 30, zones: ['a', 'b', 'c', 'd'], controlZones: ['a', 'b', 'c'], nodeSize: { bytesPerMs: 250 }
  })
})

test.each([
  ['[fleet]\nnodes = 0', 'site.ini:2: [fleet] nodes: .*use a whole number'],
  ['[fleet]\nnoodles = 3', 'site.ini:2: [fleet] noodles: unknown key'],
  ['[flee]\nnodes = 3', 'site.ini:1: [flee]: unknown section'],
  ['[network]\nin_zone = 3', 'site.ini:2: [network] in_zone: .*is not a duration'],
  ['[faults]\nkinds = fire', 'site.ini:2: [faults] kinds: .*use one of'],
  ['[faults]\nkinds =', '[faults] kinds: no kind is left'],
  ['[faults]\nmin_duration = 9s', '[faults] min_duration: it is longer'],
  ['[fleet]\nzones = 2\ncontrol_vms = 3', '[fleet] control_vms: there are more']
])('odd value is refused with its line and the remedy: %s', (text, message) => {
  const parsed = parseSite(text, 'site.ini')
  const escaped = message.replace(/[[\]]/g, '\\$&')
  expect(parsed.err && parsed.val.map(error => error.message).join('\n')).toMatch(new RegExp(escaped))
})
