/**
 * The log lines and metrics of one call.
 */
import type { ITargetState } from '../routing/TargetPool.js'
import type { ICallContext } from './CallContext.js'
import type { CallRepeats } from './CallRepeats.js'
import { isSampled } from './CallSampling.js'

const FIRST_SERVER_ERROR = 500
/** Name in the metrics for calls that no route matched. */
const NO_ROUTE = 'none'

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
  private readonly _isTraced: boolean
  /** Key of the route; empty while none is known. */
  route = ''
  /** Attempts of the call, once it may be sent. */
  repeats: CallRepeats | undefined

  /**
   * @param _context - what all calls share
   * @param _call - identity of the call
   */
  constructor (private readonly _context: ICallContext, private readonly _call: string) {
    this._isTraced = isSampled(_call)
  }

  /** Reports a repeat that is about to be sent. */
  reportRepeat (reason: string, last: ITargetState | undefined): void {
    const { metrics, log } = this._context
    metrics.count('retries_total', reason)
    log.info('call_repeated', {
      call: this._call,
      route: this.route,
      target: last?.record.targetId,
      reason,
      sends: this.repeats?.sends,
      runs: this.repeats?.runs,
      repeats_in_window: this.repeats?.budget.countRepeats()
    })
  }

  /** Reports an attempt, for calls that are traced. */
  reportSend (target: ITargetState, leftMs: number): void {
    if (!this._isTraced) return
    const { record } = target
    this._context.log.info('call_sent', {
      call: this._call,
      route: this.route,
      target: record.targetId,
      node: record.node,
      known_as: `${record.incarnation}.${record.sequence}`,
      failure_rate: target.failureRate,
      in_flight: target.inFlight,
      load_age_ms: target.getHintAgeMs(this._context.clock.readMonotonicMs()),
      send: this.repeats?.sends,
      left_ms: leftMs
    })
  }

  /** Reports the end; good answers are logged for calls that are traced only. */
  reportEnd ({ outcome, reason, run, status, tookMs, leftMs }: ICallEnd, last: ITargetState | undefined): void {
    const { metrics, log } = this._context
    metrics.count('calls_total', reason === '' ? outcome : reason)
    metrics.getLatencies('call_duration', 'route').record(this.route === '' ? NO_ROUTE : this.route, tookMs)
    if (outcome === 'answered' && status < FIRST_SERVER_ERROR && !this._isTraced) return
    log.info('call_ended', {
      call: this._call,
      outcome,
      reason,
      run,
      status,
      route: this.route,
      target: last?.record.targetId,
      sends: this.repeats?.sends ?? 0,
      runs: this.repeats?.runs ?? 0,
      took_ms: Math.round(tookMs),
      left_ms: leftMs,
      catalogue: this._context.getCatalogueVersion()
    })
  }
}
