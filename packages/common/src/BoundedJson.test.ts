import { expect, test } from 'vitest'
import { MAX_JSON_DEPTH, parseJson } from './BoundedJson.js'

function nest (depth: number): string {
  return '{"a":'.repeat(depth) + '1' + '}'.repeat(depth)
}

test('JSON is parsed up to the limit of its nesting', () => {
  expect(parseJson(nest(MAX_JSON_DEPTH)).ok).toBe(true)
  expect(parseJson(nest(MAX_JSON_DEPTH + 1)).val).toMatch(/nested/)
  expect(parseJson('['.repeat(1_000_000)).val).toMatch(/nested/)
})

test('brackets in strings and beside one another do not count as nesting', () => {
  const value = { text: '\\"['.repeat(100), list: Array.from({ length: 100 }, () => [{}]) }
  expect(parseJson(JSON.stringify(value)).val).toEqual(value)
})

test('text that is no JSON gives a message', () => {
  expect(parseJson('{"a":').err).toBe(true)
  expect(parseJson('"]]]').err).toBe(true)
})

test('message on text that is no JSON does not quote it, since it may hold keys', () => {
  for (const text of ['{"keys":["secret" x]}', '{"keys":["secret', 'secret']) expect(parseJson(text).val).not.toMatch(/secret|keys/)
})
