import { expect, test } from 'vitest'
import { MAX_JSON_DEPTH, MAX_JSON_VALUES, parseJson } from './BoundedJson.js'

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

test('JSON is parsed up to the limit of its values', () => {
  expect(parseJson(`[${'0,'.repeat(MAX_JSON_VALUES - 2)}0]`).ok).toBe(true)
  for (const part of ['0,', '{},', '[],', '"a":{},']) expect(parseJson(`[${part.repeat(MAX_JSON_VALUES)}0]`).val).toMatch(/more than 500000 values/)
  expect(parseJson(JSON.stringify(['[,{'.repeat(MAX_JSON_VALUES)])).ok).toBe(true)
})
