/**
 * Collects call outcomes of services with a move in progress, and stops calls to a faulty new version without waiting for the control
 * VMs.
 */
import {
  MoveComparison, computeBucket, type IClock, type IDisposable, type ILog, type IOutcomes, type Metrics
} from '@lagoonswitch/common'
import type { CatalogueStore } from '@lagoonswitch/feed'
import { MoveStatus, type EndpointRecord, type EvidenceRecord, type MoveRecord } from '@lagoonswitch/schema'
import { FULL_SHARE_PPM } from '../routing/RouteTable.js'

const WINDOW_MS = 250
/** Accepted probability that one process cuts a healthy version during one move. */
const MAX_FALSE_CUT_RATE = 0.001
/** Duration of a cut; by then the control VMs should have taken the version back. */
const CUT_MS = 15_000

interface IOutcomeCounts {
  readonly service: string
  readonly version: string
  readonly route: string
  readonly targetId: string
  calls: number
  failures: number
  latency: Map<number, number>
  judged: number
  overdue: number
}

/** An attempt whose response is awaited, and which its latency objective judges. */
export interface IAwaitedAttempt {
  readonly service: string
  readonly version: string
  readonly route: string
  readonly targetId: string
  /** Monotonic time at which it passes the objective. */
  readonly overdueAtMs: number
}

interface IMoveMonitor {
  readonly startedMs: number
  readonly comparison: MoveComparison
  cutUntilMs: number
  /** The old version then gets no calls to compare with, and there may be no leader that takes the new one back. */
  hasFullShare: boolean
}

/** Collects evidence on moves in progress from the calls that this process sends. */
export class EvidenceCollector implements IDisposable {
  private _windowCounts = new Map<string, IOutcomeCounts>()
  private _unreported = new Map<string, IOutcomeCounts>()
  private readonly _awaited = new Set<IAwaitedAttempt>()
  private readonly _monitors = new Map<string, IMoveMonitor>()
  private readonly _stopping = new AbortController()

  constructor (
    private readonly _store: CatalogueStore,
    private readonly _clock: IClock,
    private readonly _log: ILog,
    private readonly _metrics: Metrics
  ) {}

  /** Starts to evaluate the outcomes at the end of each window. */
  start (): void {
    void this._run()
  }

  /**
   * Records the outcome of one attempt.
   * @param service - name of the service
   * @param version - version of the target
   * @param route - key of the route
   * @param targetId - ID of the target
   * @param isFailure - true when the call failed because of the target
   * @param latencyMs - time to the response head in milliseconds; undefined while the target is warming up
   */
  recordOutcome (
    service: string, version: string, route: string, targetId: string, isFailure: boolean,
    latencyMs: number | undefined
  ): void {
    const bucket = latencyMs === undefined ? undefined : computeBucket(latencyMs)
    this._addToCounts({ service, version, route, targetId }, counts => {
      counts.calls++
      if (isFailure) counts.failures++
      if (bucket !== undefined) counts.latency.set(bucket, (counts.latency.get(bucket) ?? 0) + 1)
    })
  }

  /**
   * Takes note of an attempt, which is judged once it passes its latency objective or {@link recordResponse} is called.
   * @param target - that the attempt was sent to
   * @param route - key of the route
   * @param overdueAtMs - monotonic time at which it passes the objective
   * @returns the attempt, or undefined if no move of the service is open
   */
  awaitResponse ({ service, version, targetId }: EndpointRecord, route: string, overdueAtMs: number): IAwaitedAttempt | undefined {
    if (!isMoveOpen(this._store.getMove(service))) return undefined
    const attempt = { service, version, route, targetId, overdueAtMs }
    this._awaited.add(attempt)
    return attempt
  }

  /**
   * Judges an attempt by its latency objective, unless it was judged before.
   * @param attempt - whose response has arrived, or which has ended
   * @param isJudged - false if it ended for a reason that says nothing about its target
   */
  recordResponse (attempt: IAwaitedAttempt, isJudged: boolean): void {
    if (!this._awaited.delete(attempt)) return
    const isOverdue = this._clock.readMonotonicMs() >= attempt.overdueAtMs
    if (isJudged || isOverdue) this._judge(attempt, isOverdue)
  }

  /**
   * Tells whether this process has cut the new version of a service.
   * @param service - name of the service
   * @returns true while calls must not be sent to the new version
   */
  isVersionCut (service: string): boolean {
    const monitor = this._monitors.get(service)
    return monitor !== undefined && monitor.cutUntilMs > this._clock.readMonotonicMs()
  }

