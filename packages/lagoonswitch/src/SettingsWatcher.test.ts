import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ManualClock, NullLog } from '@lagoonswitch/common'
import type { ISettings } from '@lagoonswitch/schema'
import { SettingsWatcher } from './SettingsWatcher.js'

/** Time in which a file must not change. */
const SETTLE_MS = 50
let folder: string
let file: string
let changes: ISettings[]
let watcher: SettingsWatcher
let clock: ManualClock

function formatSettings (service: string, seed = '10.0.0.1:1'): string {
  return `[process]\nname = n\nregion = r\navailability_zone = z\nservice = ${service}\n[control]\nseeds = ${seed}\n`
}

/** Creates the watcher of a process that was started with the first settings. */
function createWatcher (): SettingsWatcher {
  return new SettingsWatcher(file, formatSettings('desk'), clock, new NullLog(), settings => changes.push(settings))
}

/** Reads the file, and again once a change has settled. */
async function refresh (of = watcher): Promise<void> {
  of.refresh()
  await clock.advance(SETTLE_MS)
}

beforeEach(async () => {
  clock = new ManualClock()
  folder = await mkdtemp(join(tmpdir(), 'watcher-'))
  file = join(folder, 'n.ini')
  changes = []
  await writeFile(file, formatSettings('desk'))
  watcher = createWatcher()
})

afterEach(async () => {
  watcher.stop()
  await rm(folder, { recursive: true })
})

test('unchanged file changes nothing', async () => {
  await refresh()
  expect(changes).toEqual([])
})

test('changed file is applied without a signal', async () => {
  await writeFile(file, formatSettings('press', '10.0.0.9:1'))
  await refresh()
  expect(changes.map(({ process, control }) => [process.service, control.seeds[0]?.host])).toEqual([['press', '10.0.0.9']])
})

// The file is empty for a moment while it is written again in place.
test('change after a read of the empty file is applied', async () => {
  const started = createWatcher()
  await writeFile(file, '')
  await refresh(started)
  await writeFile(file, formatSettings('press'))
  await refresh(started)
  expect(changes.map(({ process }) => process.service)).toEqual(['press'])
})

test('invalid or missing file keeps the settings until a valid one appears', async () => {
  await writeFile(file, '[process]\nname = n\n')
  await refresh()
  await rm(file)
  await refresh()
  expect(changes).toEqual([])
  await writeFile(file, formatSettings('press'))
  await refresh()
  expect(changes.length).toBe(1)
})

// Guards against settings that are never applied, since they changed after the process had read them and before it watched the file.
test.each(['with a signal', 'without a signal'])('change while the process starts is applied once, %s', async signal => {
  const started = createWatcher()
  await writeFile(file, formatSettings('press'))
  if (signal === 'with a signal') started.refresh()
  started.start()
  await refresh(started)
  started.stop()
  expect(changes.map(({ process }) => process.service)).toEqual(['press'])
})

test('change while the process starts that is taken back changes nothing', async () => {
  const started = createWatcher()
  await writeFile(file, formatSettings('press'))
  await writeFile(file, formatSettings('desk'))
  started.start()
  await clock.advance(SETTLE_MS)
  started.stop()
  expect(changes).toEqual([])
})

// Guards against calls under the wrong service: a part of the file may be valid by itself.
test('part of a file that is valid by itself is not applied while the rest is being written', async () => {
  await writeFile(file, formatSettings('press', '10.0.0.9:1').replace('service = press\n', ''))
  watcher.refresh()
  watcher.refresh()
  await writeFile(file, formatSettings('press', '10.0.0.9:1'))
  await clock.advance(2 * SETTLE_MS)
  expect(changes.map(({ process }) => process.service)).toEqual(['press'])
})

test('change that is taken back before it has settled changes nothing', async () => {
  await writeFile(file, formatSettings('press'))
  watcher.refresh()
  await writeFile(file, formatSettings('desk'))
  await clock.advance(2 * SETTLE_MS)
  expect(changes).toEqual([])
})
