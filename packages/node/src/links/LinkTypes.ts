/**
 * Types shared by the parts of a link.
 */
import type { IClock, ILog, Metrics } from '@lagoonswitch/common'
import type { PeerFrame } from '@lagoonswitch/schema'
import type { BulkWindow, LinkCredentials } from '@lagoonswitch/transport'

/** What all links of a process share. */
export interface ILinkContext {
  readonly credentials: LinkCredentials
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  /** Limits large bodies in transit; shared by all links of the process by default. */
  readonly bulkWindow?: BulkWindow
}

/** Receives the events of one connection of a link. */
export interface IConnectionEvents {
  onOpen (): void
  onFrame (frame: PeerFrame): void
  /** Called once when the connection was lost, with the reason. */
  onClose (cause: string): void
  /** Returns true while calls are open or the other process is stopping, in which case silence indicates a fault. */
  isAnswerAwaited (): boolean
  /** Called repeatedly while the connection has not opened within the time after which a link counts as silent; it may still open. */
  onSlowOpen (): void
  /** Called repeatedly while the other process is silent for longer than the time that calls wait for it. */
  onSilent (): void
  onBodyCreditKnown (): void
}
