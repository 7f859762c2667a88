/**
 * Decides the steps of all open moves on the leader.
 */
import {
  VersionComparison, parseDurationMs, type IClock, type IDisposable, type ILog, type IOutcomes, type Metrics
} from '@lagoonswitch/common'
import type { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import {
  CatalogueCommand, EndpointState, MoveStatus, type EvidenceRecord, type IEntry, type MoveCommand, type MoveRecord
} from '@lagoonswitch/schema'
import { isMoveOpen } from '../catalogue/CatalogueStateMachine.js'
import { FULL_SHARE_PPM, planSteps, type IMoveStep } from './MoveSchedule.js'
import {
  ORDERED_LOW_SHARE_PPM, computeOrderDurationMs, planOrderTimes, planOrderedSteps, type IExposureLimit, type IOrderTimes
} from './OrderedSchedule.js'

const EVIDENCE_WINDOW_MS = 250
/** Windows by which the rate of calls is told: a second. The first ones of a move lack the answers that are still due. */
const CALL_RATE_WINDOWS = 4
const FALSE_ALARM_RATE = 0.01
/** A step may expose this many times as many calls as went well before, and as many more from the start. */
const MAX_EXPOSURE_FACTOR = 10
/** Calls to the new version without which no move is done. */
const MIN_NEW_VERSION_CALLS = 30
/**
 * Share at which a suspected fault is compared with the old version. The smaller the share, the more each
 * failure of the new version tells and the fewer callers meet it.
 */
const PROBE_SHARE_PPM = 200_000
const MIN_PROBE_CALLS = 60
const MIN_PROBE_MS = 10_000
const MAX_PROBE_MS = 300_000
/** Parts of the time of a move that a comparison takes at least and at most; the bounds above hold for long moves. */
const PROBE_FRACTIONS = { min: 0.1, max: 0.25 } as const
/** The same of an ordered move until its full share; the old version's calls must show what both share. */
const ORDERED_PROBE_FRACTIONS = { min: 0.2, max: 0.3 } as const
/** Rate of needless probes over one move. */
const PROBE_FALSE_ALARM_RATE = 0.05
/** Rate at which a rise that both versions share is taken for one of the new version, once it was compared. */
const OWN_REGRESSION_FALSE_ALARM_RATE = 0.05
/** As many weak rises as tests may be seen without a fault; each costs a comparison before an ordered move ends. */
const WEAK_REGRESSION_FALSE_ALARM_RATE = 1
/** A fault that leaves with the share of calls and comes back with it is one of the version under load. */
const REGRESSIONS_TO_TAKE_BACK = 2
/** Rate at which a rise of the old version is seen where there is none; seeing one only spares the new version. */
const COMMON_REGRESSION_FALSE_ALARM_RATE = 0.2
const DEFAULT_WATCH_MS = 600_000

/** What the controller needs of its process. */
export interface IMoveControllerOptions {
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  readonly store: CatalogueStore
  readonly endpoints: EndpointView
  /** Most calls that a bad version may get in the time of an ordered move. */
  readonly exposure: IExposureLimit
  /** True while this process leads the group `catalogue`. */
  readonly isLeader: () => boolean
  /** Proposes an encoded command; false when it wasn't committed. */
  readonly propose: (command: Uint8Array) => Promise<boolean>
}

interface IProbe {
  readonly resumeSharePpm: number
  readonly startedMs: number
  /** Calls to the version whose calls decide the length: the new one, or the old one in an ordered move. */
  readonly callsBefore: number
  /** True when another leader started it, with evidence that this one doesn't have. */
  readonly isInherited: boolean
}

interface IOpenMove {
  /** Start of the move, which tells it from another move of the same service. */
  readonly startedMs: number
  readonly comparison: VersionComparison
  newVersionOutcomes: IOutcomes[]
  oldVersionOutcomes: IOutcomes[]
  /** Wall time since which this process has seen evidence. */
  readonly evidenceStartMs: number
  /** Calls to the service in the latest windows. */
  callsPerWindow: number[]
  probe: IProbe | undefined
  /** Rises that a comparison at a lower share did not show on either version. */
  recurringRegressions: number
}

/** What an operator reads of a move beside its record. */
export interface IMoveProgress {
  readonly newCalls: number
  readonly oldCalls: number
  readonly next: string
}

/** Runs one window after another while this process leads. */
export class MoveController implements IDisposable {
  private readonly _openMoves = new Map<string, IOpenMove>()
  private readonly _progress = new Map<string, IMoveProgress>()
  private readonly _stopping = new AbortController()

  constructor (private readonly _options: IMoveControllerOptions) {}

  /** Starts the decisions. */
  start (): void {
    void this._run()
  }

  /**
   * Takes evidence from the nodes.
   * @param records - outcomes since the last report of each node
   */
  addEvidence (records: readonly EvidenceRecord[]): void {
    for (const record of records) {
      const move = this._options.store.getMove(record.service)
      if (move === undefined || !isMoveOpen(move)) continue
      const openMove = this._getOpenMove(move)
      if (record.version === move.to) openMove.newVersionOutcomes.push(toOutcomes(record))
      else if (record.version === move.from || move.from === '') openMove.oldVersionOutcomes.push(toOutcomes(record))
    }
  }

  /**
   * @param service - name of a service
   * @returns evidence and next step of its open move
   */
  getProgress (service: string): IMoveProgress | undefined {
    return this._progress.get(service)
  }

  dispose (): void {
    this._stopping.abort()
  }

  /** Ends the present window and decides; called once per window, and by tests. */
  async decide (): Promise<void> {
    if (!this._options.isLeader()) {
      this._openMoves.clear()
      return
    }
    for (const move of this._options.store.view.moves.values()) {
      if (!isMoveOpen(move)) {
        this._openMoves.delete(move.service)
        continue
      }
      const openMove = this._getOpenMove(move)
      openMove.comparison.addWindow(openMove.newVersionOutcomes, openMove.oldVersionOutcomes)
      const calls = [...openMove.newVersionOutcomes, ...openMove.oldVersionOutcomes].reduce((sum, outcomes) => sum + outcomes.calls, 0)
      openMove.callsPerWindow = [...openMove.callsPerWindow, calls].slice(-CALL_RATE_WINDOWS)
      openMove.newVersionOutcomes = []
      openMove.oldVersionOutcomes = []
      const { probe, recurringRegressions } = openMove
      const command = this._decideMove(move, openMove)
      if (command === undefined || await this._propose(move, command)) continue
      // What was not committed has not happened, so it is decided anew.
      openMove.probe = probe
      openMove.recurringRegressions = recurringRegressions
    }
  }

  private async _run (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      await this._options.clock.waitTick(EVIDENCE_WINDOW_MS)
      if (!this._stopping.signal.aborted) await this.decide()
    }
  }

  private _getOpenMove (move: MoveRecord): IOpenMove {
    let openMove = this._openMoves.get(move.service)
    if (openMove === undefined || openMove.startedMs !== move.startedMs) {
      openMove = {
        startedMs: move.startedMs,
        comparison: new VersionComparison(),
        newVersionOutcomes: [],
        oldVersionOutcomes: [],
        evidenceStartMs: this._options.clock.readWallTime().getTime(),
        callsPerWindow: [],
        probe: undefined,
        recurringRegressions: 0
      }
      this._openMoves.set(move.service, openMove)
    }
    return openMove
  }

  private _decideMove (move: MoveRecord, openMove: IOpenMove): MoveCommand | undefined {
    const fault = openMove.comparison.findFault(FALSE_ALARM_RATE)
    if (fault !== undefined) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
        `${fault.kind} ${fault.place}: ${fault.detail}`)
    }
    const nowMs = this._options.clock.readWallTime().getTime()
    const isWatching = move.status === MoveStatus.MOVE_STATUS_WATCHING
    if (isWatching && move.sharePpm < FULL_SHARE_PPM) {
      // A leader that takes over during a comparison goes on with it.
      openMove.probe ??= {
        resumeSharePpm: FULL_SHARE_PPM, startedMs: nowMs, callsBefore: countProbeCalls(move, openMove), isInherited: true
      }
    }
    if (isWatching && openMove.probe === undefined && nowMs >= getEndMs(move)) {
      return this._finishOrderedMove(move)
    }
    if (openMove.probe !== undefined) return this._decideProbe(move, openMove, openMove.probe, nowMs)
    if (move.sharePpm > PROBE_SHARE_PPM && openMove.comparison.hasRegressed(PROBE_FALSE_ALARM_RATE)) {
      if (openMove.recurringRegressions >= REGRESSIONS_TO_TAKE_BACK - 1) {
        return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
          `faults of version ${move.to} come back with its share of calls`)
      }
      return this._startProbe(move, openMove, nowMs)
    }
    return isWatching ? this._decideWatch(move, openMove, nowMs) : this._decideStep(move, openMove, nowMs)
  }

  private _finishOrderedMove (move: MoveRecord): MoveCommand {
    return this._createCommand(move, MoveStatus.MOVE_STATUS_DONE, FULL_SHARE_PPM, 'no fault was proved in the time of the order')
  }

  private _decideWatch (move: MoveRecord, openMove: IOpenMove, nowMs: number): MoveCommand | undefined {
    const entry = this._options.store.view.entries.get(move.service)
    const watchMs = move.ordered ? move.watchMs : parseDurationMs(entry?.move?.watch ?? '') ?? DEFAULT_WATCH_MS
    const endMs = move.stepStartedMs + watchMs
    this._updateProgress(move, openMove, `final at ${new Date(endMs).toISOString()}`)
    if (nowMs < endMs) return undefined
    // Slow answers are seen late, so a weak rise is looked into before the old targets end.
    if (move.ordered && openMove.comparison.hasRegressed(WEAK_REGRESSION_FALSE_ALARM_RATE)) return this._startProbe(move, openMove, nowMs)
    return this._createCommand(move, MoveStatus.MOVE_STATUS_DONE, FULL_SHARE_PPM, 'no fault in the watch time')
  }

  private _startProbe (move: MoveRecord, openMove: IOpenMove, nowMs: number): MoveCommand {
    openMove.probe = {
      resumeSharePpm: move.sharePpm, startedMs: nowMs, callsBefore: countProbeCalls(move, openMove), isInherited: false
    }
    return this._createCommand(move, move.status, getProbeShare(move), 'fault suspected, comparing with the old version')
  }

  /** A rise that the old version shows as well is no fault of the new one. */
  private _decideProbe (move: MoveRecord, openMove: IOpenMove, probe: IProbe, nowMs: number): MoveCommand | undefined {
    const elapsedMs = nowMs - probe.startedMs
    const calls = countProbeCalls(move, openMove) - probe.callsBefore
    const moveDurationMs = move.byMs - move.startedMs
    const fractions = move.ordered ? ORDERED_PROBE_FRACTIONS : PROBE_FRACTIONS
    const hasEnoughEvidence = elapsedMs >= Math.min(MIN_PROBE_MS, moveDurationMs * fractions.min) && calls >= MIN_PROBE_CALLS
    this._updateProgress(move, openMove, `compared at ${formatShare(getProbeShare(move))} for ${calls} calls`)
    const isOver = nowMs >= getEndMs(move)
    if (!hasEnoughEvidence && !isOver && elapsedMs < Math.min(MAX_PROBE_MS, moveDurationMs * fractions.max)) return undefined
    // A move of seconds has no calls to spare for the same fault once more.
    if (move.ordered && (probe.isInherited || openMove.comparison.hasRegressedAlone(OWN_REGRESSION_FALSE_ALARM_RATE))) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
        `faults of version ${move.to} came with its share of calls`)
    }
    if (isOver) return this._finishOrderedMove(move)
    const isCommonRegression = openMove.comparison.hasOldVersionRegressed(COMMON_REGRESSION_FALSE_ALARM_RATE)
    if (!isCommonRegression) openMove.recurringRegressions++
    openMove.probe = undefined
    openMove.comparison.resetRegressionTests()
    return this._createCommand(move, move.status, probe.resumeSharePpm, 'both versions do alike')
  }

  private _decideStep (move: MoveRecord, openMove: IOpenMove, nowMs: number): MoveCommand | undefined {
    const entry = this._options.store.view.entries.get(move.service)
    const steps = this._planSteps(move, openMove, entry)
    const next = steps.find(step => step.sharePpm > move.sharePpm)
    if (next === undefined) return undefined
    const isSuspected = move.ordered && next.sharePpm === FULL_SHARE_PPM && openMove.comparison.isSuspected()
    const isLatestStart = move.ordered && nowMs >= getOrderTimes(move).latestFullShareMs
    if (isSuspected && isLatestStart) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
        `version ${move.to} was still suspected at the last time for all calls`)
    }
    const obstacle = isSuspected
      ? `version ${move.to} is suspected of a fault; more calls decide`
      : this._findObstacle(move, openMove, steps, isLatestStart || entry?.move?.prefer === 'time')
    this._updateProgress(move, openMove, formatNextStep(next, obstacle))
    if (nowMs < next.startMs) return undefined
    if (obstacle !== undefined) return this._createLateCommand(move, steps, nowMs, obstacle)
    const isDone = next.sharePpm === FULL_SHARE_PPM
    if (isDone) openMove.comparison.resetRegressionTests()
    const status = isDone ? MoveStatus.MOVE_STATUS_WATCHING : MoveStatus.MOVE_STATUS_RUNNING
    return this._createCommand(move, status, next.sharePpm, isDone ? 'done, watching for late faults' : 'evidence is clean')
  }

  private _planSteps (move: MoveRecord, openMove: IOpenMove, entry: IEntry | undefined): IMoveStep[] {
    if (!move.ordered) return planSteps(move.startedMs, move.byMs, entry?.move?.first_share ?? 0)
    const steps = planOrderedSteps(
      move.startedMs, move.byMs, move.firstSharePpm, computeRecentCallsPerMs(openMove), this._options.exposure)
    // The rate of calls varies all the time; the share that was chosen by it doesn't.
    return move.sharePpm > ORDERED_LOW_SHARE_PPM ? steps.slice(-1) : steps
  }

  private _findObstacle (
    move: MoveRecord, openMove: IOpenMove, steps: readonly IMoveStep[], isTimePreferred: boolean
  ): string | undefined {
    const targets = this._options.endpoints.getRecords().filter(record => record.service === move.service &&
      record.version === move.to && record.state === EndpointState.ENDPOINT_STATE_READY)
    if (targets.length === 0) return `no ready target of version ${move.to}; start some`
    if (move.sharePpm === 0 || isTimePreferred) return undefined
    const calls = openMove.comparison.getNewCalls()
    const needed = this._computeNeededCalls(move, openMove, steps)
    if (calls >= needed) return undefined
    return `${calls} of ${needed} calls seen on version ${move.to}; send more calls or set prefer: time`
  }

  /** The calls that the next step will expose must be in proportion to those that went well before. */
  private _computeNeededCalls (move: MoveRecord, openMove: IOpenMove, steps: readonly IMoveStep[]): number {
    const index = steps.findIndex(step => step.sharePpm > move.sharePpm)
    const next = steps[index]
    const following = steps[index + 1]
    if (next === undefined || following === undefined) return MIN_NEW_VERSION_CALLS
    if (move.ordered) return 0
    const exposedCalls = this._computeCallsPerMs(openMove) * Math.max(0, following.startMs - next.startMs) * next.sharePpm / FULL_SHARE_PPM
    return Math.ceil(Math.max(0, exposedCalls - MAX_EXPOSURE_FACTOR) / MAX_EXPOSURE_FACTOR)
  }

  private _computeCallsPerMs (openMove: IOpenMove): number {
    const nowMs = this._options.clock.readWallTime().getTime()
    const calls = openMove.comparison.getNewCalls() + openMove.comparison.getOldCalls()
    return calls / Math.max(EVIDENCE_WINDOW_MS, nowMs - openMove.evidenceStartMs)
  }

  /** Says once that the set time can't be kept, as soon as it has passed or a whole step is lost. */
  private _createLateCommand (
    move: MoveRecord, steps: readonly IMoveStep[], nowMs: number, obstacle: string
  ): MoveCommand | undefined {
    const index = steps.findIndex(step => step.sharePpm > move.sharePpm)
    const following = steps[index + 1]?.startMs ?? move.byMs
    if (move.late || nowMs < following) return undefined
    return { ...this._createCommand(move, move.status, move.sharePpm, obstacle), late: true }
  }

  private _createCommand (move: MoveRecord, status: MoveStatus, sharePpm: number, reason: string): MoveCommand {
    return { service: move.service, expectedVersion: move.version, status, sharePpm, reason, late: move.late }
  }

  private async _propose (move: MoveRecord, command: MoveCommand): Promise<boolean> {
    const nowMs = this._options.clock.readWallTime().getTime()
    const isCommitted = await this._options.propose(
      CatalogueCommand.encode({ nowMs, command: { $case: 'move', value: command } }).finish())
    const status = MoveStatus[command.status]
    this._options.metrics.count('move_decisions_total', isCommitted ? status : 'not-committed')
    this._options.log.info('move_decided', {
      service: move.service, to: move.to, status, share: command.sharePpm, reason: command.reason, committed: isCommitted
    })
    return isCommitted
  }

  private _updateProgress (move: MoveRecord, openMove: IOpenMove, next: string): void {
    this._progress.set(move.service, {
      newCalls: openMove.comparison.getNewCalls(), oldCalls: openMove.comparison.getOldCalls(), next
    })
  }
}

