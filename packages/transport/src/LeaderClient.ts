/**
 * Finds the leader of a Raft group among the control VMs and proposes commands to it.
 */
import {
  Err, NoQuorumError, Ok, type IClock, type Result
} from '@lagoonswitch/common'
import { ControlClient, type ProposeReply, type ProposeRequest } from '@lagoonswitch/schema'
import type { IPeerChannels } from './PeerChannels.js'
import { isTimeout, sendUnary } from './Unary.js'

const ATTEMPT_TIMEOUT_MS = 2_000
const RETRY_DELAY_MS = 50

/** Proposes commands and caches the address of the leader of each group. */
export class LeaderClient {
  private readonly _leaders = new Map<string, string>()
  private _nextIndex = 0

  /**
   * @param _channels - channels to the control VMs
   * @param _clock - source of time
   * @param _listAddresses - peer addresses of the control VMs
   */
  constructor (
    private readonly _channels: IPeerChannels,
    private readonly _clock: IClock,
    private readonly _listAddresses: () => readonly string[]
  ) {}

  /**
   * Proposes a command that is safe to send more than once.
   * @param group - name of the group
   * @param command - encoded command; the leader sets its time
   * @param timeoutMs - timeout over all attempts in milliseconds
   * @param attemptTimeoutMs - timeout of one attempt in milliseconds
   * @returns the result of the state machine, or an error, which is indeterminate when the command may have taken effect
   */
  async propose (
    group: string, command: Uint8Array, timeoutMs: number, attemptTimeoutMs = ATTEMPT_TIMEOUT_MS
  ): Promise<Result<Uint8Array, NoQuorumError>> {
    const endMs = this._clock.readMonotonicMs() + timeoutMs
    let indeterminate = false
    for (;;) {
      const remainingMs = endMs - this._clock.readMonotonicMs()
      if (remainingMs <= 0) return Err(new NoQuorumError(indeterminate))
      const reply = await this._sendOnce(group, command, Math.min(remainingMs, attemptTimeoutMs))
      if (reply?.committed === true) return Ok(reply.result)
      if (reply === undefined || reply.indeterminate) indeterminate = true
      await this._clock.sleep(Math.min(RETRY_DELAY_MS, remainingMs))
    }
  }

  private async _sendOnce (group: string, command: Uint8Array, timeoutMs: number): Promise<ProposeReply | undefined> {
    const address = this._leaders.get(group) ?? this._pickNext()
    try {
      const client = this._channels.getClient(ControlClient, address)
      const reply = await sendUnary<ProposeRequest, ProposeReply>(
        client.propose.bind(client), { group, command: command as Buffer }, timeoutMs)
      if (reply.committed) this._leaders.set(group, address)
      else if (reply.leaderAddress !== '') this._leaders.set(group, reply.leaderAddress)
      else this._leaders.delete(group)
      return reply
    } catch (error) {
      this._leaders.delete(group)
      if (isTimeout(error)) this._channels.closeClient(ControlClient, address)
      return undefined
    }
  }

  private _pickNext (): string {
    const addresses = this._listAddresses()
    this._nextIndex = (this._nextIndex + 1) % Math.max(1, addresses.length)
    return addresses[this._nextIndex] ?? ''
  }
}
