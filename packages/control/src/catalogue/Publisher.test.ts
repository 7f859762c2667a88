import { beforeEach, expect, test } from 'vitest'
import { Err, ManualClock, NoQuorumError, NullLog, Ok } from '@lagoonswitch/common'
import { CatalogueStore } from '@lagoonswitch/feed'
import { CatalogueCommand } from '@lagoonswitch/schema'
import { MAX_MESSAGE_BYTES } from '@lagoonswitch/transport'
import type { RaftGroup } from '../raft/RaftGroup.js'
import { CatalogueStateMachine } from './CatalogueStateMachine.js'
import { Publisher, listPublished, type IPublicationDraft, type OrderOutcome } from './Publisher.js'

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
let store: CatalogueStore
let machine: CatalogueStateMachine
let role: string
let hasQuorum: boolean
let proposedBytes: number
let publisher: Publisher

function createPublisher (): Publisher {
  const group = {
    get role () { return role },
    get isReadyLeader () { return role === 'leader' },
    getStatus: () => ({ leaderAddress: '10.0.0.2:1' }),
    readBarrier: async () => hasQuorum ? Ok(undefined) : Err(new NoQuorumError(false)),
    propose: async (command: Uint8Array) => {
      proposedBytes = command.length
      return hasQuorum ? Ok(machine.apply(command)) : Err(new NoQuorumError(true))
    }
  }
  return new Publisher({ clock: new ManualClock(), log: new NullLog(), store, stateMachine: machine, group: group as unknown as RaftGroup })
}

function createDraft (number: number, baseNumber: number, names: readonly string[], owner = 'o'): IPublicationDraft {
  return {
    number,
    baseNumber,
    digest: `${number}-${baseNumber}-${names.length}-${owner}`,
    callerLimits: LIMITS,
    annotation: '',
    entries: names.map(name => ({
      name,
      annotation: `as sent: ${name}`,
      declaration: {
        entry: name,
        owner,
        class: 'normal',
        limits: { slots: 1, connections: 1 },
        routes: [{ name: 'r', path: `/${name}/`, idempotency: 'safe' }]
      }
    }))
  }
}

async function publish (draft: IPublicationDraft): Promise<OrderOutcome['kind'] | 'repeated' | 'no-quorum'> {
  const outcome = await publisher.publish(draft)
  if (outcome.err) return 'no-quorum'
  return outcome.val.kind === 'accepted' && outcome.val.isRepeated ? 'repeated' : outcome.val.kind
}

function listNames (): string[] {
  return listPublished(store).map(record => record.name)
}

beforeEach(() => {
  store = new CatalogueStore()
  machine = new CatalogueStateMachine(store)
  machine.apply(CatalogueCommand.encode({ nowMs: 1, command: { $case: 'bootstrap', value: { epoch: 1 } } }).finish())
  role = 'leader'
  hasQuorum = true
  proposedBytes = 0
  publisher = createPublisher()
})

test('publication replaces all entries and keeps their order', async () => {
  expect(await publish(createDraft(2, 0, ['a', 'b', 'c']))).toBe('accepted')
  expect(await publish(createDraft(5, 2, ['c', 'x', 'a']))).toBe('accepted')
  expect(listNames()).toEqual(['c', 'x', 'a'])
  expect(store.view.publication).toMatchObject({ number: 5, baseNumber: 2 })
  expect(listPublished(store)[0]?.annotation).toBe('as sent: c')
})

test('only entries that differ are proposed', async () => {
  const names = Array.from({ length: 300 }, (_, index) => `entry-${index}`)
  await publish(createDraft(1, 0, names))
  const whole = proposedBytes
  expect(await publish(createDraft(2, 1, [...names, 'one-more']))).toBe('accepted')
  expect(proposedBytes).toBeLessThan(1_000)
  expect(proposedBytes).toBeLessThan(whole)
  expect(listNames().length).toBe(301)
})

test('repeated publication is acknowledged again, also after later ones and after a snapshot', async () => {
  const first = createDraft(1, 0, ['a'])
  await publish(first)
  expect(await publish(first)).toBe('repeated')
  await publish(createDraft(2, 1, ['a', 'b']))
  expect(await publish(first)).toBe('repeated')
  const copy = new CatalogueStateMachine(new CatalogueStore())
  copy.restoreSnapshot(machine.takeSnapshot())
  expect(copy.findAccepted(`publication:${first.digest}`)).toBeDefined()
  expect(copy.store.view.publication?.number).toBe(2)
})

