/**
 * Load reports of targets and reasons of failed calls, which decisions about traffic depend on.
 */

/** Load of a target as seen by its node, and the state of the call that it is sent with. */
export interface ITargetLoad {
  readonly inFlight: number
  readonly slots: number
  readonly queued: number
  /** Calls that the target has accepted since it announced itself. */
  readonly served: number
  /** Time that the call has held its slot, in milliseconds; 0 when it held none. */
  readonly serviceMs: number
  /** True when a nested call of this run was denied a retry by its retry budget, which a retry of the whole run would bypass. */
  readonly isRepeatDenied: boolean
}

/** Why a call got no complete response; also the labels of a counter. */
export const FAILURE_REASONS = [
  'queue-full', 'shed', 'deadline', 'deadline-queue', 'no-target', 'draining', 'unreachable', 'link-lost',
  'connect', 'broken', 'cancelled', 'oversized', 'bad-frame', 'target-busy', 'target-replaced', 'crossed',
  'link-silent', 'no-spare', 'no-budget', 'bad-status', 'hung'
] as const

export type FailureReason = typeof FAILURE_REASONS[number]
