/**
 * The listeners for whoever isn't a process of the system or a caller: targets, operators, probes.
 */
import type { Metrics } from '@lagoonswitch/common'
import type { ControlRole } from '@lagoonswitch/control'
import type { NodeRole } from '@lagoonswitch/node'
import type { ISettings } from '@lagoonswitch/schema'

/** What a surface serves. */
export interface ISurfaceContext {
  readonly settings: ISettings
  readonly metrics: Metrics
  readonly node: NodeRole | undefined
  readonly control: ControlRole | undefined
}

/** One way to serve them; a platform brings its own. */
export abstract class ProcessSurface {
  /**
   * Starts the listeners.
   * @param context - roles of the process
   */
  abstract start (context: ISurfaceContext): Promise<void>

  /** Closes the listeners. */
  abstract stop (): Promise<void>
}
