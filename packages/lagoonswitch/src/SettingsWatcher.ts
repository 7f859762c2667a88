/**
 * Polls the settings file for changes, so that they apply without a signal.
 */
import { readFileSync } from 'node:fs'
import { formatError, type IClock, type IDisposable, type ILog } from '@lagoonswitch/common'
import { parseSettings, type ISettings } from '@lagoonswitch/schema'

/** Much shorter than the time within which new settings must apply. */
const POLL_INTERVAL_MS = 1_000

/** Time for which a changed file must stay the same, since a part of what is being written may be valid by itself. */
const SETTLE_MS = 50

/** Reads the settings file periodically and reports changed settings. */
export class SettingsWatcher {
  private readonly _abortController = new AbortController()
  private _timer: IDisposable | undefined
  /** Text that differs from the settings in use, and monotonic time of the read that found it first. */
  private _change: { readonly text: string, readonly sinceMs: number } | undefined

  /**
   * @param _file - path of the settings file
   * @param _lastText - text of the settings that the process was started with; the file may have changed since
   * @param _clock - source of time
   * @param _log - receives events
   * @param _onChanged - called with the validated settings after a change
   */
  constructor (
    private readonly _file: string, private _lastText: string, private readonly _clock: IClock, private readonly _log: ILog,
    private readonly _onChanged: (settings: ISettings) => void
  ) {}

  /** Starts polling. */
  start (): void {
    void this._poll()
  }

  /** Reads the file immediately, and applies a change once a second read finds the same; invalid settings are logged and ignored. */
  refresh (): void {
    this._timer?.dispose()
    if (this._read()) this._timer = this._clock.schedule(SETTLE_MS, () => this.refresh())
  }

  stop (): void {
    this._abortController.abort()
    this._timer?.dispose()
  }

  /** Returns true if the file has changed and must be read again. */
  private _read (): boolean {
    try {
      // Synchronous: each of the four steps of an asynchronous read wakes two threads, every second in every process.
      const text = readFileSync(this._file, 'utf8')
      const nowMs = this._clock.readMonotonicMs()
      if (text !== this._change?.text) this._change = text === this._lastText ? undefined : { text, sinceMs: nowMs }
      if (this._change === undefined || this._abortController.signal.aborted) return false
      if (nowMs < this._change.sinceMs + SETTLE_MS) return true
      this._change = undefined
      this._lastText = text
      const settings = parseSettings(text, this._file)
      if (settings.ok) {
        this._log.info('settings_reloaded', { file: this._file })
        this._onChanged(settings.val)
      } else {
        this._log.warn('settings_refused', { file: this._file, problem: settings.val.map(error => error.message).join('; ') })
      }
    } catch (error) {
      this._log.warn('settings_unreadable', { file: this._file, error: formatError(error) })
    }
    return false
  }

  private async _poll (): Promise<void> {
    while (!this._abortController.signal.aborted) {
      this.refresh()
      await this._clock.waitTick(POLL_INTERVAL_MS)
    }
  }
}
