/**
 * The targets of this VM: their announcements, heartbeats and withdrawals, and the calls to them.
 */
import { DisposableStore, type IClock, type IDisposable, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import type { EndpointView } from '@lagoonswitch/feed'
import { EndpointState, type CallClass, type EndpointRecord, type WithdrawalRecord } from '@lagoonswitch/schema'
import type { CallDialect } from '../calls/CallDialect.js'
import type { FailureReason, ICallEvents, ICallHandle, ICallOpener, ICallRequest } from '../calls/CallTypes.js'
import {
  BodyCreditAllocator, DEFAULT_WARMUP_MS, HangDetector, PauseMeter, RunMeter, RunRegister, type AccountWeightLookup
} from '@lagoonswitch/traffic'
import { LocalUpload } from './LocalUpload.js'
import { LocalTarget, type ITargetAnnouncement } from './LocalTarget.js'
import type { NestedCalls } from './NestedCalls.js'
import { TargetCall } from './TargetCall.js'
import { TargetReports } from './TargetReports.js'

/** Handle of a call that failed before it started. */
const ENDED_HANDLE: ICallHandle = {
  sendBody: () => true,
  endBody: () => {},
  cancel: () => {},
  withdraw: () => {},
  acknowledge: () => {}
}

/** Time after which a call refused for lack of retry budget may be repeated; a fraction of the window in which retries are counted. */
const NO_BUDGET_RETRY_AFTER_MS = 1_000
/** Withdrawals that are remembered, so that a late announcement does not restore a withdrawn target. */
const MAX_WITHDRAWALS = 256

/** Outcome of an announcement. */
export type AnnouncementOutcome = 'taken' | 'stale'

/** Location of this process, and what the registry depends on. */
export interface ILocalTargetRegistryOptions {
  readonly node: string
  readonly region: string
  readonly availabilityZone: string
  readonly linkAddress: string
  readonly incarnation: number
  readonly leaseMs: number
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  readonly endpoints: EndpointView
  readonly dialect: CallDialect
  /** Spreads the times at which refused callers with an account return. */
  readonly random?: IRandom
  /** Declared weights of accounts that compete for slots. */
  readonly findAccountWeight?: AccountWeightLookup
  /** Decides which calls are not begun; without it all are. */
  readonly nestedCalls?: NestedCalls
  /** Returns false while a service that the targets call has no retry budget left here for the calls that a retry makes. */
  readonly canTakeRepeat: () => boolean
  /**
   * Tells whether the other targets of a service have slowed down since a monotonic time; undefined if calls that hang are not to
   * be detected.
   */
  readonly isServiceSlow?: (service: string, targetId: string, sinceMs: number) => boolean
  /** True if the times of runs are measured and reported to callers. */
  readonly hasReportedTimes?: boolean
}

interface IRegisteredTarget {
  readonly target: LocalTarget
  leaseTimer: IDisposable
  sequence: number
}

interface IRunningCall {
  readonly request: ICallRequest
  readonly call: TargetCall
}

/**
 * Withdrawal of a target; both times are wall-clock times. An announcement under its id is stale if it states a start no later than
 * `bornMs`, or than `atMs` if `bornMs` is undefined.
 */
interface IWithdrawal {
  readonly bornMs: number | undefined
  readonly atMs: number
  /** Instance that was withdrawn before this process was started; empty if there is none or it was not stated. */
  readonly earlierInstance: string
}

/** The only component that opens connections to the targets of this VM and assigns their slots. */
export class LocalTargetRegistry implements ICallOpener, IDisposable {
  private readonly _store = new DisposableStore()
  private readonly _targets = new Map<string, IRegisteredTarget>()
  private readonly _withdrawals = new Map<string, IWithdrawal>()
  private _isDraining = false
  private _runningCount = 0
  /** Calls that targets run or that wait for a slot. */
  private readonly _callsById = new Map<string, IRunningCall>()
  /** Calls that targets have received; a call that waits for a slot makes no nested calls. */
  private readonly _runs: RunRegister
  private readonly _reports: TargetReports
  /** Undefined if the times of runs are not measured. */
  private readonly _pauses: PauseMeter | undefined

  /** Grants credit for large bodies of calls to the targets of this VM. */
  readonly bodyCredit: BodyCreditAllocator

  constructor (private readonly _options: ILocalTargetRegistryOptions) {
    this._runs = new RunRegister(_options.clock)
    this._pauses = _options.hasReportedTimes === true ? this._store.add(new PauseMeter(_options.clock)) : undefined
    this._reports = new TargetReports(_options.log, _options.metrics)
    this.bodyCredit = new BodyCreditAllocator(_options.clock, limit => {
      this._reports.reportWithheldCredit(limit, this.bodyCredit, _options.clock.readMonotonicMs())
    })
    this._reports.addBodyGauges(this.bodyCredit)
    this._store.add(_options.endpoints.onChanged(({ records }) => this._refuteRemovals(records)))
  }

  /**
   * Processes an announcement or a heartbeat. A withdrawn target is accepted again only as another instance.
   * @param announcement - from a target on this VM
   * @returns `stale` if a later announcement or a withdrawal has arrived before it; nothing changes then
   */
  announce (announcement: ITargetAnnouncement): AnnouncementOutcome {
    const registered = this._targets.get(announcement.id)
    if (this._isStale(announcement, registered)) {
      this._options.metrics.count('announcements_ignored_total', 'stale')
      return 'stale'
    }
    if (registered !== undefined && isSameAnnouncement(registered.target.announcement, announcement)) {
      this._refresh(registered, announcement)
      return 'taken'
    }
    const isWithdrawn = registered === undefined && this._hasWithdrawnBefore(announcement)
    this._removeOthersAtAddress(announcement)
    registered?.leaseTimer.dispose()
    registered?.target.dispose()
    const target = this._createTarget(announcement)
    target.isDraining = isWithdrawn
    this._targets.set(announcement.id, {
      target,
      leaseTimer: this._startLease(announcement.id),
      sequence: announcement.sequence ?? 0
    })
    this._options.log.info('target_announced', {
      target: announcement.id,
      service: announcement.service,
      version: announcement.version,
      born: announcement.bornMs,
      sequence: announcement.sequence,
      warmup_ms: announcement.warmupMs
    })
    if (isWithdrawn) this._publish(announcement, EndpointState.ENDPOINT_STATE_DRAINING, true)
    else if (!this._isDraining) this._publish(announcement, EndpointState.ENDPOINT_STATE_READY)
    return 'taken'
  }

  /**
   * Stops new calls to a target that is shutting down; running calls continue.
   * @param id - id of the target
   * @param bornMs - wall-clock time of its start in milliseconds, if stated
   * @param sequence - number of its announcements, if stated
   * @returns false if no such target is registered
   */
  withdraw (id: string, bornMs?: number, sequence?: number): boolean {
    const registered = this._targets.get(id)
    const registeredBornMs = registered?.target.announcement.bornMs
    if (bornMs !== undefined && registeredBornMs !== undefined && bornMs < registeredBornMs) return true
    const atMs = Math.max(this._options.clock.readWallTime().getTime(), this.getRecordedStartMs(id))
    this._rememberWithdrawal(id, { bornMs: bornMs ?? registeredBornMs, atMs, earlierInstance: '' })
    if (registered === undefined) return false
    registered.sequence = Math.max(registered.sequence, sequence ?? 0)
    if (registered.target.isDraining) {
      registered.leaseTimer.dispose()
      registered.leaseTimer = this._startLease(id)
      return true
    }
    registered.target.isDraining = true
    registered.target.refuseWaiting('draining')
    this._publish(registered.target.announcement, EndpointState.ENDPOINT_STATE_DRAINING, true)
    this._options.log.info('target_draining', { target: id, in_flight: registered.target.slotLimiter.load.inFlight })
    return true
  }

  /**
   * Tells the start of a target by the feed, which may be in the future if the clock was set back since.
   * @param id - id of the target
   * @returns wall-clock time in milliseconds, 0 if there is none
   */
  getRecordedStartMs (id: string): number {
    return this._options.endpoints.getRecord(id)?.targetBorn ?? 0
  }

  /**
   * Restores withdrawals that were recorded before this process was started.
   * @param records - withdrawals of targets of this VM
   */
  restoreWithdrawals (records: readonly WithdrawalRecord[]): void {
    for (const { targetId, targetBorn, instance, withdrawnMs } of records) {
      // One that arrived since the start is newer.
      if (this._withdrawals.has(targetId)) continue
      const bornMs = targetBorn === 0 ? undefined : targetBorn
      this._rememberWithdrawal(targetId, { bornMs, atMs: withdrawnMs, earlierInstance: instance })
    }
    if (records.length > 0) this._options.log.info('withdrawals_restored', { count: records.length })
  }

  open (request: ICallRequest, events: ICallEvents): ICallHandle {
    const isLocalUpload = request.isBulkBody === true && !request.isBodyComplete && events.onBodyCredit === undefined
    if (isLocalUpload) return new LocalUpload(this, request, events)
    const target = this._targets.get(request.targetId)?.target
    const isServing = target !== undefined && !target.isDraining && !target.isLost && !this._isDraining &&
      target.announcement.service === request.service && target.announcement.version === request.version
    if (!isServing) {
      const reason = target === undefined ? 'no-target' : 'draining'
      events.onFailure({ reason, isNotRun: true, retryAfterMs: 0 }, target?.slotLimiter.load)
      return ENDED_HANDLE
    }
    if (request.isRepeat && !this._options.canTakeRepeat()) {
      this._options.metrics.count('repeats_refused_total', 'no-budget')
      events.onFailure({ reason: 'no-budget', isNotRun: true, retryAfterMs: NO_BUDGET_RETRY_AFTER_MS }, target.slotLimiter.load)
      return ENDED_HANDLE
    }
    const retryAfterMs = this._options.nestedCalls?.findRefusal(request)?.retryAfterMs
    if (retryAfterMs !== undefined) {
      events.onFailure({ reason: 'needed-refused', isNotRun: true, retryAfterMs }, target.slotLimiter.load)
      return ENDED_HANDLE
    }
    target.applyLimits(request.slots, request.connections)
    this._runningCount++
    let hasEnded = false
    let hasStarted = false
    const onFinished = (failure: FailureReason | undefined): void => {
      this._runningCount--
      hasEnded = true
      if (hasStarted) this._runs.remove(request.callId)
      if (this._callsById.get(request.callId)?.request === request) this._callsById.delete(request.callId)
      if (failure === 'bad-status') this._reports.reportBadStatus(request, call.badStatus)
      if (failure === 'oversized') this._reports.reportOverrun(request.targetId, 'answer', request.callId)
      this._options.nestedCalls?.recordRun(request, failure === undefined)
      if (failure === 'connect' || failure === 'target-replaced') this._markLost(target, failure)
    }
    const onStarted = (): void => {
      if (request.callId === '') return
      hasStarted = true
      this._runs.add(request.callId)
    }
    const call: TargetCall = new TargetCall(target, request, events, this._options.clock, this._options.dialect, {
      onFinished,
      onStarted,
      onHung: (hang, action, leftMs) => this._reports.reportHang(request, hang, action, leftMs, target.slotLimiter.usableSlots),
      onHangRefuted: () => this._reports.reportHangRefuted()
    })
    if (!hasEnded && request.callId !== '') this._callsById.set(request.callId, { request, call })
    return call
  }

  /** Tells the other processes to send no new calls to the targets of this VM, since this process is stopping. */
  drain (): void {
    this._isDraining = true
    for (const { target } of this._targets.values()) {
      target.refuseWaiting('draining')
      if (!target.isDraining) this._publish(target.announcement, EndpointState.ENDPOINT_STATE_DRAINING)
    }
  }

  /** @returns number of calls that run or wait for a slot */
  getRunningCount (): number {
    return this._runningCount
  }

  /**
   * @param callClass - of calls
   * @returns number of calls of the class that wait for a slot of a target of this VM
   */
  countWaiting (callClass: CallClass): number {
    return [...this._targets.values()].reduce((sum, { target }) => sum + target.slotLimiter.countWaiting(callClass), 0)
  }

  /**
   * @param callId - id of a call
   * @returns true if a target of this VM runs the call and it is a retry, or a target made it while running a retry
   */
  isRepeatRun (callId: string): boolean {
    return this._callsById.get(callId)?.request.isRepeat === true
  }

  /**
   * @param callId - id of a call
   * @returns true if a target of this VM runs the call, or ran it within the last seconds
   */
  isLocalRun (callId: string): boolean {
    return this._runs.has(callId)
  }

  /**
   * Records that a call made by a target was denied a retry for lack of budget.
   * @param parentId - id of the call that the target runs; empty if unknown
   */
  recordRepeatDenied (parentId: string): void {
    const run = this._callsById.get(parentId)
    if (run !== undefined) run.call.isRepeatDenied = true
  }

  /**
   * Records a call that a target makes while it runs another one.
   * @param parentId - id of the call that the target runs; empty if unknown
   * @returns ends the nested call; undefined if no target of this VM runs the parent
   */
  startNestedCall (parentId: string): (() => void) | undefined {
    return this._callsById.get(parentId)?.call.startNestedCall()
  }

  /**
   * Records the end of a nested call.
   * @param parentId - id of the call that makes it
   * @param service - that was called
   * @param reason - why it was refused and has not run; empty otherwise
   */
  recordNestedCall (parentId: string, service: string, reason: string): void {
    this._options.nestedCalls?.recordNestedCall(this._callsById.get(parentId)?.request, service, reason)
  }

  /**
   * @param id - id of a target
   * @returns its announcement, or undefined if no such target is registered
   */
  getAnnouncement (id: string): ITargetAnnouncement | undefined {
    return this._targets.get(id)?.target.announcement
  }

  /** @returns announcement and load of each target of this VM */
  listTargets (): Array<ITargetAnnouncement & { draining: boolean, inFlight: number, queued: number }> {
    return [...this._targets.values()].map(({ target }) => ({
      ...target.announcement,
      draining: target.isDraining,
      inFlight: target.slotLimiter.load.inFlight,
      queued: target.slotLimiter.load.queued
    }))
  }

  dispose (): void {
    for (const { target, leaseTimer } of this._targets.values()) {
      leaseTimer.dispose()
      target.dispose()
    }
    this._store.dispose()
  }

  private _rememberWithdrawal (id: string, withdrawal: IWithdrawal): void {
    const knownBornMs = this._withdrawals.get(id)?.bornMs
    if (knownBornMs !== undefined && withdrawal.bornMs !== undefined && withdrawal.bornMs < knownBornMs) return
    this._withdrawals.delete(id)
    this._withdrawals.set(id, withdrawal)
    const oldest = this._withdrawals.keys().next().value
    if (this._withdrawals.size > MAX_WITHDRAWALS && oldest !== undefined) this._withdrawals.delete(oldest)
  }

  /**
   * Tells whether a target is known by the time of its start. What states no start then comes from another sender, or can't be told
   * from what an earlier instance has sent.
   * @param id - id of the target
   * @returns true if its announcement, its withdrawal or its record states a start
   */
  hasStatedStart (id: string): boolean {
    return this._targets.get(id)?.target.announcement.bornMs !== undefined || this._withdrawals.get(id)?.bornMs !== undefined ||
      this.getRecordedStartMs(id) !== 0
  }

  private _isStale ({ id, bornMs, sequence }: ITargetAnnouncement, registered: IRegisteredTarget | undefined): boolean {
    if (bornMs === undefined) return this.hasStatedStart(id)
    const withdrawal = this._withdrawals.get(id)
    if (withdrawal !== undefined && bornMs <= (withdrawal.bornMs ?? withdrawal.atMs)) return true
    const registeredBornMs = registered?.target.announcement.bornMs ?? 0
    if (registered !== undefined) {
      if (bornMs < registeredBornMs) return true
      if (bornMs === registeredBornMs && (sequence ?? Infinity) <= registered.sequence) return true
    }
    // After a restart of this process the feed returns the records that it published before.
    const record = this._options.endpoints.getRecord(id)
    if (record === undefined || record.targetBorn === 0) return false
    if (bornMs !== record.targetBorn) return bornMs < record.targetBorn
    return record.withdrawn || (sequence ?? Infinity) < record.targetSequence
  }

  /** Tells whether a target that states no time of its start withdrew under the same instance before this process was started. */
  private _hasWithdrawnBefore ({ id, bornMs, instance }: ITargetAnnouncement): boolean {
    if (bornMs !== undefined || instance === '') return false
    if (this._withdrawals.get(id)?.earlierInstance === instance) return true
    const record = this._options.endpoints.getRecord(id)
    return record !== undefined && record.withdrawn && record.instance === instance &&
      record.incarnation < this._options.incarnation
  }

  private _refresh (registered: IRegisteredTarget, announcement: ITargetAnnouncement): void {
    registered.leaseTimer.dispose()
    registered.leaseTimer = this._startLease(announcement.id)
    registered.sequence = announcement.sequence ?? registered.sequence
    if (!registered.target.isLost) return
    registered.target.isLost = false
    this._options.log.info('target_restored', { target: announcement.id, sequence: announcement.sequence })
    if (!this._isDraining && !registered.target.isDraining) this._publish(announcement, EndpointState.ENDPOINT_STATE_READY)
  }

  /** An address belongs to one target, so an older target at the same address has ended. */
  private _removeOthersAtAddress ({ id, address }: ITargetAnnouncement): void {
    for (const [otherId, { target, leaseTimer }] of this._targets) {
      if (otherId === id || target.announcement.address !== address) continue
      leaseTimer.dispose()
      this._targets.delete(otherId)
      target.dispose()
      this._options.metrics.count('targets_lost_total', 'replaced')
      this._options.log.info('target_replaced', { target: otherId, by: id, address })
      this._publish(target.announcement, EndpointState.ENDPOINT_STATE_GONE)
    }
  }

  /** A target that accepts no connections gets no calls until it announces itself again. */
  private _markLost (target: LocalTarget, reason: FailureReason): void {
    if (target.isLost || this._targets.get(target.announcement.id)?.target !== target) return
    target.isLost = true
    target.refuseWaiting('connect')
    this._options.metrics.count('targets_lost_total', reason)
    this._options.log.warn('target_lost', { target: target.announcement.id, reason })
    this._publish(target.announcement, EndpointState.ENDPOINT_STATE_GONE)
  }

  private _createTarget (announcement: ITargetAnnouncement): LocalTarget {
    const { clock, random, isServiceSlow } = this._options
    const { id, service } = announcement
    const detector = isServiceSlow === undefined ? undefined : new HangDetector(clock, sinceMs => isServiceSlow(service, id, sinceMs))
    const meter = this._pauses === undefined ? undefined : new RunMeter(clock, this._pauses, this._options.metrics, id)
    return new LocalTarget(announcement, clock, () => this._reports.reportOverrun(id, 'idle'), detector, random, this.bodyCredit,
      this._options.findAccountWeight, meter)
  }

  private _startLease (id: string): IDisposable {
    return this._options.clock.schedule(this._options.leaseMs, () => {
      const registered = this._targets.get(id)
      if (registered === undefined) return
      this._targets.delete(id)
      registered.target.dispose()
      this._options.metrics.count('targets_lost_total', 'lease')
      this._options.log.warn('target_lease_over', { target: id })
      this._publish(registered.target.announcement, EndpointState.ENDPOINT_STATE_GONE, registered.target.isDraining)
    })
  }

  private _publish (announcement: ITargetAnnouncement, state: EndpointState, isWithdrawn = false): void {
    const { endpoints, node, region, availabilityZone, linkAddress } = this._options
    const known = endpoints.getRecord(announcement.id)
    const sequence = (known?.sequence ?? 0) + 1
    // The incarnation is a wall-clock time; records must not seem older than known ones after the clock was set back.
    const incarnation = Math.max(this._options.incarnation, known?.incarnation ?? 0)
    endpoints.merge([{
      targetId: announcement.id,
      incarnation,
      sequence,
      state,
      service: announcement.service,
      version: announcement.version,
      linkAddress,
      region,
      availabilityZone,
      slots: announcement.slots,
      node,
      warmupMs: announcement.warmupMs ?? DEFAULT_WARMUP_MS,
      targetBorn: announcement.bornMs ?? 0,
      targetSequence: this._targets.get(announcement.id)?.sequence ?? announcement.sequence ?? 0,
      withdrawn: isWithdrawn,
      instance: announcement.instance
    }])
  }

  /** Another process that lost contact with this one may have reported a target as gone that still serves calls. */
  private _refuteRemovals (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const registered = this._targets.get(record.targetId)
      const isWrongRemoval = registered !== undefined && !registered.target.isDraining && !registered.target.isLost && !this._isDraining &&
        record.state === EndpointState.ENDPOINT_STATE_GONE
      if (isWrongRemoval) this._publish(registered.target.announcement, EndpointState.ENDPOINT_STATE_READY)
    }
  }
}

function isSameAnnouncement (a: ITargetAnnouncement, b: ITargetAnnouncement): boolean {
  return a.service === b.service && a.version === b.version && a.address === b.address &&
    a.slots === b.slots && a.connections === b.connections && a.instance === b.instance
}
