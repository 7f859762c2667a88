/**
 * Calls on routes that a node does not know while a newer catalogue may be in force.
 */
import { afterEach, expect, test } from 'vitest'
import { DESK, World, waitFor } from './support/World.js'

let world: World

afterEach(async () => { await world.stop() })

test('unknown route is refused for good only while the catalogue of the node is current', async () => {
  world = await World.start(['n1'])
  await world.putEntry(DESK)
  await world.addTarget('n1', 't1', 'v1', (_, response) => { response.end('served') })
  const current = await world.call('n1', 'GET', '/added')
  world.stopControl()
  await waitFor('a lost source', () => !world.getNode('n1').role.feed.isCurrent)
  const outdated = await world.call('n1', 'GET', '/added')
  const known = await world.call('n1', 'GET', '/read')
  expect([current.status, outdated.status, known.status]).toEqual([404, 503, 200])
  expect(Number(outdated.headers['retry-after'])).toBeGreaterThan(0)
  expect(outdated.headers['lagoon-run']).toBe('not-run')
})
