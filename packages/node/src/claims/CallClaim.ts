/**
 * The idempotency key claim of one call, and the answer that is recorded with it.
 */
import { ClaimStatus } from '@lagoonswitch/schema'
import type { ClaimsClient, IClaim } from './ClaimsClient.js'

const NO_BYTES = Buffer.alloc(0)

/** Holds the claim of a call and settles it exactly once, however the call ends. */
export class CallClaim {
  private _claim: IClaim | undefined
  private _answerHead: { status: number, headers: readonly string[] } | undefined
  private _chunks: Buffer[] = []
  private _bodyBytes = 0

  /**
   * @param _claims - settles claims
   * @param _maxAnswerBytes - largest response body that is recorded
   */
  constructor (private readonly _claims: ClaimsClient, private readonly _maxAnswerBytes: number) {}

  /** True from the grant of the claim until it is settled. */
  get isHeld (): boolean {
    return this._claim !== undefined
  }

  /**
   * Takes over a granted claim.
   * @param claim - granted to this call
   */
  hold (claim: IClaim): void {
    this._claim = claim
  }

  /** Starts to record the answer, if a claim is held. */
  recordHead (status: number, headers: readonly string[]): void {
    if (this._claim !== undefined) this._answerHead = { status, headers }
  }

  /** Records a part of the answer body; if the body exceeds the limit, the answer is recorded without it. */
  recordChunk (chunk: Buffer): void {
    if (this._answerHead === undefined) return
    this._bodyBytes += chunk.length
    if (this._bodyBytes <= this._maxAnswerBytes) this._chunks.push(chunk)
  }

  /** Settles the claim as answered, with the recorded answer. */
  settleAnswered (): void {
    if (this._answerHead === undefined) return
    const body = this._bodyBytes <= this._maxAnswerBytes ? Buffer.concat(this._chunks) : NO_BYTES
    this._settle(ClaimStatus.CLAIM_STATUS_ANSWERED, { ...this._answerHead, body })
  }

  /** Settles the claim as unknown, for a call that may have run. */
  settleUnknown (): void {
    this._settle(ClaimStatus.CLAIM_STATUS_UNKNOWN)
  }

  /** Releases the claim of a call that was certainly not run, which frees its key. */
  settleReleased (): void {
    this._settle(ClaimStatus.CLAIM_STATUS_RELEASED)
  }

  private _settle (status: ClaimStatus, answer?: { status: number, headers: readonly string[], body: Buffer }): void {
    if (this._claim === undefined) return
    const recorded = answer === undefined ? undefined : { ...answer, headers: [...answer.headers] }
    void this._claims.settle(this._claim, status, recorded)
    this._claim = undefined
  }
}
