import { appendFile, mkdtemp, rm, utimes, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { SystemClock } from '@lagoonswitch/common'
import { loadStartSettings } from './StartSettings.js'

const SETTINGS = '[process]\nname = n\nregion = r\navailability_zone = z\nservice = desk\n[control]\nseeds = 10.0.0.1:1\n'
let folder: string
let file: string

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'start-settings-'))
  file = join(folder, 'n.ini')
})

afterEach(async () => { await rm(folder, { recursive: true }) })

// Guards against a process that ends at its start because its settings are being written at that moment.
test.each([['missing', undefined], ['empty', ''], ['cut off', SETTINGS.slice(0, 30)]])('file that is complete a moment later is read: %s', async (_name, first) => {
  if (first !== undefined) await writeFile(file, first)
  const loaded = loadStartSettings(file, new SystemClock())
  setTimeout(() => { void writeFile(file, SETTINGS) }, 100)
  const result = await loaded
  expect(result.ok && [result.val.text, result.val.settings.process.service]).toEqual([SETTINGS, 'desk'])
})

// Guards against a process that runs without the rest of its settings until its end: a part may be valid by itself.
test('part of a file that is valid by itself is not taken while the rest is being written', async () => {
  await writeFile(file, SETTINGS)
  const loaded = loadStartSettings(file, new SystemClock())
  setTimeout(() => { void appendFile(file, '[node]\nretry_slack = 7\n') }, 20)
  expect((await loaded).unwrap().settings.node.retrySlack).toBe(7)
})

test('file that was written well before the start is read once', async () => {
  await writeFile(file, SETTINGS)
  await utimes(file, new Date(), new Date(Date.now() - 1_000))
  const clock = new SystemClock()
  const startMs = clock.readMonotonicMs()
  expect((await loadStartSettings(file, clock)).ok).toBe(true)
  expect(clock.readMonotonicMs() - startMs).toBeLessThan(50)
})

test('file that stays invalid is refused with its problems', async () => {
  await writeFile(file, '[process]\nname = n\n')
  const result = await loadStartSettings(file, new SystemClock())
  expect(result.err && result.val.map(error => error.message).join()).toContain('region')
})
