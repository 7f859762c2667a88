/**
 * Types and limits shared by the components that handle calls.
 */
import type { CallClass } from '@lagoonswitch/schema'
import type { FailureReason, ITargetLoad } from '@lagoonswitch/traffic'

export type { FailureReason, ITargetLoad } from '@lagoonswitch/traffic'

/** Flow control window: bytes of a request or response body that may be in transit before the receiver acknowledges some. */
export const FLOW_WINDOW_BYTES = 262_144
/** Time after the deadline for which the target's node waits, so that the target itself can respond that the deadline has passed. */
export const DEADLINE_GRACE_MS = 40
/** Time after the deadline for which the caller's node waits for the target's node, whose report of the timeout is more exact. */
export const LINK_DEADLINE_MARGIN_MS = 120
/** A call with this many calls above it in a chain is refused. */
export const MAX_CALL_DEPTH = 16

const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599

/**
 * @param status - of a response
 * @returns true if it is the status of a final response
 */
export function isFinalStatus (status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS
}

/** A call as it is passed to the node of the target. */
export interface ICallRequest {
  readonly service: string
  readonly version: string
  readonly targetId: string
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: readonly string[]
  /** Time left for the response in milliseconds. */
  readonly remainingMs: number
  readonly callClass: CallClass
  /** ID of the call for logs and for matching responses; empty when the caller gave none. */
  readonly callId: string
  /** Time left until the latency objective in milliseconds; 0 when there is none. */
  readonly objectiveMs: number
  /** Usual time that such a call holds a slot of the target, in milliseconds; 0 when unknown. */
  readonly expectedMs: number
  /** Key of the route, for the times that its runs take; empty for a call whose node does not state it. */
  readonly route: string
  /** True when the call may run more than once; it then fails early, to be retried, when the target or its node stops responding. */
  readonly isRetryable: boolean
  /** True when the call may take a free slot but must not queue for one, since calls from other availability zones are costly. */
  readonly isSpareOnly: boolean
  /** True when a target has received the call before, or when a repeated run makes it. */
  readonly isRepeat: boolean
  /** True when the response is declared as large; it yields to other frames on the link. */
  readonly isBulk: boolean
  readonly owner: string
  /** Name of the client account; empty for a call without one. */
  readonly account: string
  /** The body, or its start. */
  readonly body: Buffer
  readonly isBodyComplete: boolean
  /** True when the body is declared as large; unless it is complete, it is sent as credit allows. */
  readonly isBulkBody?: boolean
  /** Length of the whole body, 0 or omitted when unknown. */
  readonly bodyBytes?: number
  /** Limits of the entry; they apply in addition to those that the target announced. */
  readonly slots: number
  readonly connections: number
  readonly queue: number
}

/** Failure of a call that ended without a complete response. */
export interface ICallFailure {
  readonly reason: FailureReason
  /** True only when the target has certainly not run the request. */
  readonly isNotRun: boolean
  readonly retryAfterMs: number
}

/** Receives the events of one call; none follows the end or a failure. */
export interface ICallEvents {
  onHead (status: number, headers: readonly string[], load: ITargetLoad): void
  onData (chunk: Buffer): void
  onEnd (): void
  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void
  /** More of the body may be sent after {@link ICallHandle.sendBody} returned false. */
  onBodyDrain (): void
  /**
   * Credit for a large body was granted to the other side of a link; a call without this method is on the VM of its target.
   * @param bytes - that may be sent in addition
   */
  onBodyCredit? (bytes: number): void
}

/** The sending side of one call. */
export interface ICallHandle {
  /**
   * Sends a part of the body.
   * @param chunk - bytes of the body
   * @returns false when the sender must wait for {@link ICallEvents.onBodyDrain}
   */
  sendBody (chunk: Buffer): boolean
  endBody (): void
  /**
   * Announces a part of a large body, which may be sent once there is credit for it.
   * @param bytes - that are ready in addition
   */
  offerBody? (bytes: number): void
  /** Cancels the call; no event follows. */
  cancel (): void
  /** Cancels the call if the target has not received it yet, which fails it as not run; otherwise it continues. */
  withdraw (): void
  /**
   * Acknowledges response bytes that have been forwarded, which opens the flow control window.
   * @param bytes - number of bytes
   */
  acknowledge (bytes: number): void
}

/** Opens calls on targets. */
export interface ICallOpener {
  open (request: ICallRequest, events: ICallEvents): ICallHandle
}
