/**
 * Reads and validates the request head of a call.
 */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from '@lagoonswitch/common'
import { CallClass, type CallerLimits } from '@lagoonswitch/schema'
import { authorizeCall, type IAuthorization } from '@lagoonswitch/traffic'
import { findClass, type ICompiledRoute } from '../routing/RouteTable.js'
import type { ICallContext } from './CallContext.js'
import type { ICallMetadata } from './CallDialect.js'
import { MAX_CALL_DEPTH } from './CallTypes.js'
import { copyRequestHeaders } from './Headers.js'
import type { IRefusal, RefusalReason } from './Refusal.js'

const MAX_KEY_LENGTH = 255
/** Separator after a header name (`: `) and line break after its value. */
const SEPARATOR_BYTES = 2
const RETRY_AFTER_MS = 1_000
/** Time in which a node that has lost its source usually has another one. */
const NOT_CURRENT_RETRY_AFTER_MS = 500
/** Reported for an objective that has passed, since 0 means that there is no objective. */
const MIN_OBJECTIVE_LEFT_MS = 1
/** Time after the start of the process in which targets may run calls that they received before it; longer than most calls take. */
const UNKNOWN_RUNS_MS = 10_000

/** Validated head of a call. */
export interface ICallHead {
  readonly route: ICompiledRoute
  /** Time allowed until the response is complete, in milliseconds. */
  readonly timeoutMs: number
  /** Estimated time that the caller has spent on earlier attempts, in milliseconds; 0 for a first attempt. */
  readonly waitedMs: number
  readonly callClass: CallClass
  /** ID of the caller's attempt; empty when it gave none. */
  readonly callId: string
  /** Number of calls above this one in a call chain. */
  readonly depth: number
  /** ID of the call whose target makes this one; empty when there is none or it is not stated. */
  readonly parentId: string
  /** True when the target that makes this call is itself running a repeat. */
  readonly isOfRepeat: boolean
  /** Headers for the target, alternating names and values. */
  readonly headers: readonly string[]
  /** Idempotency key; empty on routes that use none. */
  readonly key: string
  /** Name of the client account; empty for a call without one. */
  readonly account: string
  /** Digest of the key of the account; empty for a call without one. */
  readonly keyDigest: string
}

/**
 * Reads the head of a call, finds its route and checks the limits.
 * @param context - shared by all calls
 * @param request - from the caller
 * @returns the head, or why the call is refused; nothing has been run in that case
 */
export function readCallHead (context: ICallContext, request: IncomingMessage): Result<ICallHead, IRefusal> {
  const { headers, method, url } = request
  const routes = context.getRoutes()
  if (routes === undefined) return refuse('not-ready', RETRY_AFTER_MS)
  const route = routes.findRoute(headers.host ?? '', method ?? '', url ?? '/')
  if (route === undefined) return context.isCatalogueCurrent() ? refuse('no-route') : refuse('not-current', NOT_CURRENT_RETRY_AFTER_MS)
  const limits = context.getCallerLimits()
  const oversizeReason = limits === undefined ? undefined : findOversizeReason(request, limits)
  if (oversizeReason !== undefined) return refuse(oversizeReason)
  const metadataResult = context.dialect.readCallMetadata(headers)
  if (metadataResult.err) return refuse('bad-header', 0, metadataResult.val)
  const metadata = metadataResult.val
  const authorization = authorizeHead(context, request.rawHeaders, route, metadata)
  if (authorization.err) return authorization
  const { account, keyDigest, isNested } = authorization.val
  const stop = context.getStop()
  // Nested calls are still served, since targets that are running calls wait for them.
  if (stop?.isRefusing === true && !isNested && metadata.depth === 0) {
    return refuse('process-draining', stop.computeRetryAfterMs(context.clock.readMonotonicMs()))
  }
  if (metadata.depth >= MAX_CALL_DEPTH) return refuse('too-deep')
  if (route.isKeyed && !isValidKey(metadata.key)) return refuse('key-missing')
  const forwardedHeaders = copyRequestHeaders(request.rawHeaders, context.getReservedHeaders())
  forwardedHeaders.push(
    ...context.dialect.formatForwardHeaders(metadata, context.settings.process.service),
    ...context.dialect.formatAccountHeaders(account))
  const callClass = selectClass(route, metadata, authorization.val)
  return Ok({
    route,
    timeoutMs: Math.min(route.deadlineMs, metadata.wishedMs ?? Infinity),
    waitedMs: computeWaitedMs(context, route, callClass, metadata.wishedMs),
    callClass,
    callId: metadata.callId,
    depth: metadata.depth,
    parentId: isNested ? metadata.parentId : '',
    isOfRepeat: metadata.isOfRepeat || context.isRepeatRun(metadata.parentId),
    headers: forwardedHeaders,
    key: route.isKeyed ? metadata.key : '',
    account,
    keyDigest
  })
}

