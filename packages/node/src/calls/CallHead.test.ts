import type { IncomingMessage } from 'node:http'
import { expect, test } from 'vitest'
import { ManualClock, Metrics, Ok, type Result } from '@lagoonswitch/common'
import { CallClass, computeKeyDigest, type CallClassName } from '@lagoonswitch/schema'
import { AccountIndex, CallerWaitEstimator } from '@lagoonswitch/traffic'
import type { ICallContext } from './CallContext.js'
import { LagoonDialect, type ICallMetadata } from './CallDialect.js'
import { readCallHead, type ICallHead } from './CallHead.js'
import { GracefulStop } from './GracefulStop.js'
import { ACCOUNT_HEADER, AUTHORIZATION_HEADER } from './Headers.js'

const { CALL_CLASS_FIRST: FIRST, CALL_CLASS_HIGH: HIGH, CALL_CLASS_NORMAL: NORMAL, CALL_CLASS_LOW: LOW } = CallClass
const KEY = 'k-1'

interface ICase {
  accountClass?: CallClassName
  hasAccounts?: boolean
  parentId?: string
  requestedClass?: CallClass
  key?: string
  stop?: GracefulStop
}

function readHead ({ accountClass, hasAccounts = true, parentId = '', requestedClass, key = KEY, stop }: ICase): ReturnType<typeof readCallHead> {
  class TestDialect extends LagoonDialect {
    override readCallMetadata (): Result<ICallMetadata, string> {
      return Ok({
        callId: 'c', wishedMs: undefined, callClass: requestedClass, depth: 0, isAwaited: parentId !== '', parentId, isOfRepeat: false, key: ''
      })
    }
  }
  const clock = new ManualClock()
  const account = { account: 'big', key_digests: [computeKeyDigest(KEY) ?? ''], class: accountClass }
  const context = {
    clock,
    metrics: new Metrics(),
    dialect: new TestDialect(),
    settings: { process: { service: 's' } },
    callerWaitEstimator: new CallerWaitEstimator(clock),
    startedMs: clock.readMonotonicMs() - 60_000,
    getAccounts: () => new AccountIndex(new Map(hasAccounts ? [['big', account]] : [])),
    getReservedHeaders: () => new Set(hasAccounts ? [AUTHORIZATION_HEADER, ACCOUNT_HEADER] : []),
    getRoutes: () => ({ findRoute: () => ({ key: 'r', callClass: NORMAL, deadlineMs: 1_000, isKeyed: false, isAnonymous: false }) }),
    getCallerLimits: () => undefined,
    getStop: () => stop,
    isCatalogueCurrent: () => true,
    isLocalRun: (id: string) => id === 'running',
    isRepeatRun: () => false
  } as unknown as ICallContext
  const rawHeaders = [...(key === '' ? [] : ['Authorization', `Bearer ${key}`]), 'Lagoon-Account', 'forged']
  return readCallHead(context, { headers: {}, method: 'GET', url: '/', rawHeaders } as unknown as IncomingMessage)
}

test.each<[string, ICase, CallClass]>([
  ['class of the account, above that of the route', { accountClass: 'high' }, HIGH],
  ['class of the account, below that of the route', { accountClass: 'low' }, LOW],
  ['class of the route for an account without one', {}, NORMAL],
  ['class requested by the caller below that of the account', { accountClass: 'high', requestedClass: LOW }, LOW],
  ['class of the account although the caller requests a higher one', { accountClass: 'normal', requestedClass: FIRST }, NORMAL],
  ['first class for a nested call', { key: '', parentId: 'running' }, FIRST],
  ['first class for a nested call with the key of an account', { accountClass: 'low', parentId: 'running' }, FIRST],
  ['class of the account for a client that names a call which does not run here', { accountClass: 'low', parentId: 'none' }, LOW],
  ['first class for a call that names a parent, without accounts', { hasAccounts: false, parentId: 'none' }, FIRST]
])('call gets the %s', (_label, fields, callClass) => {
  expect((readHead(fields).val as ICallHead).callClass).toBe(callClass)
})

test('headers for the target hold the account that the key belongs to', () => {
  const getHeaders = (fields: ICase): readonly string[] => (readHead(fields).val as ICallHead).headers
  expect(getHeaders({})).toEqual(['lagoon-depth', '1', 'lagoon-account', 'big'])
  expect(getHeaders({ key: '', parentId: 'running' })).toEqual(['lagoon-depth', '1'])
  expect(getHeaders({ hasAccounts: false })).toEqual(['authorization', `Bearer ${KEY}`, 'lagoon-account', 'forged', 'lagoon-depth', '1'])
})

test('graceful stop serves nested calls, and no client that names a call which does not run here', () => {
  const stop = new GracefulStop(0, 10_000)
  stop.refuseCalls()
  expect(readHead({ stop, key: '', parentId: 'running' }).ok).toBe(true)
  expect(readHead({ stop, parentId: 'none' }).val).toMatchObject({ reason: 'process-draining' })
})

test('call without a nested parent is not counted as made by a target', () => {
  expect((readHead({ parentId: 'none' }).val as ICallHead).parentId).toBe('')
  expect((readHead({ parentId: 'running' }).val as ICallHead).parentId).toBe('running')
})
