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
  /** Time in milliseconds that such a call takes at the target now, without nested calls; 0 or omitted when unknown. */
  readonly expectedMs?: number
  /** Time in milliseconds for which this call waited for nested calls; 0 or omitted when unknown. */
  readonly nestedMs?: number
  /** Calls that the target handles well at once, at most its slots; 0 or omitted when unknown. */
  readonly room?: number
}

/** Why a call got no complete response; also the labels of a counter. */
export const FAILURE_REASONS = [
  'queue-full', 'shed', 'deadline', 'deadline-queue', 'no-target', 'draining', 'unreachable', 'link-lost',
  'connect', 'broken', 'cancelled', 'oversized', 'bad-frame', 'target-busy', 'target-replaced', 'crossed',
  'link-silent', 'no-spare', 'no-budget', 'bad-status', 'hung', 'needed-refused'
] as const

export type FailureReason = typeof FAILURE_REASONS[number]
