/**
 * End-to-end tests of client accounts on a simulated platform: keys, their withdrawal, nested calls and what targets are told.
 */
import { createHash } from 'node:crypto'
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, expect, test } from 'vitest'
import { AccountWorld, createTenantConfiguration, type IReply, type ITenant } from './support/AccountWorld.js'
import { waitFor } from './support/World.js'

const KEY = 'key-of-big-1'
const OTHER_KEY = 'key-of-big-2'
const LATER_KEY = 'key-of-the-next-version'
const BIG: ITenant = { name: 'big corp', 'api-keys': [KEY, OTHER_KEY], priority: 3 }
const SMALL: ITenant = { name: 'small', 'api-keys': ['key-of-small'] }
/** A withdrawn key is rejected everywhere within this time (config-apply-s). */
const APPLY_MS = 2_000
/** Header lines, and the status of a call with them on a route that needs a key and on an anonymous one. */
const AUTHORIZATIONS: Array<[string, string[], number, number]> = [
  ['no header', [], 401, 200],
  ['an empty value', ['Authorization:'], 401, 200],
  ['the scheme alone', ['Authorization: Bearer '], 401, 200],
  ['another scheme', [`Authorization: Basic ${KEY}`], 401, 200],
  ['two headers', [`Authorization: Bearer ${KEY}`, `Authorization: Bearer ${KEY}`], 401, 401],
  ['two headers of which one is of another scheme', [`Authorization: Bearer ${KEY}`, 'authorization: Basic x'], 401, 401],
  ['two keys in one header', [`Authorization: Bearer ${KEY}, Bearer ${OTHER_KEY}`], 401, 401],
  ['the scheme in lower case', [`Authorization: bearer ${KEY}`], 200, 200],
  ['the scheme in mixed case and blanks', [`AUTHORIZATION:  bEARER   ${KEY}  `], 200, 200],
  ['a blank in the key', [`Authorization: Bearer ${KEY.slice(0, 3)} ${KEY.slice(3)}`], 401, 401],
  ['the key in another letter case', [`Authorization: Bearer ${KEY.toUpperCase()}`], 401, 401],
  ['a key with a prefix of another', [`Authorization: Bearer ${KEY}x`], 401, 401],
  ['the digest of a key', [`Authorization: Bearer ${createHash('sha256').update(KEY).digest('hex')}`], 401, 401],
  ['bytes that are no text', ['Authorization: Bearer \xff\xfe\x80'], 401, 401],
  ['8 kB', [`Authorization: Bearer ${'x'.repeat(8_192)}`], 401, 401],
  ['16 kB, more than a head may have', [`Authorization: Bearer ${'x'.repeat(16_384)}`], 431, 431],
  ['a control character', ['Authorization: Bearer a\x01b'], 400, 400],
  ['a header that is no credential', [`Proxy-Authorization: Bearer ${KEY}`], 401, 200]
]

let world: AccountWorld

afterEach(async () => { await world.stop() }, 30_000)

async function startWorld (tenants: ITenant[] | undefined, controls = 1): Promise<void> {
  world = await AccountWorld.start(createTenantConfiguration(1, 0, tenants), controls)
  await world.addTarget('n2', 'desk')
  await world.addTarget('n2', 'open')
}

function checkNoKeyInLogs (): void {
  const text = world.logLines.join('\n')
  expect(world.logLines.length).toBeGreaterThan(0)
  for (const key of [KEY, OTHER_KEY, LATER_KEY, 'key-of-small']) {
    expect(text).not.toContain(key)
    expect(text).not.toContain(createHash('sha256').update(key).digest('hex'))
  }
}

test('key is accepted, its account is told to the target whatever the caller sent, and the key goes no further', async () => {
  await startWorld([BIG, SMALL])
  for (const node of ['n1', 'n2']) {
    const reply = await world.call(node, '/desk/safe/x', { 'x-tenant': 'small', 'X-TENANT': 'forged', connection: 'x-tenant' }, OTHER_KEY)
    expect([reply.status, reply.body]).toEqual([200, 'served'])
  }
  await world.call('n1', '/desk/safe/x', {}, 'key-of-small')
  expect(world.received.map(({ headers }) => headers['x-tenant'])).toEqual(['big corp', 'big corp', 'small'])
  expect(JSON.stringify(world.received)).not.toMatch(/authorization|Bearer|key-of/)
  const refused = await world.call('n1', '/desk/safe/x', {}, LATER_KEY)
  expect([refused.status, refused.headers['www-authenticate'], refused.headers['lagoon-run']]).toEqual([401, 'Bearer', 'not-run'])
  expect(JSON.stringify(refused)).not.toContain(LATER_KEY)
  const metrics = await world.readMetrics('n1')
  expect(metrics).toMatch(/lagoonswitch_authorizations_total\{reason="account"\} 2/)
  expect(metrics).toMatch(/lagoonswitch_authorizations_total\{reason="credentials-unknown"\} 1/)
  expect(metrics).toMatch(/lagoonswitch_accounts 2/)
  expect(metrics).not.toMatch(/key-of/)
  checkNoKeyInLogs()
})

