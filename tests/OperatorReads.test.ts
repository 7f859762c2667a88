/**
 * Responses of a control VM that an operator has not received yet when the control VM stops.
 */
// @ts-expect-error the benchmark harness is plain JavaScript
import { createConfiguration, PlatformWorld } from '../bench/platform-world.mjs'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'

const ROUTE_COUNT = 2_500
const PREFIX_LENGTH = 2_000
let world: InstanceType<typeof PlatformWorld>

beforeEach(async () => {
  world = new PlatformWorld()
  const configuration = createConfiguration(1, 0, ['desk'])
  const [host] = configuration['virtual-hosts']
  const paths = Array.from({ length: ROUTE_COUNT }, (_, index) => ({
    ...host.paths[0], name: `r${index}`, 'path-prefix': `/${index}/${'x'.repeat(PREFIX_LENGTH)}/`
  }))
  await world.start(1, 1, { ...configuration, 'virtual-hosts': [{ ...host, paths }] })
}, 60_000)

afterEach(async () => { await world.stop() })

// The response is larger than what the network buffers, so a part of it waits in the process.
test('configuration that an operator reads slowly arrives whole although the control VM stops', async () => {
  const socket = connect(world.ports[1], '127.0.1.1')
  let received = ''
  socket.on('error', () => undefined)
  const closed = new Promise(resolve => socket.on('close', resolve))
  socket.pause()
  socket.write('GET /-/config HTTP/1.1\r\nhost: a\r\n\r\n')
  await sleep(1_000)
  const stopping = world.stopProcess('c1')
  await sleep(300)
  socket.on('data', chunk => { received += String(chunk) })
  socket.resume()
  await Promise.all([closed, stopping])
  const [head = '', body = ''] = received.split('\r\n\r\n')
  expect(Buffer.byteLength(body)).toBe(Number(/content-length: (\d+)/i.exec(head)?.[1]))
}, 30_000)
