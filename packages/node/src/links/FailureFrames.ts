/**
 * Failures of calls as frames of a link, also between processes of different versions.
 */
import type { CallFailure } from '@lagoonswitch/schema'
import { FAILURE_REASONS } from '@lagoonswitch/traffic'
import type { FailureReason, ICallFailure, ITargetLoad } from '../calls/CallTypes.js'

/**
 * Reasons that earlier versions don't know, and the nearest one that they know: an unknown reason ends the event in which they
 * handle the call with an exception.
 */
const EARLIER_REASONS: Readonly<Partial<Record<FailureReason, FailureReason>>> = { 'bad-status': 'broken', hung: 'broken', 'needed-refused': 'shed' }
const KNOWN_REASONS: ReadonlySet<string> = new Set(FAILURE_REASONS)

/**
 * Encodes a failure.
 * @param failure - of a call
 * @param load - of its target, if known
 * @returns content of the frame
 */
export function encodeFailure ({ reason, isNotRun, retryAfterMs }: ICallFailure, load: ITargetLoad | undefined): CallFailure {
  const earlierReason = EARLIER_REASONS[reason]
  return {
    reason: earlierReason ?? reason,
    notRun: isNotRun,
    retryAfterMs: Math.ceil(retryAfterMs),
    inFlight: load?.inFlight ?? 0,
    slots: load?.slots ?? 0,
    queued: load?.queued ?? 0,
    cause: earlierReason === undefined ? '' : reason
  }
}

/**
 * Decodes the failure in a frame.
 * @param frame - from another process
 * @returns the failure; a reason that is unknown here becomes a general one with the same run state
 */
export function decodeFailure ({ reason, cause, notRun, retryAfterMs }: CallFailure): ICallFailure {
  const known = [cause, reason].find(text => KNOWN_REASONS.has(text)) as FailureReason | undefined
  return { reason: known ?? (notRun ? 'draining' : 'broken'), isNotRun: notRun, retryAfterMs }
}
