/**
 * The checks of the soak find broken promises on accounts, so that a soak without violations means something.
 */
import { expect, test } from 'vitest'
// @ts-expect-error the soak is plain JavaScript
import { KeyChecks } from '../bench/soak/KeyChecks.mjs'

const ACKNOWLEDGED_MS = 10_000
const KEYS = {
  states: new Map([['k', [
    { account: 'north', sentMs: 900, acknowledgedMs: 1_000 }, { account: undefined, sentMs: 9_900, acknowledgedMs: ACKNOWLEDGED_MS }
  ]]])
}

interface ICase {
  key?: string
  account?: string
  startMs: number
  status?: number
  earlier?: object[]
  disturbances?: object[]
  starts?: object[]
}

function findViolations ({ key = 'k', account = 'north', startMs, status = 200, earlier = [], disturbances = [], starts = [] }: ICase): string[] {
  const call = { id: 'x', node: 'n1', key: key === '' ? undefined : key, isAnonymous: false, startMs, endMs: startMs + 20, status }
  const runs = status === 200 ? [{ id: 'x', account: account === '' ? undefined : account, atMs: startMs + 5 }] : []
  const violations = new KeyChecks(KEYS, [...earlier, call], disturbances, starts).findViolations(runs) as string[]
  return violations.map(violation => violation.split(':')[0] ?? '')
}

const PAUSE = { name: 'n1', isControl: false, fromMs: 11_000, toMs: 12_500 }
const REFUSAL = { id: 'y', node: 'n1', key: 'k', isAnonymous: false, startMs: 10_100, endMs: 10_200, status: 401 }

test.each<[string, ICase, string[]]>([
  ['run in time', { startMs: 11_900 }, []],
  ['withdrawn key after 2 s', { startMs: 12_100 }, ['KEY']],
  ['node that was paused', { startMs: 17_400, disturbances: [PAUSE] }, []],
  ['node that has been in touch again for 2 s', { startMs: 17_600, disturbances: [PAUSE] }, ['KEY']],
  ['pause of another node', { startMs: 12_100, disturbances: [{ ...PAUSE, name: 'n2' }] }, ['KEY']],
  ['node that was started after the withdrawal', { startMs: 10_900, starts: [{ name: 'n1', atMs: 10_800 }] }, ['KEY']],
  ['key that the node had refused', { startMs: 10_300, earlier: [REFUSAL] }, ['KEY']],
  ['account of another key', { startMs: 5_000, account: 'south' }, ['ACCOUNT']],
  ['no account', { startMs: 5_000, account: '' }, ['ACCOUNT']],
  ['no key', { startMs: 5_000, key: '' }, ['ACCOUNT']],
  ['valid key refused', { startMs: 5_000, status: 401 }, ['VALID']],
  ['key refused while its withdrawal was sent', { startMs: 9_950, status: 401 }, []]
])('check of the soak: %s', (_name, value, expected) => {
  expect(findViolations(value)).toEqual(expected)
})
