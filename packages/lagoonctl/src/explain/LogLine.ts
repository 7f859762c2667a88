/**
 * Parser for log lines of a process.
 */
import logfmt from 'logfmt'

/** Log event with its fields as text. */
export interface ILogLine {
  /** Name of the process: the one that precedes the fields of the line, otherwise the name of the file. */
  readonly process: string
  readonly timeMs: number
  readonly event: string
  readonly fields: Readonly<Record<string, string>>
}

/**
 * Parses a line.
 * @param text - key=value pairs, after an optional process name
 * @param file - name of the file
 * @returns the line, or undefined if it is not a log event
 */
export function parseLogLine (text: string, file: string): ILogLine | undefined {
  const fields: Record<string, string> = {}
  let processLabel = ''
  for (const [key, value] of Object.entries(logfmt.parse(text))) {
    // A word without a value is not a field; the last such word is the process name added by a log collector.
    if (value === true) processLabel = key
    else fields[key] = String(value)
  }
  const timeMs = Date.parse(fields.time ?? '')
  const event = fields.event ?? ''
  if (event === '' || Number.isNaN(timeMs)) return undefined
  return { process: processLabel === '' ? file : processLabel, timeMs, event, fields }
}
