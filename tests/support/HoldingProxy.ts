/**
 * A TCP proxy on loopback that can hold all bytes back, as the network of a VM that has gone silent does, and pass them on later.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Passes connections on to one port. */
export class HoldingProxy {
  private readonly _sockets = new Set<Socket>()
  private readonly _server: Server
  private _isHolding = false

  /** @param targetPort - port on 127.0.0.1 to which connections are passed on */
  constructor (targetPort: number) {
    this._server = createServer(downstream => {
      const upstream = connect({ host: '127.0.0.1', port: targetPort, noDelay: true })
      downstream.setNoDelay(true)
      this._add(downstream, upstream)
      this._add(upstream, downstream)
    })
  }

  async listen (): Promise<number> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return (this._server.address() as AddressInfo).port
  }

  /** Passes nothing on until {@link release}; connections stay open and new ones are accepted. */
  hold (): void {
    this._isHolding = true
    for (const socket of this._sockets) socket.pause()
  }

  /** Passes on what was held back. */
  release (): void {
    this._isHolding = false
    for (const socket of this._sockets) socket.resume()
  }

  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _add (socket: Socket, other: Socket): void {
    this._sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('data', chunk => other.write(chunk))
    if (this._isHolding) socket.pause()
    socket.on('close', () => {
      this._sockets.delete(socket)
      other.destroy()
    })
  }
}
