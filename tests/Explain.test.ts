/**
 * Explains failed calls from their ids and the logs of several processes alone.
 */
// @ts-expect-error the simulated platform is plain JavaScript, shared with the benchmarks
import { HOST, PlatformWorld, createConfiguration } from '../bench/platform-world.mjs'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { PinoLog } from '@lagoonswitch/lagoonswitch'
import { findExplanation } from '../packages/lagoonctl/src/explain/CallExplanation.js'
import { readLogs } from '../packages/lagoonctl/src/explain/LogFiles.js'

let world: PlatformWorld
let linesByProcess: Map<string, string[]>

beforeEach(async () => {
  linesByProcess = new Map()
  world = new PlatformWorld((name: string) => {
    const lines: string[] = []
    linesByProcess.set(name, lines)
    return new PinoLog('info', (text, onWritten) => {
      lines.push(text)
      setImmediate(() => onWritten(null))
    })
  })
  await world.start(3, 2, createConfiguration(1, 0, ['desk']))
}, 30_000)

afterEach(async () => { await world.stop() }, 30_000)

async function explain (callId: string): Promise<string> {
  await sleep(100)
  const folder = mkdtempSync(join(tmpdir(), 'explain-'))
  const files = [...linesByProcess].map(([name, lines]) => {
    writeFileSync(join(folder, name), lines.join(''))
    return join(folder, name)
  })
  const { lines, bad } = await readLogs(files)
  rmSync(folder, { recursive: true })
  expect(bad).toBe(0)
  return findExplanation(callId, lines)?.verdict ?? 'none'
}

test('lost answer is explained', async () => {
  await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 10, fault: 'lost', share: 1 })
  const client = world.createClient('n1', 'a')
  await client.call({ host: HOST, path: '/desk/unsafe/x', method: 'POST', isSafe: false })
  expect(await explain('a-0')).toMatch(/^refused at n1 .*: broken: .*the answer is lost \(unknown\).*target_announced at n2/)
}, 60_000)

test('call without an announced target is explained', async () => {
  const client = world.createClient('n1', 'b')
  await client.call({ host: HOST, path: '/desk/safe/x', retries: 0 })
  expect(await explain('b-0')).toMatch(/^refused at n1 .*: no-target: no target of the version in use was announced \(not-run\)/)
}, 60_000)

test('call to a removed route is explained', async () => {
  await world.addTarget('n2', { id: 't1', service: 'desk', workMs: 10 })
  const next = createConfiguration(2, 1, ['desk'])
  next['virtual-hosts'][0].paths.pop()
  expect((await world.operator.order('PUT', '/-/config', next)).status).toBe(200)
  await sleep(300)
  await world.createClient('n1', 'c').call({ host: HOST, path: '/desk/unsafe/x', retries: 0 })
  expect(await explain('c-0')).toMatch(/^refused at n1 .*: no-route: no route matched in the catalogue of that version/)
}, 60_000)
