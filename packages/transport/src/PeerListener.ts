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
/** Certificate files change one after another; the keys are read once all are there. */
const REBIND_DELAY_MS = 500

/** Listens for other processes. */
export class PeerListener {
  private readonly _server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_concurrent_streams': MAX_STREAMS,
    'grpc.keepalive_time_ms': KEEPALIVE_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS
  })

  private _rebindTimer: IDisposable | undefined

  /** @param _credentials - keys of the links */
  constructor (private readonly _credentials: LinkCredentials) {}

  /**
   * Adds a service before the start.
   * @param definition - generated definition
   * @param implementation - handlers
   */
  addService (definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
    this._server.addService(definition, implementation)
  }

  /**
   * Starts to listen.
   * @param host - host name or IP number
   * @param port - port, 0 for any
   * @returns the port in use
   */
  async listen (host: string, port: number): Promise<number> {
    const boundPort = await this._bind(host, port)
    this._credentials.onChanged(() => this._scheduleRebind(host, boundPort))
    return boundPort
  }

  /**
   * Lets running calls end, then closes.
   * @param timeoutMs - after this the rest is cut
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

  /** Cuts everything at once. */
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

  /** Changed keys hold for new connections; running ones go on with the old keys. */
  private _scheduleRebind (host: string, port: number): void {
    this._rebindTimer?.dispose()
    this._rebindTimer = new SystemClock().schedule(REBIND_DELAY_MS, () => {
      this._server.unbind(`${host}:${port}`)
      void this._bind(host, port).catch(() => this._scheduleRebind(host, port))
    })
  }
}
