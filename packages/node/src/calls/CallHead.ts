/**
 * Reads and checks the head of a call.
 */
import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from '@lagoonswitch/common'
import type { CallClass } from '@lagoonswitch/schema'
import { findClass, type ICompiledRoute } from '../routing/RouteTable.js'
import type { ICallContext } from './CallContext.js'
import { MAX_CALL_DEPTH } from './CallTypes.js'
import { CLASS_HEADER, DEADLINE_HEADER, DEPTH_HEADER, KEY_HEADER, copyRequestHeaders } from './Headers.js'
import type { IRefusal, RefusalReason } from './Refusal.js'

const MAX_KEY_LENGTH = 255
const RETRY_AFTER_MS = 1_000

/** What a call needs of its head. */
export interface ICallHead {
  readonly route: ICompiledRoute
  /** Time for the answer in milliseconds. */
  readonly allowedMs: number
  readonly callClass: CallClass
  /** Calls above this one in a chain. */
  readonly depth: number
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
  if (context.isDraining()) return refuse('process-draining', RETRY_AFTER_MS)
  const routes = context.getRoutes()
  if (routes === undefined) return refuse('not-ready', RETRY_AFTER_MS)
  const route = routes.findRoute(headers.host ?? '', method ?? '', url ?? '/')
  if (route === undefined) return refuse('no-route')
  const depth = readNumber(headers[DEPTH_HEADER]) ?? 0
  if (depth >= MAX_CALL_DEPTH) return refuse('too-deep')
  const wishedMs = readNumber(headers[DEADLINE_HEADER])
  if (headers[DEADLINE_HEADER] !== undefined && wishedMs === undefined) {
    return refuse('bad-header', 0, `${DEADLINE_HEADER} must be a whole number of milliseconds`)
  }
  const classHeader = headers[CLASS_HEADER]
  const callClass = classHeader === undefined ? route.callClass : findClass(String(classHeader))
  if (callClass === undefined) return refuse('bad-header', 0, `${CLASS_HEADER} is unknown`)
  const key = headers[KEY_HEADER]
  if (route.isKeyed && !isUsableKey(key)) return refuse('key-missing')
  const copied = copyRequestHeaders(request.rawHeaders)
  copied.push(DEPTH_HEADER, String(depth + 1))
  return Ok({
    route,
    allowedMs: Math.min(route.deadlineMs, wishedMs ?? Infinity),
    callClass: Math.max(route.callClass, callClass),
    depth,
    headers: copied,
    key: route.isKeyed ? String(key) : ''
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

function refuse (reason: RefusalReason, retryAfterMs = 0, detail?: string): Result<ICallHead, IRefusal> {
  return Err({ reason, run: 'not-run', retryAfterMs, detail })
}

function readNumber (value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : undefined
}

function isUsableKey (key: string | string[] | undefined): boolean {
  return typeof key === 'string' && key.length > 0 && key.length <= MAX_KEY_LENGTH
}
