/**
 * Times and shares of ordered moves, which take seconds.
 */
import { FULL_SHARE_PPM, type IMoveStep } from './MoveSchedule.js'

/** Share until the call rate is known, and during a probe. */
export const ORDERED_LOW_SHARE_PPM = 20_000
/** Time over which the call rate of the service is measured. */
const CALL_RATE_MEASUREMENT_MS = 1_500
/**
 * Time from the full share until a fault that it causes is detected and the rollback is effective on all nodes: one response,
 * one evidence window each on the node and on the leader, and the commit.
 */
export const FAULT_DETECTION_MS = 1_200
/** The same for a version of which too few calls were seen before, whose fault on one route shows only at the full share. */
const UNPROVEN_FAULT_DETECTION_MS = 3_000
/** Largest share of a version before enough of its calls have been seen. */
const MAX_BEARABLE_SHARE_PPM = 500_000
/**
 * Fractions of the order's duration: start of the full share, its latest start for a version under suspicion, length of the
 * watch that follows, and the end, which leaves time to inform the operator.
 */
const FULL_SHARE_START_FRACTION = 0.65
const LATEST_FULL_SHARE_START_FRACTION = 0.8
const WATCH_FRACTION = 0.2
const END_FRACTION = 0.94

/** Maximum calls that a bad version may get from its order until the order's duration is over. */
export interface IExposureLimit {
  /** Share of the calls to the service in that time, from 0 to 1. */
  readonly share: number
  /** Calls in addition to that share. */
  readonly slack: number
}

/** Times of an ordered move. */
export interface IOrderTimes {
  /** Wall time at which the new version gets all calls, unless it is suspected. */
  readonly fullShareMs: number
  /** Wall time at which a version that is still suspected is taken back. */
  readonly latestFullShareMs: number
  /** Length of the watch that follows the full share. */
  readonly watchMs: number
  /** Wall time at which the move ends. */
  readonly endMs: number
}

/**
 * Plans the times of an ordered move.
 * @param startedMs - wall time of the order
 * @param withinMs - duration within which it must have ended
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
 * Computes the duration of an order from the times of its move.
 * @param startedMs - wall time of the order
 * @param fullShareMs - wall time of the full share
 * @returns duration within which it must have ended, in milliseconds
 */
export function computeOrderDurationMs (startedMs: number, fullShareMs: number): number {
  return (fullShareMs - startedMs) / FULL_SHARE_START_FRACTION
}

/**
 * Plans the steps of an ordered move: a small share for more than half of its duration, then all calls at once. A fault
 * that shows immediately is detected with few calls; one that shows only under load costs the calls made until it is
 * detected. Intermediate shares would raise both costs. The small share uses the calls that the exposure limit leaves after
 * the detection time at the full share.
 * @param startedMs - wall time of the order
 * @param fullShareMs - wall time of the full share
 * @param maxSharePpm - largest share before the full one, in parts per million
 * @param callsPerMs - call rate of the service; at 0 the share is not raised before the full one
 * @param exposure - maximum calls that a bad version may get
 * @param measuredSinceMs - wall time from which on the call rate is measured
 * @returns the steps in order; the last one is the full share
 */
export function planOrderedSteps (
  startedMs: number, fullShareMs: number, maxSharePpm: number, callsPerMs: number, exposure: IExposureLimit,
  measuredSinceMs = startedMs
): IMoveStep[] {
  const orderDurationMs = computeOrderDurationMs(startedMs, fullShareMs)
  const callsBeforeFullShare = exposure.slack + callsPerMs * (exposure.share * orderDurationMs - FAULT_DETECTION_MS)
  const sharePpm = Math.floor(Math.min(maxSharePpm, callsBeforeFullShare / (callsPerMs * (fullShareMs - startedMs)) * FULL_SHARE_PPM))
  const steps = [{ sharePpm: ORDERED_LOW_SHARE_PPM, startMs: startedMs }]
  if (callsPerMs > 0 && sharePpm > ORDERED_LOW_SHARE_PPM) {
    steps.push({ sharePpm, startMs: measuredSinceMs + CALL_RATE_MEASUREMENT_MS })
  }
  steps.push({ sharePpm: FULL_SHARE_PPM, startMs: fullShareMs })
  return steps
}

/**
 * Plans the share for a version of which too few calls have been seen when the full share is due: what the exposure limit leaves, spread
 * over the time until the latest start of the full share.
 * @param leftMs - time until that start
 * @param orderDurationMs - duration of the order
 * @param exposedCalls - calls that the version has had
 * @param callsPerMs - call rate of the service
 * @param exposure - maximum calls that a bad version may get
 * @returns share in parts per million, at most {@link MAX_BEARABLE_SHARE_PPM}; 0 if nothing is left
 */
export function planBearableShare (
  leftMs: number, orderDurationMs: number, exposedCalls: number, callsPerMs: number, exposure: IExposureLimit
): number {
  const leftCalls = computeLeftCalls(orderDurationMs, exposedCalls, callsPerMs, exposure) - callsPerMs * FAULT_DETECTION_MS
  if (leftMs <= 0 || callsPerMs === 0 || leftCalls <= 0) return 0
  return Math.floor(Math.min(MAX_BEARABLE_SHARE_PPM, leftCalls / (callsPerMs * leftMs) * FULL_SHARE_PPM))
}

/**
 * Tells whether a version of which too few calls have been seen may get all calls, since a fault would be found within the limit.
 * @param orderDurationMs - duration of the order
 * @param exposedCalls - calls that the version has had
 * @param callsPerMs - call rate of the service
 * @param exposure - maximum calls that a bad version may get
 * @returns true if the limit bears the calls until a fault is found
 */
export function canBearFullShare (
  orderDurationMs: number, exposedCalls: number, callsPerMs: number, exposure: IExposureLimit
): boolean {
  return callsPerMs * UNPROVEN_FAULT_DETECTION_MS <= computeLeftCalls(orderDurationMs, exposedCalls, callsPerMs, exposure)
}

function computeLeftCalls (orderDurationMs: number, exposedCalls: number, callsPerMs: number, exposure: IExposureLimit): number {
  return exposure.slack + exposure.share * callsPerMs * orderDurationMs - exposedCalls
}
