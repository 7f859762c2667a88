/**
 * The end of the log: one line of key=value pairs for each event, bounded in rate and in memory, never blocking.
 */
import { write } from 'node:fs'
import type { IClock } from '@lagoonswitch/common'

/** Lines of one event in a second, after a burst of as many. */
const LINES_PER_SECOND = 100
/** Text that may wait while the output isn't read, in characters. */
const MAX_WAITING = 262_144
const REPORT_MS = 1_000

/** Writes text and calls back when it is written; takes one text at a time. */
export type TextWriter = (text: string, onWritten: (error: Error | null) => void) => void

interface IEventRate {
  tokens: number
  filledMs: number
}

/**
 * Makes a writer for an open file.
 * @param descriptor - of the file
 * @returns the writer
 */
export function createFileWriter (descriptor: number): TextWriter {
  return (text, onWritten) => write(descriptor, text, error => onWritten(error))
}

/** Takes the JSON lines of pino. */
export class LogSink {
  private readonly _rates = new Map<string, IEventRate>()
  private _waiting: string[] = []
  private _waitingLength = 0
  private _dropped = 0
  private _reportedMs = 0
  private _isWriting = false
  private _onFlushed: Array<() => void> = []

  /**
   * @param _writer - writes to the output
   * @param _clock - source of time
   */
  constructor (private readonly _writer: TextWriter, private readonly _clock: IClock) {}

  /**
   * Tells whether a line of an event would be written now; a dropped line needn't be made.
   * @param event - name of the event
   * @returns false when its lines are over their rate; the line counts as dropped then
   */
  canTake (event: string): boolean {
    if (this._fill(event, this._clock.readMonotonicMs()).tokens >= 1) return true
    this._dropped++
    return false
  }

  /**
   * Takes one event.
   * @param json - line of pino
   */
  write (json: string): void {
    const fields = JSON.parse(json) as Record<string, unknown>
    const nowMs = this._clock.readMonotonicMs()
    this._reportDropped(nowMs)
    if (!this._spend(String(fields.event), nowMs)) {
      this._dropped++
      return
    }
    this._push(formatLine(fields))
  }

  /** Waits until everything taken so far is written. */
  async flush (): Promise<void> {
    if (!this._isWriting && this._waiting.length === 0) return
    await new Promise<void>(resolve => this._onFlushed.push(resolve))
  }

  private _spend (event: string, nowMs: number): boolean {
    const rate = this._fill(event, nowMs)
    if (rate.tokens < 1) return false
    rate.tokens--
    return true
  }

  private _fill (event: string, nowMs: number): IEventRate {
    const rate = this._rates.get(event) ?? { tokens: LINES_PER_SECOND, filledMs: nowMs }
    this._rates.set(event, rate)
    rate.tokens = Math.min(LINES_PER_SECOND, rate.tokens + (nowMs - rate.filledMs) / REPORT_MS * LINES_PER_SECOND)
    rate.filledMs = nowMs
    return rate
  }

  private _reportDropped (nowMs: number): void {
    if (this._dropped === 0 || nowMs - this._reportedMs < REPORT_MS) return
    this._reportedMs = nowMs
    const lines = this._dropped
    this._dropped = 0
    this._push(formatLine({ time: new Date().toISOString(), level: 'warn', event: 'log_dropped', lines }))
  }

  private _push (line: string): void {
    if (this._waitingLength + line.length > MAX_WAITING) {
      this._dropped++
      return
    }
    this._waiting.push(line)
    this._waitingLength += line.length
    if (!this._isWriting) this._writeNext()
  }

  private _writeNext (): void {
    if (this._waiting.length === 0) {
      for (const resolve of this._onFlushed.splice(0)) resolve()
      return
    }
    this._isWriting = true
    const text = this._waiting.join('')
    this._waiting = []
    this._writer(text, error => {
      this._isWriting = false
      this._waitingLength -= text.length
      if (error !== null) this._dropped++
      this._writeNext()
    })
  }
}

function formatLine (fields: Record<string, unknown>): string {
  const pairs: string[] = []
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined && value !== null && value !== '') pairs.push(`${key}=${formatValue(value)}`)
  }
  return pairs.join(' ') + '\n'
}

function formatValue (value: unknown): string {
  if (typeof value === 'number') return String(Math.round(value * 1_000) / 1_000)
  const text = String(value)
  return /[\s"=]/.test(text) ? JSON.stringify(text) : text
}
