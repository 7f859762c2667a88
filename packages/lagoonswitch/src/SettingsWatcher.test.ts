import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ManualClock, NullLog } from '@lagoonswitch/common'
import type { ISettings } from '@lagoonswitch/schema'
import { SettingsWatcher } from './SettingsWatcher.js'

let folder: string
let file: string
let changes: ISettings[]
let watcher: SettingsWatcher

function formatSettings (service: string, seed = '10.0.0.1:1'): string {
  return `[process]\nname = n\nregion = r\navailability_zone = z\nservice = ${service}\n[control]\nseeds = ${seed}\n`
}

/** Creates the watcher of a process that was started with the first settings. */
function createWatcher (): SettingsWatcher {
  return new SettingsWatcher(file, formatSettings('desk'), new ManualClock(), new NullLog(), settings => changes.push(settings))
}

beforeEach(async () => {
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
  await watcher.refresh()
  expect(changes).toEqual([])
})

test('changed file is applied without a signal', async () => {
  await writeFile(file, formatSettings('press', '10.0.0.9:1'))
  await watcher.refresh()
  expect(changes.map(({ process, control }) => [process.service, control.seeds[0]?.host])).toEqual([['press', '10.0.0.9']])
})

// The file is empty for a moment while it is written again in place.
test('change after a read of the empty file is applied', async () => {
  const started = createWatcher()
  await writeFile(file, '')
  started.refresh()
  await writeFile(file, formatSettings('press'))
  started.refresh()
  expect(changes.map(({ process }) => process.service)).toEqual(['press'])
})

test('invalid or missing file keeps the settings until a valid one appears', async () => {
  await writeFile(file, '[process]\nname = n\n')
  await watcher.refresh()
  await rm(file)
  await watcher.refresh()
  expect(changes).toEqual([])
  await writeFile(file, formatSettings('press'))
  await watcher.refresh()
  expect(changes.length).toBe(1)
})

// Guards against settings that are never applied, since they changed after the process had read them and before it watched the file.
test.each(['with a signal', 'without a signal'])('change while the process starts is applied once, %s', async signal => {
  const started = createWatcher()
  await writeFile(file, formatSettings('press'))
  if (signal === 'with a signal') started.refresh()
  started.start()
  started.refresh()
  started.stop()
  expect(changes.map(({ process }) => process.service)).toEqual(['press'])
})

test('change while the process starts that is taken back changes nothing', async () => {
  const started = createWatcher()
  await writeFile(file, formatSettings('press'))
  await writeFile(file, formatSettings('desk'))
  started.start()
  started.stop()
  expect(changes).toEqual([])
})
