/**
 * HTTP interfaces of a process for all clients but callers and other processes, such as targets, operators and probes.
 */
import type { IClock, ILog, Metrics } from '@lagoonswitch/common'
import type { ControlRole } from '@lagoonswitch/control'
import type { NodeRole } from '@lagoonswitch/node'
import type { ISettings } from '@lagoonswitch/schema'

/** Roles and metrics that a surface serves; a role that the process does not have is undefined. */
export interface ISurfaceContext {
  readonly settings: ISettings
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  readonly node: NodeRole | undefined
  readonly control: ControlRole | undefined
}

/** Set of these HTTP interfaces; a platform may supply its own implementation. */
export abstract class ProcessSurface {
  /**
   * Starts the listeners.
   * @param context - settings, roles and metrics of the process
   */
  abstract start (context: ISurfaceContext): Promise<void>

  /**
   * Closes the listeners; requests that were received are still answered.
   * @param timeoutMs - time limit, after which the remaining connections are closed
   */
  abstract stop (timeoutMs: number): Promise<void>
}
