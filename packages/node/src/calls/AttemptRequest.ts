/**
 * The request of one attempt, as it is passed to the node of its target.
 */
import type { ITargetState, TargetPool } from '@lagoonswitch/traffic'
import type { CallBody } from './CallBody.js'
import type { ICallHead } from './CallHead.js'
import type { ICallRequest } from './CallTypes.js'

/** What the request is created from. */
export interface IAttemptInput {
  readonly service: string
  readonly owner: string
  /** Limits of the entry of the service. */
  readonly limits: { readonly slots: number, readonly connections: number, readonly queue: number }
  readonly target: ITargetState
  readonly method: string | undefined
  readonly path: string | undefined
  readonly head: ICallHead
  readonly body: CallBody
  /** Time left for the attempt in milliseconds. */
  readonly remainingMs: number
  /** Time left until the latency objective in milliseconds. */
  readonly objectiveMs: number
  readonly isRepeat: boolean
}

/**
 * Creates the request of an attempt.
 * @param input - call and target
 * @param pool - knows how long calls take at the target
 * @returns the request
 */
export function createAttemptRequest (input: IAttemptInput, pool: TargetPool): ICallRequest {
  const { target, head, body, limits } = input
  const { targetId, version } = target.record
  const { key, isRetryable, isBulk, isBulkBody } = head.route
  return {
    service: input.service,
    version,
    targetId,
    method: input.method ?? 'GET',
    path: input.path ?? '/',
    headers: head.headers,
    remainingMs: input.remainingMs,
    callClass: head.callClass,
    callId: head.callId,
    objectiveMs: input.objectiveMs,
    expectedMs: pool.computeExpectedMs(target, key),
    route: key,
    isRetryable,
    isSpareOnly: pool.isLimitedToSpareSlots(target, head.callClass),
    isRepeat: input.isRepeat,
    isBulk,
    isBulkBody,
    bodyBytes: body.statedBytes,
    owner: input.owner,
    account: head.account,
    body: body.bytes,
    isBodyComplete: body.isComplete,
    slots: limits.slots,
    connections: limits.connections,
    queue: limits.queue
  }
}
