import { mkdtemp, rm, writeFile } from 'node:fs/promises'
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

test('file that stays invalid is refused with its problems', async () => {
  await writeFile(file, '[process]\nname = n\n')
  const result = await loadStartSettings(file, new SystemClock())
  expect(result.err && result.val.map(error => error.message).join()).toContain('region')
})
