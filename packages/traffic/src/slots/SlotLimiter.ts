/**
 * Limits the calls that run on one target to its slots, with a short queue for calls that wait.
 */
import type { IClock, IRandom } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import type { FailureReason, ITargetLoad } from '../CallLoad.js'
import type { AccountWeightLookup } from './AccountShares.js'
import { ReturnSchedule } from './ReturnSchedule.js'
import { SlotQueue, type IQueuedCall } from './SlotQueue.js'

/** Weight of the newest call in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1
/** Shortest time after which a refused caller is asked to repeat its call. */
const MIN_BACKOFF_MS = 100
/** Fraction of its usual time that a call must have left to be likely in time; the times are skewed, most are shorter than the average. */
const MIN_TIME_RATIO = 0.7
/** How long a call whose response will be late anyway may wait, in multiples of its usual time. */
const LATE_WAIT_RATIO = 1
/** Fraction of its longest wait after which the oldest call in the queue indicates congestion rather than a random peak. */
const CONGESTED_WAIT_RATIO = 0.25
/** Fraction of its objective for which a call waits in a queue that does not empty; such an early refusal costs the caller little. */
const OVERLOAD_WAIT_RATIO = 0.3
/**
 * Fraction of the slots that calls of a class from other availability zones leave free for callers in the target's own zone.
 * Otherwise a local caller that needs a slot a moment later would have to make an expensive call to another zone in turn.
 * Calls of higher classes are worth that cost.
 */
const RESERVED_SLOT_RATIOS: Readonly<Partial<Record<CallClass, number>>> = {
  [CallClass.CALL_CLASS_NORMAL]: 0.25,
  [CallClass.CALL_CLASS_LOW]: 0.25
}
/**
 * Fraction of its remaining time after which a caller that is late or meets an overload is told to repeat its call. Callers wait for
 * at most a third of that time.
 */
const BACKOFF_RATIO = 0.33
/**
 * Part of that time before which a caller with an account that meets an overload does not return. With 0.5 callers of the model of
 * AccountCompetition.test.ts are refused 5.4 times per call at load 1.8, with 0.75 5.0 times, and are served equally often.
 */
const MIN_BACKOFF_RATIO = 0.75

/**
 * Time for which a slot stays unused after a call hung in it: the target counts a call that was given up for an unknown time. Further
 * ones come back one by one, so that a target that is still full is not filled again at once.
 */
const HOLD_BACK_MS = 3_000
const RESTORE_INTERVAL_MS = 1_000

/** A call that waits for a slot or holds one. */
export interface ISlotTicket {
  /** Releases the slot, or leaves the queue. */
  release (): void
}

/** Request for a slot. */
export interface ISlotRequest {
  readonly callClass: CallClass
  /** Name of the client account; empty or omitted for a call without one. */
  readonly account?: string
  readonly remainingMs: number
  /** Time left until the response loses value; 0 when none was stated. */
  readonly objectiveMs?: number
  /** Usual time in a slot; 0 or omitted when unknown. */
  readonly expectedMs?: number
  /** True for a call that may take a free slot but must not wait for one. */
  readonly isSpareOnly?: boolean
  readonly queueLimit: number
  readonly onGranted: () => void
  readonly onRefused: (reason: FailureReason, retryAfterMs: number) => void
}

interface IWaiter extends ISlotTicket, IQueuedCall {
  readonly request: ISlotRequest
  readonly arrivedAtMs: number
  /** Time in the queue after which the call is refused. */
  readonly maxWaitMs: number
  state: 'queued' | 'running' | 'ended'
  grantedAtMs: number
}

/** Grants exactly as many slots as the target has; {@link SlotQueue} decides the order. */
export class SlotLimiter {
  private readonly _queue: SlotQueue<IWaiter>
  private _inFlight = 0
  private _averageServiceMs = 0
  private _served = 0
  /** Time since which the queue has not been empty. */
  private _nonEmptySinceMs = 0
  /** Slots that stay unused after hangs, and when the last of them comes back. */
  private _heldBack = 0
  private _restoredAtMs = 0
  private readonly _returns: ReturnSchedule | undefined

  /**
   * @param _clock - source of time
   * @param slots - calls that the target takes at once
   * @param random - spreads the times at which refused callers with an account return; without it they are not spread
   * @param findWeight - declared weights of accounts; without it they are weighed by their waiting calls
   */
  constructor (private readonly _clock: IClock, public slots: number, random?: IRandom, findWeight?: AccountWeightLookup) {
    this._queue = new SlotQueue(findWeight)
    this._returns = random === undefined ? undefined : new ReturnSchedule(_clock, random)
  }

