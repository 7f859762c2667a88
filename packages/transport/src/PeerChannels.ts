/**
 * gRPC clients for other processes, one per address and service.
 */
import type { ChannelCredentials, ChannelOptions, Client } from '@grpc/grpc-js'
import type { IDisposable } from '@lagoonswitch/common'
import type { LinkCredentials } from './Credentials.js'

const KEEPALIVE_MS = 10_000
const KEEPALIVE_TIMEOUT_MS = 2_000
const MAX_RECONNECT_MS = 300
const FIRST_RECONNECT_MS = 100

/** Largest message between processes, in bytes. */
export const MAX_MESSAGE_BYTES = 8 * 1_048_576

/** Constructor of a generated gRPC client. */
export type ClientConstructor<C extends Client> =
  new (address: string, credentials: ChannelCredentials, options?: Partial<ChannelOptions>) => C

/** Source of clients for other processes. */
export interface IPeerChannels {
  /**
   * Returns the client for an address, creating it on first use.
   * @param constructor - generated client class
   * @param address - HOST:PORT
   * @returns the client
   */
  getClient<C extends Client>(constructor: ClientConstructor<C>, address: string): C
  /**
   * Closes the client for an address, so that the next call opens another connection.
   * @param constructor - generated client class
   * @param address - HOST:PORT
   */
  closeClient<C extends Client>(constructor: ClientConstructor<C>, address: string): void
}

/** Creates clients and reuses them. */
export class PeerChannels implements IPeerChannels, IDisposable {
  private readonly _clients = new Map<ClientConstructor<Client>, Map<string, Client>>()

  /** @param _credentials - keys for the links */
  constructor (private readonly _credentials: LinkCredentials) {
    _credentials.onChanged(() => this._closeAll())
  }

  getClient<C extends Client>(constructor: ClientConstructor<C>, address: string): C {
    let byAddress = this._clients.get(constructor)
    if (byAddress === undefined) {
      byAddress = new Map()
      this._clients.set(constructor, byAddress)
    }
    let client = byAddress.get(address)
    if (client === undefined) {
      client = new constructor(address, this._credentials.createClientCredentials(), {
        'grpc.keepalive_time_ms': KEEPALIVE_MS,
        'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
        'grpc.initial_reconnect_backoff_ms': FIRST_RECONNECT_MS,
        'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
        'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
        'grpc.enable_retries': 0,
        'grpc.use_local_subchannel_pool': 1
      })
      byAddress.set(address, client)
    }
    return client as C
  }

  closeClient<C extends Client>(constructor: ClientConstructor<C>, address: string): void {
    const byAddress = this._clients.get(constructor)
    byAddress?.get(address)?.close()
    byAddress?.delete(address)
  }

  dispose (): void {
    this._closeAll()
  }

  private _closeAll (): void {
    for (const byAddress of this._clients.values()) {
      for (const client of byAddress.values()) client.close()
      byAddress.clear()
    }
  }
}