/** Without accounts in the catalogue every call is admitted, and one that states its parent is taken as made by a target. */
function authorizeHead (
  context: ICallContext, rawHeaders: readonly string[], route: ICompiledRoute, { isAwaited, parentId }: ICallMetadata
): Result<IAuthorization, IRefusal> {
  const accounts = context.getAccounts()
  if (accounts.size === 0) return Ok({ kind: 'anonymous', account: '', callClass: undefined, keyDigest: '', isNested: isAwaited })
  const decision = authorizeCall({
    accounts,
    key: context.dialect.readKey(rawHeaders),
    isAnonymousRoute: route.isAnonymous,
    parent: parentId === '' ? 'none' : context.isLocalRun(parentId) ? 'running' : 'unknown',
    areRunsKnown: context.clock.readMonotonicMs() - context.startedMs >= UNKNOWN_RUNS_MS,
    isCatalogueCurrent: context.isCatalogueCurrent()
  })
  context.metrics.count('authorizations_total', decision.kind === 'refused' ? decision.reason : decision.kind)
  if (decision.kind !== 'refused') return Ok(decision)
  switch (decision.reason) {
    case 'accounts-not-current': return Err(createRefusal(decision.reason, NOT_CURRENT_RETRY_AFTER_MS))
    case 'parent-unknown': return Err(createRefusal(decision.reason, RETRY_AFTER_MS))
    default: return Err(createRefusal(decision.reason))
  }
}

/** The class of the account takes precedence over that of the route; the caller can only lower it. */
function selectClass (route: ICompiledRoute, metadata: ICallMetadata, { callClass, isNested }: IAuthorization): CallClass {
  if (isNested) return CallClass.CALL_CLASS_FIRST
  const grantedClass = (callClass === undefined ? undefined : findClass(callClass)) ?? route.callClass
  return Math.max(grantedClass, metadata.callClass ?? grantedClass)
}

/**
 * Tells whether the request has a body.
 * @param request - from the caller
 * @returns false for a call without a body
 */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

/**
 * Computes the time left until the latency objective of a call.
 * @param head - of the call
 * @param elapsedMs - time since the call arrived, in milliseconds
 * @returns milliseconds, at least 1; 0 when the route has no objective
 */
export function computeObjectiveLeftMs ({ route, waitedMs }: ICallHead, elapsedMs: number): number {
  return route.objectiveMs === 0 ? 0 : Math.max(MIN_OBJECTIVE_LEFT_MS, route.objectiveMs - waitedMs - elapsedMs)
}

/**
 * Estimates the time that the caller has spent on earlier attempts. Calls of the first class are made on behalf of other calls and
 * state the time that those have left, from which earlier attempts cannot be inferred.
 */
function computeWaitedMs (
  context: ICallContext, route: ICompiledRoute, callClass: CallClass, wishedMs: number | undefined
): number {
  if (wishedMs === undefined || callClass === CallClass.CALL_CLASS_FIRST) return 0
  return context.callerWaitEstimator.recordRemainingMs(route.key, wishedMs)
}

function refuse (reason: RefusalReason, retryAfterMs = 0, detail?: string): Result<ICallHead, IRefusal> {
  return Err(createRefusal(reason, retryAfterMs, detail))
}

function createRefusal (reason: RefusalReason, retryAfterMs = 0, detail?: string): IRefusal {
  return { reason, run: 'not-run', retryAfterMs, detail }
}

function findOversizeReason (request: IncomingMessage, limits: CallerLimits): RefusalReason | undefined {
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) return 'body-too-large'
  const headBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, (request.url ?? '').length)
  return headBytes > limits.headerBytes ? 'head-too-large' : undefined
}

function isValidKey (key: string): boolean {
  return key.length > 0 && key.length <= MAX_KEY_LENGTH
}
