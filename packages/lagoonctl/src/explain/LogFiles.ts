/**
 * Reads log files of processes.
 */
import { createReadStream } from 'node:fs'
import { basename } from 'node:path'
import { createInterface } from 'node:readline'
import { parseLogLine, type ILogLine } from './LogLine.js'

/** Events of all logs, and the number of lines that are not events. */
export interface ILogs {
  readonly lines: ILogLine[]
  readonly bad: number
}

/**
 * Reads logs line by line.
 * @param files - paths, `-` for standard input; empty to read standard input
 * @returns the events; rejects if a file cannot be read
 */
export async function readLogs (files: readonly string[]): Promise<ILogs> {
  const lines: ILogLine[] = []
  let bad = 0
  for (const file of files.length === 0 ? ['-'] : files) {
    const input = file === '-' ? process.stdin : createReadStream(file)
    for await (const text of createInterface({ input })) {
      const line = text.trim() === '' ? undefined : parseLogLine(text, basename(file))
      if (line !== undefined) lines.push(line)
      else if (text.trim() !== '') bad++
    }
  }
  return { lines, bad }
}
