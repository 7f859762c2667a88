/**
 * A TCP proxy on loopback that limits the rate at which responses pass, as the link of a small VM does.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const TICK_MS = 5
/** Time whose bytes may pass at once after late ticks, as in the queue of a link. */
const MAX_CREDIT_MS = 50
const MS_PER_SECOND = 1_000

/** Passes connections on to one port. */
export class ShapedProxy {
  private readonly _sockets = new Set<Socket>()
  private readonly _server: Server

  /**
   * @param targetPort - port on 127.0.0.1 to which connections are passed on
   * @param bytesPerSecond - of all connections together, in the direction of the responses
   */
  constructor (targetPort: number, private readonly _bytesPerSecond: number) {
    this._server = createServer(downstream => {
      const upstream = connect({ host: '127.0.0.1', port: targetPort, noDelay: true })
      downstream.setNoDelay(true)
      downstream.pipe(upstream)
      upstream.on('readable', () => undefined)
      this._add(downstream, upstream)
      this._add(upstream, downstream)
      let lastMs = performance.now()
      const timer = setInterval(() => {
        const nowMs = performance.now()
        this._passBytes(upstream, downstream, Math.min(MAX_CREDIT_MS, nowMs - lastMs))
        lastMs = nowMs
      }, TICK_MS)
      upstream.on('close', () => clearInterval(timer))
    })
  }

  async listen (): Promise<number> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return (this._server.address() as AddressInfo).port
  }

  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _add (socket: Socket, other: Socket): void {
    this._sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this._sockets.delete(socket)
      other.destroy()
    })
  }

  private _passBytes (upstream: Socket, downstream: Socket, elapsedMs: number): void {
    let leftBytes = Math.floor(this._bytesPerSecond * elapsedMs / MS_PER_SECOND)
    while (leftBytes > 0) {
      const chunk = upstream.read(Math.min(leftBytes, upstream.readableLength)) as Buffer | null
      if (chunk === null || chunk.length === 0) return
      leftBytes -= chunk.length
      downstream.write(chunk)
    }
  }
}
