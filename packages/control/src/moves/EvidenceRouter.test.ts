import { expect, test } from 'vitest'
import { Metadata, status, type ServiceError } from '@grpc/grpc-js'
import { Metrics } from '@lagoonswitch/common'
import { EvidenceRecord } from '@lagoonswitch/schema'
import type { PeerChannels } from '@lagoonswitch/transport'
import type { RaftGroup } from '../raft/RaftGroup.js'
import { EvidenceRouter } from './EvidenceRouter.js'
import type { MoveController } from './MoveController.js'

/** A bad version may get calls for 5 s after its last permitted failure. */
const MAX_WAIT_MS = 2_500

test('evidence that the leader does not take in time is dropped with its connection', async () => {
  const now = Date.now()
  let deadline = Infinity
  let closed = ''
  const client = {
    report: (_request: unknown, _metadata: Metadata, options: { deadline: number }, callback: (error: ServiceError) => void) => {
      deadline = options.deadline
      callback(Object.assign(new Error('late'), { code: status.DEADLINE_EXCEEDED, details: '', metadata: new Metadata() }))
    }
  }
  const channels = { getClient: () => client, closeClient: (_service: unknown, address: string) => { closed = address } }
  const group = { role: 'follower', getStatus: () => ({ leaderAddress: 'a:1' }) }
  const metrics = new Metrics()
  const router = new EvidenceRouter(
    group as unknown as RaftGroup, {} as MoveController, channels as unknown as PeerChannels, metrics)
  router.forwardEvidence([EvidenceRecord.fromPartial({ service: 'desk' })])
  await new Promise(resolve => setImmediate(resolve))
  expect(deadline - now).toBeLessThan(MAX_WAIT_MS)
  expect(closed).toBe('a:1')
  expect(await metrics.format()).toMatch(/evidence_dropped_total\{reason="leader-unreachable"\} 1/)
})
