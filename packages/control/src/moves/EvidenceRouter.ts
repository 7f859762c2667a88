/**
 * Passes the evidence that nodes report to this control VM on to the leader, which decides about moves.
 */
import type { Metrics } from '@lagoonswitch/common'
import { ControlClient, type Evidence, type EvidenceRecord, type ReportReply } from '@lagoonswitch/schema'
import { isTimeout, sendUnary, type IPeerChannels } from '@lagoonswitch/transport'
import type { MoveController } from './MoveController.js'
import type { RaftGroup } from '../raft/RaftGroup.js'

/** Time after which a connection to the leader counts as dead; several of the intervals at which evidence comes. */
const REPORT_TIMEOUT_MS = 1_000

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
    private readonly _channels: IPeerChannels,
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
    void this._report(leaderAddress, records)
  }

  private async _report (leaderAddress: string, records: readonly EvidenceRecord[]): Promise<void> {
    const client = this._channels.getClient(ControlClient, leaderAddress)
    try {
      await sendUnary<Evidence, ReportReply>(client.report.bind(client), { records: [...records] }, REPORT_TIMEOUT_MS)
    } catch (error) {
      this._metrics.count('evidence_dropped_total', 'leader-unreachable', records.length)
      if (isTimeout(error)) this._channels.closeClient(ControlClient, leaderAddress)
    }
  }
}
