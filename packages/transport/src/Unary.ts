/**
 * Promise-based unary gRPC calls, for clients and servers.
 */
import { Metadata, status, type ServerUnaryCall, type ServiceError, type sendUnaryData } from '@grpc/grpc-js'
import { formatError } from '@lagoonswitch/common'

/** A unary method of a generated client. */
export type UnaryMethod<Q, R> = (
  request: Q, metadata: Metadata, options: { deadline: number }, callback: (error: ServiceError | null, reply: R) => void
) => unknown

/**
 * Sends a unary call.
 * @param method - bound method of a generated client
 * @param request - request message
 * @param timeoutMs - deadline, in milliseconds from now
 * @returns the reply; rejects with the gRPC error
 */
export async function sendUnary<Q, R> (method: UnaryMethod<Q, R>, request: Q, timeoutMs: number): Promise<R> {
  return await new Promise<R>((resolve, reject) => {
    method(request, new Metadata(), { deadline: Date.now() + timeoutMs }, (error, reply) => {
      if (error !== null) reject(error)
      else resolve(reply)
    })
  })
}

/**
 * Creates a server handler from an asynchronous function.
 * @param handle - returns the reply to a request; an error is sent as UNAVAILABLE with its message
 * @returns the handler for a gRPC server
 */
export function createUnaryHandler<Q, R> (
  handle: (request: Q) => Promise<R>
): (call: ServerUnaryCall<Q, R>, callback: sendUnaryData<R>) => void {
  return (call, callback) => {
    handle(call.request).then(
      reply => callback(null, reply),
      error => callback({ code: status.UNAVAILABLE, details: formatError(error) }))
  }
}

/**
 * @param error - error of {@link sendUnary}
 * @returns true when the deadline was exceeded
 */
export function isTimeout (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === status.DEADLINE_EXCEEDED
}
