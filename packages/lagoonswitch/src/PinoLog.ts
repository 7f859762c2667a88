/**
 * Structured logging with pino.
 */
import { pino, stdTimeFunctions, type Logger } from 'pino'
import { SystemClock, type ILog, type ILogFields } from '@lagoonswitch/common'
import { LogSink, createFileWriter, type TextWriter } from './LogSink.js'

const STDOUT = 1

/** Writes one line per event to an output. */
export class PinoLog implements ILog {
  private readonly _sink: LogSink
  private readonly _logger: Logger

  /**
   * @param level - lowest level that is written
   * @param writer - writes to the output; standard output by default
   */
  constructor (level: string, writer: TextWriter = createFileWriter(STDOUT)) {
    this._sink = new LogSink(writer, new SystemClock())
    this._logger = pino({
      level,
      base: null,
      messageKey: 'event',
      timestamp: stdTimeFunctions.isoTime,
      formatters: { level: label => ({ level: label }) }
    }, this._sink)
  }

  debug (event: string, fields: ILogFields = {}): void {
    if (this._sink.canAccept(event)) this._logger.debug(fields, event)
  }

  info (event: string, fields: ILogFields = {}): void {
    if (this._sink.canAccept(event)) this._logger.info(fields, event)
  }

  warn (event: string, fields: ILogFields = {}): void {
    if (this._sink.canAccept(event)) this._logger.warn(fields, event)
  }

  error (event: string, fields: ILogFields = {}): void {
    if (this._sink.canAccept(event)) this._logger.error(fields, event)
  }

  /** Waits until all buffered lines are written. */
  async close (): Promise<void> {
    await this._sink.flush()
  }
}
