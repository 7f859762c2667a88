/**
 * Client accounts with the header conventions of lagoonswitch itself, and edits of single accounts.
 */
import { afterEach, expect, test } from 'vitest'
import { ChangeOutcome, computeKeyDigest, type IAccount } from '@lagoonswitch/schema'
import { DESK, World, waitFor } from './support/World.js'

let world: World

afterEach(async () => { await world.stop() })

async function putAccount (account: IAccount): Promise<void> {
  const name = `account/${account.account}`
  const reply = await world.control.applyChange({
    requestId: `account-${account.account}`, operator: 'test', edits: [{ name, expectedVersion: 0, declaration: JSON.stringify(account) }]
  })
  expect(reply.unwrap().outcome).toBe(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED)
  await waitFor('the account at the node', () => world.getNode('n1').role.store.view.accounts.has(account.account))
}

test('recorded answer of one account is not given to another that sends the same idempotency key', async () => {
  world = await World.start(['n1'])
  await world.putEntry(DESK)
  const target = await world.addTarget('n1', 't1', 'v1', (request, response) => { response.end(`for ${request.headers['lagoon-account']}`) })
  for (const account of ['a', 'b']) await putAccount({ account, key_digests: [computeKeyDigest(`key-${account}`) ?? ''] })
  const order = async (authorization: string): Promise<string> => {
    const reply = await world.call('n1', 'POST', '/order', { authorization, 'idempotency-key': 'k', 'lagoon-account': 'forged' })
    return `${reply.status} ${reply.headers['lagoon-repeated'] ?? 'new'} ${reply.status === 200 ? reply.body : ''}`
  }
  expect(await order('Bearer key-a')).toBe('200 new for a')
  expect(await order('Bearer key-b')).toBe('200 new for b')
  await waitFor('the recorded answer', async () => await order('Bearer key-a') === '200 true for a')
  expect(await order('Bearer key-c')).toBe('401 new ')
  expect(target.requests.map(({ headers }) => headers.authorization)).toEqual([undefined, undefined])
})
