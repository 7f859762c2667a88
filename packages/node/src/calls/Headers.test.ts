import { expect, test } from 'vitest'
import { copyRequestHeaders } from './Headers.js'

const RESERVED_HEADERS = new Set(['lagoon-depth'])

test.each([
  ['end-to-end headers only', ['Host', 'a', 'X-Id', '1'], ['host', 'a', 'x-id', '1']],
  ['hop-by-hop and reserved headers', ['Keep-Alive', 'timeout=5', 'TE', 'x', 'Lagoon-Depth', '3', 'a', '1'], ['a', '1']],
  ['connection options that name no header', ['Connection', 'keep-alive', 'a', '1', 'connection', 'close', 'b', '2'], ['a', '1', 'b', '2']],
  ['named headers before and after the Connection header', ['X-One', '1', 'Connection', 'close, X-One , x-two', 'x-Two', '2', 'a', '1'], ['a', '1']],
  ['several Connection headers', ['a', '1', 'Connection', 'b', 'b', '2', 'Connection', 'keep-alive', 'connection', 'c', 'c', '3'], ['a', '1']],
  ['a repeated header', ['cookie', '1', 'Cookie', '2'], ['cookie', '1', 'cookie', '2']]
])('request with %s', (_label, raw, copied) => {
  expect(copyRequestHeaders(raw, RESERVED_HEADERS)).toEqual(copied)
})
