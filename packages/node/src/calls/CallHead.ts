/**
 * Reads and checks the head of a call.
 */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from '@lagoonswitch/common'
import { CallClass, type CallerLimits } from '@lagoonswitch/schema'
import type { ICompiledRoute } from '../routing/RouteTable.js'
import type { ICallContext } from './CallContext.js'
import { MAX_CALL_DEPTH } from './CallTypes.js'
import { copyRequestHeaders } from './Headers.js'
import type { IRefusal, RefusalReason } from './Refusal.js'

const MAX_KEY_LENGTH = 255
/** Bytes between a name and its value, and after the value. */
const SEPARATOR_BYTES = 2
const RETRY_AFTER_MS = 1_000
/** Time left of an objective that is over; 0 would say that there is none. */
const MIN_OBJECTIVE_LEFT_MS = 1

/** What a call needs of its head. */
export interface ICallHead {
  readonly route: ICompiledRoute
  /** Time for the answer in milliseconds. */
  readonly timeoutMs: number
  /** Time that the caller has waited in earlier attempts, as far as can be told; 0 for a first attempt. */
  readonly waitedMs: number
  readonly callClass: CallClass
  /** Identity of this attempt of the caller; empty when it gave none. */
  readonly callId: string
  /** Calls above this one in a chain. */
  readonly depth: number
  /** Identity of the call that the target runs which makes this one; empty when it makes none or doesn't tell. */
  readonly parentId: string
  /** True when a repeated run makes the call. */
  readonly isOfRepeat: boolean
  /** Headers for the target, names and values in turn. */
  readonly headers: readonly string[]
  /** Idempotency key; empty on routes without keys. */
  readonly key: string
}

/**
 * Reads the head of a call and finds its route.
 * @param context - routes and state of the process
 * @param request - from the caller
 * @returns the head, or the refusal; nothing was run then
 */
export function readCallHead (context: ICallContext, request: IncomingMessage): Result<ICallHead, IRefusal> {
  const { headers, method, url } = request
  const routes = context.getRoutes()
  if (routes === undefined) return refuse('not-ready', RETRY_AFTER_MS)
  const route = routes.findRoute(headers.host ?? '', method ?? '', url ?? '/')
  if (route === undefined) return refuse('no-route')
  const limits = context.getCallerLimits()
  const oversizeReason = limits === undefined ? undefined : findOversizeReason(request, limits)
  if (oversizeReason !== undefined) return refuse(oversizeReason)
  const metadataResult = context.dialect.readCallMetadata(headers)
  if (metadataResult.err) return refuse('bad-header', 0, metadataResult.val)
  const metadata = metadataResult.val
  const stop = context.getStop()
  // Calls that running targets make for others are still served.
  if (stop?.isRefusing === true && !metadata.isAwaited && metadata.depth === 0) {
    return refuse('process-draining', stop.computeRetryAfterMs(context.clock.readMonotonicMs()))
  }
  if (metadata.depth >= MAX_CALL_DEPTH) return refuse('too-deep')
  if (route.isKeyed && !isValidKey(metadata.key)) return refuse('key-missing')
  const forwardedHeaders = copyRequestHeaders(request.rawHeaders, context.dialect.reservedHeaders)
  forwardedHeaders.push(...context.dialect.formatForwardHeaders(metadata, context.settings.process.service))
  const requestedClass = Math.max(route.callClass, metadata.callClass ?? route.callClass)
  const callClass = metadata.isAwaited ? CallClass.CALL_CLASS_FIRST : requestedClass
  return Ok({
    route,
    timeoutMs: Math.min(route.deadlineMs, metadata.wishedMs ?? Infinity),
    waitedMs: computeWaitedMs(context, route, callClass, metadata.wishedMs),
    callClass,
    callId: metadata.callId,
    depth: metadata.depth,
    parentId: metadata.parentId,
    isOfRepeat: metadata.isOfRepeat || context.isRepeatRun(metadata.parentId),
    headers: forwardedHeaders,
    key: route.isKeyed ? metadata.key : ''
  })
}

/**
 * Tells whether a body follows the head.
 * @param request - from the caller
 * @returns false for a call without a body
 */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

/**
 * @param head - of the call
 * @param elapsedMs - time since it arrived
 * @returns time left of its objective in milliseconds, 0 when it has none
 */
export function computeObjectiveLeftMs ({ route, waitedMs }: ICallHead, elapsedMs: number): number {
  return route.objectiveMs === 0 ? 0 : Math.max(MIN_OBJECTIVE_LEFT_MS, route.objectiveMs - waitedMs - elapsedMs)
}

/** Calls of the first class are made for others and state what those have left, which tells nothing of attempts. */
function computeWaitedMs (
  context: ICallContext, route: ICompiledRoute, callClass: CallClass, wishedMs: number | undefined
): number {
  if (wishedMs === undefined || callClass === CallClass.CALL_CLASS_FIRST) return 0
  return context.callerWaitEstimator.recordRemainingMs(route.key, wishedMs)
}

function refuse (reason: RefusalReason, retryAfterMs = 0, detail?: string): Result<ICallHead, IRefusal> {
  return Err({ reason, run: 'not-run', retryAfterMs, detail })
}

function findOversizeReason (request: IncomingMessage, limits: CallerLimits): RefusalReason | undefined {
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) return 'body-too-large'
  const headBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, (request.url ?? '').length)
  return headBytes > limits.headerBytes ? 'head-too-large' : undefined
}

function isValidKey (key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH
}
