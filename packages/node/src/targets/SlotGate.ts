/**
 * The slots of one target and the short queue before them.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import type { FailureReason, ITargetLoad } from '../calls/CallTypes.js'

/**
 * Handicap of a class in the queue: a call waits that much longer before it goes ahead of a new one without a handicap.
 * Calls of the first class are mostly made for others, which hold slots of their own meanwhile, so they go far ahead.
 */
const HANDICAP_MS: Readonly<Partial<Record<CallClass, number>>> = {
  [CallClass.CALL_CLASS_FIRST]: -500,
  [CallClass.CALL_CLASS_HIGH]: 500,
  [CallClass.CALL_CLASS_NORMAL]: 750,
  [CallClass.CALL_CLASS_LOW]: 1_000
}
const SERVICE_WEIGHT = 0.1
const RETRY_AFTER_MS = 100

/** A call that waits for a slot or holds one. */
export interface ISlotTicket {
  /** Gives the slot back, or leaves the queue. */
  release (): void
}

/** Asks for a slot. */
export interface ISlotRequest {
  readonly callClass: CallClass
  readonly remainingMs: number
  /** Time left until the answer is worth less; 0 when none was stated. */
  readonly objectiveMs?: number
  /** Usual time in a slot; 0 or left out when unknown. */
  readonly expectedMs?: number
  readonly queueLimit: number
  readonly onGranted: () => void
  readonly onRefused: (reason: FailureReason, retryAfterMs: number) => void
}

interface IWaiter extends ISlotTicket {
  readonly request: ISlotRequest
  /** Order in the queue: time of arrival plus a handicap for the class. */
  readonly rank: number
  timer: IDisposable | undefined
  state: 'queued' | 'running' | 'ended'
  grantedMs: number
}

/** Grants exactly as many slots as the target has, the most important calls first. */
export class SlotGate {
  private readonly _queue: IWaiter[] = []
  private _inFlight = 0
  private _serviceMs = 0
  private _served = 0

  /**
   * @param _clock - source of time
   * @param slots - calls that the target takes at once
   */
  constructor (private readonly _clock: IClock, public slots: number) {}

  get load (): ITargetLoad {
    return { inFlight: this._inFlight, slots: this.slots, queued: this._queue.length, served: this._served, serviceMs: 0 }
  }

  /**
   * Asks for a slot. Exactly one of the callbacks is called, possibly before this returns.
   * @param request - class, time left and callbacks
   * @returns to give the slot back or to leave the queue
   */
  acquire (request: ISlotRequest): ISlotTicket {
    const nowMs = this._clock.readMonotonicMs()
    const waiter: IWaiter = {
      request,
      rank: nowMs + (HANDICAP_MS[request.callClass] ?? 0),
      timer: undefined,
      state: 'queued',
      grantedMs: 0,
      release: () => this._release(waiter)
    }
    if (this._inFlight < this.slots && this._queue.length === 0) {
      this._grant(waiter)
      return waiter
    }
    const refusal = this._findRefusal(request, waiter.rank)
    if (refusal !== undefined) {
      this._refuse(waiter, refusal)
      return waiter
    }
    this._insert(waiter)
    waiter.timer = this._clock.schedule(computeLimitMs(request), () => {
      this._removeQueued(waiter)
      this._refuse(waiter, 'deadline-queue')
    })
    return waiter
  }

  /**
   * Refuses everything that waits.
   * @param reason - why
   */
  refuseAll (reason: FailureReason): void {
    for (const waiter of this._queue.splice(0)) this._refuse(waiter, reason)
  }

  private _findRefusal (request: ISlotRequest, rank: number): FailureReason | undefined {
    const ahead = this._findPosition(rank)
    const waitMs = (ahead + 1) / Math.max(1, this.slots) * this._serviceMs
    const expectedMs = request.expectedMs === undefined || request.expectedMs === 0 ? this._serviceMs : request.expectedMs
    if (waitMs + expectedMs > computeLimitMs(request)) return 'deadline-queue'
    if (this._queue.length < request.queueLimit) return undefined
    const last = this._queue.at(-1)
    if (last === undefined || last.request.callClass <= request.callClass) return 'queue-full'
    this._removeQueued(last)
    this._refuse(last, 'shed')
    return undefined
  }

  private _findPosition (rank: number): number {
    let position = this._queue.length
    while (position > 0 && (this._queue[position - 1]?.rank ?? 0) > rank) position--
    return position
  }

  private _insert (waiter: IWaiter): void {
    this._queue.splice(this._findPosition(waiter.rank), 0, waiter)
  }

  private _removeQueued (waiter: IWaiter): void {
    const index = this._queue.indexOf(waiter)
    if (index >= 0) this._queue.splice(index, 1)
  }

  private _grant (waiter: IWaiter): void {
    waiter.timer?.dispose()
    waiter.state = 'running'
    waiter.grantedMs = this._clock.readMonotonicMs()
    this._inFlight++
    this._served++
    waiter.request.onGranted()
  }

  private _refuse (waiter: IWaiter, reason: FailureReason): void {
    waiter.timer?.dispose()
    waiter.state = 'ended'
    const waitMs = (this._queue.length + 1) / Math.max(1, this.slots) * this._serviceMs
    waiter.request.onRefused(reason, Math.max(RETRY_AFTER_MS, waitMs))
  }

  private _release (waiter: IWaiter): void {
    if (waiter.state === 'queued') {
      this._removeQueued(waiter)
      waiter.timer?.dispose()
    } else if (waiter.state === 'running') {
      this._inFlight--
      const tookMs = this._clock.readMonotonicMs() - waiter.grantedMs
      this._serviceMs += (tookMs - this._serviceMs) * SERVICE_WEIGHT
    }
    waiter.state = 'ended'
    while (this._inFlight < this.slots) {
      const next = this._queue.shift()
      if (next === undefined) return
      this._grant(next)
    }
  }
}

/**
 * An answer later than this is of little use, and others can use the slot better. Calls of the first class are mostly
 * made for others, which fail with them, so they are worth their slot until their deadline.
 */
function computeLimitMs ({ remainingMs, objectiveMs = 0, callClass }: ISlotRequest): number {
  const isAwaited = callClass === CallClass.CALL_CLASS_FIRST
  return objectiveMs > 0 && !isAwaited ? Math.min(remainingMs, objectiveMs) : remainingMs
}
