import { expect, test } from 'vitest'
import { copyRequestHeaders } from './Headers.js'

const RESERVED_HEADERS = new Set(['lagoon-depth'])

test.each([
  ['nothing of the connection', ['Host', 'a', 'X-Id', '1'], ['host', 'a', 'x-id', '1']],
  ['headers that end at this hop or are set here', ['Keep-Alive', 'timeout=5', 'TE', 'x', 'Lagoon-Depth', '3', 'a', '1'], ['a', '1']],
  ['plain options', ['Connection', 'keep-alive', 'a', '1', 'connection', 'close', 'b', '2'], ['a', '1', 'b', '2']],
  ['names before and after the option', ['X-One', '1', 'Connection', 'close, X-One , x-two', 'x-Two', '2', 'a', '1'], ['a', '1']],
  ['names in several options', ['a', '1', 'Connection', 'b', 'b', '2', 'Connection', 'keep-alive', 'connection', 'c', 'c', '3'], ['a', '1']],
  ['the same name twice', ['cookie', '1', 'Cookie', '2'], ['cookie', '1', 'cookie', '2']]
])('request with %s', (_label, raw, copied) => {
  expect(copyRequestHeaders(raw, RESERVED_HEADERS)).toEqual(copied)
})
