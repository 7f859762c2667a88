import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { parseEntry, type IEntry } from '@lagoonswitch/schema'
import { formatHomeCatalogue } from './HomesController.js'
import { OperatorKeys } from './OperatorKeys.js'

let folder: string

beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'http-')) })
afterEach(async () => { await rm(folder, { recursive: true }) })

test('home contract 1 never changes', () => {
  const entry: IEntry = parseEntry({
    entry: 'booking-desk',
    owner: 'beaulieu',
    class: 'first',
    limits: { slots: 9, connections: 130 },
    routes: [{ name: 'openings', path: '/openings', methods: ['GET'], idempotency: 'safe', deadline: '1s' }],
    version: 'v1'
  }).unwrap()
  const view = { version: { epoch: 7, version: 42 }, entries: new Map([['booking-desk', entry]]), moves: new Map() }
  expect(formatHomeCatalogue(view)).toBe('{"contract":1,"epoch":7,"version":42,"entries":[{"name":"booking-desk",' +
    '"owner":"beaulieu","class":"first","routes":[{"name":"openings","path":"/openings","methods":["GET"],"idempotency":"safe"}]}]}')
})

test('operators are known by their tokens', async () => {
  const file = join(folder, 'tokens')
  await writeFile(file, '# operators\nann:0123456789abcdef\nbob:fedcba9876543210\n')
  const keys = (await OperatorKeys.read(file)).unwrap()
  expect(keys.findOperator('Bearer 0123456789abcdef')).toBe('ann')
  expect(keys.findOperator('Bearer fedcba9876543210')).toBe('bob')
  for (const wrong of [undefined, '', 'Bearer', 'Bearer x', 'Basic 0123456789abcdef']) {
    expect(keys.findOperator(wrong)).toBeUndefined()
  }
})

test('short token names its line', async () => {
  const file = join(folder, 'tokens')
  await writeFile(file, 'ann:short\n')
  const keys = await OperatorKeys.read(file)
  expect(keys.err && keys.val.message).toMatch(/tokens:1: token: .*at least 16 characters/)
})

test('missing token file is an error, not an open door', async () => {
  expect((await OperatorKeys.read(join(folder, 'none'))).err).toBe(true)
})
