import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'

test('each test named in the fault matrix exists', () => {
  const page = readFileSync('docs/FAULTS.md', 'utf8')
  const named = [...page.matchAll(/`([^`]+\.test\.ts) > ([^`]+)`/g)]
  expect(named.length).toBeGreaterThan(40)
  const missing = named.filter(([, file, name]) =>
    !readFileSync(file ?? '', 'utf8').includes(`('${name}'`)).map(([text]) => text)
  expect(missing).toEqual([])
})
