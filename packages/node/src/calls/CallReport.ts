/**
 * The log lines and metrics of one call.
 */
import type { ITargetState } from '../routing/TargetPool.js'
import type { ICallContext } from './CallContext.js'
import type { CallRetries } from './CallRetries.js'
import { isSampled } from './CallSampling.js'

const MIN_SERVER_ERROR_STATUS = 500
/** Name in the metrics for calls that no route matched. */
const NO_ROUTE_LABEL = 'none'

/** How a call ended. */
export interface ICallEnd {
  readonly outcome: string
  readonly reason: string
  readonly run: string
  readonly status: number
  readonly tookMs: number
  /** Time that was left; undefined when the call stated none that could be read. */
  readonly leftMs: number | undefined
}

/** Reports what is decided on one call. */
export class CallReport {
  private readonly _isSampled: boolean
  /** Key of the route; empty while none is known. */
  route = ''
  /** Attempts of the call, once it may be sent. */
  retries: CallRetries | undefined

  /**
   * @param _context - what all calls share
   * @param _callId - identity of the call
   */
  constructor (private readonly _context: ICallContext, private readonly _callId: string) {
    this._isSampled = isSampled(_callId)
  }

  /** Reports a repeat that is about to be sent. */
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
      repeats_in_window: this.retries?.budget.countRepeats()
    })
  }

  /** Reports an attempt, for calls that are traced. */
  reportSend (target: ITargetState, leftMs: number): void {
    if (!this._isSampled) return
    const { record } = target
    this._context.log.info('call_sent', {
      call: this._callId,
      route: this.route,
      target: record.targetId,
      node: record.node,
      known_as: `${record.incarnation}.${record.sequence}`,
      failure_rate: target.failureRate,
      in_flight: target.inFlight,
      load_age_ms: target.getLoadReportAgeMs(this._context.clock.readMonotonicMs()),
      send: this.retries?.sends,
      left_ms: leftMs
    })
  }

  /** Reports the end; good answers are logged for calls that are traced only. */
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
      target: lastTarget?.record.targetId,
      sends: this.retries?.sends ?? 0,
      runs: this.retries?.runs ?? 0,
      took_ms: Math.round(tookMs),
      left_ms: leftMs,
      catalogue: this._context.getCatalogueVersion()
    })
  }
}
