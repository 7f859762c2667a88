/**
 * Headers of calls: what is passed on, and the names of this system's own headers.
 */

/** Time left for the answer, in milliseconds. */
export const DEADLINE_HEADER = 'lagoon-deadline-ms'
/** Number of calls above this one in a chain. */
export const DEPTH_HEADER = 'lagoon-depth'
/** Set on a call that a target has had before, or that such a run makes. */
export const REPEAT_HEADER = 'lagoon-repeat'
/** Class wished by the caller; it can only lower the class of the route. */
export const CLASS_HEADER = 'lagoon-class'
/** Key of a call that must run at most once. */
export const KEY_HEADER = 'idempotency-key'
/** Whether an answer was recorded earlier. */
export const REPEATED_HEADER = 'lagoon-repeated'

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/** Values of the Connection header that name no header, in the usual spelling; `keep-alive` ends at this hop anyway. */
const PLAIN_CONNECTION_OPTIONS = new Set(['keep-alive', 'Keep-Alive', 'close'])

/**
 * Copies the headers of a request that go on to the target.
 * @param rawHeaders - names and values in turn
 * @param reservedHeaders - names that only this system sets
 * @returns names and values in turn, without those of the connection and of this system
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
 * Copies the headers of an answer that go on to the caller.
 * @param headers - names with one or more values
 * @returns names and values in turn
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

/** The Connection header may name further headers that end at this hop, in any place; most often it names none. */
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
