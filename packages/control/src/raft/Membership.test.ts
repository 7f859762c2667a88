import { afterEach, beforeEach, expect, test } from 'vitest'
import { FakeCluster, type FakeVm } from '../testing/FakeCluster.js'

const INITIAL_MEMBERS = ['a', 'b', 'c']
let cluster: FakeCluster

function countVoters (): number {
  return cluster.listVoters().length
}

async function propose (command: string): Promise<void> {
  const leader = await cluster.waitLeader()
  expect(await cluster.propose(leader, command)).toBe(true)
}

function listOthers (name: string): string[] {
  return ['a', 'b', 'c', 'd', 'e'].filter(other => other !== name)
}

async function waitCommands (vm: FakeVm, ...commands: string[]): Promise<void> {
  await cluster.waitFor(`${commands.join()} on ${vm.name}`, () => commands.every(command => vm.stateMachine.commands.includes(command)))
}

beforeEach(async () => {
  cluster = new FakeCluster(['a', 'b', 'c', 'd', 'e'], 1, 1_000, INITIAL_MEMBERS)
  await cluster.startAll()
  await cluster.waitFor('five voters', () => countVoters() === 5)
})

afterEach(() => { cluster.dispose() })

test('first initial member creates no group before the others have read their disks', async () => {
  const slow = new FakeCluster(['a', 'b', 'c'], 1, 1_000, INITIAL_MEMBERS)
  for (const name of ['b', 'c']) {
    const { storage } = slow.getVm(name)
    const load = storage.load.bind(storage)
    storage.load = async () => {
      await slow.clock.sleep(2_000)
      return await load()
    }
  }
  const started = Promise.all(INITIAL_MEMBERS.map(async name => await slow.start(name)))
  await slow.clock.advance(1_000)
  expect(slow.getVm('a').group?.getStatus().members).toEqual([])
  await slow.waitFor('the group', () => slow.listVoters().length === 3)
  expect(slow.listVoters()).toEqual(['a/a-disk-1', 'b/b-disk-1', 'c/c-disk-1'])
  await started
  slow.dispose()
})

test('group grows from its initial members to all available VMs', async () => {
  await propose('x')
  for (const name of ['d', 'e']) await waitCommands(cluster.getVm(name), 'x')
})

test('VM with an empty disk returns as a new replica', async () => {
  await propose('x')
  for (const name of ['a', 'd']) {
    cluster.kill(name)
    cluster.getVm(name).loseDisk()
    await cluster.start(name)
    await cluster.waitFor('the new replica', () => cluster.listVoters().includes(`${name}/${name}-disk-2`) && countVoters() === 5)
    await waitCommands(cluster.getVm(name), 'x')
  }
})

test('two VMs with empty disks return as new replicas and the group keeps committing', async () => {
  await propose('x')
  for (const name of ['b', 'c']) {
    cluster.kill(name)
    cluster.getVm(name).loseDisk()
  }
  for (const name of ['b', 'c']) await cluster.start(name)
  await cluster.waitFor('both new replicas', () =>
    ['b/b-disk-2', 'c/c-disk-2'].every(voter => cluster.listVoters().includes(voter)) && countVoters() === 5)
  await propose('y')
  await waitCommands(cluster.getVm('b'), 'x', 'y')
})

test('lost initial member is replaced by a VM at another address', async () => {
  cluster.kill('a')
  await cluster.start('f')
  await cluster.waitFor('the successor', () => cluster.listVoters().includes('f/f-disk-1') && countVoters() === 5)
  expect(cluster.listVoters().some(voter => voter.startsWith('a/'))).toBe(false)
  await propose('x')
})

test('group commits although a second VM is lost right after the first was replaced', async () => {
  await propose('x')
  cluster.kill('a')
  await cluster.start('f')
  await cluster.clock.advance(4_000)
  cluster.kill('b')
  await propose('y')
  await waitCommands(cluster.getVm('f'), 'x', 'y')
})

test('silent voter stays while there is no surplus voter', async () => {
  cluster.kill('e')
  await cluster.clock.advance(20_000)
  expect(countVoters()).toBe(5)
})

// Guards against a learner that is removed before its first answer, since the time in which others were silent counts as its own.
test('learner whose first answer takes 3 s becomes a voter', async () => {
  await cluster.clock.advance(10_000)
  const { storage } = cluster.getVm('f')
  let isSlow = true
  storage.onWrite = async () => { if (isSlow) await cluster.clock.sleep(3_000) }
  await cluster.start('f')
  const hasLearner = (): boolean => cluster.findLeader()?.group?.getStatus().members.some(({ name }) => name === 'f') === true
  await cluster.waitFor('the learner', hasLearner)
  for (let passedMs = 0; passedMs < 3_000; passedMs += 200) {
    await cluster.clock.advance(200)
    expect(hasLearner()).toBe(true)
  }
  isSlow = false
  await cluster.waitFor('six voters', () => countVoters() === 6)
})

