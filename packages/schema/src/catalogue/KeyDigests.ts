/**
 * SHA-256 digests of the keys of client accounts; only these are stored in accounts and sent to nodes.
 */
import { createHash } from 'node:crypto'

/** Keys that a header value can carry unchanged: no control characters, and no blanks at the ends. */
// eslint-disable-next-line no-control-regex
const KEY = /^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$/

/**
 * Computes the digest of a key.
 * @param key - as declared
 * @returns SHA-256 digest of its UTF-8 bytes in hexadecimal digits, or undefined if no header can carry the key
 */
export function computeKeyDigest (key: string): string | undefined {
  return KEY.test(key) ? createHash('sha256').update(key, 'utf8').digest('hex') : undefined
}

/**
 * Computes the digest of the bytes of a key that a request carries.
 * @param value - from a header, one character for each byte
 * @returns SHA-256 digest in hexadecimal digits
 */
export function computeReceivedKeyDigest (value: string): string {
  return createHash('sha256').update(value, 'latin1').digest('hex')
}
