/**
 * The key that a call holds, and the answer that is recorded with it.
 */
import { ClaimStatus } from '@lagoonswitch/schema'
import type { ClaimsClient, IClaim } from './ClaimsClient.js'

const NO_BYTES = Buffer.alloc(0)

/** Settles a claim once, in whichever way its call ends. */
export class KeyHolder {
  private _claim: IClaim | undefined
  private _head: { status: number, headers: readonly string[] } | undefined
  private _chunks: Buffer[] = []
  private _bytes = 0

  /**
   * @param _claims - settles claims
   * @param _answerBytes - largest body that is recorded
   */
  constructor (private readonly _claims: ClaimsClient, private readonly _answerBytes: number) {}

  /** True from the grant of a key until it is settled. */
  get isHeld (): boolean {
    return this._claim !== undefined
  }

  /** @param claim - granted to this call */
  hold (claim: IClaim): void {
    this._claim = claim
  }

  /** Starts to record an answer. */
  recordHead (status: number, headers: readonly string[]): void {
    if (this._claim !== undefined) this._head = { status, headers }
  }

  /** Records a part of the answer; a body beyond the limit is not kept. */
  recordChunk (chunk: Buffer): void {
    if (this._head === undefined) return
    this._bytes += chunk.length
    if (this._bytes <= this._answerBytes) this._chunks.push(chunk)
  }

  /** Settles the claim with the recorded answer. */
  settleAnswered (): void {
    if (this._head === undefined) return
    const body = this._bytes <= this._answerBytes ? Buffer.concat(this._chunks) : NO_BYTES
    this._settle(ClaimStatus.CLAIM_STATUS_ANSWERED, { ...this._head, body })
  }

  /** Settles the claim of a call that may have run. */
  settleUnknown (): void {
    this._settle(ClaimStatus.CLAIM_STATUS_UNKNOWN)
  }

  /** Frees the key of a call that was certainly not run. */
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
