/**
 * Decides whether a call may run, by the client accounts of the catalogue.
 */
import type { CallClassName } from '@lagoonswitch/schema'
import type { AccountIndex } from './AccountIndex.js'

/** Key of a call, as far as it was stated. */
export type CallKey =
  { readonly kind: 'none' } |
  /** More than one key, of which none can be preferred. */
  { readonly kind: 'ambiguous' } |
  { readonly kind: 'digest', readonly digest: string }

/**
 * Relation of a call to a call that a target of this VM runs: `none` for the call of a client, `running` if the stated call runs or ran
 * a moment ago, `unknown` if no such call is known.
 */
export type ParentState = 'none' | 'running' | 'unknown'

/** What a decision depends on. */
export interface IAuthorizationRequest {
  readonly accounts: AccountIndex
  readonly key: CallKey
  /** True if the route needs no key. */
  readonly isAnonymousRoute: boolean
  readonly parent: ParentState
  /** True if this process knows all calls that targets run now; false for some seconds after its start. */
  readonly areRunsKnown: boolean
  /** True if no newer catalogue can be in force. */
  readonly isCatalogueCurrent: boolean
}

/** Why a call was not admitted. */
export type AuthorizationRefusal = 'credentials-missing' | 'credentials-unknown' | 'accounts-not-current' | 'parent-unknown'

/** An admitted call. */
export interface IAuthorization {
  readonly kind: 'account' | 'nested' | 'anonymous'
  /** Name of the account; empty for a call without one. */
  readonly account: string
  /** Class of the account; undefined if it states none. */
  readonly callClass: CallClassName | undefined
  /** Digest of the key; empty for a call without one. */
  readonly keyDigest: string
  /** True if a target makes the call while it runs another one. */
  readonly isNested: boolean
}

export type AuthorizationDecision = IAuthorization | { readonly kind: 'refused', readonly reason: AuthorizationRefusal }

/**
 * Decides on one call of a catalogue that has accounts. A key that is stated must be valid on every route; a call without a key must be
 * made by a target that runs another call, or be on an anonymous route.
 * @param request - the call, and what is known of the catalogue
 * @returns the account and its class, or why the call is refused
 */
export function authorizeCall (request: IAuthorizationRequest): AuthorizationDecision {
  const { accounts, key, isAnonymousRoute, parent, areRunsKnown, isCatalogueCurrent } = request
  const isNested = parent === 'running'
  const refuse = (reason: AuthorizationRefusal): AuthorizationDecision =>
    ({ kind: 'refused', reason: isCatalogueCurrent ? reason : 'accounts-not-current' })
  if (key.kind === 'ambiguous') return refuse('credentials-unknown')
  if (key.kind === 'digest') {
    const account = accounts.findAccount(key.digest)
    if (account === undefined) return refuse('credentials-unknown')
    return { kind: 'account', account: account.account, callClass: account.class, keyDigest: key.digest, isNested }
  }
  if (isNested) return { kind: 'nested', account: '', callClass: undefined, keyDigest: '', isNested }
  if (isAnonymousRoute) return { kind: 'anonymous', account: '', callClass: undefined, keyDigest: '', isNested }
  if (parent === 'unknown' && !areRunsKnown) return refuse('parent-unknown')
  return refuse('credentials-missing')
}
