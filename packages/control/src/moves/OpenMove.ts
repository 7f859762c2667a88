/**
 * What the leader knows about one open move: the outcomes of calls since it first handled the move, and the probe in progress.
 */
import { MoveComparison, type IClock, type IOutcomes } from '@lagoonswitch/common'
import type { EvidenceRecord, MoveRecord } from '@lagoonswitch/schema'
import { FULL_SHARE_PPM } from './MoveSchedule.js'
import { FAULT_DETECTION_MS } from './OrderedSchedule.js'

/** Length of the windows in which outcomes are added up, in milliseconds. */
export const EVIDENCE_WINDOW_MS = 250
/** Windows over which the call rate is averaged: one second. The first windows of a move lack calls without a response yet. */
const CALL_RATE_WINDOWS = 4

/** Calls to the new version that must be seen before it gets the full share, and again before a new leader calls it good. */
export const MIN_NEW_VERSION_CALLS = 30

/** A comparison of a suspected version with the old one at a small share. */
export interface IProbe {
  readonly resumeSharePpm: number
  /** Time of its start, as the leader reads it from its {@link OpenMove}. */
  readonly startedMs: number
  /** Calls before the probe to the version that determines its length: the new one, or the old one in an ordered move. */
  readonly callsBefore: number
  /** True if another leader started the probe, with evidence that this leader does not have. */
  readonly isInherited: boolean
}

/** Evidence on a move, which only the leader that collected it has. */
export class OpenMove {
  readonly comparison = new MoveComparison()
  /** Wall time of the start of the move; distinguishes it from other moves of the same service. */
  readonly startedMs: number
  /** Time from which on this process has received evidence, on the scale of {@link readTimeMs}. */
  readonly evidenceStartMs: number
  /** True if the new version had calls before this leader handled the move, whose outcomes this leader does not have. */
  readonly isTakenOver: boolean
  private readonly _createdMs: number
  /** Time at which this leader first saw the full share, and the calls to the new version until then. */
  private _fullShareStart: { readonly atMs: number, readonly newCalls: number } | undefined
  private _stepVersion = -1
  private _stepStartMs = 0
  probe: IProbe | undefined
  /** Probes that ended without a proved fault of the new version and without a regression of the old one. */
  recurringRegressions = 0
  private _newVersionOutcomes: IOutcomes[] = []
  private _oldVersionOutcomes: IOutcomes[] = []
  /** Calls to the service in each of the latest windows. */
  private _callsPerWindow: number[] = []

  /**
   * @param move - record of the move
   * @param _clock - of the leader
   */
  constructor (move: MoveRecord, private readonly _clock: IClock) {
    this.startedMs = move.startedMs
    this.evidenceStartMs = Math.max(move.startedMs, _clock.readWallTime().getTime())
    this._createdMs = _clock.readMonotonicMs()
    this.isTakenOver = move.sharePpm > 0
    this.comparison.addBaseline(move.baseline.map(toOutcomes))
  }

  /** @returns time since this leader first handled the move, in milliseconds */
  get evidenceAgeMs (): number {
    return this._clock.readMonotonicMs() - this._createdMs
  }

  /** Time at which this leader first saw the current step of the move, on the scale of {@link readTimeMs}. */
  get stepStartMs (): number {
    return this._stepStartMs
  }

  /** @returns time on the scale of the move's start, in milliseconds, which does not follow jumps of the wall clock */
  readTimeMs (): number {
    return this.evidenceStartMs + this.evidenceAgeMs
  }

  /** Time at which the first window of evidence began: a leader first handles a move when it ends a window. */
  get firstWindowStartMs (): number {
    return this.evidenceStartMs - EVIDENCE_WINDOW_MS
  }

  /**
   * Takes note of the current step of the move. Its time counts from when this leader first saw it.
   * @param move - present record of the move
   */
  updateStep (move: MoveRecord): void {
    if (move.version === this._stepVersion) return
    this._stepVersion = move.version
    this._stepStartMs = this.readTimeMs()
    if (move.sharePpm < FULL_SHARE_PPM) return
    this._fullShareStart ??= { atMs: this._stepStartMs, newCalls: this.comparison.getNewCalls() }
  }

  /** Tells whether a fault that shows only at the full share would have been found by this leader. */
  hasEvidenceOfFullShare (): boolean {
    if (this._fullShareStart === undefined) return false
    const { atMs, newCalls } = this._fullShareStart
    if (this.readTimeMs() - atMs < FAULT_DETECTION_MS) return false
    if (!this.isTakenOver) return true
    return this.comparison.hasBaseline() && this.comparison.getNewCalls() - newCalls >= MIN_NEW_VERSION_CALLS
  }

  /** @returns the old version's outcomes, which the next leader needs */
  listBaseline (move: MoveRecord): EvidenceRecord[] {
    return this.comparison.listBaseline().map(({ route, targetId, calls, failures, latency, judged = 0, overdue = 0 }) => ({
      service: move.service,
      version: move.from,
      route,
      targetId,
      calls,
      failures,
      latency: { buckets: [...latency.keys()], counts: [...latency.values()] },
      judged,
      overdue
    }))
  }

  /**
   * Adds outcomes to the current window.
   * @param record - outcomes that a node has reported
   * @param isNewVersion - true for calls to the version that the move leads to
   */
  addEvidence (record: EvidenceRecord, isNewVersion: boolean): void {
    const outcomes = isNewVersion ? this._newVersionOutcomes : this._oldVersionOutcomes
    outcomes.push(toOutcomes(record))
  }

  /** Ends the current window and compares the versions in it. */
  endWindow (): void {
    this.comparison.addWindow(this._newVersionOutcomes, this._oldVersionOutcomes)
    const calls = [...this._newVersionOutcomes, ...this._oldVersionOutcomes].reduce((sum, outcomes) => sum + outcomes.calls, 0)
    this._callsPerWindow = [...this._callsPerWindow, calls].slice(-CALL_RATE_WINDOWS)
    this._newVersionOutcomes = []
    this._oldVersionOutcomes = []
  }

  /** @returns calls to the service per millisecond since this leader first handled the move */
  computeCallsPerMs (): number {
    const calls = this.comparison.getNewCalls() + this.comparison.getOldCalls()
    return calls / Math.max(EVIDENCE_WINDOW_MS, this.evidenceAgeMs)
  }

  /** @returns calls to the service per millisecond in the latest windows */
  computeRecentCallsPerMs (): number {
    const calls = this._callsPerWindow.reduce((sum, count) => sum + count, 0)
    return calls / (EVIDENCE_WINDOW_MS * Math.max(1, this._callsPerWindow.length))
  }
}

function toOutcomes (record: EvidenceRecord): IOutcomes {
  const latency = new Map<number, number>()
  for (const [index, bucket] of (record.latency?.buckets ?? []).entries()) {
    latency.set(bucket, record.latency?.counts[index] ?? 0)
  }
  const { route, targetId, calls, failures, judged, overdue } = record
  return { route, targetId, calls, failures, latency, judged, overdue }
}
