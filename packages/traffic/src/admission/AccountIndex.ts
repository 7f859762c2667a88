/**
 * Client accounts of one version of the catalogue by the digests of their keys.
 */
import type { IAccount } from '@lagoonswitch/schema'

/** Finds accounts by digest; built once per version of the catalogue and read by every call. */
export class AccountIndex {
  private readonly _byDigest = new Map<string, IAccount>()
  private readonly _meanRate: number

  /** @param accounts - accounts of the version by name; no two have a key in common */
  constructor (private readonly _accounts: ReadonlyMap<string, IAccount>) {
    for (const account of _accounts.values()) {
      for (const digest of account.key_digests) this._byDigest.set(digest, account)
    }
    this.size = _accounts.size
    const rates = [..._accounts.values()].flatMap(({ rate = 0 }) => rate > 0 ? [rate] : [])
    this._meanRate = rates.length === 0 ? 0 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length
  }

  /** Number of accounts; without any, calls need no key. */
  readonly size: number

  /**
   * Weighs an account by its declared rate.
   * @param name - of the account; empty for calls without one
   * @returns its rate relative to the mean of the declared rates, 1 if it has none, or undefined if no account has one
   */
  findWeight (name: string): number | undefined {
    if (this._meanRate === 0) return undefined
    const { rate = 0 } = this._accounts.get(name) ?? {}
    return rate > 0 ? rate / this._meanRate : 1
  }

  /**
   * @param digest - SHA-256 digest of a key in hexadecimal digits
   * @returns the account that holds the key
   */
  findAccount (digest: string): IAccount | undefined {
    return this._byDigest.get(digest)
  }

  /**
   * Tells whether a call that was admitted may still be sent to a target.
   * @param digest - digest of its key; empty for a call that was admitted without one
   * @returns false if the key has been withdrawn since
   */
  isHeld (digest: string): boolean {
    return digest === '' || this.size === 0 || this._byDigest.has(digest)
  }
}
