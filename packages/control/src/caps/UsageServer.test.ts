/**
 * Answers of control VMs on usage caps by whether they lead.
 */
import { expect, test } from 'vitest'
import { Emitter, ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { CatalogueStore } from '@lagoonswitch/feed'
import { parseSettings, type UsageReply } from '@lagoonswitch/schema'
import type { RaftRole } from '../raft/RaftTypes.js'
import { UsageServer, type LeadingGroup } from './UsageServer.js'

const SETTINGS = '[process]\nname = c1\nregion = r1\navailability_zone = z1\n[control]\nmembers = c1=127.0.0.1:1\nelection_timeout = 1s\n'

// Guards against two leaders that both grant: one that is cut off from its quorum doesn't know of the other.
test('control VM grants only while it surely leads', () => {
  const settings = parseSettings(SETTINGS, 'c1.ini')
  if (settings.err) throw new Error(settings.val.join('\n'))
  const onRoleChanged = new Emitter<RaftRole>()
  const group = { isReadyLeader: false, contactAgeMs: 0, onRoleChanged: onRoleChanged.event, getStatus: () => ({ term: 3, leaderAddress: 'c2:1' }) }
  const server = new UsageServer({
    settings: settings.val,
    clock: new ManualClock(),
    log: new NullLog(),
    metrics: new Metrics(),
    store: new CatalogueStore(),
    group: group as unknown as LeadingGroup
  })
  const send = (): UsageReply => server.handleRequest({ node: 'n1', incarnation: 1, intervalMs: 0, accounts: [] })
  expect(send()).toMatchObject({ leads: false, leaderAddress: 'c2:1' })
  onRoleChanged.fire('leader')
  expect(send().leads).toBe(false)
  group.isReadyLeader = true
  expect(send()).toMatchObject({ leads: true, epoch: 3 })
  group.contactAgeMs = 900
  expect(send()).toMatchObject({ leads: false, leaderAddress: '' })
  group.contactAgeMs = 0
  onRoleChanged.fire('follower')
  expect(send().leads).toBe(false)
})
