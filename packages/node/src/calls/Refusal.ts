/**
 * Error responses of the node itself: RFC 9457 problem details with a machine-readable reason.
 */
import type { ServerResponse } from 'node:http'
import type { CallDialect } from './CallDialect.js'
import type { AuthorizationRefusal } from '@lagoonswitch/traffic'
import type { ClaimResult } from '../claims/ClaimsClient.js'
import type { FailureReason } from './CallTypes.js'

/** Why a call was refused; the label of the refusal counter. */
export type RefusalReason = FailureReason | AuthorizationRefusal |
  'credentials-withdrawn' |
  'not-ready' | 'not-current' | 'no-route' | 'too-deep' | 'bad-header' | 'key-missing' | 'key-mismatch' | 'key-in-progress' |
  'key-unknown' | 'keys-full' | 'no-quorum' | 'body-too-large' | 'head-too-large' | 'owner-limit' | 'process-draining' |
  'usage-cap' | 'cap-undecided'

/** Whether the target ran the request, as far as is known. */
export type RunState = 'not-run' | 'unknown' | 'run-earlier'

interface IProblemType {
  readonly status: number
  readonly title: string
  readonly remedy: string
}

const PROBLEM_TYPES: Readonly<Record<RefusalReason, IProblemType>> = {
  'queue-full': { status: 503, title: 'the queue of the target is full', remedy: 'retry after the stated time' },
  shed: { status: 503, title: 'more important calls took the place', remedy: 'retry after the stated time' },
  deadline: { status: 504, title: 'no answer before the deadline', remedy: 'allow more time or check the target' },
  'deadline-queue': { status: 503, title: 'the deadline is shorter than the queue', remedy: 'retry after the stated time' },
  'no-target': { status: 503, title: 'no target is ready', remedy: 'start targets of the version in use' },
  draining: { status: 503, title: 'the target is leaving', remedy: 'retry' },
  unreachable: { status: 503, title: 'the process beside the target can\'t be reached', remedy: 'retry' },
  'link-lost': { status: 502, title: 'the link to the target broke', remedy: 'check whether the request took effect' },
  connect: { status: 503, title: 'the target takes no connections', remedy: 'check the target' },
  broken: { status: 502, title: 'the target broke the connection', remedy: 'check whether the request took effect' },
  cancelled: { status: 499, title: 'the caller gave up', remedy: 'none needed' },
  oversized: { status: 502, title: 'the target sent too many bytes beside a body', remedy: 'check whether the request took effect' },
  'bad-frame': { status: 502, title: 'a process of the system broke its protocol', remedy: 'update the processes' },
  'target-busy': { status: 503, title: 'the target took no more calls', remedy: 'retry after the stated time' },
  'target-replaced': { status: 503, title: 'another target has the address', remedy: 'retry' },
  'bad-status': { status: 502, title: 'the target sent a status that no response can have', remedy: 'check whether the request took effect' },
  hung: { status: 504, title: 'the target seems to hang', remedy: 'check whether the request took effect; compare the slots of the target with its capacity' },
  crossed: { status: 502, title: 'the target sent the answer to another call', remedy: 'check whether the request took effect' },
  'link-silent': { status: 502, title: 'the process beside the target fell silent', remedy: 'check whether the request took effect' },
  'no-spare': { status: 503, title: 'targets of other zones have no free slot', remedy: 'retry after the stated time' },
  'no-budget': { status: 503, title: 'the services that the target calls bear no more repeats', remedy: 'retry after the stated time' },
  'needed-refused': { status: 503, title: 'a service that the target calls refuses most calls', remedy: 'retry after the stated time' },
  'not-ready': { status: 503, title: 'this process has no confirmed catalogue yet', remedy: 'retry; check the control VMs' },
  'not-current': { status: 503, title: 'no route matches, but this process may not have the newest catalogue', remedy: 'retry; check its source' },
  'no-route': { status: 404, title: 'no route matches', remedy: 'declare a route or correct the path and the method' },
  'credentials-missing': { status: 401, title: 'this route needs the key of an account', remedy: 'send Authorization: Bearer KEY' },
  'credentials-unknown': { status: 401, title: 'no account has the key', remedy: 'use a key of an account' },
  'credentials-withdrawn': { status: 401, title: 'the key was withdrawn while the call waited', remedy: 'use another key of the account' },
  'accounts-not-current': {
    status: 503, title: 'the key can\'t be judged, as this process may not have the newest catalogue', remedy: 'retry; check its source'
  },
  'parent-unknown': {
    status: 503, title: 'this process has started too recently to know the call that this one belongs to', remedy: 'retry'
  },
  'too-deep': { status: 508, title: 'the chain of calls is too deep', remedy: 'look for a loop between services' },
  'bad-header': { status: 400, title: 'a header can\'t be used', remedy: 'correct the header' },
  'key-missing': { status: 428, title: 'this route needs an idempotency key', remedy: 'send the header Idempotency-Key' },
  'key-mismatch': { status: 422, title: 'the key belongs to another request', remedy: 'use a new key for a new request' },
  'key-in-progress': { status: 409, title: 'a call with this key is running', remedy: 'repeat it after the stated time' },
  'key-unknown': { status: 409, title: 'the outcome of the call with this key is unknown', remedy: 'check whether it took effect' },
  'keys-full': { status: 503, title: 'no more keys can be kept', remedy: 'raise claim_capacity or shorten answer_retention' },
  'no-quorum': { status: 503, title: 'the key can\'t be claimed now', remedy: 'retry with the same key; check the control VMs' },
  'body-too-large': { status: 413, title: 'the body is too large', remedy: 'shorten it or raise the limit' },
  'head-too-large': { status: 431, title: 'the head is too large', remedy: 'send fewer or shorter headers' },
  'owner-limit': { status: 429, title: 'the owner has too many calls running', remedy: 'retry after the stated time' },
  'process-draining': { status: 503, title: 'this process is stopping', remedy: 'use another process' },
  'usage-cap': { status: 429, title: 'the account has used up its rate', remedy: 'retry after the stated time' },
  'cap-undecided': { status: 503, title: 'the usage of the account can\'t be checked now', remedy: 'retry; check the control VMs' }
}

