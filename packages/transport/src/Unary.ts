/**
 * Unary gRPC calls as promises, on both sides.
 */
import { Metadata, status, type ServerUnaryCall, type ServiceError, type sendUnaryData } from '@grpc/grpc-js'
import { formatError } from '@lagoonswitch/common'

/** A method of a generated client that sends one request. */
export type UnaryMethod<Q, R> = (
  request: Q, metadata: Metadata, options: { deadline: number }, callback: (error: ServiceError | null, reply: R) => void
) => unknown

/**
 * Sends a unary call.
 * @param method - bound method of a generated client
 * @param request - message
 * @param timeoutMs - longest wait in milliseconds
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
 * Makes a server handler from an asynchronous function.
 * @param handle - answers one request
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
 * @param error - from {@link sendUnary}
 * @returns true when no answer came in time
 */
export function isTimeout (error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === status.DEADLINE_EXCEEDED
}
