/**
 * Targets of uneven speed, whose times callers learn from the reports of the targets.
 */
import type { Socket } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import { PlatformDialect } from '@lagoonswitch/platform'
import { ReportedTimes } from '@lagoonswitch/traffic'
import { DESK, World } from './support/World.js'

const SLOTS = 4
const CALLS = 20
const FAST_MS = 60
/** Calls among which at least one goes to each of two targets of equal speed. */
const MAX_CALLS = 60

let world: World
let calls = 0
let runs: Record<string, number>
let delaysMs: Record<string, number>

/** Starts nodes that use reported times and others that don't; the targets are on the second one. */
async function start (areReporting: readonly boolean[]): Promise<void> {
  world = await World.start([], '', new PlatformDialect())
  for (const [index, isReporting] of areReporting.entries()) {
    await world.startNode(`n${index + 1}`, `[node]\nreported_times = ${isReporting}\n`)
  }
  await world.putEntry({ ...DESK, class: 'normal', limits: { ...DESK.limits, slots: SLOTS, queue: 20 } })
  runs = {}
  delaysMs = { a: FAST_MS, b: FAST_MS }
  for (const id of Object.keys(delaysMs)) await world.addRawTarget('n2', id, 'v1', socket => serve(socket, id), SLOTS, 0)
}

function serve (socket: Socket, targetId: string): void {
  socket.on('data', data => {
    const id = /x-attempt-id: (\S+)/i.exec(data.toString())?.[1]
    if (id === undefined) return
    runs[targetId] = (runs[targetId] ?? 0) + 1
    setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`), delaysMs[targetId])
  })
}

async function call (node: string): Promise<number> {
  const { status } = await world.call(node, 'GET', '/read', { 'x-attempt-id': `t${calls++}`, 'x-request-deadline': '3000' })
  return status
}

afterEach(async () => {
  vi.restoreAllMocks()
  await world.stop()
})

async function callMany (node: string, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) await Promise.all(Array.from({ length: 2 * SLOTS }, async () => await call(node)))
}

test('node that sends few calls learns how slow a target has become from the calls of another node', async () => {
  await start([true, true, true])
  await callMany('n3', 6)
  delaysMs.b = 2 * FAST_MS
  await callMany('n3', 10)
  const reports = vi.spyOn(ReportedTimes.prototype, 'recordLoad')
  runs = {}
  for (let index = 0; index < MAX_CALLS && runs.b === undefined; index++) expect(await call('n1')).toBe(200)
  const [, , load] = reports.mock.calls.find(([state]) => state.record.targetId === 'b') ?? []
  expect(load?.expectedMs).toBeGreaterThan(1.5 * FAST_MS)
  expect(load?.expectedMs).toBeLessThan(3 * FAST_MS)
}, 20_000)

test.each([
  ['that reports no times', [true, false]], ['that uses none', [false, true]]
])('calls between a process that uses reported times and one %s are served', async (_name, areReporting) => {
  await start(areReporting)
  for (let index = 0; index < CALLS; index++) expect(await call('n1')).toBe(200)
  expect((runs.a ?? 0) + (runs.b ?? 0)).toBe(CALLS)
}, 20_000)
