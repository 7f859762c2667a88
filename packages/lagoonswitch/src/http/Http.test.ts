import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { parseEntry, type IEntry } from '@lagoonswitch/schema'
import { formatHomeCatalogue } from './HomesController.js'
import { OperatorTokens } from './OperatorTokens.js'

let folder: string

beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'http-')) })
afterEach(async () => { await rm(folder, { recursive: true }) })

test('home catalogue has the frozen format of contract 1', () => {
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

test('operators are authenticated by their tokens', async () => {
  const file = join(folder, 'tokens')
  await writeFile(file, '# operators\nann:0123456789abcdef\nbob:fedcba9876543210\n')
  const tokens = (await OperatorTokens.read(file)).unwrap()
  expect(tokens.findOperator('Bearer 0123456789abcdef')).toBe('ann')
  expect(tokens.findOperator('Bearer fedcba9876543210')).toBe('bob')
  for (const wrong of [undefined, '', 'Bearer', 'Bearer x', 'Basic 0123456789abcdef']) {
    expect(tokens.findOperator(wrong)).toBeUndefined()
  }
})

test('error for a short token names the line', async () => {
  const file = join(folder, 'tokens')
  await writeFile(file, 'ann:short\n')
  const tokens = await OperatorTokens.read(file)
  expect(tokens.err && tokens.val.message).toMatch(/tokens:1: token: .*at least 16 characters/)
})

test('missing token file is an error and does not admit everyone', async () => {
  expect((await OperatorTokens.read(join(folder, 'none'))).err).toBe(true)
})
