/**
 * The targets of this VM: announcements, heartbeats, withdrawal, and calls on them.
 */
import { DisposableStore, type IClock, type IDisposable, type ILog, type Metrics } from '@lagoonswitch/common'
import type { EndpointView } from '@lagoonswitch/feed'
import { EndpointState, type EndpointRecord } from '@lagoonswitch/schema'
import type { ICallEvents, ICallHandle, ICallOpener, ICallRequest } from '../calls/CallTypes.js'
import { LocalTarget, type ITargetAnnouncement } from './LocalTarget.js'
import { TargetCall } from './TargetCall.js'

/** A call that ended before it began. */
const ENDED_HANDLE: ICallHandle = {
  sendBody: () => true,
  endBody: () => {},
  cancel: () => {},
  acknowledge: () => {}
}

/** Where this process is. */
export interface ITargetSideOptions {
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
}

interface IHeldTarget {
  readonly target: LocalTarget
  leaseTimer: IDisposable
}

/** Alone opens connections to the targets of this VM and keeps their slots. */
export class TargetSide implements ICallOpener, IDisposable {
  private readonly _store = new DisposableStore()
  private readonly _targets = new Map<string, IHeldTarget>()
  private _isDraining = false
  private _running = 0

  constructor (private readonly _options: ITargetSideOptions) {
    this._store.add(_options.endpoints.onChanged(({ records }) => this._refuteRemovals(records)))
  }

  /**
   * Takes an announcement or a heartbeat. A target that has withdrawn comes back as another instance only.
   * @param announcement - from a target on this VM
   */
  announce (announcement: ITargetAnnouncement): void {
    const held = this._targets.get(announcement.id)
    if (held !== undefined && isSameAnnouncement(held.target.announcement, announcement)) {
      held.leaseTimer.dispose()
      held.leaseTimer = this._startLease(announcement.id)
      return
    }
    held?.leaseTimer.dispose()
    held?.target.dispose()
    this._targets.set(announcement.id, {
      target: new LocalTarget(announcement, this._options.clock),
      leaseTimer: this._startLease(announcement.id)
    })
    this._options.log.info('target_announced', {
      target: announcement.id, service: announcement.service, version: announcement.version
    })
    if (!this._isDraining) this._publish(announcement, EndpointState.ENDPOINT_STATE_READY)
  }

  /**
   * Takes no new calls for a target that is leaving; running ones go on.
   * @param id - id of the target
   * @returns false when no such target is known
   */
  withdraw (id: string): boolean {
    const held = this._targets.get(id)
    if (held === undefined) return false
    held.target.isDraining = true
    held.target.gate.refuseAll('draining')
    this._publish(held.target.announcement, EndpointState.ENDPOINT_STATE_DRAINING)
    this._options.log.info('target_draining', { target: id })
    return true
  }

  open (request: ICallRequest, events: ICallEvents): ICallHandle {
    const target = this._targets.get(request.targetId)?.target
    const isServing = target !== undefined && !target.isDraining && !this._isDraining &&
      target.announcement.service === request.service && target.announcement.version === request.version
    if (!isServing) {
      const reason = target === undefined ? 'no-target' : 'draining'
      events.onFailure({ reason, isNotRun: true, retryAfterMs: 0 }, target?.gate.load)
      return ENDED_HANDLE
    }
    target.applyLimits(request.slots, request.connections)
    this._running++
    return new TargetCall(target, request, events, this._options.clock, () => { this._running-- })
  }

  /** Withdraws all targets and refuses new calls. */
  drain (): void {
    this._isDraining = true
    for (const id of this._targets.keys()) this.withdraw(id)
  }

  /** @returns calls that run or wait now */
  getRunningCount (): number {
    return this._running
  }

  /** @returns what is known of the targets of this VM */
  listTargets (): Array<ITargetAnnouncement & { draining: boolean, inFlight: number, queued: number }> {
    return [...this._targets.values()].map(({ target }) => ({
      ...target.announcement,
      draining: target.isDraining,
      inFlight: target.gate.load.inFlight,
      queued: target.gate.load.queued
    }))
  }

  dispose (): void {
    for (const { target, leaseTimer } of this._targets.values()) {
      leaseTimer.dispose()
      target.dispose()
    }
    this._store.dispose()
  }

  private _startLease (id: string): IDisposable {
    return this._options.clock.schedule(this._options.leaseMs, () => {
      const held = this._targets.get(id)
      if (held === undefined) return
      this._targets.delete(id)
      held.target.dispose()
      this._options.metrics.count('targets_lost_total', 'lease')
      this._options.log.warn('target_lease_over', { target: id })
      this._publish(held.target.announcement, EndpointState.ENDPOINT_STATE_GONE)
    })
  }

  private _publish (announcement: ITargetAnnouncement, state: EndpointState): void {
    const { endpoints, incarnation, node, region, availabilityZone, linkAddress } = this._options
    const sequence = (endpoints.getRecord(announcement.id)?.sequence ?? 0) + 1
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
      node
    }])
  }

  /** Another process that lost sight of this one may have reported a target as gone; it is not. */
  private _refuteRemovals (records: readonly EndpointRecord[]): void {
    for (const record of records) {
      const held = this._targets.get(record.targetId)
      const isFalse = held !== undefined && !held.target.isDraining &&
        record.state === EndpointState.ENDPOINT_STATE_GONE && record.incarnation === this._options.incarnation
      if (isFalse) this._publish(held.target.announcement, EndpointState.ENDPOINT_STATE_READY)
    }
  }
}

function isSameAnnouncement (a: ITargetAnnouncement, b: ITargetAnnouncement): boolean {
  return a.service === b.service && a.version === b.version && a.address === b.address &&
    a.slots === b.slots && a.connections === b.connections && a.instance === b.instance
}
