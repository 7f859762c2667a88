/**
 * Logging interface: one line of key=value pairs for each event.
 */

/** Fields of an event, by name. */
export interface ILogFields {
  readonly [name: string]: string | number | boolean | undefined
}

/** Writes events to the log, by severity. */
export interface ILog {
  debug (event: string, fields?: ILogFields): void
  info (event: string, fields?: ILogFields): void
  warn (event: string, fields?: ILogFields): void
  error (event: string, fields?: ILogFields): void
}

/** Discards all events. */
export class NullLog implements ILog {
  debug (): void {}
  info (): void {}
  warn (): void {}
  error (): void {}
}
