import { expect, test } from 'vitest'
import { checkCatalogue, parseEntry } from './CatalogueChecks.js'
import type { IEntry } from './EntrySchema.js'

function createEntry (name: string, host: string, path: string, methods?: string[], service?: string): IEntry {
  return parseEntry({
    entry: name,
    owner: 'o',
    class: 'normal',
    host,
    limits: { slots: 1, connections: 1 },
    routes: [{ name: 'r', path, idempotency: 'safe', ...(methods === undefined ? {} : { methods }), ...(service === undefined ? {} : { service }) }]
  }).unwrap()
}

function listProblems (...entries: IEntry[]): string[] {
  return checkCatalogue(new Map(entries.map(entry => [entry.entry, entry]))).map(error => error.message)
}

test('routes of two entries conflict if host, path and a method are the same', () => {
  const problems = listProblems(createEntry('a', 'h', '/p/', ['GET', 'POST']), createEntry('b', 'h', '/p/', ['PUT', 'POST']))
  expect(problems.length).toBe(1)
  expect(problems[0]).toContain('h POST /p/ belongs to the entry a')
})

test('route of all methods conflicts once per shared method', () => {
  expect(listProblems(createEntry('a', 'h', '/p/'), createEntry('b', 'h', '/p/')).length).toBe(7)
  expect(listProblems(createEntry('a', 'h', '/p/'), createEntry('b', 'h', '/p/', ['GET'])).length).toBe(1)
})

// Guards against two routes of which one is never used, since calls find hosts without case and port.
test.each(['H', 'h:80', 'H:8080'])('routes of one host conflict also if it is written as %s', host => {
  expect(listProblems(createEntry('a', 'h', '/p/', ['GET']), createEntry('b', host, '/p/', ['GET'])).length).toBe(1)
  expect(listProblems(createEntry('a', 'h', '/p/', ['GET']), createEntry('b', host, '/q/', ['GET']))).toEqual([])
})

test('routes with different hosts, paths or methods do not conflict', () => {
  expect(listProblems(createEntry('a', 'h', '/p/'), createEntry('b', 'i', '/p/'), createEntry('c', 'h', '/q/'))).toEqual([])
  expect(listProblems(createEntry('a', 'h', '/p/', ['GET']), createEntry('b', 'h', '/p/', ['POST']))).toEqual([])
})

test('route to an undeclared service is reported', () => {
  const problems = listProblems(createEntry('a', 'h', '/p/', undefined, 'missing'))
  expect(problems.length).toBe(1)
  expect(problems[0]).toContain('no entry is named missing')
})