test('logs of a call name its account', async () => {
  await startWorld([BIG])
  await Promise.all(Array.from({ length: 300 }, async () => await world.call('n1', '/desk/safe/x', {}, KEY)))
  const lines = world.logLines.filter(line => /"event":"call_(sent|ended)"/.test(line))
  expect(lines.length).toBeGreaterThan(0)
  expect(lines.filter(line => !line.includes('"account":"big corp"'))).toEqual([])
})

test('each form of the Authorization header is judged as a key, as none, or as unreadable', async () => {
  await startWorld([BIG])
  const outcomes = []
  for (const [label, lines] of AUTHORIZATIONS) {
    const status = await world.sendLines('n1', '/desk/safe/x', [...lines, 'X-Tenant: forged'])
    outcomes.push([label, lines, status, await world.sendLines('n1', '/open/safe/x', [...lines, 'X-Tenant: forged'])])
  }
  expect(outcomes).toEqual(AUTHORIZATIONS)
  expect(new Set(world.received.map(({ headers }) => headers['x-tenant']))).toEqual(new Set([undefined, 'big corp']))
  expect(JSON.stringify(world.received)).not.toMatch(/authorization":/)
  checkNoKeyInLogs()
})

test('anonymous route needs no key, gives a key its account, and refuses an unknown one', async () => {
  await startWorld([BIG])
  const replies = [
    await world.call('n1', '/open/safe/x', { 'x-tenant': 'big corp' }),
    await world.call('n1', '/open/safe/x', {}, KEY),
    await world.call('n1', '/open/safe/x', {}, LATER_KEY)
  ]
  expect(replies.map(({ status }) => status)).toEqual([200, 200, 401])
  expect(world.received.map(({ headers }) => headers['x-tenant'])).toEqual([undefined, 'big corp'])
})

test('without accounts no key is needed, and the headers pass as before', async () => {
  await startWorld(undefined)
  expect((await world.call('n1', '/desk/safe/x', { 'x-tenant': 'own' }, LATER_KEY)).status).toBe(200)
  expect(world.received[0]?.headers).toMatchObject({ 'x-tenant': 'own', authorization: `Bearer ${LATER_KEY}` })
  await world.publishEverywhere(createTenantConfiguration(2, 1, [BIG]))
  expect((await world.call('n1', '/desk/safe/x', {}, LATER_KEY)).status).toBe(401)
})

test('key of the next version is refused before its publication and accepted after it', async () => {
  await startWorld([BIG])
  expect((await world.call('n1', '/desk/safe/x', {}, LATER_KEY)).status).toBe(401)
  await world.publishEverywhere(createTenantConfiguration(2, 1, [BIG, { name: 'new', 'api-keys': [LATER_KEY] }]))
  expect((await world.call('n1', '/desk/safe/x', {}, LATER_KEY)).status).toBe(200)
  expect(world.received.at(-1)?.headers['x-tenant']).toBe('new')
  checkNoKeyInLogs()
})

test('withdrawn key is refused on an open connection, and after a restart of the node', async () => {
  await startWorld([BIG])
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const ports = new Set<number | undefined>()
  const send = async (): Promise<number> => await new Promise((resolve, reject) => {
    const outgoing = request({
      agent,
      host: '127.0.2.1',
      port: world.getPort(),
      path: '/desk/safe/x',
      headers: { host: 'h.example', 'x-attempt-id': world.createId(), authorization: `Bearer ${KEY}` }
    }, response => {
      ports.add(response.socket.localPort)
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? 0))
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
  expect(await send()).toBe(200)
  expect((await world.publish(createTenantConfiguration(2, 1, [{ ...BIG, 'api-keys': [OTHER_KEY] }]))).status).toBe(200)
  await sleep(APPLY_MS)
  expect(await send()).toBe(401)
  expect(ports.size).toBe(1)
  agent.destroy()
  await world.platform.stopProcess('n1')
  await world.platform.startNode('n1')
  await waitFor('a ready node', () => world.platform.processes.get('n1').node.isReady)
  expect((await world.call('n1', '/desk/safe/x', {}, KEY)).status).toBe(401)
}, 60_000)

test('queued call whose key is withdrawn ends with 401 and reaches no target, and running calls go on', async () => {
  await startWorld([BIG, SMALL])
  const hold = async (key: string): Promise<IReply> => await world.call('n1', '/desk/unsafe/hold', {}, key)
  const running = [KEY, KEY, KEY, KEY].map(hold)
  await waitFor('running calls', () => world.held.length === 4)
  const queued = [hold(KEY), hold(OTHER_KEY)]
  await waitFor('queued calls', () => world.platform.processes.get('n2').node.targets.listTargets()[0].queued === 2)
  const startMs = performance.now()
  await world.publishEverywhere(createTenantConfiguration(2, 1, [{ ...BIG, 'api-keys': [OTHER_KEY] }, SMALL]))
  const withdrawn = await queued[0]
  expect(performance.now() - startMs).toBeLessThan(APPLY_MS)
  expect([withdrawn?.status, withdrawn?.headers['lagoon-run'], withdrawn?.headers['www-authenticate']]).toEqual([401, 'not-run', 'Bearer'])
  expect(world.held.length).toBe(4)
  for (const response of world.held.splice(0)) response.end('served')
  expect((await Promise.all(running)).map(({ status }) => status)).toEqual([200, 200, 200, 200])
  await waitFor('the other queued call', () => world.held.length === 1)
  for (const response of world.held.splice(0)) response.end('served')
  expect((await queued[1])?.status).toBe(200)
  expect(await world.readMetrics('n1')).toMatch(/authorizations_total\{reason="credentials-withdrawn"\} 1/)
})

test('call that failed at one target is not reported as unauthorized when its key is withdrawn before the next one receives it', async () => {
  await startWorld([BIG, SMALL])
  await world.addTarget('n1', 'desk')
  const call = world.call('n1', '/desk/safe/hold-apart', {}, KEY)
  await waitFor('the running call', () => world.heldApart.length === 1)
  // Calls prefer the target of the VM at which they arrive, so these take all slots of the other one.
  const others = Array.from({ length: 4 }, async () => await world.call('n2', '/desk/safe/hold', {}, 'key-of-small'))
  await waitFor('no free slot', () => world.held.length === 4)
  const [response] = world.heldApart.splice(0)
  response?.writeHead(500).end()
  await waitFor('the retry in the queue', () => world.platform.processes.get('n2').node.targets.listTargets()[0].queued === 1)
  await world.publishEverywhere(createTenantConfiguration(2, 1, [{ ...BIG, 'api-keys': [OTHER_KEY] }, SMALL]))
  const { status, headers } = await call
  expect([status, headers['lagoon-run']]).toEqual([502, 'unknown'])
  expect(world.heldApart.length).toBe(0)
  for (const held of world.held.splice(0)) held.end('served')
  expect((await Promise.all(others)).map(reply => reply.status)).toEqual([200, 200, 200, 200])
})

test('call whose body is still arriving when its key is withdrawn reaches no target', async () => {
  await startWorld([BIG])
  const outgoing = request({
    host: '127.0.2.1',
    port: world.getPort(),
    method: 'POST',
    path: '/desk/unsafe/x',
    headers: { host: 'h.example', 'x-attempt-id': 'body', authorization: `Bearer ${KEY}`, 'content-length': 100 }
  })
  const status = new Promise<number>((resolve, reject) => {
    outgoing.on('response', response => { resolve(response.resume().statusCode ?? 0) })
    outgoing.on('error', reject)
  })
  outgoing.write('a'.repeat(50))
  await waitFor('the call', async () => /authorizations_total\{reason="account"\} 1/.test(await world.readMetrics('n1')))
  await world.publishEverywhere(createTenantConfiguration(2, 1, [{ ...BIG, 'api-keys': [OTHER_KEY] }]))
  expect(await status).toBe(401)
  outgoing.destroy()
  expect(world.received).toEqual([])
})

test('node that may not have the newest catalogue answers 503 in place of 401, and serves known keys', async () => {
  await startWorld([BIG])
  await world.platform.stopProcess('c1')
  await waitFor('a lost source', () => !world.platform.processes.get('n1').node.feed.isCurrent)
  const replies = [
    await world.call('n1', '/desk/safe/x'), await world.call('n1', '/desk/safe/x', {}, LATER_KEY),
    await world.call('n1', '/open/safe/x', {}, LATER_KEY), await world.call('n1', '/desk/safe/x', {}, KEY)
  ]
  expect(replies.map(({ status }) => status)).toEqual([503, 503, 503, 200])
  expect(Number(replies[0]?.headers['retry-after'])).toBeGreaterThan(0)
  expect(replies[0]?.headers['lagoon-run']).toBe('not-run')
})

test('node without a catalogue answers 503 to every key', async () => {
  await startWorld([BIG])
  await world.platform.stopProcess('c1')
  await world.platform.startNode('n3')
  expect([await world.call('n3', '/desk/safe/x'), await world.call('n3', '/desk/safe/x', {}, KEY)].map(({ status }) => status)).toEqual([503, 503])
})

test('target that runs a call makes nested calls without a key, and a client cannot pass itself off as one', async () => {
  await startWorld([BIG])
  expect((await world.call('n1', '/desk/safe/nested', {}, KEY)).body).toBe('inner 200')
  expect(world.received.map(({ path, headers }) => [path, headers['x-tenant']])).toEqual([
    ['/desk/safe/nested', 'big corp'], ['/desk/safe/inner', undefined]
  ])
  const running = world.call('n1', '/desk/safe/hold', { 'x-attempt-id': 'parent' }, KEY)
  await waitFor('the running call', () => world.held.length === 1)
  const callAs = async (node: string, parent: string, key?: string): Promise<number> =>
    (await world.call(node, '/desk/safe/inner', { 'x-attempt-id': `${parent}.1` }, key)).status
  // Right after the start of a process its targets may run calls that it doesn't know.
  expect([await callAs('n1', 'parent'), await callAs('n2', 'none')]).toEqual([503, 503])
  expect([await callAs('n2', 'parent'), await callAs('n2', 'parent', LATER_KEY)]).toEqual([200, 401])
  expect(await callAs('n1', 'none', KEY)).toBe(200)
  expect(world.received.at(-1)?.headers['x-tenant']).toBe('big corp')
  for (const response of world.held.splice(0)) response.end('served')
  expect((await running).status).toBe(200)
  expect(await callAs('n2', 'parent')).toBe(200)
  await sleep(10_000)
  expect([await callAs('n1', 'parent'), await callAs('n2', 'none'), await callAs('n2', 'parent')]).toEqual([401, 401, 401])
}, 60_000)

test('call that waits for a slot makes no nested calls', async () => {
  await startWorld([BIG])
  const calls = Array.from({ length: 4 }, async () => await world.call('n2', '/desk/safe/hold', {}, KEY))
  await waitFor('running calls', () => world.held.length === 4)
  const queued = world.call('n2', '/desk/safe/x', { 'x-attempt-id': 'queued' }, KEY)
  await waitFor('a queued call', () => world.platform.processes.get('n2').node.targets.listTargets()[0].queued === 1)
  expect((await world.call('n2', '/open/safe/x', { 'x-attempt-id': 'queued.1' })).status).toBe(200)
  expect(await world.readMetrics('n2')).toMatch(/authorizations_total\{reason="anonymous"\} 1/)
  expect(await world.readMetrics('n2')).not.toMatch(/authorizations_total\{reason="nested"\}/)
  for (const response of world.held.splice(0)) response.end('served')
  await Promise.all([...calls, queued])
})

test('configuration with a shared key, a key twice or a tenant twice changes nothing, and is refused without naming a key', async () => {
  await startWorld([BIG, SMALL], 3)
  const sent = createTenantConfiguration(1, 0, [BIG, SMALL])
  for (const tenants of [
    [BIG, { ...SMALL, 'api-keys': [KEY] }], [{ ...BIG, 'api-keys': [KEY, KEY] }], [BIG, { ...BIG, 'api-keys': [LATER_KEY] }],
    [BIG, { name: 'x', 'api-keys': [7 as unknown as string] }]
  ]) {
    const { status, text } = await world.publish(createTenantConfiguration(2, 1, tenants))
    expect(status).toBe(400)
    expect(text).not.toMatch(/key-of/)
    expect(await world.readConfiguration()).toEqual(sent)
  }
  expect((await world.call('n1', '/desk/safe/x', {}, KEY)).status).toBe(200)
  const leader = ['c1', 'c2', 'c3'].find(name => world.platform.processes.get(name).control.listStatus()[0].role === 'leader') ?? ''
  await world.platform.stopProcess(leader)
  expect(await world.readConfiguration()).toEqual(sent)
  await world.platform.startControl(leader)
  expect((await world.publish(createTenantConfiguration(2, 1, [SMALL]))).status).toBe(200)
  expect(await world.readConfiguration()).toEqual(createTenantConfiguration(2, 1, [SMALL]))
  checkNoKeyInLogs()
}, 60_000)
