/**
 * Passes the evidence that nodes report to this control VM on to the leader, which decides about moves.
 */
import type { Metrics } from '@lagoonswitch/common'
import { ControlClient, type EvidenceRecord } from '@lagoonswitch/schema'
import type { PeerChannels } from '@lagoonswitch/transport'
import type { MoveController } from './MoveController.js'
import type { RaftGroup } from '../raft/RaftGroup.js'

/** Routes evidence by the current leader of the catalogue. */
export class EvidenceRouter {
  /**
   * @param _group - group of the catalogue
   * @param _moves - receives the evidence while this process leads
   * @param _channels - connections to the other control VMs
   * @param _metrics - counts evidence that reaches no leader
   */
  constructor (
    private readonly _group: RaftGroup,
    private readonly _moves: MoveController,
    private readonly _channels: PeerChannels,
    private readonly _metrics: Metrics
  ) {}

  /**
   * Hands evidence to the leader; it is lost if none can be reached.
   * @param records - outcomes of calls
   */
  forwardEvidence (records: readonly EvidenceRecord[]): void {
    if (this._group.role === 'leader') {
      this._moves.addEvidence(records)
      return
    }
    const { leaderAddress } = this._group.getStatus()
    if (leaderAddress === '') {
      this._metrics.count('evidence_dropped_total', 'no-leader', records.length)
      return
    }
    this._channels.getClient(ControlClient, leaderAddress).report({ records: [...records] }, error => {
      if (error !== null) this._metrics.count('evidence_dropped_total', 'leader-unreachable', records.length)
    })
  }
}
