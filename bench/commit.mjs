/**
 * Measures commit latency and rate of the replicated log with three members in this process that communicate over gRPC. Compares
 * synced files with storage in memory, which shows the cost of the disk. The commands are claims of idempotency keys.
 * Usage: node bench/commit.mjs [SECONDS]
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { NullLog, SystemClock, SystemRandom } from '@lagoonswitch/common'
import { ClaimsStateMachine, FileStorage, GrpcTransport, MemoryStorage, RaftGroup, createRaftHandlers } from '@lagoonswitch/control'
import { ClaimsCommand, RaftService } from '@lagoonswitch/schema'
import { PeerChannels, PeerListener, PlainCredentials } from '@lagoonswitch/transport'
import { findPorts, summarize, waitUntil } from './harness.mjs'

const DURATION_S = Number(process.argv[2] ?? 4)
const MEMBER_COUNT = 3
const FINGERPRINT = Buffer.alloc(32, 1)
let keyCount = 0

async function measure (label, createStorage, workers) {
  const ports = await findPorts(MEMBER_COUNT)
  const initialMembers = ports.map((port, index) => ({ name: `c${index}`, address: `127.0.0.1:${port}` }))
  const startedMembers = []
  for (const [index, port] of ports.entries()) {
    const channels = new PeerChannels(new PlainCredentials())
    const listener = new PeerListener(new PlainCredentials())
    const group = new RaftGroup({
      group: 'g',
      name: `c${index}`,
      initialMembers,
      heartbeatMs: 100,
      electionTimeoutMs: 1000,
      snapshotEntries: 1_000_000,
      clock: new SystemClock(),
      random: new SystemRandom(),
      log: new NullLog(),
      storage: createStorage(index),
      transport: new GrpcTransport(channels, 1000),
      stateMachine: new ClaimsStateMachine({ retentionMs: 3_600_000, capacity: 10_000_000 })
    })
    listener.addService(RaftService, createRaftHandlers(new Map([['g', group]])))
    await listener.listen('127.0.0.1', port)
    await group.start()
    startedMembers.push({ channels, listener, group })
  }
  const findLeader = () => startedMembers.find(({ group }) => group.isReadyLeader)?.group
  await waitUntil('a leader', () => findLeader() !== undefined)
  const leader = findLeader()
  const samples = []
  const endMs = performance.now() + DURATION_S * 1000
  const cpu = process.cpuUsage()
  await Promise.all(Array.from({ length: workers }, async () => {
    while (performance.now() < endMs) {
      const startedMs = performance.now()
      const value = { key: `service/route\nkey-${keyCount++}`, token: `token-${keyCount}`, fingerprint: FINGERPRINT, leaseMs: 5000 }
      const result = await leader.propose(ClaimsCommand.encode({ nowMs: Date.now(), command: { $case: 'claim', value } }).finish())
      if (result.ok) samples.push(performance.now() - startedMs)
    }
  }))
  const { user, system } = process.cpuUsage(cpu)
  const { count, p50, p99, max } = summarize(samples)
  console.log(`${label} workers=${workers}: ${(count / DURATION_S).toFixed(0)} commits/s, p50=${p50.toFixed(2)} p99=${p99.toFixed(2)} ` +
    `max=${max.toFixed(1)} ms, cpu of three members per commit=${((user + system) / count).toFixed(0)} us`)
  for (const { channels, listener, group } of startedMembers) {
    group.dispose()
    listener.close()
    channels.dispose()
  }
  await sleep(200)
}

const folder = mkdtempSync(join(tmpdir(), 'commit-'))
let run = 0
for (const workers of [1, 32, 512]) {
  run++
  await measure('synced files', index => new FileStorage(join(folder, `${run}-${index}`)), workers)
  await measure('memory      ', index => new MemoryStorage(`m${index}`), workers)
}
rmSync(folder, { recursive: true, force: true })
process.exit(0)
