/**
 * Writes log events as lines of key=value pairs without blocking, with limits on the rate per event and on buffered text.
 */
import { write } from 'node:fs'
import type { IClock } from '@lagoonswitch/common'

/** Rate limit per event; also the size of a burst. */
const LINES_PER_SECOND = 100
/** Limit on text that is queued or being written. */
const MAX_BUFFERED_CHARS = 262_144
const RATE_WINDOW_MS = 1_000

/** Writes a text and calls back when it is written; only one write may be pending. */
export type TextWriter = (text: string, onWritten: (error: Error | null) => void) => void

interface ITokenBucket {
  tokens: number
  refilledMs: number
}

/**
 * Creates a writer for an open file.
 * @param descriptor - file descriptor
 * @returns the writer
 */
export function createFileWriter (descriptor: number): TextWriter {
  return (text, onWritten) => write(descriptor, text, error => onWritten(error))
}

/** Destination stream of pino: converts its JSON lines and writes them. */
export class LogSink {
  private readonly _buckets = new Map<string, ITokenBucket>()
  private _buffered: string[] = []
  private _bufferedChars = 0
  private _droppedLines = 0
  private _lastReportMs = 0
  private _isWriting = false
  private _onFlushed: Array<() => void> = []

  /**
   * @param _writer - writes to the output
   * @param _clock - source of time
   */
  constructor (private readonly _writer: TextWriter, private readonly _clock: IClock) {}

  /**
   * Tells whether a line of an event would be written now, so that the caller need not format a line that would be dropped.
   * @param event - name of the event
   * @returns false if the event exceeds its rate; the line then counts as dropped
   */
  canAccept (event: string): boolean {
    if (this._refillBucket(event, this._clock.readMonotonicMs()).tokens >= 1) return true
    this._droppedLines++
    return false
  }

  /**
   * Writes one event, or drops it if the event exceeds its rate or the buffer is full.
   * @param json - JSON line of pino
   */
  write (json: string): void {
    const fields = JSON.parse(json) as Record<string, unknown>
    const nowMs = this._clock.readMonotonicMs()
    this._reportDropped(nowMs)
    if (!this._takeToken(String(fields.event), nowMs)) {
      this._droppedLines++
      return
    }
    this._enqueue(formatLine(fields))
  }

  /** Waits until all lines accepted so far are written. */
  async flush (): Promise<void> {
    if (!this._isWriting && this._buffered.length === 0) return
    await new Promise<void>(resolve => this._onFlushed.push(resolve))
  }

  private _takeToken (event: string, nowMs: number): boolean {
    const bucket = this._refillBucket(event, nowMs)
    if (bucket.tokens < 1) return false
    bucket.tokens--
    return true
  }

  private _refillBucket (event: string, nowMs: number): ITokenBucket {
    const bucket = this._buckets.get(event) ?? { tokens: LINES_PER_SECOND, refilledMs: nowMs }
    this._buckets.set(event, bucket)
    bucket.tokens = Math.min(LINES_PER_SECOND, bucket.tokens + (nowMs - bucket.refilledMs) / RATE_WINDOW_MS * LINES_PER_SECOND)
    bucket.refilledMs = nowMs
    return bucket
  }

  private _reportDropped (nowMs: number): void {
    if (this._droppedLines === 0 || nowMs - this._lastReportMs < RATE_WINDOW_MS) return
    this._lastReportMs = nowMs
    const lines = this._droppedLines
    this._droppedLines = 0
    this._enqueue(formatLine({ time: new Date().toISOString(), level: 'warn', event: 'log_dropped', lines }))
  }

  private _enqueue (line: string): void {
    if (this._bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this._droppedLines++
      return
    }
    this._buffered.push(line)
    this._bufferedChars += line.length
    if (!this._isWriting) this._writeNext()
  }

  private _writeNext (): void {
    if (this._buffered.length === 0) {
      for (const resolve of this._onFlushed.splice(0)) resolve()
      return
    }
    this._isWriting = true
    const text = this._buffered.join('')
    this._buffered = []
    this._writer(text, error => {
      this._isWriting = false
      this._bufferedChars -= text.length
      if (error !== null) this._droppedLines++
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