test('removed VM that was isolated joins again without a new term', async () => {
  const leader = await cluster.waitLeader()
  const isolated = listOthers(leader.name)[0] ?? ''
  cluster.isolate(isolated)
  await cluster.start('f')
  await cluster.waitFor('the successor', () => cluster.listVoters().includes('f/f-disk-1') && countVoters() === 5)
  const term = leader.group?.getStatus().term
  cluster.heal()
  await cluster.waitFor('six voters', () => countVoters() === 6)
  expect(cluster.findLeader()?.group?.getStatus().term).toBe(term)
})

test('initial members with empty disks do not create a second group', async () => {
  await propose('x')
  for (const name of ['a', 'b', 'c', 'd', 'e']) cluster.kill(name)
  for (const name of INITIAL_MEMBERS) {
    cluster.getVm(name).loseDisk()
    await cluster.start(name)
  }
  await cluster.clock.advance(10_000)
  expect(cluster.findLeader()).toBeUndefined()
})

test('command survives the loss of two of the three disks that hold it', async () => {
  const leader = await cluster.waitLeader()
  const [first, second, third, fourth] = listOthers(leader.name)
  for (const name of [third, fourth]) cluster.kill(name ?? '')
  expect(await cluster.propose(leader, 'x')).toBe(true)
  for (const name of [leader.name, first, second]) cluster.kill(name ?? '')
  for (const name of [leader.name, first]) cluster.getVm(name ?? '').loseDisk()
  for (const name of [leader.name, ...listOthers(leader.name)]) await cluster.start(name)
  await cluster.waitFor('the command on all', () =>
    [leader.name, ...listOthers(leader.name)].every(name => cluster.getVm(name).stateMachine.commands.includes('x')))
  expect(second).toBeDefined()
})

test('replica resumes after its disk was full', async () => {
  const leader = await cluster.waitLeader()
  for (const name of [leader.name, listOthers(leader.name)[0] ?? '']) {
    const { storage, group } = cluster.getVm(name)
    storage.onWrite = async () => { throw new Error('no space left') }
    await propose(`during ${name}`).catch(() => undefined)
    await cluster.clock.advance(3_000)
    await propose(`without ${name}`)
    storage.onWrite = async () => {}
    await cluster.waitFor('its return', () => group?.getStatus().commitIndex === cluster.findLeader()?.group?.getStatus().commitIndex)
    await waitCommands(cluster.getVm(name), `without ${name}`)
  }
  expect(new Set(cluster.getVm(leader.name).stateMachine.commands).size).toBe(cluster.getVm(leader.name).stateMachine.commands.length)
})

/** Makes each write of a VM fail, as on a full disk. */
function fillDisk (name: string): void {
  cluster.getVm(name).storage.onWrite = async () => { throw new Error('no space left') }
}

function clearDisk (name: string): void {
  cluster.getVm(name).storage.onWrite = async () => {}
}

test('group commits while the disks of the leader and of another member are full, and both resume', async () => {
  await cluster.waitFor('five voters', () => countVoters() === 5)
  const leader = await cluster.waitLeader()
  const full = [leader.name, listOthers(leader.name)[0] ?? '']
  for (const name of full) fillDisk(name)
  const isAcknowledged = await cluster.propose(leader, 'at the full leader')
  await cluster.waitFor('another leader', () => cluster.findLeader() !== undefined && cluster.findLeader() !== leader)
  for (let index = 0; index < 5; index++) await propose(`meanwhile ${index}`)
  if (isAcknowledged) expect(cluster.findLeader()?.stateMachine.commands).toContain('at the full leader')
  for (const name of full) clearDisk(name)
  for (const name of full) await waitCommands(cluster.getVm(name), 'meanwhile 4')
  expect(countVoters()).toBe(5)
})

test('nothing is acknowledged while most disks are full', async () => {
  await cluster.waitFor('five voters', () => countVoters() === 5)
  const leader = await cluster.waitLeader()
  const full = listOthers(leader.name).slice(0, 3)
  for (const name of full) fillDisk(name)
  expect(await cluster.propose(leader, 'too few disks')).toBe(false)
  for (const name of full) clearDisk(name)
  await propose('after')
  for (const name of full) await waitCommands(cluster.getVm(name), 'after')
})
