/**
 * Progress of a move as operators see it.
 */
import { FULL_SHARE_PPM, type IMoveStep } from './MoveSchedule.js'

/** Progress of a move, for operators, in addition to its record. */
export interface IMoveProgress {
  readonly newCalls: number
  readonly oldCalls: number
  readonly next: string
}

/**
 * Formats the next step of a move.
 * @param next - the step
 * @param obstacle - what holds it, undefined if nothing does
 * @returns one line of text
 */
export function formatNextStep (next: IMoveStep, obstacle: string | undefined): string {
  const share = `${formatShare(next.sharePpm)} at ${new Date(next.startMs).toISOString()}`
  return obstacle === undefined ? share : `${share}, held: ${obstacle}`
}

/**
 * Formats a share of calls.
 * @param sharePpm - in parts per million
 * @returns the share in percent
 */
export function formatShare (sharePpm: number): string {
  return `${(sharePpm * 100 / FULL_SHARE_PPM).toFixed(1)}%`
}
