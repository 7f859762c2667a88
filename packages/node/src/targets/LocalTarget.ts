/**
 * A target on this VM: its announcement, slots and connections.
 */
import type { IClock, IDisposable, IRandom } from '@lagoonswitch/common'
import {
  BodyCreditAllocator, SlotLimiter, type AccountWeightLookup, type FailureReason, type HangDetector, type RunMeter
} from '@lagoonswitch/traffic'
import { TargetConnections } from './TargetConnections.js'

/** What a target announces about itself. */
export interface ITargetAnnouncement {
  readonly id: string
  readonly service: string
  readonly version: string
  /** HOST:PORT of its HTTP listener. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  /** Differs between two starts of a target with the same id. */
  readonly instance: string
  /** Wall-clock time of its start in milliseconds; undefined if not stated. */
  readonly bornMs?: number
  /** Number of its announcements since its start; undefined if not stated. */
  readonly sequence?: number
  /** Time in milliseconds until it reaches its full speed; undefined if not stated. */
  readonly warmupMs?: number
}

/** A call whose body has not arrived far enough for a slot. */
export interface IAwaitingCall {
  refuse (reason: FailureReason): void
}

/** Owns the slots of one target and the connections to it. */
export class LocalTarget implements IDisposable {
  readonly slotLimiter: SlotLimiter
  readonly connections: TargetConnections
  /** True once the target accepts no new calls. */
  isDraining = false
  /** True while the target accepts no connections, until it announces itself again. */
  isLost = false
  /** Calls that ask for a slot once more of their body has arrived. */
  readonly awaitingCalls = new Set<IAwaitingCall>()

  /**
   * @param announcement - from the target
   * @param clock - source of time
   * @param onIdleOverrun - called when a connection was closed for surplus bytes that arrived while it had no call
   * @param hangDetector - recognizes calls that hang; undefined if they are not to be detected
   * @param random - spreads the times at which refused callers return
   * @param bodyCredit - grants credit for large bodies of calls to all targets of the VM
   * @param findWeight - declared weights of accounts that compete for slots
   * @param runMeter - measures the runs; undefined if their times are not to be reported
   */
  constructor (
    readonly announcement: ITargetAnnouncement, clock: IClock, onIdleOverrun: () => void, readonly hangDetector?: HangDetector,
    random?: IRandom, readonly bodyCredit: BodyCreditAllocator = new BodyCreditAllocator(clock), findWeight?: AccountWeightLookup,
    readonly runMeter?: RunMeter
  ) {
    this.slotLimiter = new SlotLimiter(clock, announcement.slots, random, findWeight)
    this.connections = new TargetConnections(`http://${announcement.address}`, onIdleOverrun)
  }

  /**
   * Applies the limits of the entry where they are lower than those that the target announced. A slot needs a connection.
   * @param slots - of the entry
   * @param connections - of the entry
   */
  applyLimits (slots: number, connections: number): void {
    this.slotLimiter.slots = Math.min(this.announcement.slots, this.announcement.connections, slots, connections)
  }

  /**
   * Refuses all calls that wait for a slot or for their body.
   * @param reason - reported to each of them
   */
  refuseWaiting (reason: FailureReason): void {
    this.slotLimiter.refuseAll(reason)
    for (const call of [...this.awaitingCalls]) call.refuse(reason)
  }

  dispose (): void {
    this.refuseWaiting('no-target')
    this.connections.close()
  }
}
