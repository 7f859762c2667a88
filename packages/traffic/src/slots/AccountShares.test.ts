import { beforeEach, expect, test } from 'vitest'
import { ManualClock, SeededRandom, type IRandom } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import { AccountIndex } from '../admission/AccountIndex.js'
import { AccountShares } from './AccountShares.js'
import { SlotLimiter, type ISlotTicket } from './SlotLimiter.js'
import { SlotQueue, type IQueuedCall } from './SlotQueue.js'

let clock: ManualClock
let limiter: SlotLimiter
let granted: string[]
let refused: Array<{ name: string, reason: string, retryAfterMs: number }>

function acquire (account: string, name = account, callClass = CallClass.CALL_CLASS_NORMAL, remainingMs = 10_000): ISlotTicket {
  return limiter.acquire({
    callClass,
    account,
    remainingMs,
    queueLimit: 6,
    onGranted: () => granted.push(name),
    onRefused: (reason, retryAfterMs) => refused.push({ name, reason, retryAfterMs })
  })
}

/** Starts with a usual time of 100 ms and one call that keeps running. */
async function start (random: IRandom = new SeededRandom(1)): Promise<ISlotTicket> {
  limiter = new SlotLimiter(clock, 1, random)
  for (let index = 0; index < 60; index++) {
    const ticket = acquire('')
    await clock.advance(100)
    ticket.release()
  }
  const running = acquire('')
  granted = []
  return running
}

beforeEach(() => {
  clock = new ManualClock()
  granted = []
  refused = []
})

test('account with many waiting calls does not delay another', async () => {
  const running = await start()
  const tickets = new Map(['a1', 'a2', 'a3', 'a4'].map(name => [name, acquire('a', name)]))
  tickets.set('b1', acquire('b', 'b1'))
  running.release()
  tickets.get('a1')?.release()
  expect(granted).toEqual(['a1', 'b1'])
})

test('account is behind for the slots that it got, also after the queue was empty for a moment', async () => {
  const running = await start()
  const first = acquire('a', 'a1')
  const second = acquire('a', 'a2')
  const other = acquire('c', 'c1')
  running.release()
  first.release()
  other.release()
  const last = acquire('a', 'a3')
  acquire('b', 'b1')
  second.release()
  expect(granted).toEqual(['a1', 'c1', 'a2', 'b1'])
  last.release()
})

test('full queue: newest call of the account with most waiting calls in the lowest class makes room', async () => {
  await start()
  for (const name of ['a1', 'a2', 'a3', 'a4']) acquire('a', name)
  for (const name of ['b1', 'b2']) acquire('b', name)
  acquire('a', 'a5')
  acquire('c', 'c1')
  acquire('d', 'd1', CallClass.CALL_CLASS_HIGH)
  expect(refused.map(({ name, reason }) => `${name} ${reason}`)).toEqual(['a5 queue-full', 'a4 shed', 'a3 shed'])
})

test('call behind too many calls of its own account is refused at once, one of another account waits', async () => {
  await start()
  for (const name of ['a1', 'a2', 'a3', 'a4']) acquire('a', name)
  acquire('a', 'a5', CallClass.CALL_CLASS_NORMAL, 400)
  acquire('b', 'b1', CallClass.CALL_CLASS_NORMAL, 400)
  expect(refused.map(({ name, reason }) => `${name} ${reason}`)).toEqual(['a5 deadline-queue'])
})

test('refused callers return one after the other, earlier ones first', async () => {
  await start()
  for (let index = 0; index < 6; index++) acquire('a', `a${index}`)
  for (let index = 0; index < 20; index++) acquire('a', `refused${index}`)
  const delays = refused.map(({ retryAfterMs }) => retryAfterMs)
  expect(delays).toEqual([...delays].sort((a, b) => a - b))
  expect(new Set(delays).size).toBe(20)
  expect(Math.max(...delays)).toBeLessThanOrEqual(3_300)
})

test('calls without an account draw no random numbers', async () => {
  await start({ draw: () => { throw new Error('drawn') } })
  for (let index = 0; index < 20; index++) acquire('', `call${index}`, 1 + index % 4)
  expect(refused.length).toBeGreaterThan(5)
})

test('leads end once accounts do not compete, and are bounded', () => {
  const shares = new AccountShares()
  const counts = new Map(Array.from({ length: 5_000 }, (_, index) => [`account${index}`, 1]))
  for (let index = 0; index < 3_000; index++) shares.takeAccount(counts)
  for (let index = 0; index < 6_000; index++) shares.recordUncontended()
  expect(shares.hasLeads).toBe(false)
})

/** Takes slots while all accounts keep the given calls waiting, and counts the slots of each. */
function countSlots (shares: AccountShares, slots: number, waiting: Record<string, number>): Record<string, number> {
  const taken: Record<string, number> = {}
  for (let slot = 0; slot < slots; slot++) {
    const account = shares.takeAccount(new Map(Object.entries(waiting)))
    taken[account] = (taken[account] ?? 0) + 1
  }
  return taken
}

test('declared rates decide in place of waiting calls, from the next slot after a change on', () => {
  const createAccounts = (rates: Record<string, number>): AccountIndex =>
    new AccountIndex(new Map(Object.entries(rates).map(([account, rate]) => [account, { account, key_digests: [], rate }])))
  let accounts = createAccounts({ a: 30, b: 10, c: 0 })
  const shares = new AccountShares(account => accounts.findWeight(account))
  expect(countSlots(shares, 60, { a: 1, b: 30 })).toEqual({ a: 45, b: 15 })
  expect(countSlots(shares, 60, { b: 1, c: 9, '': 30 })).toEqual({ b: 12, c: 24, '': 24 })
  accounts = createAccounts({ a: 10, b: 10 })
  // Leads from before the change are worked off first.
  countSlots(shares, 60, { a: 1, b: 1 })
  expect(countSlots(shares, 60, { a: 1, b: 30 })).toEqual({ a: 30, b: 30 })
  accounts = createAccounts({ a: 0, b: 0 })
  expect(countSlots(shares, 60, { a: 1, b: 4 })).toEqual({ a: 20, b: 40 })
})

test('with declared rates an account gains nothing for its class by sending more', () => {
  const countHigh = (burst: number, findWeight?: () => number): number => {
    const queue = new SlotQueue<IQueuedCall>(findWeight)
    const add = (callClass: CallClass, account: string): void => { queue.add({ callClass, account, isTimely: true, timer: undefined }) }
    for (let index = 0; index < burst; index++) add(CallClass.CALL_CLASS_HIGH, 'burst')
    for (let index = 0; index < 6; index++) add(CallClass.CALL_CLASS_NORMAL, `account${index}`)
    let high = 0
    for (let slot = 0; slot < 6; slot++) if (queue.takeNext(false)?.callClass === CallClass.CALL_CLASS_HIGH) high++
    return high
  }
  expect([countHigh(2, () => 1), countHigh(26, () => 1)]).toEqual([2, 2])
  expect(countHigh(26)).toBeGreaterThan(4)
})
