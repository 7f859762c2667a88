/**
 * Reads the settings that a process starts with.
 */
import { Err, Ok, type IClock, type Result, type SettingsError } from '@lagoonswitch/common'
import { parseSettings, readSettingsText, type ISettings } from '@lagoonswitch/schema'

const READ_INTERVAL_MS = 50
/** Time in which a file that is being written is complete. */
const MAX_WAIT_MS = 500

/** Settings, and the text that they were read from. */
export interface IStartSettings {
  readonly text: string
  readonly settings: ISettings
}

/**
 * Loads the settings of a process. A file that is missing, empty or invalid may be one that is being written, so it is read again for a
 * moment.
 * @param file - path of the INI file
 * @param clock - source of time
 * @returns the settings, or the errors of the last read
 */
export async function loadStartSettings (file: string, clock: IClock): Promise<Result<IStartSettings, SettingsError[]>> {
  const endMs = clock.readMonotonicMs() + MAX_WAIT_MS
  for (;;) {
    const text = await readSettingsText(file)
    const settings = text.err ? text : parseSettings(text.val, file)
    if (text.ok && settings.ok) return Ok({ text: text.val, settings: settings.val })
    if (settings.err && clock.readMonotonicMs() >= endMs) return Err(settings.val)
    await clock.sleep(READ_INTERVAL_MS)
  }
}
