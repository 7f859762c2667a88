/**
 * How callers and targets name the terms of a call in headers; one per protocol that is spoken.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok, type Result } from '@lagoonswitch/common'
import type { CallClass } from '@lagoonswitch/schema'
import { findClass } from '../routing/RouteTable.js'
import { CLASS_HEADER, DEADLINE_HEADER, DEPTH_HEADER, KEY_HEADER, REPEAT_HEADER } from './Headers.js'

const MS_PER_SECOND = 1_000

/** What a caller says of its call. */
export interface ICallMetadata {
  /** Identity of this attempt of the caller; empty when it gave none. */
  readonly callId: string
  /** Time that the caller will wait, in milliseconds. */
  readonly wishedMs: number | undefined
  /** Class wished by the caller, which can only lower the class of the route. */
  readonly callClass: CallClass | undefined
  /** Calls above this one in a chain. */
  readonly depth: number
  /** True when a target makes the call for one that it runs, and holds a slot for that meanwhile. */
  readonly isAwaited: boolean
  /** Identity of the call that the target runs which makes this one; empty when it makes none or doesn't tell. */
  readonly parentId: string
  /** True when the caller states that a repeated run makes the call. */
  readonly isOfRepeat: boolean
  /** Idempotency key; empty when none was given. */
  readonly key: string
}

/** What a target is told of a call. */
export interface ITargetMetadata {
  readonly remainingMs: number
  readonly targetId: string
  /** True when a target has had the call before, or when such a run makes it. */
  readonly isRepeat: boolean
}

/** What an answer of a target says of itself. */
export interface IResponseMetadata {
  /** True when the target states that it has not run the request. */
  readonly isNotRun: boolean
  /** Identity of the call that is answered, where the target repeats it. */
  readonly callId: string | undefined
}

/** Reads and writes the terms of calls. */
export abstract class CallDialect {
  /** Names in lower case that callers can't pass on to targets. */
  abstract readonly reservedHeaders: ReadonlySet<string>

  /**
   * @param headers - of the caller
   * @returns identity of the caller's attempt; empty when it gave none
   */
  abstract readCallId (headers: IncomingHttpHeaders): string

  /**
   * Reads the terms of a call.
   * @param headers - of the caller
   * @returns the terms, or what is wrong with a header
   */
  abstract readCallMetadata (headers: IncomingHttpHeaders): Result<ICallMetadata, string>

  /**
   * Lists headers that the entering process adds.
   * @param metadata - of the call
   * @param callerService - service whose VM the call started on
   * @returns names and values in turn
   */
  abstract formatForwardHeaders (metadata: ICallMetadata, callerService: string): string[]

  /**
   * Lists headers that the process beside the target adds.
   * @param metadata - of the attempt
   * @returns names and values in turn
   */
  abstract formatTargetHeaders (metadata: ITargetMetadata): string[]

  /**
   * Reads what an answer says of itself.
   * @param status - HTTP status
   * @param headers - of the target
   */
  abstract readResponseMetadata (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): IResponseMetadata

  /**
   * @param delayMs - time after which a refused caller may come back
   * @returns value of the Retry-After header
   */
  abstract formatRetryAfter (delayMs: number): string
}

/** The headers of the product's own interface. */
export class LagoonDialect extends CallDialect {
  readonly reservedHeaders = new Set([DEADLINE_HEADER, DEPTH_HEADER, CLASS_HEADER, REPEAT_HEADER])

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
      // The header of the depth can be set by any caller, who may only lower the class.
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
