/**
 * The gRPC server of a process.
 */
import { Server, type ServiceDefinition, type UntypedServiceImplementation } from '@grpc/grpc-js'
import { SystemClock, type IDisposable } from '@lagoonswitch/common'
import type { LinkCredentials } from './Credentials.js'
import { MAX_MESSAGE_BYTES } from './PeerChannels.js'

const KEEPALIVE_MS = 10_000
const KEEPALIVE_TIMEOUT_MS = 2_000
const MAX_STREAMS = 1_000
/** Certificate files are replaced one after another; the keys are read again after this delay, when all are there. */
const REBIND_DELAY_MS = 500

/** Takes the services of a process. */
export interface IServiceRegistry {
  /**
   * Adds a service; only before the process listens.
   * @param definition - generated definition of the service
   * @param implementation - handlers of its methods
   */
  addService (definition: ServiceDefinition, implementation: UntypedServiceImplementation): void
}

/** Accepts gRPC connections from other processes. */
export class PeerListener implements IServiceRegistry {
  private readonly _server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_concurrent_streams': MAX_STREAMS,
    'grpc.keepalive_time_ms': KEEPALIVE_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS
  })

  private _rebindTimer: IDisposable | undefined

  /** @param _credentials - keys for the links */
  constructor (private readonly _credentials: LinkCredentials) {}

  addService (definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
    this._server.addService(definition, implementation)
  }

  /**
   * Starts listening.
   * @param host - host name or IP address
   * @param port - port, 0 for any free one
   * @returns the port in use
   */
  async listen (host: string, port: number): Promise<number> {
    let boundPort = 0
    let hasChanged = false
    this._credentials.onChanged(() => {
      hasChanged = true
      if (boundPort !== 0) this._scheduleRebind(host, boundPort)
    })
    boundPort = await this._bind(host, port)
    // The keys were read before the port was bound.
    if (hasChanged) this._scheduleRebind(host, boundPort)
    return boundPort
  }

  /**
   * Stops accepting calls, waits for the running ones, and closes the server.
   * @param timeoutMs - time in milliseconds after which calls that still run are cancelled
   */
  async stop (timeoutMs: number): Promise<void> {
    this._rebindTimer?.dispose()
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => this._server.forceShutdown(), timeoutMs)
      this._server.tryShutdown(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** Closes the server and cancels all running calls. */
  close (): void {
    this._rebindTimer?.dispose()
    this._server.forceShutdown()
  }

  private async _bind (host: string, port: number): Promise<number> {
    return await new Promise<number>((resolve, reject) => {
      this._server.bindAsync(`${host}:${port}`, this._credentials.createServerCredentials(), (error, boundPort) => {
        if (error !== null) reject(error)
        else resolve(boundPort)
      })
    })
  }

  /** Binds the port again with the changed keys; existing connections keep the old ones. */
  private _scheduleRebind (host: string, port: number): void {
    this._rebindTimer?.dispose()
    this._rebindTimer = new SystemClock().schedule(REBIND_DELAY_MS, () => {
      this._server.unbind(`${host}:${port}`)
      void this._bind(host, port).catch(() => this._scheduleRebind(host, port))
    })
  }
}
