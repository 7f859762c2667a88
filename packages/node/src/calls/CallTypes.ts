/**
 * Contracts between the parts that carry a call.
 */
import type { CallClass } from '@lagoonswitch/schema'

/** Bytes of a body or an answer that may be on their way before the receiver asks for more. */
export const FLOW_WINDOW_BYTES = 262_144
/** Time after the deadline in which the target may still say itself that the time is over, in milliseconds. */
export const DEADLINE_GRACE_MS = 40
/** The process beside the target watches the deadline as well; its more exact answer should win, in milliseconds. */
export const LINK_DEADLINE_MARGIN_MS = 120
/** Depth at which a chain of calls is cut. */
export const MAX_CALL_DEPTH = 16

/** A call as it is handed to the process beside the target. */
export interface ICallRequest {
  readonly service: string
  readonly version: string
  readonly targetId: string
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  /** Time left for the answer in milliseconds. */
  readonly remainingMs: number
  readonly callClass: CallClass
  /** Identity of the call for logs and for matching answers; empty when the caller gave none. */
  readonly callId: string
  /** Time left until the answer is worth less; 0 when none was stated. */
  readonly objectiveMs: number
  /** Usual time of the call in a slot of the target; 0 when unknown. */
  readonly expectedMs: number
  /** True when the call may run again, so that it needn't wait for a process that is silent. */
  readonly isRetryable: boolean
  /** True when the call may take a free slot but must not wait for one, since it came a dear way. */
  readonly isSpareOnly: boolean
  /** True when a target has had the call before, or when such a run makes it. */
  readonly isRepeat: boolean
  readonly owner: string
  /** First bytes of the body. */
  readonly body: Buffer
  readonly isBodyComplete: boolean
  /** Limits of the entry, which hold beside what the target announced. */
  readonly slots: number
  readonly connections: number
  readonly queue: number
}

/** Load of a target as its own process sees it. */
export interface ITargetLoad {
  readonly inFlight: number
  readonly slots: number
  readonly queued: number
  /** Calls that the target has taken since it announced itself. */
  readonly served: number
  /** Time that the call has held its slot, in milliseconds; 0 when it had none. */
  readonly serviceMs: number
  /** True when a call that the run made found no budget for its repeat, so that a repeat of the run would go around that budget. */
  readonly isRepeatDenied: boolean
}

/** A call that ended without a whole answer. */
export interface ICallFailure {
  readonly reason: FailureReason
  /** True only when the request has certainly not reached the target. */
  readonly isNotRun: boolean
  readonly retryAfterMs: number
}

/** Why a call got no whole answer; each has a counter. */
export type FailureReason =
  'queue-full' | 'shed' | 'deadline' | 'deadline-queue' | 'no-target' | 'draining' | 'unreachable' | 'link-lost' |
  'connect' | 'broken' | 'cancelled' | 'oversized' | 'bad-frame' | 'target-busy' | 'target-replaced' | 'crossed' |
  'link-silent' | 'no-spare' | 'no-budget'

/** Receives what happens to one call; nothing follows after the end or a failure. */
export interface ICallEvents {
  onHead (status: number, headers: readonly string[], load: ITargetLoad): void
  onData (chunk: Buffer): void
  onEnd (): void
  onFailure (failure: ICallFailure, load: ITargetLoad | undefined): void
  /** The body may go on after {@link ICallHandle.sendBody} returned false. */
  onBodyDrain (): void
}

/** The sending side of one call. */
export interface ICallHandle {
  /**
   * Sends a part of the body.
   * @param chunk - bytes
   * @returns false when the sender must wait for {@link ICallEvents.onBodyDrain}
   */
  sendBody (chunk: Buffer): boolean
  endBody (): void
  /** Gives up the call; no event follows. */
  cancel (): void
  /** Gives up the call unless the target has it already; it fails as not run then, or goes on. */
  withdraw (): void
  /**
   * Tells that answer bytes have been passed on.
   * @param bytes - how many
   */
  acknowledge (bytes: number): void
}

/** Opens calls on a target. */
export interface ICallOpener {
  open (request: ICallRequest, events: ICallEvents): ICallHandle
}
