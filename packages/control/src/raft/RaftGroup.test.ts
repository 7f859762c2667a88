import { afterEach, expect, test } from 'vitest'
import { FakeCluster } from '../testing/FakeCluster.js'

const NAMES = ['a', 'b', 'c']
let cluster: FakeCluster

async function startCluster (names = NAMES, seed = 1, snapshotEntries?: number): Promise<FakeCluster> {
  cluster = new FakeCluster(names, seed, snapshotEntries)
  await cluster.startAll()
  return cluster
}

function listOthers (name: string): string[] {
  return NAMES.filter(other => other !== name)
}

afterEach(() => cluster.dispose())

test('single member commits alone', async () => {
  await startCluster(['a'])
  expect(await cluster.propose(cluster.getVm('a'), 'x')).toBe(true)
  expect(cluster.getVm('a').stateMachine.commands).toEqual(['x'])
})

test('all members apply the same commands', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  for (const command of ['x', 'y', 'z']) expect(await cluster.propose(leader, command)).toBe(true)
  await cluster.clock.advance(500)
  for (const name of NAMES) expect(cluster.getVm(name).stateMachine.commands).toEqual(['x', 'y', 'z'])
})

test('accepted commands survive a killed leader', async () => {
  await startCluster()
  const first = await cluster.waitLeader()
  expect(await cluster.propose(first, 'x')).toBe(true)
  cluster.kill(first.name)
  const second = await cluster.waitLeader()
  expect(second.name).not.toBe(first.name)
  expect(await cluster.propose(second, 'y')).toBe(true)
  await cluster.start(first.name)
  await cluster.clock.advance(2_000)
  expect(first.stateMachine.commands).toEqual(['x', 'y'])
})

test.each(['append', 'sync', 'replicate', 'commit', 'answer'])('accepted commands survive a leader that is killed at the step %s', async step => {
  await startCluster()
  const leader = await cluster.waitLeader()
  expect(await cluster.propose(leader, 'x')).toBe(true)
  const kill = (): void => cluster.kill(leader.name)
  const append = leader.storage.append.bind(leader.storage)
  if (step === 'append') leader.storage.onWrite = async () => { kill(); throw new Error('killed') }
  if (step === 'sync') leader.storage.append = async entries => { await append(entries); kill() }
  if (step === 'replicate') {
    for (const name of listOthers(leader.name)) cluster.getVm(name).storage.onWrite = async () => kill()
  }
  if (step === 'commit') {
    const apply = leader.stateMachine.apply.bind(leader.stateMachine)
    leader.stateMachine.apply = command => { kill(); return apply(command) }
  }
  const isAccepted = await cluster.propose(leader, 'y')
  expect(isAccepted).toBe(step === 'answer')
  kill()
  for (const name of NAMES) cluster.getVm(name).storage.onWrite = async () => {}
  leader.storage.append = append
  const next = await cluster.waitLeader()
  expect(await cluster.propose(next, 'z')).toBe(true)
  await cluster.start(leader.name)
  await cluster.clock.advance(5_000)
  for (const name of NAMES) {
    const { commands } = cluster.getVm(name).stateMachine
    expect(commands).toEqual(commands.includes('y') ? ['x', 'y', 'z'] : ['x', 'z'])
    expect(commands).toEqual(next.stateMachine.commands)
    if (isAccepted) expect(commands).toContain('y')
  }
})

test('accepted commands survive a restart of all members', async () => {
  await startCluster()
  expect(await cluster.propose(await cluster.waitLeader(), 'x')).toBe(true)
  for (const name of NAMES) cluster.kill(name)
  for (const name of NAMES) await cluster.start(name)
  const leader = await cluster.waitLeader()
  expect(await cluster.propose(leader, 'y')).toBe(true)
  expect(leader.stateMachine.commands).toEqual(['x', 'y'])
})

test('group that restarts as a whole elects a leader within one election timeout', async () => {
  await startCluster()
  const first = await cluster.waitLeader()
  expect(await cluster.propose(first, 'x')).toBe(true)
  for (const name of NAMES) cluster.kill(name)
  for (const name of NAMES) await cluster.start(name)
  await cluster.clock.advance(900)
  expect(NAMES.filter(name => cluster.getVm(name).group?.role === 'leader')).toHaveLength(1)
})

