/**
 * Reads the key of a client account from the Authorization header (RFC 6750).
 */
import { computeReceivedKeyDigest } from '@lagoonswitch/schema'
import type { CallKey } from '@lagoonswitch/traffic'
import { AUTHORIZATION_HEADER } from './Headers.js'

/** The scheme in any letter case and blanks; the key follows. The HTTP parser has removed blanks at the ends of the value. */
const BEARER = /^bearer +/i
const NO_KEY: CallKey = { kind: 'none' }

/**
 * Reads the key of a request. The parsed headers can't be used, since they hold only the first of several such headers.
 * @param rawHeaders - alternating names and values; the values have one character for each byte
 * @returns digest of the key; none without a value of the scheme Bearer; ambiguous with several such headers
 */
export function readBearerKey (rawHeaders: readonly string[]): CallKey {
  let value: string | undefined
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== AUTHORIZATION_HEADER) continue
    if (value !== undefined) return { kind: 'ambiguous' }
    value = rawHeaders[index + 1] ?? ''
  }
  const scheme = value === undefined ? undefined : BEARER.exec(value)?.[0]
  const key = scheme === undefined ? undefined : value?.slice(scheme.length)
  return key === undefined || key === '' ? NO_KEY : { kind: 'digest', digest: computeReceivedKeyDigest(key) }
}
