/**
 * A TCP proxy on loopback that delays, cuts, silences or resets the connections that pass through it.
 */
import { connect, createServer } from 'node:net'

/** Time that each piece of data takes while the proxy delays, in milliseconds. */
const DELAY_MS = 150

/** Faults of a proxy; `none` passes all data at once. */
export const PROXY_FAULTS = ['none', 'delayed', 'cut-requests', 'cut-responses', 'silent']

/** Passes connections on to one address. */
export class FaultProxy {
  /** @param host, port - address to which connections are passed on */
  constructor (host, port) {
    this.fault = 'none'
    this._sockets = new Set()
    this._server = createServer(downstream => {
      const upstream = connect(port, host)
      this._pass(downstream, upstream, 'cut-requests')
      this._pass(upstream, downstream, 'cut-responses')
    })
  }

  /** Starts to listen on a port of a loopback address. */
  async listen (host, port) {
    await new Promise((resolve, reject) => this._server.once('error', reject).listen(port, host, resolve))
  }

  /** Resets all connections. */
  reset () {
    for (const socket of this._sockets) socket.resetAndDestroy()
  }

  close () {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  _pass (from, to, cut) {
    from.setNoDelay(true)
    this._sockets.add(from)
    from.on('error', () => undefined)
    from.on('close', () => {
      this._sockets.delete(from)
      to.destroy()
    })
    from.on('end', () => to.end())
    from.on('data', chunk => {
      if (this.fault === cut || this.fault === 'silent') return
      if (this.fault === 'delayed') setTimeout(() => to.write(chunk), DELAY_MS)
      else to.write(chunk)
    })
  }
}
