/**
 * Plain or TLS sockets for the links that carry calls.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { connect as connectTls, createServer as createTlsServer } from 'node:tls'
import type { LinkCredentials } from './Credentials.js'

const MAX_LINKS = 2_000

/**
 * Connects to another process.
 * @param address - HOST:PORT
 * @param credentials - keys for the links
 * @param onOpen - called once connected and, with TLS, after the handshake
 * @returns the socket
 */
export function openLinkSocket (address: string, credentials: LinkCredentials, onOpen: () => void): Socket {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator)
  const port = Number(address.slice(separator + 1))
  const keys = credentials.readKeys()
  if (keys === undefined) return connect({ host, port, noDelay: true }, onOpen)
  return connectTls({ host, port, ...keys, checkServerIdentity: () => undefined }, onOpen)
}

/** Accepts links from other processes. */
export class LinkListener {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  /**
   * @param credentials - keys for the links
   * @param onSocket - called with each accepted socket
   */
  constructor (credentials: LinkCredentials, onSocket: (socket: Socket) => void) {
    const accept = (socket: Socket): void => {
      this._sockets.add(socket)
      socket.on('close', () => this._sockets.delete(socket))
      onSocket(socket)
    }
    const keys = credentials.readKeys()
    if (keys === undefined) {
      this._server = createServer({ noDelay: true }, accept)
    } else {
      const server = createTlsServer({ ...keys, requestCert: true, rejectUnauthorized: true }, accept)
      credentials.onChanged(() => server.setSecureContext(credentials.readKeys() ?? keys))
      this._server = server
    }
    this._server.maxConnections = MAX_LINKS
  }

  /**
   * Starts listening.
   * @param host - host name or IP address
   * @param port - port, 0 for any free one
   * @returns the port in use
   */
  async listen (host: string, port: number): Promise<number> {
    return await new Promise<number>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve((this._server.address() as AddressInfo).port))
    })
  }

  /** Accepts no more links; those that are open stay open. */
  stopListening (): void {
    this._server.close()
  }

  /** Closes the listener and all sockets. */
  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }
}
