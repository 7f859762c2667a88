/**
 * Runs a process with the settings of a file until it receives a stop signal or fails.
 */
import { SystemClock, formatError, type SettingsError } from '@lagoonswitch/common'
import { loadLinkKeys } from '@lagoonswitch/transport'
import { LagoonProcess, tryStart, type IPlatformAdapter } from './LagoonProcess.js'
import { PinoLog } from './PinoLog.js'
import { SettingsWatcher } from './SettingsWatcher.js'
import { loadStartSettings } from './StartSettings.js'

const EXIT_OK = 0
const EXIT_FAILED = 1
/** Exit code for invalid settings or options. */
export const EXIT_SETTINGS = 2

/**
 * Runs a process; exits from it after a stop signal or a failure.
 * @param file - path of the INI file
 * @param adapter - replacements for the default dialect and surface
 */
export async function runProcess (file: string, adapter: IPlatformAdapter = {}): Promise<void> {
  const clock = new SystemClock()
  const loaded = await loadStartSettings(file, clock)
  if (loaded.err) exitForSettings(loaded.val)
  const { text, settings } = loaded.val
  const keys = settings.tls.caFile === '' ? undefined : await loadLinkKeys(settings.tls, clock)
  if (keys?.err === true) exitForSettings([keys.val])
  const log = new PinoLog(settings.log.level)
  const instance = new LagoonProcess(settings, log, adapter, keys?.val)
  const watcher = new SettingsWatcher(file, text, clock, log, next => instance.applySettings(next))
  const stop = async (code: number): Promise<void> => {
    watcher.stop()
    await instance.stop()
    await log.close()
    process.exit(code)
  }
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => {
      log.info('stop_requested', { signal })
      void stop(EXIT_OK)
    })
  }
  process.on('SIGHUP', () => watcher.refresh())
  const handleFault = (event: string, error: unknown): void => {
    log.error(event, { error: formatError(error), stack: error instanceof Error ? error.stack : undefined })
    void stop(EXIT_FAILED)
  }
  process.on('unhandledRejection', error => handleFault('unhandled_rejection', error))
  // The calls that run are answered first: the exception concerns one connection or timer, not their state.
  process.on('uncaughtException', error => handleFault('uncaught_exception', error))
  instance.onFailed(group => {
    log.error('process_failed', { group, remedy: 'repair the disk and restart, or replace this control VM' })
    void stop(EXIT_FAILED)
  })
  const started = await tryStart(instance)
  if (started.err) {
    log.error('start_failed', { error: started.val })
    await stop(EXIT_FAILED)
  }
  watcher.start()
}

function exitForSettings (errors: readonly SettingsError[]): never {
  for (const error of errors) console.error(error.message)
  process.exit(EXIT_SETTINGS)
}
