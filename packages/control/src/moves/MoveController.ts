/**
 * Drives all open moves on the leader: raises the share of calls in steps, probes suspected versions and takes bad ones back.
 */
import { parseDurationMs, type IClock, type IDisposable, type ILog, type Metrics } from '@lagoonswitch/common'
import type { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import {
  CatalogueCommand, EndpointState, MoveStatus, type EvidenceRecord, type IEntry, type MoveCommand, type MoveRecord
} from '@lagoonswitch/schema'
import { isMoveOpen, isStatusOpen } from '../catalogue/CatalogueStateMachine.js'
import { formatNextStep, formatShare, type IMoveProgress } from './MoveProgress.js'
import { FULL_SHARE_PPM, planSteps, type IMoveStep } from './MoveSchedule.js'
import { EVIDENCE_WINDOW_MS, MIN_NEW_VERSION_CALLS, OpenMove, type IProbe } from './OpenMove.js'
import {
  ORDERED_LOW_SHARE_PPM, canBearFullShare, computeOrderDurationMs, planBearableShare, planOrderTimes, planOrderedSteps,
  type IExposureLimit, type IOrderTimes
} from './OrderedSchedule.js'

/** Probability, over the whole move, that a sound version is taken back for a fault. */
const FAULT_FALSE_ALARM_RATE = 0.01
/** A step may expose this many calls, plus this many times the calls that the new version has served without a fault so far. */
const MAX_EXPOSURE_FACTOR = 10
/**
 * Share during a probe, which compares a suspected version with the old one. With a smaller share each failure of the
 * new version is stronger evidence and fewer callers are affected.
 */
const PROBE_SHARE_PPM = 200_000
const MIN_PROBE_CALLS = 60
const MIN_PROBE_MS = 10_000
const MAX_PROBE_MS = 300_000
/** Bounds of a probe's length as fractions of the move's duration; the bounds above apply to long moves. */
const PROBE_FRACTIONS = { min: 0.1, max: 0.25 } as const
/** The same for an ordered move, of the time until its full share: long enough for the old version's calls to show a common fault. */
const ORDERED_PROBE_FRACTIONS = { min: 0.2, max: 0.3 } as const
/** Probability of a probe without a fault, between two resets of the regression tests. */
const PROBE_FALSE_ALARM_RATE = 0.05
/** Probability that a regression of both versions is attributed to the new one after a probe. */
const OWN_REGRESSION_FALSE_ALARM_RATE = 0.05
/**
 * Upper bound of the number of false alarms to be expected from all regression tests together, which are read at the end of an
 * ordered move's watch. Each test gets an equal part of it as its probability of a false alarm. Such an alarm costs one probe.
 */
const WEAK_REGRESSION_FALSE_ALARMS = 1
/** A fault that disappears when the share is lowered and returns when it is raised is a fault of the version under load. */
const REGRESSIONS_TO_TAKE_BACK = 2
/** Probability of a false alarm in each test of the old version; such an alarm only spares the new one. */
const COMMON_REGRESSION_FALSE_ALARM_RATE = 0.2
const DEFAULT_WATCH_MS = 600_000
/** The small share of an ordered move is lowered once it is this many times the planned one, so that it does not follow each change. */
const LOWERED_SHARE_RATIO = 1.5
/** It is raised for want of calls only to this many times the present share or more. */
const RAISED_SHARE_RATIO = 1.5
const MS_PER_SECOND = 1_000

/** Dependencies of a {@link MoveController}. */
export interface IMoveControllerOptions {
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  readonly store: CatalogueStore
  readonly endpoints: EndpointView
  /** Maximum calls that a bad version may get during an ordered move. */
  readonly exposure: IExposureLimit
  /** True while this process leads the group `catalogue`. */
  readonly isLeader: () => boolean
  /** Proposes an encoded command; resolves with false if it was not committed. */
  readonly propose: (command: Uint8Array) => Promise<boolean>
}

/** Decides about every open move once per window while this process leads. */
export class MoveController implements IDisposable {
  private readonly _openMoves = new Map<string, OpenMove>()
  private readonly _progress = new Map<string, IMoveProgress>()
  private readonly _stopping = new AbortController()

  constructor (private readonly _options: IMoveControllerOptions) {}

  /** Starts to decide once per window. */
  start (): void {
    void this._run()
  }

  /**
   * Adds outcomes of calls to the current window, if this process leads.
   * @param records - outcomes since the last report of each node
   */
  addEvidence (records: readonly EvidenceRecord[]): void {
    if (!this._options.isLeader()) {
      this._options.metrics.count('evidence_dropped_total', 'not-ready', records.length)
      return
    }
    for (const record of records) {
      const move = this._options.store.getMove(record.service)
      if (move === undefined || !isMoveOpen(move)) continue
      const openMove = this._getOpenMove(move)
      const isNewVersion = record.version === move.to
      if (isNewVersion || record.version === move.from || move.from === '') openMove.addEvidence(record, isNewVersion)
    }
  }

  /**
   * @param service - name of a service
   * @returns call counts and next step of its latest move, or undefined before the first decision
   */
  getProgress (service: string): IMoveProgress | undefined {
    return this._progress.get(service)
  }

  dispose (): void {
    this._stopping.abort()
  }

  /** Ends the current window and decides about all open moves; called once per window, and directly by tests. */
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
      openMove.updateStep(move)
      openMove.endWindow()
      const { probe, recurringRegressions } = openMove
      const command = this._decideMove(move, openMove)
      if (command === undefined) continue
      if (isStatusOpen(command.status)) command.baseline = openMove.listBaseline(move)
      if (await this._propose(move, openMove, command)) {
        openMove.updateStep(this._options.store.getMove(move.service) ?? move)
        continue
      }
      // The command was not committed, so the state before it is restored and the decision is made again.
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

  private _getOpenMove (move: MoveRecord): OpenMove {
    let openMove = this._openMoves.get(move.service)
    if (openMove === undefined || openMove.startedMs !== move.startedMs) {
      openMove = new OpenMove(move, this._options.clock)
      this._openMoves.set(move.service, openMove)
      this._options.log.info('move_opened', {
        service: move.service,
        to: move.to,
        status: MoveStatus[move.status],
        share: move.sharePpm,
        since_ms: openMove.evidenceStartMs - move.startedMs
      })
    }
    return openMove
  }

  private _decideMove (move: MoveRecord, openMove: OpenMove): MoveCommand | undefined {
    const fault = openMove.comparison.findFault(FAULT_FALSE_ALARM_RATE)
    if (fault !== undefined) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
        `${fault.kind} ${fault.place}: ${fault.detail}`)
    }
    const nowMs = openMove.readTimeMs()
    const isWatching = move.status === MoveStatus.MOVE_STATUS_WATCHING
    if (isWatching && move.sharePpm < FULL_SHARE_PPM) {
      // A leader elected during a probe continues it.
      openMove.probe ??= {
        resumeSharePpm: FULL_SHARE_PPM, startedMs: nowMs, callsBefore: countProbeCalls(move, openMove), isInherited: true
      }
    }
    if (isWatching && openMove.probe === undefined && nowMs >= getEndMs(move)) {
      return this._finishOrderedMove(move, openMove)
    }
    if (openMove.probe !== undefined) return this._decideProbe(move, openMove, openMove.probe, nowMs)
    if (move.sharePpm > PROBE_SHARE_PPM && openMove.comparison.hasRegressed(PROBE_FALSE_ALARM_RATE)) {
      if (openMove.recurringRegressions >= REGRESSIONS_TO_TAKE_BACK - 1) {
        return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
          `faults of version ${move.to} come back with its share of calls`)
      }
      return this._startProbe(move, openMove, nowMs)
    }
    if (isWatching) return this._decideWatch(move, openMove, nowMs)
    // The time by which a declared move must be done is a wall time, which an operator has set.
    return this._decideStep(move, openMove, move.ordered ? nowMs : this._options.clock.readWallTime().getTime())
  }

  /** Without evidence of the full share, a fault that shows under load only would reach all callers once the old targets have stopped. */
  private _finishOrderedMove (move: MoveRecord, openMove: OpenMove): MoveCommand {
    if (!openMove.hasEvidenceOfFullShare()) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
        `too few calls were seen while version ${move.to} had all of them`)
    }
    return this._createCommand(move, MoveStatus.MOVE_STATUS_DONE, FULL_SHARE_PPM, 'no fault was proved in the time of the order')
  }

  private _decideWatch (move: MoveRecord, openMove: OpenMove, nowMs: number): MoveCommand | undefined {
    const entry = this._options.store.view.entries.get(move.service)
    const watchMs = move.ordered ? move.watchMs : parseDurationMs(entry?.move?.watch ?? '') ?? DEFAULT_WATCH_MS
    const endMs = openMove.stepStartMs + watchMs
    this._updateProgress(move, openMove, `final at ${new Date(endMs).toISOString()}`)
    if (nowMs < endMs || (move.ordered && !openMove.hasEvidenceOfFullShare())) return undefined
    // Slow responses are reported late, so even a weak regression is probed before the old targets are stopped.
    if (move.ordered && openMove.comparison.hasRegressed(WEAK_REGRESSION_FALSE_ALARMS)) return this._startProbe(move, openMove, nowMs)
    return this._createCommand(move, MoveStatus.MOVE_STATUS_DONE, FULL_SHARE_PPM, 'no fault in the watch time')
  }

  private _startProbe (move: MoveRecord, openMove: OpenMove, nowMs: number): MoveCommand {
    openMove.probe = {
      resumeSharePpm: move.sharePpm, startedMs: nowMs, callsBefore: countProbeCalls(move, openMove), isInherited: false
    }
    return this._createCommand(move, move.status, getProbeShare(move), 'fault suspected, comparing with the old version')
  }

  /** Ends a probe once it has enough evidence. A regression that the old version shows too is not a fault of the new one. */
  private _decideProbe (move: MoveRecord, openMove: OpenMove, probe: IProbe, nowMs: number): MoveCommand | undefined {
    const elapsedMs = nowMs - probe.startedMs
    const calls = countProbeCalls(move, openMove) - probe.callsBefore
    const moveDurationMs = move.byMs - move.startedMs
    const fractions = move.ordered ? ORDERED_PROBE_FRACTIONS : PROBE_FRACTIONS
    const hasEnoughEvidence = elapsedMs >= Math.min(MIN_PROBE_MS, moveDurationMs * fractions.min) && calls >= MIN_PROBE_CALLS
    this._updateProgress(move, openMove, `compared at ${formatShare(getProbeShare(move))} for ${calls} calls`)
    const isOver = nowMs >= getEndMs(move)
    if (!hasEnoughEvidence && !isOver && elapsedMs < Math.min(MAX_PROBE_MS, moveDurationMs * fractions.max)) return undefined
    // An ordered move takes seconds and must not expose more calls to the same fault.
    if (move.ordered && (probe.isInherited || openMove.comparison.hasRegressedAlone(OWN_REGRESSION_FALSE_ALARM_RATE))) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0,
        `faults of version ${move.to} came with its share of calls`)
    }
    if (isOver) return this._finishOrderedMove(move, openMove)
    const isCommonRegression = openMove.comparison.hasOldVersionRegressed(COMMON_REGRESSION_FALSE_ALARM_RATE)
    if (!isCommonRegression) openMove.recurringRegressions++
    openMove.probe = undefined
    openMove.comparison.resetRegressionTests()
    return this._createCommand(move, move.status, probe.resumeSharePpm, 'both versions do alike')
  }

  private _decideStep (move: MoveRecord, openMove: OpenMove, nowMs: number): MoveCommand | undefined {
    const lowered = this._lowerShare(move, openMove)
    if (lowered !== undefined) return lowered
    const entry = this._options.store.view.entries.get(move.service)
    const steps = this._planSteps(move, openMove, entry)
    const next = steps.find(step => step.sharePpm > move.sharePpm)
    if (next === undefined) return undefined
    const isSuspected = move.ordered && next.sharePpm === FULL_SHARE_PPM && openMove.comparison.isSuspected()
    const isLatestStartReached = move.ordered && nowMs >= getOrderTimes(move).latestFullShareMs
    const hasFewCalls = openMove.comparison.getNewCalls() < MIN_NEW_VERSION_CALLS
    const isUnknown = hasFewCalls && (openMove.isTakenOver || !this._canBearFullShare(move, openMove))
    if (isLatestStartReached && (isSuspected || isUnknown)) {
      return this._createCommand(move, MoveStatus.MOVE_STATUS_TAKEN_BACK, 0, isSuspected
        ? `version ${move.to} was still suspected at the last time for all calls`
        : `too few calls of version ${move.to} were seen before it was to get all calls`)
    }
    const bearable = hasFewCalls && nowMs >= move.byMs ? this._raiseToBearableShare(move, openMove) : undefined
    if (bearable !== undefined) return bearable
    const obstacle = isSuspected
      ? `version ${move.to} is suspected of a fault; more calls decide`
      : this._findObstacle(move, openMove, steps, isLatestStartReached || entry?.move?.prefer === 'time')
    this._updateProgress(move, openMove, formatNextStep(next, obstacle))
    if (nowMs < next.startMs) return undefined
    if (obstacle !== undefined) return this._createLateCommand(move, steps, nowMs, obstacle)
    const isDone = next.sharePpm === FULL_SHARE_PPM
    if (isDone) openMove.comparison.resetRegressionTests()
    const status = isDone ? MoveStatus.MOVE_STATUS_WATCHING : MoveStatus.MOVE_STATUS_RUNNING
    return this._createCommand(move, status, next.sharePpm, isDone ? 'done, watching for late faults' : 'evidence is clean')
  }

  private _planSteps (move: MoveRecord, openMove: OpenMove, entry: IEntry | undefined): IMoveStep[] {
    if (!move.ordered) return planSteps(move.startedMs, move.byMs, entry?.move?.first_share ?? 0)
    const steps = planOrderedSteps(
      move.startedMs, move.byMs, move.firstSharePpm, openMove.computeRecentCallsPerMs(), this._options.exposure,
      Math.max(move.startedMs, openMove.firstWindowStartMs))
    // The call rate changes all the time; the share that was chosen from it is not raised again.
    return move.sharePpm > ORDERED_LOW_SHARE_PPM ? steps.slice(-1) : steps
  }

  /** Lowers the small share of an ordered move if it would expose too many calls at the present call rate. */
  private _lowerShare (move: MoveRecord, openMove: OpenMove): MoveCommand | undefined {
    const callsPerMs = openMove.computeRecentCallsPerMs()
    if (!move.ordered || move.sharePpm <= ORDERED_LOW_SHARE_PPM || callsPerMs === 0) return undefined
    // Once all calls are due, the share has been chosen for the time that is left.
    if (openMove.readTimeMs() >= move.byMs) return undefined
    const steps = planOrderedSteps(move.startedMs, move.byMs, move.firstSharePpm, callsPerMs, this._options.exposure)
    const plannedPpm = steps.at(-2)?.sharePpm ?? ORDERED_LOW_SHARE_PPM
    if (plannedPpm * LOWERED_SHARE_RATIO > move.sharePpm) return undefined
    return this._createCommand(move, move.status, plannedPpm, 'the call rate has risen')
  }

  private _canBearFullShare (move: MoveRecord, openMove: OpenMove): boolean {
    return !move.ordered || canBearFullShare(
      computeOrderDurationMs(move.startedMs, move.byMs), openMove.comparison.getNewCalls(), openMove.computeRecentCallsPerMs(),
      this._options.exposure)
  }

  /** Raises the small share of an ordered move when all calls are due and too few have been seen, as far as the exposure limit allows. */
  private _raiseToBearableShare (move: MoveRecord, openMove: OpenMove): MoveCommand | undefined {
    if (!move.ordered || move.sharePpm === 0) return undefined
    const sharePpm = this._planBearableShare(move, openMove)
    if (sharePpm < move.sharePpm * RAISED_SHARE_RATIO) return undefined
    return this._createCommand(move, move.status, sharePpm, 'more calls are needed before all go there')
  }

  private _planBearableShare (move: MoveRecord, openMove: OpenMove): number {
    const sharePpm = planBearableShare(
      getOrderTimes(move).latestFullShareMs - openMove.readTimeMs(), computeOrderDurationMs(move.startedMs, move.byMs),
      openMove.comparison.getNewCalls(), openMove.computeRecentCallsPerMs(), this._options.exposure)
    return Math.max(ORDERED_LOW_SHARE_PPM, sharePpm)
  }

  private _findObstacle (
    move: MoveRecord, openMove: OpenMove, steps: readonly IMoveStep[], isTimePreferred: boolean
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

  /** Computes the calls that the new version must have served before the next step, in proportion to those that the step exposes. */
  private _computeNeededCalls (move: MoveRecord, openMove: OpenMove, steps: readonly IMoveStep[]): number {
    const index = steps.findIndex(step => step.sharePpm > move.sharePpm)
    const next = steps[index]
    const following = steps[index + 1]
    if (next === undefined || following === undefined) return MIN_NEW_VERSION_CALLS
    if (move.ordered) return 0
    const exposedCalls = openMove.computeCallsPerMs() * Math.max(0, following.startMs - next.startMs) * next.sharePpm / FULL_SHARE_PPM
    return Math.ceil(Math.max(0, exposedCalls - MAX_EXPOSURE_FACTOR) / MAX_EXPOSURE_FACTOR)
  }

  /** Marks the move as late, once, when an obstacle has held a step until the following one is due or the set time has passed. */
  private _createLateCommand (
    move: MoveRecord, steps: readonly IMoveStep[], nowMs: number, obstacle: string
  ): MoveCommand | undefined {
    const index = steps.findIndex(step => step.sharePpm > move.sharePpm)
    const following = steps[index + 1]?.startMs ?? move.byMs
    if (move.late || nowMs < following) return undefined
    return { ...this._createCommand(move, move.status, move.sharePpm, obstacle), late: true }
  }

  private _createCommand (move: MoveRecord, status: MoveStatus, sharePpm: number, reason: string): MoveCommand {
    return { service: move.service, expectedVersion: move.version, status, sharePpm, reason, late: move.late, baseline: [] }
  }

  private async _propose (move: MoveRecord, openMove: OpenMove, command: MoveCommand): Promise<boolean> {
    const nowMs = this._options.clock.readWallTime().getTime()
    const isCommitted = await this._options.propose(
      CatalogueCommand.encode({ nowMs, command: { $case: 'move', value: command } }).finish())
    const status = MoveStatus[command.status]
    this._options.metrics.count('move_decisions_total', isCommitted ? status : 'not-committed')
    this._options.log.info('move_decided', {
      service: move.service,
      to: move.to,
      status,
      share: command.sharePpm,
      reason: command.reason,
      committed: isCommitted,
      new_calls: openMove.comparison.getNewCalls(),
      old_calls: openMove.comparison.getOldCalls(),
      calls_per_s: Math.round(openMove.computeRecentCallsPerMs() * MS_PER_SECOND),
      evidence_ms: Math.round(openMove.evidenceAgeMs)
    })
    return isCommitted
  }

  private _updateProgress (move: MoveRecord, openMove: OpenMove, next: string): void {
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

/** An ordered move must not expose the calls of a larger share; its probe relies on the calls to the old version. */
function getProbeShare (move: MoveRecord): number {
  return move.ordered ? ORDERED_LOW_SHARE_PPM : PROBE_SHARE_PPM
}

function countProbeCalls (move: MoveRecord, openMove: OpenMove): number {
  return move.ordered ? openMove.comparison.getOldCalls() : openMove.comparison.getNewCalls()
}