  /** @returns evidence for the control VMs since the last call of this method */
  takeEvidence (): EvidenceRecord[] {
    const records = [...this._unreported.values()].map(counts => ({
      service: counts.service,
      version: counts.version,
      route: counts.route,
      targetId: counts.targetId,
      calls: counts.calls,
      failures: counts.failures,
      latency: { buckets: [...counts.latency.keys()], counts: [...counts.latency.values()] },
      judged: counts.judged,
      overdue: counts.overdue
    }))
    this._unreported.clear()
    return records
  }

  /** Evaluates the current window and starts a new one; called periodically, and directly by tests. */
  endWindow (): void {
    this._judgeOverdue()
    const window = this._windowCounts
    this._windowCounts = new Map()
    for (const move of this._store.view.moves.values()) {
      if (isMoveOpen(move)) this._checkMove(move, [...window.values()])
      else this._monitors.delete(move.service)
    }
  }

  dispose (): void {
    this._stopping.abort()
  }

  /** Judges the attempts that have passed their latency objective without a response. */
  private _judgeOverdue (): void {
    const nowMs = this._clock.readMonotonicMs()
    for (const attempt of this._awaited) {
      if (nowMs < attempt.overdueAtMs) continue
      this._awaited.delete(attempt)
      this._judge(attempt, true)
    }
  }

  private _judge (attempt: IAwaitedAttempt, isOverdue: boolean): void {
    this._addToCounts(attempt, counts => {
      counts.judged++
      if (isOverdue) counts.overdue++
    })
  }

  /** Outcomes are reported to the control VMs with the next report, independently of the local window. */
  private _addToCounts (
    { service, version, route, targetId }: Omit<IAwaitedAttempt, 'overdueAtMs'>, add: (counts: IOutcomeCounts) => void
  ): void {
    if (!isMoveOpen(this._store.getMove(service))) return
    const key = `${service}\n${version}\n${route}\n${targetId}`
    for (const outcomes of [this._windowCounts, this._unreported]) {
      let counts = outcomes.get(key)
      if (counts === undefined) {
        counts = { service, version, route, targetId, calls: 0, failures: 0, latency: new Map(), judged: 0, overdue: 0 }
        outcomes.set(key, counts)
      }
      add(counts)
    }
  }

  private async _run (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      await this._clock.waitTick(WINDOW_MS)
      this.endWindow()
    }
  }

  private _checkMove (move: MoveRecord, window: readonly IOutcomeCounts[]): void {
    const serviceCounts = window.filter(counts => counts.service === move.service)
    if (serviceCounts.length === 0) return
    let monitor = this._monitors.get(move.service)
    const hasCutExpired = monitor !== undefined && monitor.cutUntilMs > 0 && !this.isVersionCut(move.service)
    if (monitor === undefined || monitor.startedMs !== move.startedMs || hasCutExpired) {
      const comparison = new MoveComparison()
      if (monitor?.startedMs === move.startedMs) comparison.addBaseline(monitor.comparison.listBaseline())
      monitor = { startedMs: move.startedMs, comparison, cutUntilMs: 0, hasFullShare: false }
      this._monitors.set(move.service, monitor)
    }
    if (!monitor.hasFullShare && move.sharePpm === FULL_SHARE_PPM) monitor.comparison.resetRegressionTests()
    monitor.hasFullShare = move.sharePpm === FULL_SHARE_PPM
    const isOldVersion = (version: string): boolean => move.from === '' ? version !== move.to : version === move.from
    const newOutcomes: IOutcomes[] = serviceCounts.filter(counts => counts.version === move.to)
    monitor.comparison.addWindow(newOutcomes, serviceCounts.filter(counts => isOldVersion(counts.version)))
    const fault = monitor.comparison.findFault(MAX_FALSE_CUT_RATE) ??
      (monitor.hasFullShare ? monitor.comparison.findFailureRegression(MAX_FALSE_CUT_RATE) : undefined)
    if (fault === undefined || this.isVersionCut(move.service)) return
    monitor.cutUntilMs = this._clock.readMonotonicMs() + CUT_MS
    this._metrics.count('versions_cut_total', fault.kind)
    this._log.warn('version_cut', {
      service: move.service, version: move.to, place: fault.place, kind: fault.kind, detail: fault.detail
    })
  }
}

function isMoveOpen (move: MoveRecord | undefined): boolean {
  return move?.status === MoveStatus.MOVE_STATUS_RUNNING || move?.status === MoveStatus.MOVE_STATUS_WATCHING
}
