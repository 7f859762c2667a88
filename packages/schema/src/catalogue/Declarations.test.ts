import { expect, test } from 'vitest'
import { computeKeyDigest, computeReceivedKeyDigest, formatRecordDeclaration, parseDeclarations, parseRecordDeclaration } from '../index.js'

const DIGEST = computeKeyDigest('k-1') ?? ''
const ENTRY = 'entry: desk\nowner: o\nclass: first\nlimits: { slots: 1, connections: 1 }\nroutes: []\n'

function listProblems (text: string): string {
  const result = parseDeclarations([{ file: 'a.yaml', text }])
  return result.ok ? '' : result.val.map(error => error.message).join('\n')
}

test('accounts are read beside entries, under the names of their records', () => {
  const text = `${ENTRY}---\naccount: big one\nkey_digests: [${DIGEST}]\nclass: high\nrate: 2.5\n`
  const declarations = parseDeclarations([{ file: 'a.yaml', text }]).unwrap()
  expect([...declarations.keys()]).toEqual(['desk', 'account/big one'])
})

test('problems of accounts name file and line, and never a digest', () => {
  const problems = listProblems(`account: a\nkey_digests: [${DIGEST}]\n---\naccount: b\nkey_digests: [${DIGEST}]\n`)
  expect(problems).toMatch(/account\/b\.key_digests\.0: the account a has the same key/)
  expect(problems).not.toContain(DIGEST)
  expect(listProblems('account: a\nkey_digests:\n  - plain-key\n')).toMatch(/a\.yaml:3: account\/a\.key_digests\.0: use the SHA-256 digest/)
  expect(listProblems('account: a\nkey_digests: []\n---\naccount: a\nkey_digests: []\n')).toMatch(/a\.yaml:4: account\/a: it is declared twice/)
})

test('record of one kind does not take a declaration of the other', () => {
  const account = { account: 'a', key_digests: [] }
  expect(parseRecordDeclaration('account/a', account).ok).toBe(true)
  expect(parseRecordDeclaration('account/b', account).err).toBe(true)
  expect(parseRecordDeclaration('a', account).err).toBe(true)
  expect(formatRecordDeclaration('account/a', { key_digests: [], account: 'a' })).toBe('{"account":"a","key_digests":[]}')
})

test.each(['', ' k', 'k ', 'a\tb', 'a\r\nb', 'a\x00b'])('key that no header can carry has no digest: %j', key => {
  expect(computeKeyDigest(key)).toBeUndefined()
})

test('digest of a key with other letters equals that of its bytes in a header', () => {
  const key = 'schlüssel-π'
  expect(computeReceivedKeyDigest(Buffer.from(key).toString('latin1'))).toBe(computeKeyDigest(key))
})
