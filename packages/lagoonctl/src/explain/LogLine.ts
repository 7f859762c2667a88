/**
 * One line of a process's log.
 */
import logfmt from 'logfmt'

/** An event with its fields as text. */
export interface ILogLine {
  /** File that it stands in, or what the line itself names before its fields. */
  readonly process: string
  readonly timeMs: number
  readonly event: string
  readonly fields: Readonly<Record<string, string>>
}

/**
 * Parses a line.
 * @param text - key=value pairs; words before them name the process
 * @param file - name of the file
 * @returns the line, or undefined when it is no event
 */
export function parseLogLine (text: string, file: string): ILogLine | undefined {
  const fields: Record<string, string> = {}
  let processLabel = ''
  for (const [key, value] of Object.entries(logfmt.parse(text))) {
    // A word without a value is no field; the last one in front is the name that a collector put there.
    if (value === true) processLabel = key
    else fields[key] = String(value)
  }
  const timeMs = Date.parse(fields.time ?? '')
  const event = fields.event ?? ''
  if (event === '' || Number.isNaN(timeMs)) return undefined
  return { process: processLabel === '' ? file : processLabel, timeMs, event, fields }
}
