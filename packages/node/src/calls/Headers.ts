/**
 * Headers of calls: what is passed on, and the names of this system's own headers.
 */

/** Time left for the answer, in milliseconds. */
export const DEADLINE_HEADER = 'lagoon-deadline-ms'
/** Number of calls above this one in a chain. */
export const DEPTH_HEADER = 'lagoon-depth'
/** Class wished by the caller; it can only lower the class of the route. */
export const CLASS_HEADER = 'lagoon-class'
/** Key of a call that must run at most once. */
export const KEY_HEADER = 'idempotency-key'
/** Whether an answer was recorded earlier. */
export const REPEATED_HEADER = 'lagoon-repeated'

const HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/**
 * Copies the headers of a request that go on to the target.
 * @param raw - names and values in turn
 * @param ownHeaders - names that only this system sets
 * @returns names and values in turn, without those of the connection and of this system
 */
export function copyRequestHeaders (raw: readonly string[], ownHeaders: ReadonlySet<string>): string[] {
  const named = findConnectionNames(raw)
  const headers: string[] = []
  for (let index = 0; index < raw.length; index += 2) {
    const name = (raw[index] ?? '').toLowerCase()
    if (HOP_HEADERS.has(name) || ownHeaders.has(name) || named?.has(name) === true) continue
    headers.push(name, raw[index + 1] ?? '')
  }
  return headers
}

/**
 * Copies the headers of an answer that go on to the caller.
 * @param headers - names with one or more values
 * @returns names and values in turn
 */
export function copyAnswerHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const copied: string[] = []
  for (const name in headers) {
    if (HOP_HEADERS.has(name)) continue
    const value = headers[name]
    if (Array.isArray(value)) {
      for (const item of value) copied.push(name, item)
    } else if (value !== undefined) {
      copied.push(name, value)
    }
  }
  return copied
}

/** The Connection header may name further headers that end at this hop. */
function findConnectionNames (raw: readonly string[]): Set<string> | undefined {
  let names: Set<string> | undefined
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== 'connection') continue
    for (const name of (raw[index + 1] ?? '').split(',')) {
      names ??= new Set()
      names.add(name.trim().toLowerCase())
    }
  }
  return names
}