function getOrderTimes (move: MoveRecord): IOrderTimes {
  return planOrderTimes(move.startedMs, computeOrderDurationMs(move.startedMs, move.byMs))
}

function getEndMs (move: MoveRecord): number {
  return move.ordered ? getOrderTimes(move).endMs : Infinity
}

/** An ordered move has no calls to spare for a larger share, and is compared by those of the old version. */
function getProbeShare (move: MoveRecord): number {
  return move.ordered ? ORDERED_LOW_SHARE_PPM : PROBE_SHARE_PPM
}

function computeRecentCallsPerMs (openMove: IOpenMove): number {
  const calls = openMove.callsPerWindow.reduce((sum, count) => sum + count, 0)
  return calls / (EVIDENCE_WINDOW_MS * Math.max(1, openMove.callsPerWindow.length))
}

function countProbeCalls (move: MoveRecord, openMove: IOpenMove): number {
  return move.ordered ? openMove.comparison.getOldCalls() : openMove.comparison.getNewCalls()
}

function formatNextStep (next: IMoveStep, obstacle: string | undefined): string {
  const share = `${formatShare(next.sharePpm)} at ${new Date(next.startMs).toISOString()}`
  return obstacle === undefined ? share : `${share}, held: ${obstacle}`
}

function formatShare (sharePpm: number): string {
  return `${(sharePpm * 100 / FULL_SHARE_PPM).toFixed(1)}%`
}

function toOutcomes (record: EvidenceRecord): IOutcomes {
  const latency = new Map<number, number>()
  for (const [index, bucket] of (record.latency?.buckets ?? []).entries()) {
    latency.set(bucket, record.latency?.counts[index] ?? 0)
  }
  return { route: record.route, targetId: record.targetId, calls: record.calls, failures: record.failures, latency }
}
