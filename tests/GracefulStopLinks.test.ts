/**
 * Links of a process that stops gracefully and exits: what its kernel has not delivered yet must still arrive.
 */
import { writeFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { generate } from 'selfsigned'
import { CallOpen } from '@lagoonswitch/schema'
import { FrameSocket, createLinkCredentials, openLinkSocket, type ICertificateFiles } from '@lagoonswitch/transport'
// @ts-expect-error the benchmark harness is plain JavaScript
import { Fleet } from '../bench/harness.mjs'

const CALLS = 40
/** All of it may be sent at once, whatever the peer reports as received. */
const BODY = Buffer.alloc(16_000, 'r')
/** Interval of the pings to a process that stops. */
const PING_MS = 200
/** Longer than the shortest stop, shorter than the stop timeout. */
const UNREAD_MS = 3_500

let fleet: Fleet
let target: Server
let received: Map<number, number>
let ended: number
let closed: Promise<string>

async function announce (): Promise<void> {
  const { port } = target.address() as AddressInfo
  const body = JSON.stringify({ service: 'desk', version: 'v1', address: `127.0.0.1:${port}`, slots: CALLS, connections: CALLS })
  await fetch(`http://127.0.0.1:${fleet.vms.get('n1').local}/v1/targets/t1`, {
    method: 'PUT', headers: { 'content-type': 'application/json' }, body
  })
}

async function createCertificates (): Promise<ICertificateFiles> {
  const pems = await generate([{ name: 'commonName', value: 'vm' }], {
    keySize: 2048, extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
  })
  const [caFile, certFile, keyFile] = ['ca', 'cert', 'key'].map(name => join(fleet.folder, name)) as [string, string, string]
  writeFileSync(caFile, pems.cert)
  writeFileSync(certFile, pems.cert)
  writeFileSync(keyFile, pems.private)
  return { caFile, certFile, keyFile }
}

async function startFleet (files: ICertificateFiles): Promise<void> {
  const extra = files.caFile === '' ? '' : `[tls]\nca_file = ${files.caFile}\ncert_file = ${files.certFile}\nkey_file = ${files.keyFile}`
  await fleet.plan([{ name: 'c1', roles: 'control', extra }, { name: 'n1', roles: 'node', extra }])
  fleet.startVm('c1')
  fleet.startVm('n1')
  await fleet.waitReady('n1')
  await announce()
}

function openLink (files: ICertificateFiles): { raw: Socket, link: FrameSocket } {
  const raw = openLinkSocket(`127.0.0.1:${fleet.vms.get('n1').links}`, createLinkCredentials(files), () => undefined)
  let onClosed: (cause: string) => void
  closed = new Promise(resolve => { onClosed = resolve })
  const link = new FrameSocket(raw, {
    onFrame: ({ callId, frame }) => {
      if (frame?.$case !== 'head' && frame?.$case !== 'data') return
      const chunk = frame.$case === 'head' ? frame.value.body : frame.value.chunk
      received.set(callId, (received.get(callId) ?? 0) + chunk.length)
      if (frame.value.end) ended++
    },
    onClose: cause => onClosed(cause)
  })
  return { raw, link }
}

function sendPing (link: FrameSocket): void {
  link.send({ callId: 0, frame: { $case: 'ping', value: { reply: false } } })
}

beforeEach(async () => {
  received = new Map()
  ended = 0
  target = createServer((_request, response) => response.end(BODY))
  await new Promise<void>(resolve => target.listen(0, '127.0.0.1', resolve))
  fleet = new Fleet()
})

afterEach(async () => {
  target.closeAllConnections()
  target.close()
  await fleet.stop()
})

test.each(['plain', 'TLS'])('responses that a slow link has not delivered when a graceful stop ends arrive complete: %s', async kind => {
  const files = kind === 'TLS' ? await createCertificates() : { caFile: '', certFile: '', keyFile: '' }
  await startFleet(files)
  const { raw, link } = openLink(files)
  for (let callId = 1; callId <= CALLS; callId++) {
    const value = CallOpen.fromPartial({
      service: 'desk',
      version: 'v1',
      targetId: 't1',
      method: 'GET',
      path: '/',
      remainingMs: 5_000,
      class: 1,
      slots: CALLS,
      connections: CALLS,
      queue: CALLS,
      bodyComplete: true
    })
    link.send({ callId, frame: { $case: 'open', value } })
  }
  raw.pause()
  await sleep(500)
  const stopping = fleet.kill('n1')
  const pings = setInterval(() => sendPing(link), PING_MS)
  await sleep(UNREAD_MS)
  raw.resume()
  const cause = await closed
  clearInterval(pings)
  expect({ cause, ended, bytes: [...received.values()].reduce((sum, bytes) => sum + bytes, 0) })
    .toEqual({ cause: 'ended', ended: CALLS, bytes: CALLS * BODY.length })
  expect(await stopping).toBe(0)
}, 30_000)
