import { createHash } from 'node:crypto'
import { appendFile, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { readDeclarations } from './DeclarationFiles.js'

let folder: string

function formatAccount (name: string): string {
  return `account: ${name}\nkey_digests: ['${createHash('sha256').update(name).digest('hex')}']\n`
}

beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'declarations-')) })

afterEach(async () => { await rm(folder, { recursive: true }) })

// Guards against an apply with --prune that removes what was not written yet.
test.each(['a file', 'the folder'])('declarations that are still being written are read whole: rest of %s', async place => {
  await writeFile(join(folder, 'a.yaml'), formatAccount('desk'))
  const read = readDeclarations(folder)
  setTimeout(() => {
    void (place === 'a file'
      ? appendFile(join(folder, 'a.yaml'), `---\n${formatAccount('press')}`)
      : writeFile(join(folder, 'b.yaml'), formatAccount('press')))
  }, 30)
  expect([...(await read).unwrap().keys()]).toEqual(['account/desk', 'account/press'])
})

test('empty file is refused', async () => {
  await writeFile(join(folder, 'a.yaml'), formatAccount('desk'))
  await writeFile(join(folder, 'b.yaml'), '')
  const read = await readDeclarations(folder)
  expect(read.err && read.val.map(error => error.message).join()).toMatch(/b\.yaml.*empty/)
})
