/**
 * The shares of a move and the times at which they may begin, spread over the time until it must be done.
 */

/** Share of all calls in parts per million. */
export const FULL_SHARE_PPM = 1_000_000

/** Share of each step; the last one leaves the old version some calls for comparison. */
const STEP_SHARES_PPM = [50_000, 200_000, 500_000, 980_000] as const
/** Fractions of the available time after which each step may begin, and after which the full share may begin. */
const STEP_START_FRACTIONS = [0, 0.2, 0.4, 0.6, 0.75] as const
const FULL_STEP_START_FRACTION = 0.92
const RETRY_MARGIN_MS = 200

/** A step of a move: its share and the wall time at which it should begin. */
export interface IMoveStep {
  readonly sharePpm: number
  readonly startMs: number
}

/**
 * Plans the steps of a move.
 * @param startedMs - wall time at which the move started
 * @param byMs - wall time by which it must be done
 * @param firstShare - share of the first step, from 0 to 1
 * @returns the steps in order; the last one is the full share
 */
export function planSteps (startedMs: number, byMs: number, firstShare: number): IMoveStep[] {
  const usableMs = Math.max(0, byMs - startedMs - RETRY_MARGIN_MS)
  const firstPpm = Math.round(firstShare * FULL_SHARE_PPM)
  const shares = [firstPpm, ...STEP_SHARES_PPM.filter(share => share > firstPpm)]
  const starts = [0, ...STEP_START_FRACTIONS.slice(STEP_START_FRACTIONS.length - shares.length + 1)]
  const steps = shares.map((sharePpm, index) => ({
    sharePpm,
    startMs: startedMs + usableMs * (starts[index] ?? 1)
  }))
  steps.push({ sharePpm: FULL_SHARE_PPM, startMs: startedMs + usableMs * FULL_STEP_START_FRACTION })
  return steps
}
