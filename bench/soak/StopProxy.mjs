/**
 * A TCP proxy on loopback that stands for the network of a VM: its links have a delay and small windows, and it ends with the process of
 * the VM, so that bytes on their way are lost.
 */
import { connect, createServer } from 'node:net'

/** Delay of a link, one way. */
const DELAY_MS = 8
/** Most bytes of a connection on their way in one direction. */
const WINDOW_BYTES = 16_384
const BUFFER_BYTES = 4_096

/** Passes connections on to one address until the process there ends. */
export class StopProxy {
  /** @param host, port - address to which connections are passed on */
  constructor (host, port) {
    /** Ports of callers whose connections were refused, as no process was there. */
    this.refusedPorts = new Set()
    this._pairs = new Set()
    this._server = createServer({ allowHalfOpen: true, noDelay: true, highWaterMark: BUFFER_BYTES }, downstream => {
      const upstream = connect({ host, port, allowHalfOpen: true, noDelay: true, highWaterMark: BUFFER_BYTES })
      const pair = { sockets: [downstream, upstream], isLost: false }
      this._pairs.add(pair)
      const { remotePort } = downstream
      upstream.on('error', error => { if (error.code === 'ECONNREFUSED') this.refusedPorts.add(remotePort) })
      this._pass(pair, downstream, upstream)
      this._pass(pair, upstream, downstream)
      downstream.on('close', () => { if (upstream.destroyed) this._pairs.delete(pair) })
      upstream.on('close', () => { if (downstream.destroyed) this._pairs.delete(pair) })
    })
  }

  /** Starts to listen on a port of a loopback address. */
  async listen (host, port) {
    await new Promise((resolve, reject) => this._server.once('error', reject).listen(port, host, resolve))
  }

  /** Discards what is on its way; callers get what had reached them, and then the end of their connections. */
  lose () {
    for (const pair of this._pairs) {
      pair.isLost = true
      const [downstream, upstream] = pair.sockets
      upstream.destroy()
      downstream.removeAllListeners('data').resume().end()
    }
  }

  close () {
    this._server.close()
    for (const pair of this._pairs) this._reset(pair)
  }

  /** Passes bytes, the end of a direction and resets on in order. */
  _pass (pair, from, to) {
    let sentBytes = 0
    const deliver = (bytes, run) => setTimeout(() => {
      if (pair.isLost) return
      run()
      sentBytes -= bytes
      if (sentBytes < WINDOW_BYTES && !to.writableNeedDrain) from.resume()
    }, DELAY_MS)
    from.on('data', chunk => {
      sentBytes += chunk.length
      if (sentBytes >= WINDOW_BYTES) from.pause()
      deliver(chunk.length, () => { if (!to.write(chunk)) from.pause() })
    })
    to.on('drain', () => { if (sentBytes < WINDOW_BYTES) from.resume() })
    from.on('end', () => deliver(0, () => to.end()))
    from.on('error', () => deliver(0, () => this._reset(pair)))
  }

  _reset (pair) {
    this._pairs.delete(pair)
    pair.isLost = true
    for (const socket of pair.sockets) socket.resetAndDestroy()
  }
}
