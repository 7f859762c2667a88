/**
 * Header names of lagoonswitch, and the forwarding of request and response headers.
 */

/** Time left for the response, in milliseconds. */
export const DEADLINE_HEADER = 'lagoon-deadline-ms'
/** Number of calls above this one in a chain. */
export const DEPTH_HEADER = 'lagoon-depth'
/** Set on a call that a target has received before, or that a repeated run makes. */
export const REPEAT_HEADER = 'lagoon-repeat'
/** Class requested by the caller; it can only lower the class of the route. */
export const CLASS_HEADER = 'lagoon-class'
/** Idempotency key of a call that must run at most once. */
export const KEY_HEADER = 'idempotency-key'
/** Name of the client account of a call, set by the node. */
export const ACCOUNT_HEADER = 'lagoon-account'
/** Carries the key of a client account. */
export const AUTHORIZATION_HEADER = 'authorization'
/** Set on a recorded answer that is replayed. */
export const REPEATED_HEADER = 'lagoon-repeated'

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/** Common values of the Connection header that name no further header; `keep-alive` is a hop-by-hop header anyway. */
const PLAIN_CONNECTION_OPTIONS = new Set(['keep-alive', 'Keep-Alive', 'close'])

/**
 * Copies the request headers that are forwarded to the target.
 * @param rawHeaders - alternating names and values
 * @param reservedHeaders - names in lower case that only the node sets
 * @returns alternating names and values without hop-by-hop and reserved headers
 */
export function copyRequestHeaders (rawHeaders: readonly string[], reservedHeaders: ReadonlySet<string>): string[] {
  const headers: string[] = []
  let connectionOptions: Set<string> | undefined
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase()
    const value = rawHeaders[index + 1] ?? ''
    if (name === 'connection') connectionOptions = addConnectionOptions(connectionOptions, value)
    if (!HOP_BY_HOP_HEADERS.has(name) && !reservedHeaders.has(name)) headers.push(name, value)
  }
  return connectionOptions === undefined ? headers : removeHeaders(headers, connectionOptions)
}

/**
 * Copies the response headers that are forwarded to the caller.
 * @param headers - names with one or more values
 * @returns alternating names and values without hop-by-hop headers
 */
export function copyResponseHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const copied: string[] = []
  for (const name in headers) {
    if (HOP_BY_HOP_HEADERS.has(name)) continue
    const value = headers[name]
    if (Array.isArray(value)) {
      for (const item of value) copied.push(name, item)
    } else if (value !== undefined) {
      copied.push(name, value)
    }
  }
  return copied
}

/** Adds the header names that a Connection header lists; usually none. The headers so named may stand before or after it. */
function addConnectionOptions (options: Set<string> | undefined, value: string): Set<string> | undefined {
  if (PLAIN_CONNECTION_OPTIONS.has(value)) return options
  const all = options ?? new Set<string>()
  for (const option of value.split(',')) all.add(option.trim().toLowerCase())
  return all
}

function removeHeaders (headers: readonly string[], names: ReadonlySet<string>): string[] {
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? ''
    if (!names.has(name)) kept.push(name, headers[index + 1] ?? '')
  }
  return kept
}
