import { mkdtemp, readdir, rm, stat } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { NullLog, SystemClock } from '@lagoonswitch/common'
import { parseSettings, type ISettings } from '@lagoonswitch/schema'
import { LagoonProcess, tryStart } from './LagoonProcess.js'

const clock = new SystemClock()
let folder: string

beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'process-')) })
afterEach(async () => { await rm(folder, { recursive: true, force: true }) })

function createSettings (dataFolder: string): ISettings {
  const text = `
[process]
name = a
region = r
availability_zone = z
roles = control
data_folder = ${dataFolder}
[listen]
peers = 127.0.0.1:0
local = 127.0.0.1:0
metrics = 127.0.0.1:0
operators = 127.0.0.1:0
[control]
members = a=127.0.0.1:1
claim_shards = 8
`
  const settings = parseSettings(text, 'a.ini')
  if (settings.err) throw new Error(settings.val.map(error => error.message).join('\n'))
  return settings.val
}

/** Describes each file below a folder by its path, inode, size and time of change. */
async function listFiles (path: string): Promise<string[]> {
  const names = await readdir(path, { recursive: true })
  return await Promise.all(names.sort().map(async name => {
    const { ino, size, mtimeMs } = await stat(join(path, name))
    return [name, ino, size, mtimeMs].join(' ')
  }))
}

// The stops fall into the creation of the groups, their first elections and their first commands.
test('nothing is written to the data folder after the stop', async () => {
  for (let round = 0; round < 10; round++) {
    const dataFolder = join(folder, String(round))
    const process = new LagoonProcess(createSettings(dataFolder), new NullLog())
    expect(await tryStart(process)).toMatchObject({ ok: true })
    await clock.sleep(round * 20)
    await process.stop()
    const files = await listFiles(dataFolder)
    await clock.sleep(100)
    expect(await listFiles(dataFolder), `round ${round}`).toEqual(files)
  }
})
