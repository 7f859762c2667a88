/**
 * Reads the settings that a process starts with.
 */
import { stat } from 'node:fs/promises'
import { Err, Ok, type IClock, type Result, type SettingsError } from '@lagoonswitch/common'
import { parseSettings, readSettingsText, type ISettings } from '@lagoonswitch/schema'

const READ_INTERVAL_MS = 50
/** Time for which a whole file does not change. */
const SETTLE_MS = 100
/** Time in which a file that is being written is complete. */
const MAX_WAIT_MS = 500

/** Settings, and the text that they were read from. */
export interface IStartSettings {
  readonly text: string
  readonly settings: ISettings
}

/**
 * Loads the settings of a process. A file that is missing, empty or invalid may be one that is being written, as may one that has just
 * changed, since a part may be valid by itself. It is read again for a moment, until it is whole and two reads agree.
 * @param file - path of the INI file
 * @param clock - source of time
 * @returns the settings, or the errors of the last read
 */
export async function loadStartSettings (file: string, clock: IClock): Promise<Result<IStartSettings, SettingsError[]>> {
  const endMs = clock.readMonotonicMs() + MAX_WAIT_MS
  let lastText: string | undefined
  for (;;) {
    const text = await readSettingsText(file)
    const settings = text.err ? text : parseSettings(text.val, file)
    const isOver = clock.readMonotonicMs() >= endMs
    if (text.ok && settings.ok && (isOver || text.val === lastText || await isSettled(file, clock))) {
      return Ok({ text: text.val, settings: settings.val })
    }
    if (settings.err && isOver) return Err(settings.val)
    lastText = text.ok ? text.val : undefined
    await clock.sleep(READ_INTERVAL_MS)
  }
}

/** Tells, after a read, whether the file had not changed for a moment; false if that is not known. */
async function isSettled (file: string, clock: IClock): Promise<boolean> {
  try {
    return clock.readWallTime().getTime() - (await stat(file)).mtimeMs >= SETTLE_MS
  } catch {
    return false
  }
}
