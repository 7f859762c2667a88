/**
 * Digests of the keys of client accounts, computed from standard input so that no key stands in arguments or in a shell history.
 */
import { SettingsError, Err, Ok, type Result } from '@lagoonswitch/common'
import { computeKeyDigest } from '@lagoonswitch/schema'

/**
 * Computes the digest of a key that stands on one line.
 * @param input - text as read; a line break at its end is not part of the key
 * @returns digest in hexadecimal digits, or why there is none; the error doesn't contain the key
 */
export function computeInputDigest (input: string): Result<string, SettingsError> {
  const key = input.replace(/\r?\n$/, '')
  const digest = computeKeyDigest(key)
  if (digest !== undefined) return Ok(digest)
  return Err(new SettingsError('standard input', 0, 'key', 'a request can\'t carry it as a key',
    'pass one line without blanks at its ends and without control characters'))
}
