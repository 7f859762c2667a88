/**
 * A TCP proxy on loopback that limits the rate at which requests of all its connections pass, as the link of a small VM does
 * for what it receives.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const TICK_MS = 5
/** Time whose bytes may pass at once after late ticks, as in the queue of a link. */
const MAX_CREDIT_MS = 50
const MS_PER_SECOND = 1_000
/** Bytes of one connection that pass before another one has its turn; a few packets. */
const TURN_BYTES = 4_096
/** Bytes of one connection that wait in the proxy, as in the buffers of the network. */
const BUFFER_BYTES = 131_072

/** Passes connections on to one port; they share the rate. */
export class ShapedUplink {
  private readonly _sockets = new Set<Socket>()
  private readonly _pairs = new Map<Socket, Socket>()
  private readonly _server: Server
  private readonly _timer: NodeJS.Timeout
  private _lastMs = performance.now()

  /**
   * @param targetPort - port on 127.0.0.1 to which connections are passed on
   * @param bytesPerSecond - of all connections together, in the direction of the requests; 0 while none pass
   */
  constructor (targetPort: number, public bytesPerSecond: number) {
    this._server = createServer({ highWaterMark: BUFFER_BYTES, noDelay: true }, downstream => {
      const upstream = connect({ host: '127.0.0.1', port: targetPort, noDelay: true })
      downstream.on('readable', () => undefined)
      upstream.pipe(downstream)
      this._pairs.set(downstream, upstream)
      this._add(downstream, upstream)
      this._add(upstream, downstream)
    })
    this._timer = setInterval(() => this._passBytes(), TICK_MS)
  }

  async listen (): Promise<number> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    return (this._server.address() as AddressInfo).port
  }

  close (): void {
    clearInterval(this._timer)
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _add (socket: Socket, other: Socket): void {
    this._sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this._sockets.delete(socket)
      this._pairs.delete(socket)
      other.destroy()
    })
  }

  private _passBytes (): void {
    const nowMs = performance.now()
    let leftBytes = Math.floor(this.bytesPerSecond * Math.min(MAX_CREDIT_MS, nowMs - this._lastMs) / MS_PER_SECOND)
    this._lastMs = nowMs
    for (let hasPassed = true; hasPassed && leftBytes > 0;) {
      hasPassed = false
      for (const [downstream, upstream] of this._pairs) {
        const chunk = downstream.read(Math.min(TURN_BYTES, leftBytes, downstream.readableLength)) as Buffer | null
        if (chunk === null || chunk.length === 0) continue
        hasPassed = true
        leftBytes -= chunk.length
        upstream.write(chunk)
        if (leftBytes <= 0) break
      }
    }
  }
}
