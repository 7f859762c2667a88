/**
 * The listeners for whoever isn't a process of the system or a caller: targets, operators, probes.
 */
import type { Server } from 'node:http'
import type { Metrics } from '@lagoonswitch/common'
import type { ControlRole } from '@lagoonswitch/control'
import type { NodeRole } from '@lagoonswitch/node'
import type { ISettings } from '@lagoonswitch/schema'

const IDLE_CHECK_INTERVAL_MS = 50

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

  /**
   * Closes the listeners; requests that have been read get their answers.
   * @param timeoutMs - after this the rest is cut
   */
  abstract stop (timeoutMs: number): Promise<void>
}

/**
 * Closes a listener once its requests have their answers.
 * @param server - the listener
 * @param close - begins to close it
 * @param timeoutMs - after this the rest is cut
 */
export async function closeWithin (server: Server, close: () => Promise<unknown>, timeoutMs: number): Promise<void> {
  const forceCloseTimer = setTimeout(() => server.closeAllConnections(), timeoutMs)
  // A connection whose last request ends while its listener closes stays open otherwise.
  const idleCloseTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS)
  try {
    await close()
  } finally {
    clearTimeout(forceCloseTimer)
    clearInterval(idleCloseTimer)
  }
}