  get load (): ITargetLoad {
    return {
      inFlight: this._inFlight,
      slots: this.usableSlots,
      queued: this._queue.length,
      served: this._served,
      serviceMs: 0,
      isRepeatDenied: false
    }
  }

  /** Slots that may be in use, at least one if the target has any. */
  get usableSlots (): number {
    return Math.max(Math.min(1, this.slots), this.slots - this._heldBack)
  }

  /** Leaves one slot more unused for some seconds, since a call hung; the last slot stays in use. */
  holdBack (): void {
    if (this.usableSlots <= 1) return
    const nowMs = this._clock.readMonotonicMs()
    this._heldBack++
    this._restoredAtMs = Math.max(nowMs + HOLD_BACK_MS, this._restoredAtMs + RESTORE_INTERVAL_MS)
    this._clock.schedule(this._restoredAtMs - nowMs, () => {
      this._heldBack--
      this._grantFree()
    })
  }

  /**
   * @param callClass - of the calls
   * @returns number of calls of the class that wait for a slot
   */
  countWaiting (callClass: CallClass): number {
    return this._queue.countOfClass(callClass)
  }

  /**
   * Requests a slot. Exactly one of the callbacks is called, possibly before this method returns.
   * @param request - class, time left and callbacks
   * @returns the ticket that releases the slot or leaves the queue
   */
  acquire (request: ISlotRequest): ISlotTicket {
    const isTimely = computeTimeLimitMs(request) >= MIN_TIME_RATIO * this._getExpectedMs(request)
    const waiter: IWaiter = {
      request,
      callClass: request.callClass,
      account: request.account ?? '',
      arrivedAtMs: this._clock.readMonotonicMs(),
      isTimely,
      maxWaitMs: this._computeMaxWaitMs(request, isTimely),
      timer: undefined,
      state: 'queued',
      grantedAtMs: 0,
      release: () => this._release(waiter)
    }
    if (this._inFlight < this._computeUsableSlots(request) && this._queue.length === 0) {
      this._queue.recordUncontended(waiter.callClass)
      this._grant(waiter)
      return waiter
    }
    const refusal = this._findRefusalReason(waiter)
    if (refusal === undefined) this._addWaiter(waiter)
    else this._refuse(waiter, refusal)
    return waiter
  }

  /**
   * Refuses all waiting calls.
   * @param reason - reported to each of them
   */
  refuseAll (reason: FailureReason): void {
    for (const waiter of this._queue.removeAll()) this._refuse(waiter, reason)
  }

  private _computeUsableSlots ({ isSpareOnly, callClass }: ISlotRequest): number {
    return isSpareOnly === true ? computeSpareSlots(this.usableSlots, callClass) : this.usableSlots
  }

  private _addWaiter (waiter: IWaiter): void {
    if (this._queue.length === 0) this._nonEmptySinceMs = waiter.arrivedAtMs
    this._queue.add(waiter)
    waiter.timer = this._clock.schedule(waiter.maxWaitMs, () => {
      this._queue.remove(waiter)
      this._refuse(waiter, 'deadline-queue')
    })
  }

  private _findRefusalReason ({ request, account, isTimely, maxWaitMs }: IWaiter): FailureReason | undefined {
    if (request.isSpareOnly === true) return 'no-spare'
    if (maxWaitMs <= 0) return 'deadline-queue'
    // The newest call goes first under congestion, but among calls of accounts only within its account.
    const isFirst = this._isCongested() && !this._queue.hasAccounts(request.callClass, account)
    const callsAhead = isFirst ? 0 : this._queue.countAhead(request.callClass, account)
    const waitMs = (callsAhead + 1) / Math.max(1, this.usableSlots) * this._averageServiceMs
    const availableMs = isTimely ? computeTimeLimitMs(request) : request.remainingMs
    if (waitMs + MIN_TIME_RATIO * this._getExpectedMs(request) > availableMs) return 'deadline-queue'
    if (this._queue.length < request.queueLimit) return undefined
    const shed = this._queue.evictFor(request.callClass, account)
    if (shed === undefined) return 'queue-full'
    this._refuse(shed, 'shed')
    return undefined
  }

  /** Under congestion not all waiting calls can be served in time. */
  private _isCongested (): boolean {
    const oldest = this._queue.findOldestTimely()
    if (oldest === undefined) return false
    return this._clock.readMonotonicMs() - oldest.arrivedAtMs > CONGESTED_WAIT_RATIO * oldest.maxWaitMs
  }

