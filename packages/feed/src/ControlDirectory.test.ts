import { expect, test } from 'vitest'
import { ControlDirectory } from './ControlDirectory.js'

test('fires no event for unchanged members', () => {
  const directory = new ControlDirectory(['10.0.0.1:1'])
  let changes = 0
  directory.onChanged(() => { changes++ })
  const members = [{ address: '10.0.0.1:1', availabilityZone: 'z1' }, { address: '10.0.0.2:1', availabilityZone: 'z2' }]
  for (let index = 0; index < 5; index++) directory.setMembers(members.map(member => ({ ...member })))
  expect(changes).toBe(1)
  directory.setMembers([])
  expect(directory.listAddresses()).toEqual(['10.0.0.1:1', '10.0.0.2:1'])
  directory.setMembers(members.slice(1))
  expect(changes).toBe(2)
  expect(directory.listAddresses()).toEqual(['10.0.0.2:1', '10.0.0.1:1'])
  expect(directory.getZone('10.0.0.2:1')).toBe('z2')
})
