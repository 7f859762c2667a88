/**
 * Replicated claims of the idempotency keys of one shard.
 */
import {
  ClaimOutcome, ClaimReply, ClaimStatus, ClaimsCommand, ClaimsSnapshot,
  type ClaimCommand, type ClaimRecord, type SettleCommand
} from '@lagoonswitch/schema'
import { StateMachine, decodeCommand } from '../raft/StateMachine.js'

/** Lease stored with a release that overtook its claim; no decision about a released key reads it. */
const RELEASED_LEASE_MS = 600_000

/** Limits of one shard. */
export interface IClaimsLimits {
  /** Time after which a key may be used again, in milliseconds. */
  readonly retentionMs: number
  /** Maximum number of keys. */
  readonly capacity: number
}

/**
 * State machine of a claim shard. A key is granted to one token; no other token is granted the same
 * key until its retention is over, unless the holder reports that nothing was run.
 */
export class ClaimsStateMachine extends StateMachine {
  /** In the order of the claims, so that expired records come first. */
  private readonly _records = new Map<string, ClaimRecord>()
  private _nowMs = 0

  constructor (private readonly _limits: IClaimsLimits) {
    super()
  }

  /** @returns number of stored keys */
  getSize (): number {
    return this._records.size
  }

  apply (bytes: Uint8Array): Uint8Array {
    const decoded = decodeCommand(data => ClaimsCommand.decode(data), bytes)
    const command = decoded?.command
    this._nowMs = Math.max(this._nowMs, decoded?.nowMs ?? 0)
    this._removeExpired()
    switch (command?.$case) {
      case 'claim': return ClaimReply.encode(this._applyClaim(command.value)).finish()
      case 'settle': return ClaimReply.encode(this._applySettle(command.value)).finish()
      default: return ClaimReply.encode(createReply(ClaimOutcome.CLAIM_OUTCOME_UNSPECIFIED)).finish()
    }
  }

  takeSnapshot (): Uint8Array {
    return ClaimsSnapshot.encode({ nowMs: this._nowMs, records: [...this._records.values()] }).finish()
  }

  restoreSnapshot (state: Uint8Array): void {
    const snapshot = ClaimsSnapshot.decode(state)
    this._nowMs = snapshot.nowMs
    this._records.clear()
    for (const record of snapshot.records) this._records.set(record.key, record)
  }

  private _applyClaim (claim: ClaimCommand): ClaimReply {
    const known = this._records.get(claim.key)
    if (known === undefined) {
      if (this._records.size >= this._limits.capacity) return createReply(ClaimOutcome.CLAIM_OUTCOME_FULL)
      return this._grant(claim)
    }
    if (known.status === ClaimStatus.CLAIM_STATUS_RELEASED) {
      if (known.token === claim.token) return createReply(ClaimOutcome.CLAIM_OUTCOME_RELEASED)
      return this._grant(claim)
    }
    if (!known.fingerprint.equals(claim.fingerprint)) return createReply(ClaimOutcome.CLAIM_OUTCOME_MISMATCH)
    if (known.status === ClaimStatus.CLAIM_STATUS_ANSWERED) {
      return { outcome: ClaimOutcome.CLAIM_OUTCOME_ANSWERED, answer: known.answer }
    }
    if (known.status === ClaimStatus.CLAIM_STATUS_UNKNOWN) return createReply(ClaimOutcome.CLAIM_OUTCOME_UNKNOWN)
    if (known.token === claim.token) return createReply(ClaimOutcome.CLAIM_OUTCOME_GRANTED)
    const isLeaseExpired = this._nowMs > known.leaseUntilMs
    return createReply(isLeaseExpired ? ClaimOutcome.CLAIM_OUTCOME_UNKNOWN : ClaimOutcome.CLAIM_OUTCOME_IN_PROGRESS)
  }

  private _grant (claim: ClaimCommand): ClaimReply {
    this._records.delete(claim.key)
    this._records.set(claim.key, {
      key: claim.key,
      token: claim.token,
      fingerprint: claim.fingerprint,
      status: ClaimStatus.CLAIM_STATUS_IN_PROGRESS,
      claimedMs: this._nowMs,
      leaseUntilMs: this._nowMs + claim.leaseMs,
      answer: undefined
    })
    return createReply(ClaimOutcome.CLAIM_OUTCOME_GRANTED)
  }

  private _applySettle (settle: SettleCommand): ClaimReply {
    const known = this._records.get(settle.key)
    if (known === undefined) {
      if (settle.status === ClaimStatus.CLAIM_STATUS_RELEASED) this._blockLateClaim(settle)
      return createReply(ClaimOutcome.CLAIM_OUTCOME_SETTLED)
    }
    const isOpen = known.status === ClaimStatus.CLAIM_STATUS_IN_PROGRESS
    if (known.token !== settle.token || !isOpen) return createReply(ClaimOutcome.CLAIM_OUTCOME_MISMATCH)
    this._records.set(settle.key, { ...known, status: settle.status, answer: settle.answer })
    return createReply(ClaimOutcome.CLAIM_OUTCOME_SETTLED)
  }

  /** Records a release that overtook its claim, so that the claim is not granted when it arrives. */
  private _blockLateClaim (settle: SettleCommand): void {
    this._records.set(settle.key, {
      key: settle.key,
      token: settle.token,
      fingerprint: Buffer.alloc(0),
      status: ClaimStatus.CLAIM_STATUS_RELEASED,
      claimedMs: this._nowMs,
      leaseUntilMs: this._nowMs + RELEASED_LEASE_MS,
      answer: undefined
    })
  }

  private _removeExpired (): void {
    for (const [key, record] of this._records) {
      if (record.claimedMs + this._limits.retentionMs > this._nowMs) return
      this._records.delete(key)
    }
  }
}

function createReply (outcome: ClaimOutcome): ClaimReply {
  return { outcome, answer: undefined }
}
