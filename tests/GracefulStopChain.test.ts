/**
 * During a graceful stop a node still serves the calls that its targets make while they run other calls.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { DESK, World } from './support/World.js'

const STOP_MS = 6_000
/** Late enough that callers are assumed to have left, and well before admission ends at 4.2 s. */
const CHAINED_CALL_DELAY_MS = 3_500
let world: World

beforeEach(async () => {
  world = await World.start(['n1', 'n2'])
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, deadline: '10s' } })
})

afterEach(async () => { await world.stop() })

test('call that a target makes through its stopping node while it runs another call is served', async () => {
  await world.addTarget('n2', 't2', 'v1', (request, response) => {
    if (request.url === '/read') {
      response.end('inner')
      return
    }
    void sleep(CHAINED_CALL_DELAY_MS)
      .then(async () => await world.call('n2', 'GET', '/read'))
      .then(inner => response.writeHead(inner.status).end(inner.body), error => response.writeHead(500).end(String(error)))
  })
  for (let index = 0; index < 3; index++) await world.call('n2', 'GET', '/read')
  const outer = world.call('n1', 'POST', '/once')
  await sleep(100)
  await world.addTarget('n1', 't1', 'v1', (_request, response) => { response.end('inner') })
  const stopping = world.getNode('n2').role.stop(STOP_MS)
  expect(await outer).toMatchObject({ status: 200, body: 'inner' })
  await stopping
}, 30_000)
