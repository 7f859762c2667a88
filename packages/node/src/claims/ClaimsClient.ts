/**
 * Client for claiming idempotency keys at the control VMs before a call is sent to a target.
 */
import { createHash, randomUUID } from 'node:crypto'
import {
  ClaimOutcome, ClaimReply, ClaimStatus, ClaimsCommand, type RecordedAnswer
} from '@lagoonswitch/schema'
import type { LeaderClient } from '@lagoonswitch/transport'

const SETTLE_TIMEOUT_MS = 30_000
/** Time after the deadline of a call during which its claim still counts as in progress. */
const LEASE_MARGIN_MS = 2_000

/** A granted claim, or what is known of the key when the claim was not granted. */
export type ClaimResult =
  | { readonly kind: 'granted', readonly claim: IClaim }
  | { readonly kind: 'answered', readonly answer: RecordedAnswer | undefined }
  | { readonly kind: 'in-progress' | 'unknown' | 'mismatch' | 'full' | 'no-quorum' }

/** A granted claim of a key; it must be settled exactly once. */
export interface IClaim {
  readonly group: string
  readonly key: string
  readonly token: string
}

/** Claims keys and settles claims. */
export class ClaimsClient {
  private _unsettledCount = 0

  /**
   * @param _leaderClient - finds the leader of a shard
   * @param _shards - number of shards; the same in every process
   */
  constructor (private readonly _leaderClient: LeaderClient, private readonly _shards: number) {}

  /** Number of outcomes that are not recorded yet. */
  get unsettledCount (): number {
    return this._unsettledCount
  }

  /**
   * Claims a key. The call may be sent to a target only if the claim is granted.
   * @param scope - service, route and account, within which an idempotency key is unique
   * @param key - idempotency key from the caller
   * @param fingerprint - hash of the request
   * @param remainingMs - time left for the call in milliseconds
   * @returns the claim, or what is known of the key
   */
  async claim (scope: string, key: string, fingerprint: Buffer, remainingMs: number): Promise<ClaimResult> {
    const scopedKey = `${scope}\n${key}`
    const claim: IClaim = { group: this._findGroup(scopedKey), key: scopedKey, token: randomUUID() }
    const command = ClaimsCommand.encode({
      nowMs: 0,
      command: {
        $case: 'claim',
        value: { key: scopedKey, token: claim.token, fingerprint, leaseMs: Math.ceil(remainingMs) + LEASE_MARGIN_MS }
      }
    }).finish()
    const result = await this._leaderClient.propose(claim.group, command, remainingMs)
    if (result.err) {
      // The command may still be committed later; releasing the claim prevents it from blocking the key.
      if (result.val.indeterminate) void this.settle(claim, ClaimStatus.CLAIM_STATUS_RELEASED, undefined)
      return { kind: 'no-quorum' }
    }
    return toClaimResult(ClaimReply.decode(result.val), claim)
  }

  /**
   * Records how a claimed call ended.
   * @param claim - from {@link claim}
   * @param status - answered, unknown, or released when nothing was run
   * @param answer - replayed to later calls with the same key; undefined unless answered
   * @returns true when the outcome has been recorded
   */
  async settle (claim: IClaim, status: ClaimStatus, answer: RecordedAnswer | undefined): Promise<boolean> {
    const command = ClaimsCommand.encode({
      nowMs: 0,
      command: { $case: 'settle', value: { key: claim.key, token: claim.token, status, answer } }
    }).finish()
    this._unsettledCount++
    try {
      const result = await this._leaderClient.propose(claim.group, command, SETTLE_TIMEOUT_MS)
      return result.ok
    } finally {
      this._unsettledCount--
    }
  }

  private _findGroup (key: string): string {
    const hash = createHash('sha256').update(key).digest()
    return `claims-${hash.readUInt32LE(0) % this._shards}`
  }
}

function toClaimResult (reply: ClaimReply, claim: IClaim): ClaimResult {
  switch (reply.outcome) {
    case ClaimOutcome.CLAIM_OUTCOME_GRANTED: return { kind: 'granted', claim }
    case ClaimOutcome.CLAIM_OUTCOME_ANSWERED: return { kind: 'answered', answer: reply.answer }
    case ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS: return { kind: 'in-progress' }
    case ClaimOutcome.CLAIM_OUTCOME_UNKNOWN: return { kind: 'unknown' }
    case ClaimOutcome.CLAIM_OUTCOME_MISMATCH: return { kind: 'mismatch' }
    case ClaimOutcome.CLAIM_OUTCOME_FULL: return { kind: 'full' }
    default: return { kind: 'no-quorum' }
  }
}