/** Statuses from which a caller may conclude that the request was not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])
const UNAUTHORIZED_STATUS = 401
const BAD_GATEWAY_STATUS = 502
const UNAVAILABLE_STATUS = 503
const RETRY_AFTER_MS = 1_000

/** Content of an error response. */
export interface IRefusal {
  readonly reason: RefusalReason
  readonly run: RunState
  readonly retryAfterMs: number
  readonly detail?: string
}

/** Refusals of calls whose idempotency key could not be claimed. */
export const CLAIM_REFUSALS: Readonly<Record<UngrantedKind, IRefusal>> = {
  'in-progress': { reason: 'key-in-progress', run: 'run-earlier', retryAfterMs: RETRY_AFTER_MS },
  unknown: { reason: 'key-unknown', run: 'unknown', retryAfterMs: 0 },
  mismatch: { reason: 'key-mismatch', run: 'not-run', retryAfterMs: 0 },
  full: { reason: 'keys-full', run: 'not-run', retryAfterMs: RETRY_AFTER_MS },
  'no-quorum': { reason: 'no-quorum', run: 'not-run', retryAfterMs: RETRY_AFTER_MS }
}

type UngrantedKind = Exclude<ClaimResult['kind'], 'granted' | 'answered'>

/**
 * Sends a refusal.
 * @param response - of the call; nothing has been sent on it
 * @param refusal - reason, run state and retry delay
 * @param isClosing - true to close the caller's connection afterwards
 * @param dialect - formats the Retry-After header
 * @returns HTTP status that was sent
 */
export function sendRefusal (
  response: ServerResponse, refusal: IRefusal, isClosing: boolean, dialect: CallDialect
): number {
  const problemType = PROBLEM_TYPES[refusal.reason]
  const isPossiblyRun = refusal.run !== 'not-run' && NOT_RUN_STATUSES.has(problemType.status)
  // The same reason can apply before the target could receive the request, which callers read from the status.
  const isCertainlyNotRun = refusal.run === 'not-run' && problemType.status === BAD_GATEWAY_STATUS
  const status = isPossiblyRun ? BAD_GATEWAY_STATUS : isCertainlyNotRun ? UNAVAILABLE_STATUS : problemType.status
  const body = Buffer.from(JSON.stringify({
    type: `urn:lagoonswitch:problem:${refusal.reason}`,
    title: problemType.title,
    status,
    detail: refusal.detail ?? problemType.remedy,
    reason: refusal.reason,
    run: refusal.run,
    remedy: problemType.remedy
  }))
  const headers: Record<string, string | number> = {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    'lagoon-run': refusal.run
  }
  if (status === UNAUTHORIZED_STATUS) headers['www-authenticate'] = 'Bearer'
  if (refusal.retryAfterMs > 0) headers['retry-after'] = dialect.formatRetryAfter(refusal.retryAfterMs)
  if (isClosing) headers.connection = 'close'
  response.writeHead(status, headers)
  response.end(body)
  return status
}