test('restarted member does not depose a leader that others follow', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  const [name = ''] = listOthers(leader.name)
  cluster.kill(name)
  const term = leader.group?.getStatus().term
  await cluster.start(name)
  await cluster.clock.advance(3_000)
  expect(leader.group?.getStatus()).toMatchObject({ role: 'leader', term })
})

test('isolated leader neither commits nor serves reads', async () => {
  await startCluster()
  const old = await cluster.waitLeader()
  cluster.isolate(old.name)
  expect(await cluster.propose(old, 'lost')).toBe(false)
  const read = await cluster.advanceUntilSettled(old.group?.readBarrier() ?? Promise.reject(new Error('no group')))
  expect(read.ok).toBe(false)
  expect(old.group?.isCurrent).toBe(false)
  const next = await cluster.waitLeader()
  expect(await cluster.propose(next, 'x')).toBe(true)
  cluster.heal()
  await cluster.clock.advance(3_000)
  expect(old.stateMachine.commands).toEqual(['x'])
})

test('member that receives nothing does not disturb the leader', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  const term = leader.group?.getStatus().term
  const unreachable = listOthers(leader.name)[0] ?? ''
  for (const name of listOthers(unreachable)) cluster.cut(name, unreachable)
  await cluster.clock.advance(60_000)
  expect(cluster.findLeader()?.name).toBe(leader.name)
  cluster.heal()
  await cluster.clock.advance(5_000)
  expect(leader.group?.getStatus().term).toBe(term)
  expect(cluster.findLeader()?.name).toBe(leader.name)
})

test('member that receives nothing from the leader does not depose it', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  const term = leader.group?.getStatus().term
  cluster.cut(leader.name, listOthers(leader.name)[0] ?? '')
  await cluster.clock.advance(60_000)
  expect(cluster.findLeader()?.name).toBe(leader.name)
  expect(leader.group?.getStatus().term).toBe(term)
})

test('entry that the leader has not synced is not committed by one follower', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  cluster.kill(listOthers(leader.name)[0] ?? '')
  leader.storage.onWrite = async kind => { if (kind === 'append') await new Promise(() => {}) }
  expect(await cluster.propose(leader, 'x')).toBe(false)
  expect(leader.stateMachine.commands).toEqual([])
})

test('leader that receives nothing steps down', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  for (const name of listOthers(leader.name)) cluster.cut(name, leader.name)
  await cluster.clock.advance(10_000)
  expect(cluster.findLeader()?.name).not.toBe(leader.name)
  expect(cluster.findLeader()).toBeDefined()
})

test('VM with a lost disk does not vote as its old replica', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  expect(await cluster.propose(leader, 'x')).toBe(true)
  const [kept, lost] = listOthers(leader.name)
  cluster.kill(leader.name)
  cluster.kill(lost ?? '')
  cluster.getVm(lost ?? '').loseDisk()
  await cluster.start(lost ?? '')
  await cluster.clock.advance(20_000)
  expect(cluster.findLeader()).toBeUndefined()
  expect(cluster.getVm(kept ?? '').group?.role).not.toBe('leader')
})

test('first member with a lost disk does not create a second group', async () => {
  await startCluster()
  expect(await cluster.propose(await cluster.waitLeader(), 'x')).toBe(true)
  cluster.kill('a')
  cluster.getVm('a').loseDisk()
  await cluster.start('a')
  const leader = await cluster.waitLeader()
  await cluster.clock.advance(10_000)
  expect(leader.name).not.toBe('a')
  expect(cluster.getVm('a').group?.getStatus().members).toEqual([])
})

test('replaced member keeps the quorum when another one is lost', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  expect(await cluster.propose(leader, 'x')).toBe(true)
  const [lost, second] = listOthers(leader.name)
  cluster.kill(lost ?? '')
  cluster.getVm(lost ?? '').loseDisk()
  await cluster.start(lost ?? '')
  const replaced = await cluster.advanceUntilSettled(leader.group?.membership.replaceMember(lost ?? '', lost ?? '') ?? Promise.reject(new Error('no group')))
  expect(replaced.ok).toBe(true)
  cluster.kill(second ?? '')
  await cluster.clock.advance(3_000)
  expect(await cluster.propose(await cluster.waitLeader(), 'y')).toBe(true)
  expect(cluster.getVm(lost ?? '').stateMachine.commands).toEqual(['x', 'y'])
})

