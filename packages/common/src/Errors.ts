/**
 * Typed errors. Each has a stable kind for programs and a message that names the problem and a remedy.
 */

/** Base of all errors of this project. */
export abstract class LagoonswitchError extends Error {
  /** Stable identifier of the type of error. */
  abstract readonly kind: string

  /**
   * @param problem - what is wrong
   * @param remedy - what the reader of the message can do about it
   */
  constructor (readonly problem: string, readonly remedy: string) {
    super(`${problem}; ${remedy}`)
    this.name = new.target.name
  }
}

/** An invalid settings file or command line. */
export class SettingsError extends LagoonswitchError {
  readonly kind = 'settings'

  /**
   * @param file - path of the file
   * @param line - line number from 1, or 0 when the problem has no line
   * @param key - section and key
   * @param problem - what is wrong
   * @param remedy - how to fix it
   */
  constructor (readonly file: string, readonly line: number, readonly key: string, problem: string, remedy: string) {
    super(`${file}${line > 0 ? `:${line}` : ''}: ${key}: ${problem}`, remedy)
  }
}

/** An invalid catalogue declaration. */
export class DeclarationError extends LagoonswitchError {
  readonly kind = 'declaration'

  /**
   * @param path - location of the problem: entry and key
   * @param problem - what is wrong
   * @param remedy - how to fix it
   * @param file - path of the file with the declaration, or empty
   * @param line - line number from 1, or 0 when the problem has no line
   */
  constructor (readonly path: string, problem: string, remedy: string, readonly file = '', readonly line = 0) {
    super(`${file === '' ? '' : `${file}${line > 0 ? `:${line}` : ''}: `}${path}: ${problem}`, remedy)
  }
}

/** Persistent state cannot be read or written. */
export class StorageError extends LagoonswitchError {
  readonly kind = 'storage'
}

/** This replica is not the leader of the group. */
export class NotLeaderError extends LagoonswitchError {
  readonly kind = 'not-leader'

  /** @param leaderAddress - peer address of the leader, empty when unknown */
  constructor (readonly leaderAddress: string) {
    super('this control VM is not the leader', leaderAddress === '' ? 'retry after a second' : `ask ${leaderAddress}`)
  }
}

/** No quorum of control VMs answered in time. */
export class NoQuorumError extends LagoonswitchError {
  readonly kind = 'no-quorum'

  /** @param indeterminate - true when the command may have been committed or may still be */
  constructor (readonly indeterminate: boolean) {
    super('no quorum of control VMs answered in time',
      'check the control VMs with lagoonctl status and resend with the same request id')
  }
}

/** Data from a relay or a control VM cannot be used. */
export class FeedError extends LagoonswitchError {
  readonly kind = 'feed'
}

/** Another process of the system cannot be reached, or the connection to it broke. */
export class PeerError extends LagoonswitchError {
  readonly kind = 'peer'
}

/**
 * Formats any thrown value for a log line or a message.
 * @param error - a caught value
 * @returns its message
 */
export function formatError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
