/**
 * Takes in the bodies of requests to the HTTP interfaces of a process: within limits of each body and of all of them together, and with
 * pauses between large ones, so that they don't hold up the process together.
 */
import { Transform, type TransformCallback } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import type { Metrics, Result } from '@lagoonswitch/common'

/** All bodies together that have arrived and are not answered; a process has five times as much for everything. */
const MAX_HELD_BYTES = 32 * 1_048_576
/** Start of each body that doesn't count, so that small requests are served while large ones fill the memory. */
const FREE_BYTES = 16_384
const MAX_CONNECTIONS = 1_000
/** Time for a whole request, after which its connection is closed. */
const REQUEST_TIMEOUT_MS = 60_000
const BAD_STATUS = 400
const TOO_LARGE_STATUS = 413
const UNAVAILABLE_STATUS = 503

/** How a listener reads bodies. */
export interface IBodyReader {
  /** Media type that it takes; `*` for any. */
  readonly contentType: string
  /**
   * @param text - a body that is complete
   * @returns the value for the handlers, or a message that says why there is none
   */
  parse (text: string): Result<unknown, string>
  /**
   * @param status - HTTP status
   * @param message - for the client
   * @returns an error that the listener answers so
   */
  createError (status: number, message: string): Error
}

/** Limits of the bodies of all listeners of one process. */
export class BodyIntake {
  private _heldBytes = 0
  /** Resolves when the next large body may be read. */
  private _turn = Promise.resolve()

  /** @param _metrics - count refused bodies */
  constructor (private readonly _metrics: Metrics) {}

  /**
   * Makes a listener read bodies within the limits.
   * @param server - before it listens
   * @param reader - how it reads bodies
   */
  install (server: FastifyInstance, reader: IBodyReader): void {
    server.server.maxConnections = MAX_CONNECTIONS
    server.server.requestTimeout = REQUEST_TIMEOUT_MS
    server.removeAllContentTypeParsers()
    server.addContentTypeParser(reader.contentType, { parseAs: 'string' }, (_request, body, done) => {
      const text = String(body)
      this._enqueue(text.length, () => {
        const parsed = reader.parse(text)
        if (parsed.ok) done(null, parsed.val)
        else done(this._refuse(reader, 'unreadable', BAD_STATUS, `the body can't be read: ${parsed.val}`))
      })
    })
    server.addHook('preParsing', (request, reply, payload, done) => {
      const { 'content-length': stated, 'transfer-encoding': encoding } = request.headers
      if (encoding === undefined && Number(stated ?? 0) <= FREE_BYTES) {
        done(null, payload)
      } else if (Number(stated ?? 0) > request.routeOptions.bodyLimit) {
        done(this._refuseLarge(reader, request))
      } else {
        done(null, payload.pipe(this._createCounter(reader, request, reply)))
      }
    })
  }

  /** After a large body, the other work of the process gets as much time as that took before the next one is read. */
  private _enqueue (length: number, read: () => void): void {
    if (length <= FREE_BYTES) {
      read()
      return
    }
    this._turn = this._turn.then(async () => {
      const startMs = performance.now()
      read()
      await sleep(performance.now() - startMs)
    })
  }

  private _createCounter (reader: IBodyReader, request: FastifyRequest, reply: FastifyReply): Transform {
    let arrivedBytes = 0
    let heldBytes = 0
    reply.raw.once('close', () => {
      this._heldBytes -= heldBytes
      heldBytes = 0
    })
    const count = (chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void => {
      arrivedBytes += chunk.length
      const moreBytes = Math.max(0, arrivedBytes - FREE_BYTES) - heldBytes
      if (arrivedBytes > request.routeOptions.bodyLimit) {
        done(this._refuseLarge(reader, request))
      } else if (this._heldBytes + moreBytes > MAX_HELD_BYTES) {
        done(this._refuse(reader, 'memory', UNAVAILABLE_STATUS, `the bodies of all requests together have more than ${MAX_HELD_BYTES} bytes; retry later`))
      } else {
        heldBytes += moreBytes
        this._heldBytes += moreBytes
        done(null, chunk)
      }
    }
    return new Transform({ transform: count })
  }

  private _refuseLarge (reader: IBodyReader, { routeOptions }: FastifyRequest): Error {
    return this._refuse(reader, 'too-large', TOO_LARGE_STATUS, `the body has more than ${routeOptions.bodyLimit} bytes; send less`)
  }

  private _refuse (reader: IBodyReader, reason: string, status: number, message: string): Error {
    this._metrics.count('bodies_refused_total', reason)
    return reader.createError(status, message)
  }
}
