/**
 * Header conventions of callers and targets: how the metadata of a call is read from and written to HTTP headers.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok, type Result } from '@lagoonswitch/common'
import type { CallClass } from '@lagoonswitch/schema'
import { readBearerKey } from './BearerKey.js'
import { findClass } from '../routing/RouteTable.js'
import type { CallKey } from '@lagoonswitch/traffic'
import { ACCOUNT_HEADER, AUTHORIZATION_HEADER, CLASS_HEADER, DEADLINE_HEADER, DEPTH_HEADER, KEY_HEADER, REPEAT_HEADER } from './Headers.js'

const MS_PER_SECOND = 1_000

/** Metadata that a caller states in the headers of its request. */
export interface ICallMetadata {
  /** ID of the caller's attempt; empty when it gave none. */
  readonly callId: string
  /** Time that the caller is willing to wait, in milliseconds; undefined when not stated. */
  readonly wishedMs: number | undefined
  /** Class requested by the caller; it can only lower the class of the route. */
  readonly callClass: CallClass | undefined
  /** Number of calls above this one in a call chain. */
  readonly depth: number
  /** True when a target makes the call while it is running another one, which holds a slot meanwhile. */
  readonly isAwaited: boolean
  /** ID of the call whose target makes this one; empty when there is none or it is not stated. */
  readonly parentId: string
  /** True when the caller states that it is itself running a repeat. */
  readonly isOfRepeat: boolean
  /** Idempotency key; empty when not stated. */
  readonly key: string
}

/** Metadata that is sent to the target with an attempt. */
export interface ITargetMetadata {
  readonly remainingMs: number
  readonly targetId: string
  /** True when a target has received the call before, or when a repeated run makes it. */
  readonly isRepeat: boolean
}

/** Metadata that a target states in the headers of its response. */
export interface IResponseMetadata {
  /** True when the target states that it has not run the request. */
  readonly isNotRun: boolean
  /** ID of the call that the response belongs to; undefined when the target does not echo it. */
  readonly callId: string | undefined
}

/** Reads and writes the metadata of calls. */
export abstract class CallDialect {
  /** Header names in lower case that are set by the node alone and never forwarded from callers. */
  abstract readonly reservedHeaders: ReadonlySet<string>

  /** Name in lower case of the header that tells the target the account of a call. */
  protected abstract readonly accountHeader: string

  /** Lists the headers in lower case that only the node sets, or that only it reads, while the catalogue has client accounts. */
  get accountHeaders (): readonly string[] {
    return [AUTHORIZATION_HEADER, this.accountHeader]
  }

  /**
   * Reads the key of a client account.
   * @param rawHeaders - alternating names and values of the request
   * @returns digest of the key, or that there is none or more than one
   */
  readKey (rawHeaders: readonly string[]): CallKey {
    return readBearerKey(rawHeaders)
  }

  /**
   * Lists the headers that tell the target the account of a call.
   * @param account - name of the account; empty for a call without one
   * @returns alternating names and values
   */
  formatAccountHeaders (account: string): string[] {
    return account === '' ? [] : [this.accountHeader, account]
  }

  /**
   * Reads the call ID.
   * @param headers - of the request
   * @returns ID of the caller's attempt; empty when it gave none
   */
  abstract readCallId (headers: IncomingHttpHeaders): string

  /**
   * Reads the metadata of a call.
   * @param headers - of the request
   * @returns the metadata, or a description of the invalid header
   */
  abstract readCallMetadata (headers: IncomingHttpHeaders): Result<ICallMetadata, string>

  /**
   * Lists headers that the node of the caller adds.
   * @param metadata - of the call
   * @param callerService - service on whose VM the call originated
   * @returns alternating names and values
   */
  abstract formatForwardHeaders (metadata: ICallMetadata, callerService: string): string[]

  /**
   * Lists headers that the node of the target adds.
   * @param metadata - of the attempt
   * @returns alternating names and values
   */
  abstract formatTargetHeaders (metadata: ITargetMetadata): string[]

  /**
   * Reads the metadata of a response.
   * @param status - HTTP status
   * @param headers - of the response
   */
  abstract readResponseMetadata (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): IResponseMetadata

  /**
   * Formats a retry delay.
   * @param delayMs - time after which a refused caller may retry, in milliseconds
   * @returns value of the Retry-After header
   */
  abstract formatRetryAfter (delayMs: number): string
}

/** The headers of lagoonswitch itself. */
export class LagoonDialect extends CallDialect {
  readonly reservedHeaders = new Set([DEADLINE_HEADER, DEPTH_HEADER, CLASS_HEADER, REPEAT_HEADER])
  protected readonly accountHeader = ACCOUNT_HEADER

  readCallId (): string {
    return ''
  }

  readCallMetadata (headers: IncomingHttpHeaders): Result<ICallMetadata, string> {
    const wishedMs = readNumber(headers[DEADLINE_HEADER])
    if (headers[DEADLINE_HEADER] !== undefined && wishedMs === undefined) {
      return Err(`${DEADLINE_HEADER} must be a whole number of milliseconds`)
    }
    const classHeader = headers[CLASS_HEADER]
    const callClass = classHeader === undefined ? undefined : findClass(String(classHeader))
    if (classHeader !== undefined && callClass === undefined) return Err(`${CLASS_HEADER} is unknown`)
    const key = headers[KEY_HEADER]
    return Ok({
      callId: '',
      wishedMs,
      callClass,
      depth: readNumber(headers[DEPTH_HEADER]) ?? 0,
      // Any caller can set the depth header, so it must not raise the call to the first class.
      isAwaited: false,
      parentId: '',
      isOfRepeat: headers[REPEAT_HEADER] !== undefined,
      key: typeof key === 'string' ? key : ''
    })
  }

  formatForwardHeaders (metadata: ICallMetadata): string[] {
    return [DEPTH_HEADER, String(metadata.depth + 1)]
  }

  formatTargetHeaders (metadata: ITargetMetadata): string[] {
    const repeat = metadata.isRepeat ? [REPEAT_HEADER, 'true'] : []
    return [DEADLINE_HEADER, String(metadata.remainingMs), ...repeat]
  }

  readResponseMetadata (): IResponseMetadata {
    return { isNotRun: false, callId: undefined }
  }

  formatRetryAfter (delayMs: number): string {
    return String(Math.ceil(delayMs / MS_PER_SECOND))
  }
}

function readNumber (value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : undefined
}
