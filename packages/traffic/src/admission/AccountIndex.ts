/**
 * Client accounts of one version of the catalogue by the digests of their keys.
 */
import type { IAccount } from '@lagoonswitch/schema'

/** Finds accounts by digest; built once per version of the catalogue and read by every call. */
export class AccountIndex {
  private readonly _byDigest = new Map<string, IAccount>()

  /** @param accounts - accounts of the version by name; no two have a key in common */
  constructor (accounts: ReadonlyMap<string, IAccount>) {
    for (const account of accounts.values()) {
      for (const digest of account.key_digests) this._byDigest.set(digest, account)
    }
    this.size = accounts.size
  }

  /** Number of accounts; without any, calls need no key. */
  readonly size: number

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