test('only one of several publications on the same base is accepted', async () => {
  await publish(createDraft(1, 0, ['a']))
  const outcomes = await Promise.all([
    publish(createDraft(2, 1, ['a', 'b'])), publish(createDraft(2, 1, ['a', 'c'], 'p')), publish(createDraft(3, 1, ['a', 'd']))
  ])
  expect(outcomes.sort()).toEqual(['accepted', 'conflict', 'conflict'])
})

test('refused publication may be accepted later', async () => {
  await publish(createDraft(1, 0, ['a']))
  const third = createDraft(3, 2, ['a', 'c'])
  expect(await publish(third)).toBe('conflict')
  expect(await publish(createDraft(2, 1, ['a', 'b']))).toBe('accepted')
  expect(await publish(third)).toBe('accepted')
})

test('number must be higher than the current one', async () => {
  await publish(createDraft(4, 0, ['a']))
  expect(await publish(createDraft(4, 4, ['a', 'b']))).toBe('invalid')
  expect(await publish(createDraft(3, 4, ['a', 'b']))).toBe('invalid')
})

test('invalid entries refuse the whole publication', async () => {
  const draft = createDraft(1, 0, ['a', 'b'])
  const clash = { ...draft, entries: [...draft.entries, { ...draft.entries[0], name: 'c' }] } as IPublicationDraft
  const dangling = createDraft(1, 0, ['a'])
  Object.assign(dangling.entries[0]?.declaration as object, { routes: [{ name: 'r', path: '/', idempotency: 'safe', service: 'none' }] })
  for (const bad of [clash, dangling, createDraft(1, 0, ['a', 'a'])]) expect(await publish(bad)).toBe('invalid')
  expect(listNames()).toEqual([])
  expect(store.view.publication).toBeUndefined()
})

// Between control VMs it would never arrive, so that nothing after it could be committed either.
test('change that does not fit into a message is refused and never proposed', async () => {
  expect(await publish({ ...createDraft(1, 0, ['a']), annotation: 'x'.repeat(MAX_MESSAGE_BYTES) })).toBe('invalid')
  expect(proposedBytes).toBe(0)
  expect(await publish({ ...createDraft(1, 0, ['a']), annotation: 'x'.repeat(MAX_MESSAGE_BYTES - 131_072) })).toBe('accepted')
})

test('follower returns the address of the leader, and a missing quorum is not a refusal', async () => {
  role = 'follower'
  expect(await publisher.publish(createDraft(1, 0, ['a']))).toMatchObject({ val: { kind: 'elsewhere', leaderAddress: '10.0.0.2:1' } })
  role = 'leader'
  hasQuorum = false
  expect(await publish(createDraft(1, 0, ['a']))).toBe('no-quorum')
  expect(await publish(createDraft(9, 7, ['a']))).toBe('no-quorum')
})

test('accounts are published with the entries, and a key of two accounts refuses the whole publication', async () => {
  const createAccount = (account: string, digit: string): IPublicationDraft['entries'][number] =>
    ({ name: `account/${account}`, annotation: '', declaration: { account, key_digests: [digit.repeat(64)] } })
  const withAccounts = (number: number, base: number, ...accounts: Array<IPublicationDraft['entries'][number]>): IPublicationDraft => {
    const draft = createDraft(number, base, ['a', 'b'])
    return { ...draft, digest: `${number}-${accounts.length}`, entries: [...accounts, ...draft.entries] }
  }
  expect(await publish(withAccounts(1, 0, createAccount('x', 'a'), createAccount('y', 'b')))).toBe('accepted')
  expect(await publish(withAccounts(2, 1, createAccount('x', 'a'), createAccount('y', 'a')))).toBe('invalid')
  expect(await publish(withAccounts(3, 1, createAccount('x', 'a'), createAccount('x', 'b')))).toBe('invalid')
  expect([...store.view.accounts.keys()]).toEqual(['x', 'y'])
  // The key passes from one account to the other in one publication.
  expect(await publish(withAccounts(4, 1, createAccount('y', 'a')))).toBe('accepted')
  expect(store.view.accounts.get('y')?.key_digests).toEqual(['a'.repeat(64)])
  expect(store.view.accounts.size).toBe(1)
})
