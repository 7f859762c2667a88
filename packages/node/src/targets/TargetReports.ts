/**
 * Log events and metrics of the behaviour of targets.
 */
import type { ILog, Metrics } from '@lagoonswitch/common'
import type { BodyCreditAllocator, CreditLimit, IHang } from '@lagoonswitch/traffic'
import type { ICallRequest } from '../calls/CallTypes.js'
import type { HangAction } from './TargetCall.js'

/** Time between two log lines on full memory. */
const MEMORY_LOG_INTERVAL_MS = 1_000

/** Reports what targets of this VM did wrong, and when their node withholds credit for large bodies. */
export class TargetReports {
  private _nextMemoryLogMs = -Infinity

  constructor (private readonly _log: ILog, private readonly _metrics: Metrics) {}

  /**
   * Reports surplus bytes outside bodies.
   * @param target - id of the target
   * @param reason - `answer` if they came during a call, `idle` if not
   * @param call - id of the call
   */
  reportOverrun (target: string, reason: 'answer' | 'idle', call?: string): void {
    this._metrics.count('target_overruns_total', reason)
    this._log.warn('target_overrun', { call, target, reason })
  }

  /** Reports a response with a status that no response can have. */
  reportBadStatus ({ callId, targetId }: ICallRequest, status: number | undefined): void {
    this._metrics.count('bad_statuses_total', 'target')
    this._log.warn('bad_status', { call: callId, target: targetId, status, from: 'target' })
  }

  /**
   * Reports a call that is considered hung.
   * @param request - of the call
   * @param hang - inputs of the decision
   * @param action - what is done
   * @param leftMs - time left for the call in milliseconds
   * @param slots - usable slots of the target
   */
  reportHang ({ callId, targetId, route }: ICallRequest, hang: IHang, action: HangAction, leftMs: number, slots: number): void {
    this._metrics.count('target_hangs_total', action)
    this._log.warn('target_hung', {
      call: callId,
      target: targetId,
      route,
      action,
      waited_ms: Math.round(hang.waitedMs),
      limit_ms: Math.round(hang.limitMs),
      longest_ms: Math.round(hang.longestMs),
      average_ms: Math.round(hang.averageMs),
      runs: hang.runs,
      left_ms: leftMs,
      slots
    })
  }

  /** Reports the answer to a call that had been left to wait although it was considered hung. */
  reportHangRefuted (): void {
    this._metrics.count('target_hangs_total', 'refuted')
  }

  /** Adds the gauges of large bodies. */
  addBodyGauges (bodyCredit: BodyCreditAllocator): void {
    this._metrics.addGauge('body_bytes_waiting', () => bodyCredit.waitingBytes)
    this._metrics.addGauge('body_bytes_in_transit', () => bodyCredit.transitBytes)
    this._metrics.addGauge('bodies_open', () => bodyCredit.bodyCount)
  }

  /**
   * Reports that credit for large bodies was withheld.
   * @param limit - that was reached
   * @param bodyCredit - state of the bodies
   * @param nowMs - monotonic time in milliseconds
   */
  reportWithheldCredit (limit: CreditLimit, { bodyCount, waitingBytes }: BodyCreditAllocator, nowMs: number): void {
    this._metrics.count('body_credit_withheld_total', limit)
    if (limit !== 'memory' || nowMs < this._nextMemoryLogMs) return
    this._nextMemoryLogMs = nowMs + MEMORY_LOG_INTERVAL_MS
    this._log.warn('body_memory_full', { bodies: bodyCount, bytes: waitingBytes })
  }
}
