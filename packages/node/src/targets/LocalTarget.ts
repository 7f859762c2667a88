/**
 * A target on this VM, as it announced itself, with its slots and its connections.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import { SlotLimiter } from './SlotLimiter.js'
import { TargetConnections } from './TargetConnections.js'

/** What a target says of itself. */
export interface ITargetAnnouncement {
  readonly id: string
  readonly service: string
  readonly version: string
  /** HOST:PORT of its HTTP listener. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  /** Differs between two runs of a target under one id. */
  readonly instance: string
  /** Wall time of its start in milliseconds; undefined when it states none. */
  readonly bornMs?: number
  /** Count of its announcements since its start; undefined when it states none. */
  readonly sequence?: number
  /** Time until it is as fast as it will be; undefined when it states none. */
  readonly warmupMs?: number
}

/** Owns the connections to one target. */
export class LocalTarget implements IDisposable {
  readonly slotLimiter: SlotLimiter
  readonly connections: TargetConnections
  /** True once the target takes no new calls. */
  isDraining = false
  /** True while the target takes no connections, until it announces itself again. */
  isLost = false

  /**
   * @param announcement - from the target
   * @param clock - source of time
   * @param onIdleOverrun - called when a connection was closed for bytes that came while no call was on it
   */
  constructor (readonly announcement: ITargetAnnouncement, clock: IClock, onIdleOverrun: () => void) {
    this.slotLimiter = new SlotLimiter(clock, announcement.slots)
    this.connections = new TargetConnections(`http://${announcement.address}`, onIdleOverrun)
  }

  /**
   * Holds the limits of the entry where they are lower than what the target announced. A slot needs a connection.
   * @param slots - of the entry
   * @param connections - of the entry
   */
  applyLimits (slots: number, connections: number): void {
    this.slotLimiter.slots = Math.min(this.announcement.slots, this.announcement.connections, slots, connections)
  }

  dispose (): void {
    this.slotLimiter.refuseAll('no-target')
    this.connections.close()
  }
}
