import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ManualClock, Metrics, NullLog, SystemClock, type IClock } from '@lagoonswitch/common'
import { LinkListener, PlainCredentials } from '@lagoonswitch/transport'
import { PeerServer } from './PeerServer.js'

const CUT_MS = 500
let metrics: Metrics
let server: PeerServer
let listener: LinkListener
let peer: Socket

async function openLink (clock: IClock): Promise<void> {
  const opener = { open: () => { throw new Error('no call was sent') } }
  server = new PeerServer(opener, { clock, log: new NullLog(), metrics })
  const accepted = new Promise<void>(resolve => {
    listener = new LinkListener(new PlainCredentials(), socket => {
      server.serve(socket)
      resolve()
    })
  })
  // Keeps its own side open until it says otherwise.
  peer = connect({ port: await listener.listen('127.0.0.1', 0), host: '127.0.0.1', allowHalfOpen: true })
  await accepted
}

beforeEach(() => { metrics = new Metrics() })

afterEach(() => {
  peer.destroy()
  listener.close()
})

// A process of an earlier version sends no pings to one that stops, and reports nothing.
test('peer that sends nothing but closes its side does not hold a stop up', async () => {
  const clock = new SystemClock()
  await openLink(clock)
  peer.on('end', () => peer.end()).resume()
  const startedMs = clock.readMonotonicMs()
  await server.closeLinks(startedMs + 10_000)
  expect(clock.readMonotonicMs() - startedMs).toBeLessThan(CUT_MS)
  expect(metrics.readCount('links_closed_total', 'peer')).toBe(1)
})

test('peer that never closes its side holds a stop up until its end only', async () => {
  const clock = new SystemClock()
  await openLink(clock)
  const startedMs = clock.readMonotonicMs()
  await server.closeLinks(startedMs + CUT_MS)
  expect(clock.readMonotonicMs() - startedMs).toBeLessThan(2 * CUT_MS)
  expect(metrics.readCount('links_closed_total', 'cut')).toBe(1)
})

test('peer that was silent for long before a stop holds it up for a moment only', async () => {
  const clock = new ManualClock()
  await openLink(clock)
  await clock.advance(3_000)
  const closing = server.closeLinks(clock.readMonotonicMs() + 10_000)
  await clock.advance(CUT_MS)
  await closing
  expect(metrics.readCount('links_closed_total', 'silent')).toBe(1)
})
