/**
 * Times and shares of a move that was ordered for seconds.
 */
import { FULL_SHARE_PPM, type IMoveStep } from './MoveSchedule.js'

/** Share until the rate of calls is known, and while the new version is compared with the old one. */
export const ORDERED_LOW_SHARE_PPM = 20_000
/** Time in which the rate of calls to the service is learnt. */
const CALL_RATE_MEASUREMENT_MS = 1_500
/**
 * Time from the full share until a fault that it brings is found and its way back holds on all nodes: an answer, a window
 * of evidence at the node and at the leader each, and the commit.
 */
const FAULT_DETECTION_MS = 1_200
/**
 * Parts of the time of the order: when all calls go to the new version, the latest time of that while it is suspected,
 * the watch after it, and the end, which leaves the operator time to learn of it.
 */
const FULL_SHARE_START_FRACTION = 0.65
const LATEST_FULL_SHARE_START_FRACTION = 0.8
const WATCH_FRACTION = 0.2
const END_FRACTION = 0.94

/** Most calls that a bad version may get between its order and the end of that time. */
export interface IExposureLimit {
  /** Share of the calls to the service in that time, from 0 to 1. */
  readonly share: number
  /** Calls beside that share. */
  readonly slack: number
}

/** Times of an ordered move. */
export interface IOrderTimes {
  /** Wall time at which all calls go to the new version, if it isn't suspected. */
  readonly fullShareMs: number
  /** Wall time at which a version that is still suspected is taken back. */
  readonly latestFullShareMs: number
  /** Length of the watch that follows the full share. */
  readonly watchMs: number
  /** Wall time of the end. */
  readonly endMs: number
}

/**
 * Plans the times of an ordered move.
 * @param startedMs - wall time of the order
 * @param withinMs - time until it must have ended
 * @returns its times
 */
export function planOrderTimes (startedMs: number, withinMs: number): IOrderTimes {
  return {
    fullShareMs: Math.floor(startedMs + withinMs * FULL_SHARE_START_FRACTION),
    latestFullShareMs: startedMs + withinMs * LATEST_FULL_SHARE_START_FRACTION,
    watchMs: Math.floor(withinMs * WATCH_FRACTION),
    endMs: startedMs + withinMs * END_FRACTION
  }
}

/**
 * Computes the time of an order from its move.
 * @param startedMs - wall time of the order
 * @param fullShareMs - wall time of the full share
 * @returns milliseconds until it must have ended
 */
export function computeOrderDurationMs (startedMs: number, fullShareMs: number): number {
  return (fullShareMs - startedMs) / FULL_SHARE_START_FRACTION
}

/**
 * Plans the steps of an ordered move: a small share for more than half of its time, then all calls at once. A fault that
 * shows at once is found with few calls, and one that shows under load costs the calls of the time that finding it takes;
 * shares between the two would add to both. The small share gets what the exposure leaves beside the full one.
 * @param startedMs - wall time of the order
 * @param fullShareMs - wall time of the full share
 * @param maxSharePpm - largest share before that, in parts per million
 * @param callsPerMs - calls to the service
 * @param exposure - most calls that a bad version may get
 * @returns the steps in order; the last one is the full share
 */
export function planOrderedSteps (
  startedMs: number, fullShareMs: number, maxSharePpm: number, callsPerMs: number, exposure: IExposureLimit
): IMoveStep[] {
  const orderDurationMs = computeOrderDurationMs(startedMs, fullShareMs)
  const callsBeforeFullShare = exposure.slack + callsPerMs * (exposure.share * orderDurationMs - FAULT_DETECTION_MS)
  const sharePpm = Math.floor(Math.min(maxSharePpm, callsBeforeFullShare / (callsPerMs * (fullShareMs - startedMs)) * FULL_SHARE_PPM))
  const steps = [{ sharePpm: ORDERED_LOW_SHARE_PPM, startMs: startedMs }]
  if (sharePpm > ORDERED_LOW_SHARE_PPM) steps.push({ sharePpm, startMs: startedMs + CALL_RATE_MEASUREMENT_MS })
  steps.push({ sharePpm: FULL_SHARE_PPM, startMs: fullShareMs })
  return steps
}
