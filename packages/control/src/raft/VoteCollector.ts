/**
 * Collects the votes of a group for one candidate.
 */
import { waitAtMost } from '@lagoonswitch/common'
import type { Member, VoteRequest } from '@lagoonswitch/schema'
import { computeQuorum } from './Quorum.js'
import type { IRaftOptions } from './RaftTypes.js'
import type { Replica } from './Replica.js'

/** Part of a heartbeat after which a voter is asked again, at least; a random part is added, so that candidates don't keep colliding. */
const MIN_RETRY_FRACTION = 0.5

type Question = Omit<VoteRequest, 'toReplica'>

/** Asks the voters until enough of them have granted their vote. */
export class VoteCollector {
  /**
   * @param _options - of the group
   * @param _replica - state of the candidate
   * @param _isCandidate - false once the campaign is over
   * @param _onHigherTerm - called when a voter is in a higher term
   */
  constructor (
    private readonly _options: IRaftOptions,
    private readonly _replica: Replica,
    private readonly _isCandidate: () => boolean,
    private readonly _onHigherTerm: (term: number) => void
  ) {}

  /**
   * Collects votes for at most an election timeout.
   * @param term - term of the candidate
   * @param preVote - true if the voters are only asked whether they would grant their vote
   * @returns true if a quorum has granted them
   */
  async collect (term: number, preVote: boolean): Promise<boolean> {
    const { clock, electionTimeoutMs, group } = this._options
    const { replicaId, log, voters } = this._replica
    const question: Question = { group, term, candidate: replicaId, lastIndex: log.lastIndex, lastTerm: log.lastTerm, preVote }
    const quorum = computeQuorum(voters.length)
    let granted = 1
    let pending = voters.length - 1
    if (granted >= quorum) return true
    const ended = new AbortController()
    const endMs = clock.readMonotonicMs() + electionTimeoutMs
    return await new Promise<boolean>(resolve => {
      for (const voter of voters) {
        if (voter.replicaId === replicaId) continue
        void this._requestVote(voter, question, endMs, ended.signal).then(isGranted => {
          if (isGranted) granted++
          pending--
          if (granted >= quorum) resolve(true)
          else if (granted + pending < quorum) resolve(false)
        })
      }
    }).finally(() => ended.abort())
  }

  /**
   * Asks a voter again while its answer is lost, and while it refuses a pre-vote, as it may only be still in contact with a leader that
   * is gone.
   */
  private async _requestVote (voter: Member, question: Question, endMs: number, ended: AbortSignal): Promise<boolean> {
    const { clock, heartbeatMs, random, transport } = this._options
    while (!ended.aborted && this._isCandidate() && clock.readMonotonicMs() < endMs) {
      try {
        const vote = transport.sendVote(voter.address, { ...question, toReplica: voter.replicaId })
        const reply = await waitAtMost(clock, endMs - clock.readMonotonicMs(), vote)
        if (reply.granted) return true
        if (reply.term > this._replica.term) this._onHigherTerm(reply.term)
        else if (!question.preVote) return false
      } catch {
        // The answer is lost; a voter grants the same candidate its vote again.
      }
      await clock.sleep(heartbeatMs * (MIN_RETRY_FRACTION + random.draw()), ended)
    }
    return false
  }
}
