/**
 * HTTP interfaces of a process for all clients but callers and other processes, such as targets, operators and probes.
 */
import type { IClock, ILog, Metrics } from '@lagoonswitch/common'
import type { ControlRole } from '@lagoonswitch/control'
import type { NodeRole } from '@lagoonswitch/node'
import type { ISettings } from '@lagoonswitch/schema'
import type { IClosingConnections } from '@lagoonswitch/transport'

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
   * @returns resolves when they are answered; connections whose clients may not have the responses stay open for longer
   */
  abstract stop (timeoutMs: number): Promise<IClosingConnections>
}

/**
 * Closes several listeners at once.
 * @param closing - of each listener
 * @returns resolves when all requests are answered
 */
export async function closeAll (closing: Array<Promise<IClosingConnections>>): Promise<IClosingConnections> {
  const listeners = await Promise.all(closing)
  return { closed: Promise.all(listeners.map(async ({ closed }) => await closed)).then(() => undefined) }
}
