/**
 * State that is replicated by a log.
 */

/**
 * Decodes a command. A command that can't be decoded must not stop the replicas, which would all meet it again
 * after a restart; it is applied as one without effect.
 * @param decode - decoder of the generated code
 * @param bytes - from the log
 * @returns the command, or undefined
 */
export function decodeCommand<T> (decode: (bytes: Uint8Array) => T, bytes: Uint8Array): T | undefined {
  try {
    return decode(bytes)
  } catch {
    return undefined
  }
}

/** A deterministic state: the same commands in the same order give the same state and results. */
export abstract class StateMachine {
  /**
   * Applies one committed command.
   * @param command - encoded command
   * @returns the encoded result for the proposer
   */
  abstract apply (command: Uint8Array): Uint8Array

  /** @returns the whole state, encoded */
  abstract takeSnapshot (): Uint8Array

  /**
   * Replaces the whole state.
   * @param state - a state from {@link takeSnapshot}
   */
  abstract restoreSnapshot (state: Uint8Array): void
}
