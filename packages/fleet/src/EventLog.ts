/**
 * Log of one process of the model, which keeps its last events.
 */
import type { IClock, ILog, ILogFields } from '@lagoonswitch/common'

const KEPT_EVENTS = 40

/** Keeps events with their times. */
export class EventLog implements ILog {
  private readonly _lines: string[] = []

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /** @returns the last events, oldest first */
  listLines (): readonly string[] {
    return this._lines
  }

  debug (): void {}

  info (event: string, fields: ILogFields = {}): void {
    const text = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ')
    this._lines.push(`${this._clock.readMonotonicMs().toFixed(1)} ${event} ${text}`)
    if (this._lines.length > KEPT_EVENTS) this._lines.shift()
  }

  warn (event: string, fields?: ILogFields): void {
    this.info(event, fields)
  }

  error (event: string, fields?: ILogFields): void {
    this.info(event, fields)
  }
}
