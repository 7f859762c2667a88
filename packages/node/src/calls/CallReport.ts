/**
 * Log events and metrics of one call.
 */
import type { ILogFields } from '@lagoonswitch/common'
import type { ITargetState } from '@lagoonswitch/traffic'
import type { CallBody } from './CallBody.js'
import type { ICallContext } from './CallContext.js'
import type { CallRetries } from './CallRetries.js'
import { isSampled } from './CallSampling.js'

const MIN_SERVER_ERROR_STATUS = 500
/** Route label of calls that matched no route. */
const NO_ROUTE_LABEL = 'none'
/** Refusals that depend on how new the catalogue of this process is. */
const ROUTE_REFUSALS: ReadonlySet<string> = new Set(['no-route', 'not-current', 'credentials-unknown', 'accounts-not-current'])

/** How a call ended. */
export interface ICallEnd {
  readonly outcome: string
  readonly reason: string
  readonly run: string
  readonly status: number
  readonly tookMs: number
  /** Time left until the deadline in milliseconds; undefined when the request head was refused before a deadline was set. */
  readonly leftMs: number | undefined
}

/** Logs and counts the attempts and the outcome of one call. */
export class CallReport {
  private readonly _isSampled: boolean
  /** Key of the matched route; empty until one is found. */
  route = ''
  /** Name of the client account; empty for a call without one. */
  account = ''
  /** Body of a call on a route with large ones; undefined on others. */
  body: CallBody | undefined
  /** Attempt counters; undefined until the request head has been accepted. */
  retries: CallRetries | undefined

  /**
   * @param _context - shared by all calls
   * @param _callId - ID of the call; empty when the caller gave none
   */
  constructor (private readonly _context: ICallContext, private readonly _callId: string) {
    this._isSampled = isSampled(_callId)
  }

  /** Reports a retry that is about to be sent. */
  reportRetry (reason: string, lastTarget: ITargetState | undefined): void {
    const { metrics, log } = this._context
    metrics.count('retries_total', reason)
    log.info('call_repeated', {
      call: this._callId,
      route: this.route,
      target: lastTarget?.record.targetId,
      reason,
      sends: this.retries?.sends,
      runs: this.retries?.runs,
      repeats_in_window: this.retries?.budget.countRetries()
    })
  }

  /** Logs an attempt if the call is sampled. */
  reportSend (target: ITargetState, leftMs: number): void {
    if (!this._isSampled) return
    const { record, reportedSpeed } = target
    const nowMs = this._context.clock.readMonotonicMs()
    this._context.log.info('call_sent', {
      call: this._callId,
      route: this.route,
      account: this._getAccountField(),
      target: record.targetId,
      node: record.node,
      known_as: `${record.incarnation}.${record.sequence}`,
      failure_rate: target.failureRate,
      in_flight: target.inFlight,
      load_age_ms: target.getLoadReportAgeMs(nowMs),
      slowness: reportedSpeed?.slowness,
      usual_slowness: reportedSpeed?.usualSlowness,
      slowness_age_ms: reportedSpeed === undefined ? undefined : nowMs - reportedSpeed.atMs,
      room: target.computeRoom(nowMs),
      send: this.retries?.sends,
      left_ms: leftMs
    })
  }

  /** Reports the end of the call; successful responses are logged only if the call is sampled. */
  reportEnd ({ outcome, reason, run, status, tookMs, leftMs }: ICallEnd, lastTarget: ITargetState | undefined): void {
    const { metrics, log } = this._context
    metrics.count('calls_total', reason === '' ? outcome : reason)
    metrics.getLatencyFamily('call_duration', 'route').record(this.route === '' ? NO_ROUTE_LABEL : this.route, tookMs)
    if (outcome === 'answered' && status < MIN_SERVER_ERROR_STATUS && !this._isSampled) return
    log.info('call_ended', {
      call: this._callId,
      outcome,
      reason,
      run,
      status,
      route: this.route,
      account: this._getAccountField(),
      target: lastTarget?.record.targetId,
      sends: this.retries?.sends ?? 0,
      runs: this.retries?.runs ?? 0,
      took_ms: Math.round(tookMs),
      left_ms: leftMs,
      catalogue: this._context.getCatalogueVersion(),
      ...(this.body === undefined ? {} : describeBody(this.body)),
      ...(ROUTE_REFUSALS.has(reason) ? this._describeFeed() : {})
    })
  }

  private _getAccountField (): string | undefined {
    return this.account === '' ? undefined : this.account
  }

  private _describeFeed (): ILogFields {
    const { source, level, sourceMs, currentMs } = this._context.getFeedStatus()
    return {
      catalogue_ms: Math.round(this._context.getCatalogueAgeMs()),
      source,
      feed_level: level,
      source_ms: Math.round(sourceMs),
      current_ms: Math.round(currentMs)
    }
  }
}

function describeBody ({ readBytes, statedBytes, hasEnded }: CallBody): ILogFields {
  return { body_bytes: readBytes, body_stated: statedBytes, body_ended: hasEnded }
}