  /**
   * A call waits as long as it is likely to be in time, and a late one as long as calls usually take. If the queue has not
   * emptied for that long, waiting seldom helps, and an early refusal leaves time to try another target or to repeat the call later.
   */
  private _computeMaxWaitMs (request: ISlotRequest, isTimely: boolean): number {
    const expectedMs = this._getExpectedMs(request)
    const limitMs = isTimely ? computeTimeLimitMs(request) : Math.min(request.remainingMs, (LATE_WAIT_RATIO + MIN_TIME_RATIO) * expectedMs)
    const maxWaitMs = limitMs - MIN_TIME_RATIO * expectedMs
    if (!this._isOverloaded(maxWaitMs, request.account) || request.callClass === CallClass.CALL_CLASS_FIRST) return maxWaitMs
    return isTimely ? Math.min(maxWaitMs, OVERLOAD_WAIT_RATIO * limitMs) : 0
  }

  private _isOverloaded (maxWaitMs: number, account = ''): boolean {
    if (this._queue.length === 0 || !this._queue.canMeetOverload(account)) return false
    return this._clock.readMonotonicMs() - this._nonEmptySinceMs > maxWaitMs
  }

  private _getExpectedMs ({ expectedMs = 0 }: ISlotRequest): number {
    return expectedMs === 0 ? this._averageServiceMs : expectedMs
  }

  private _grant (waiter: IWaiter): void {
    waiter.timer?.dispose()
    waiter.state = 'running'
    waiter.grantedAtMs = this._clock.readMonotonicMs()
    this._inFlight++
    this._served++
    waiter.request.onGranted()
  }

  private _refuse (waiter: IWaiter, reason: FailureReason): void {
    waiter.timer?.dispose()
    waiter.state = 'ended'
    waiter.request.onRefused(reason, this._computeRetryAfterMs(waiter))
  }

  /** A caller whose response would be late, or that meets an overload, is asked to wait as long as it can: the peak may be over then. */
  private _computeRetryAfterMs ({ request, account, arrivedAtMs, maxWaitMs }: IWaiter): number {
    const intervalMs = this._averageServiceMs / Math.max(1, this.usableSlots)
    const passedMs = this._clock.readMonotonicMs() - arrivedAtMs
    const isLate = computeTimeLimitMs(request) - passedMs < this._getExpectedMs(request)
    const backoffMs = isLate || this._isOverloaded(maxWaitMs, account) ? BACKOFF_RATIO * (request.remainingMs - passedMs) : 0
    if (this._returns === undefined || !this._queue.hasAccounts(request.callClass, account)) {
      return Math.max(MIN_BACKOFF_MS, (this._queue.length + 1) * intervalMs, backoffMs)
    }
    const waitMs = (this._queue.countAhead(request.callClass, account) + 1) * intervalMs
    const minMs = Math.max(MIN_BACKOFF_MS, waitMs, MIN_BACKOFF_RATIO * backoffMs)
    return this._returns.allocateDelayMs(minMs, Math.max(minMs, BACKOFF_RATIO * (request.remainingMs - passedMs)), intervalMs)
  }

  private _release (waiter: IWaiter): void {
    if (waiter.state === 'queued') {
      this._queue.remove(waiter)
      waiter.timer?.dispose()
    } else if (waiter.state === 'running') {
      this._inFlight--
      const serviceMs = this._clock.readMonotonicMs() - waiter.grantedAtMs
      this._averageServiceMs += (serviceMs - this._averageServiceMs) * SERVICE_TIME_WEIGHT
    }
    waiter.state = 'ended'
    this._grantFree()
  }

  private _grantFree (): void {
    while (this._inFlight < this.usableSlots) {
      const next = this._queue.takeNext(this._isCongested())
      if (next === undefined) return
      this._grant(next)
    }
  }
}

/**
 * Computes how many calls may run on a target before it refuses calls from availability zones that have targets of their own.
 * @param slots - of the target
 * @param callClass - of the call
 * @returns number of running calls, possibly fractional
 */
export function computeSpareSlots (slots: number, callClass: CallClass): number {
  return slots * (1 - (RESERVED_SLOT_RATIOS[callClass] ?? 0))
}

/**
 * Computes the time after which a response is of little use and another call makes better use of the slot. Calls of the first
 * class are mostly made on behalf of other calls, which fail with them, so they may use a slot until their deadline.
 */
function computeTimeLimitMs ({ remainingMs, objectiveMs = 0, callClass }: ISlotRequest): number {
  const isAwaited = callClass === CallClass.CALL_CLASS_FIRST
  return objectiveMs > 0 && !isAwaited ? Math.min(remainingMs, objectiveMs) : remainingMs
}
