/**
 * State machines that are replicated by a log.
 */

/**
 * Decodes a command. One that cannot be decoded is applied without effect: an error would stop all replicas, and again
 * after each restart, since the command stays in the log.
 * @param decode - decoder of the generated code
 * @param bytes - encoded command from the log
 * @returns the command, or undefined if it cannot be decoded
 */
export function decodeCommand<T> (decode: (bytes: Uint8Array) => T, bytes: Uint8Array): T | undefined {
  try {
    return decode(bytes)
  } catch {
    return undefined
  }
}

/** A deterministic state machine: the same commands in the same order give the same state and results. */
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