// Guards against an operator's replacement of a lost VM that needs the successor for a quorum before it has proved to last.
test.each([2, 3, 4, 5])('successor that is lost at its write %i leaves a quorum', async writes => {
  await startCluster()
  const leader = await cluster.waitLeader()
  const lost = listOthers(leader.name)[0] ?? ''
  cluster.kill(lost)
  const vm = cluster.getVm(lost)
  vm.loseDisk()
  await cluster.start(lost, false)
  let left = writes
  vm.storage.onWrite = async () => { if (--left <= 0) cluster.kill(lost) }
  await cluster.advanceUntilSettled(leader.group?.membership.replaceMember(lost, lost) ?? Promise.reject(new Error('no group')))
  const successor = await cluster.waitLeader()
  expect(await cluster.propose(successor, 'x')).toBe(true)
})

// Guards against an operator's command that never ends, since the new VM is lost before it has caught up.
test('replacement fails when the successor stops answering', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  const lost = listOthers(leader.name)[0] ?? ''
  cluster.kill(lost)
  cluster.getVm(lost).loseDisk()
  await cluster.start(lost, false)
  cluster.getVm(lost).storage.onWrite = async () => cluster.kill(lost)
  let error = ''
  void leader.group?.membership.replaceMember(lost, lost).then(result => { if (result.err) error = result.val.message })
  await cluster.waitFor('the error', () => error !== '', 8_000)
  expect(error).toContain(`${lost} at ${lost} stopped answering before it had caught up`)
})

test('member that is far behind catches up through a snapshot', async () => {
  await startCluster(NAMES, 1, 20)
  const leader = await cluster.waitLeader()
  const late = listOthers(leader.name)[0] ?? ''
  cluster.kill(late)
  for (let index = 0; index < 100; index++) expect(await cluster.propose(leader, `c${index}`)).toBe(true)
  expect(leader.group?.getStatus().snapshotIndex).toBeGreaterThan(0)
  await cluster.start(late)
  await cluster.clock.advance(3_000)
  expect(cluster.getVm(late).stateMachine.commands).toEqual(leader.stateMachine.commands)
})

test('failed sync stops the replica but not the group', async () => {
  await startCluster()
  const leader = await cluster.waitLeader()
  expect(await cluster.propose(leader, 'x')).toBe(true)
  leader.storage.onWrite = async kind => { if (kind === 'append') throw new Error('EIO') }
  expect(await cluster.propose(leader, 'y')).toBe(false)
  expect(leader.group?.role).toBe('failed')
  const next = await cluster.waitLeader()
  expect(await cluster.propose(next, 'z')).toBe(true)
  expect(next.stateMachine.commands[0]).toBe('x')
})

test('stopped replica refuses votes and leaves its storage alone', async () => {
  await startCluster()
  const { group, storage } = cluster.getVm('a')
  if (group === undefined) throw new Error('the replica is not started')
  const { replicaId, term } = group.getStatus()
  group.dispose()
  const writes: string[] = []
  storage.onWrite = async kind => { writes.push(kind) }
  await cluster.clock.advance(5_000)
  const request = { group: 'test', toReplica: replicaId, term: term + 1, candidate: 'c', lastIndex: 100, lastTerm: term, preVote: false }
  const reply = await group.handleVote(request).catch(() => 'refused')
  expect(writes).toEqual([])
  expect(reply).toBe('refused')
})

test('replica is closed only after the write that has begun', async () => {
  await startCluster(['a'])
  const { group, storage } = cluster.getVm('a')
  if (group === undefined) throw new Error('the replica is not started')
  let endWrite = (): void => {}
  storage.onWrite = async () => { await new Promise<void>(resolve => { endWrite = resolve }) }
  void group.propose(Buffer.from('x'))
  await cluster.clock.advance(100)
  let isClosed = false
  const closed = group.close().then(() => { isClosed = true })
  await cluster.clock.advance(100)
  expect(isClosed).toBe(false)
  endWrite()
  await closed
})
