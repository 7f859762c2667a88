/**
 * The shares of a move, worked back from the time by which it must be done.
 */

/** Share of all calls in parts per million. */
export const FULL_SHARE_PPM = 1_000_000

/** Largest share of each step; the last step keeps some calls on the old version for comparison. */
const STEP_SHARES_PPM = [50_000, 200_000, 500_000, 980_000] as const
/** Part of the time after which each step may begin, and after which the move may be done. */
const STEP_START_FRACTIONS = [0, 0.2, 0.4, 0.6, 0.75] as const
const FULL_STEP_START_FRACTION = 0.92
const RETRY_MARGIN_MS = 200

/** One step: its share and the time at which it should begin. */
export interface IMoveStep {
  readonly sharePpm: number
  readonly startMs: number
}

/**
 * Plans the steps of a move.
 * @param startedMs - wall time of the start
 * @param byMs - wall time by which it must be done
 * @param firstShare - largest share of the first step, from 0 to 1
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
