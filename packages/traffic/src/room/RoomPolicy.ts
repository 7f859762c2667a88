/**
 * How many of its stated slots a target uses well, and how long its calls take now.
 */

/** A call that has ended at a target. */
export interface IRunSample {
  /** Key of the route; calls of one route have similar durations. */
  readonly route: string
  /** Time at which the call got its slot, in milliseconds of the monotonic clock. */
  readonly startedMs: number
  /** Time in the slot in milliseconds, less the time during which nested calls of the run were in progress. */
  readonly ownMs: number
  /** Time during which nested calls of the run were in progress, in milliseconds. */
  readonly nestedMs: number
  /** Time that was left until the response loses value when the call got its slot, in milliseconds; 0 if unknown. */
  readonly allowedMs: number
  /** False for a run that failed, was cancelled, or waited for its caller to send or read a body: its duration is not the target's. */
  readonly isComparable: boolean
}

/** Decides how many calls one target gets at once, under a load that fills targets of which some slow down before all slots are taken. */
export abstract class RoomPolicy {
  /** @param sample - call that has ended */
  abstract recordRun (sample: IRunSample): void

  /**
   * Records the number of calls at the target, after each change.
   * @param inFlight - calls that hold a slot
   * @param isCongested - true while calls wait for a slot
   */
  abstract recordLoad (inFlight: number, isCongested: boolean): void

  /**
   * Computes how many calls the target may run at once.
   * @param slots - slots that the target states
   * @returns a whole number from 1 to `slots`
   */
  abstract computeRoom (slots: number): number
}

/** Uses all stated slots. */
export class StatedRoom extends RoomPolicy {
  recordRun (): void {}

  recordLoad (): void {}

  computeRoom (slots: number): number {
    return slots
  }
}
