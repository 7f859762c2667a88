/**
 * HTTP interfaces of a process for all clients but callers and other processes, such as targets, operators and probes.
 */
import type { Server } from 'node:http'
import type { Metrics } from '@lagoonswitch/common'
import type { ControlRole } from '@lagoonswitch/control'
import type { NodeRole } from '@lagoonswitch/node'
import type { ISettings } from '@lagoonswitch/schema'

const IDLE_CHECK_INTERVAL_MS = 50

/** Roles and metrics that a surface serves; a role that the process does not have is undefined. */
export interface ISurfaceContext {
  readonly settings: ISettings
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

/**
 * Closes a listener once its requests are answered.
 * @param server - the listener
 * @param close - starts closing it and resolves when it is closed
 * @param timeoutMs - time limit, after which the remaining connections are closed
 */
export async function closeWithin (server: Server, close: () => Promise<unknown>, timeoutMs: number): Promise<void> {
  const forceCloseTimer = setTimeout(() => server.closeAllConnections(), timeoutMs)
  // Otherwise a connection whose last request ends while the listener is closing would stay open.
  const idleCloseTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS)
  try {
    await close()
  } finally {
    clearTimeout(forceCloseTimer)
    clearInterval(idleCloseTimer)
  }
}
