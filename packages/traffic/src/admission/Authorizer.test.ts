import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import type { IAccount } from '@lagoonswitch/schema'
import { AccountIndex } from './AccountIndex.js'
import { authorizeCall, type CallKey, type IAuthorizationRequest } from './Authorizer.js'
import { RunRegister } from './RunRegister.js'

const DIGEST = 'a'.repeat(64)
const ACCOUNT: IAccount = { account: 'big', key_digests: [DIGEST, 'b'.repeat(64)], class: 'high' }
const NO_KEY: CallKey = { kind: 'none' }
const KEY: CallKey = { kind: 'digest', digest: DIGEST }
const OTHER_KEY: CallKey = { kind: 'digest', digest: 'c'.repeat(64) }

function decide (fields: Partial<IAuthorizationRequest>): string {
  const decision = authorizeCall({
    accounts: new AccountIndex(new Map([['big', ACCOUNT]])),
    key: NO_KEY,
    isAnonymousRoute: false,
    parent: 'none',
    areRunsKnown: true,
    isCatalogueCurrent: true,
    ...fields
  })
  return decision.kind === 'refused' ? decision.reason : `${decision.kind}${decision.isNested ? ' nested' : ''} ${decision.account}`.trim()
}

test.each<[string, Partial<IAuthorizationRequest>, string]>([
  ['key of an account', { key: KEY }, 'account big'],
  ['no key', {}, 'credentials-missing'],
  ['no key on an anonymous route', { isAnonymousRoute: true }, 'anonymous'],
  ['key of an account on an anonymous route', { key: KEY, isAnonymousRoute: true }, 'account big'],
  ['unknown key on an anonymous route', { key: OTHER_KEY, isAnonymousRoute: true }, 'credentials-unknown'],
  ['two keys on an anonymous route', { key: { kind: 'ambiguous' }, isAnonymousRoute: true }, 'credentials-unknown'],
  ['no key and a parent that runs here', { parent: 'running' }, 'nested nested'],
  ['no key and an unknown parent', { parent: 'unknown' }, 'credentials-missing'],
  ['no key and an unknown parent right after the start', { parent: 'unknown', areRunsKnown: false }, 'parent-unknown'],
  ['no key and no parent right after the start', { areRunsKnown: false }, 'credentials-missing'],
  ['no key, an unknown parent and an anonymous route', { parent: 'unknown', isAnonymousRoute: true }, 'anonymous'],
  ['unknown key and a parent that runs here', { key: OTHER_KEY, parent: 'running' }, 'credentials-unknown'],
  ['key of an account and a parent that runs here', { key: KEY, parent: 'running' }, 'account nested big'],
  ['no key with an old catalogue', { isCatalogueCurrent: false }, 'accounts-not-current'],
  ['unknown key with an old catalogue', { key: OTHER_KEY, isCatalogueCurrent: false }, 'accounts-not-current'],
  ['two keys with an old catalogue', { key: { kind: 'ambiguous' }, isCatalogueCurrent: false }, 'accounts-not-current'],
  ['key of an account with an old catalogue', { key: KEY, isCatalogueCurrent: false }, 'account big'],
  ['nested call with an old catalogue', { parent: 'running', isCatalogueCurrent: false }, 'nested nested']
])('%s', (_label, fields, decision) => {
  expect(decide(fields)).toBe(decision)
})

test('key is held until no account has it, and no key is needed without accounts', () => {
  const accounts = new AccountIndex(new Map([['big', ACCOUNT]]))
  expect([DIGEST, 'c'.repeat(64), ''].map(digest => accounts.isHeld(digest))).toEqual([true, false, true])
  expect(new AccountIndex(new Map()).isHeld(DIGEST)).toBe(true)
})

test('run is known until some seconds after its last end', async () => {
  const clock = new ManualClock()
  const runs = new RunRegister(clock)
  runs.add('a')
  runs.add('a')
  runs.remove('a')
  await clock.advance(60_000)
  expect([runs.has('a'), runs.has('b')]).toEqual([true, false])
  runs.remove('a')
  await clock.advance(4_000)
  expect(runs.has('a')).toBe(true)
  await clock.advance(2_000)
  expect(runs.has('a')).toBe(false)
})

test('number of remembered runs is bounded, and running calls are not forgotten', () => {
  const runs = new RunRegister(new ManualClock())
  runs.add('running')
  for (let index = 0; index < 20_000; index++) {
    runs.add(`r${index}`)
    runs.remove(`r${index}`)
  }
  expect([runs.has('running'), runs.has('r0'), runs.has('r19999')]).toEqual([true, false, true])
})
