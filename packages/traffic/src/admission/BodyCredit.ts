/**
 * Decides which large request bodies may be sent to this node, so that neither its link nor its memory fills with them.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'

/** Part of a body after which its call asks for a slot, in bytes; a shorter body arrives whole before. */
export const SLOT_BODY_BYTES = 524_288
/** Largest part of one body in transit, in bytes. */
export const CALL_TRANSIT_BYTES = 65_536
/** Parts of all bodies in transit, in bytes. */
export const MAX_TRANSIT_BYTES = 524_288
/**
 * Bytes in transit with recent credit: 70 ms of a link of 7.7 Mbit/s. With 128 kB, reads beside uploads took 400 to 580 ms at the 99th
 * percentile on such a link, with 512 kB 1.2 s; their latency objective there is 533 ms.
 */
const RECENT_TRANSIT_BYTES = 65_536
/** Part of one body in transit while other bodies have something to send, so that one on a slow path holds little of the recent credit. */
const SHARED_CALL_TRANSIT_BYTES = 16_384
/** Time after which credit is no longer recent, as its sender is slow or silent; it still counts towards the maximum in transit. */
const RECENT_MS = 250
/** Bytes of all bodies that wait on the node or are in transit to it. */
export const MAX_WAITING_BYTES = 24_000_000
/** Last part of the memory, for bodies that it can complete; bodies that fill the memory halfway each could not be completed. */
const RESERVED_BYTES = SLOT_BODY_BYTES
/** Smaller parts are granted only at the end of an offer, since each grant and each part is a frame. */
const MIN_GRANT_BYTES = 16_384

/** Limits that may withhold credit from all bodies. */
export type CreditLimit = 'transit' | 'memory'

/** One body: what its sender has ready, what is in transit and what waits here. */
export class BodyCredit {
  /** Bytes that the sender has ready and that have no credit yet. */
  offeredBytes = 0
  /** Bytes with credit that have not arrived. */
  transitBytes = 0
  /** Bytes that have arrived and that the target has not taken. */
  waitingBytes = 0
  lastGrantMs = 0
  private _arrivedBytes = 0

  /**
   * @param _allocator - that grants credit
   * @param _bodyBytes - length of the body, 0 if its sender does not know it
   * @param onGranted - called with the number of bytes that may be sent in addition
   */
  constructor (
    private readonly _allocator: BodyCreditAllocator, private readonly _bodyBytes: number, readonly onGranted: (bytes: number) => void
  ) {}

  /** Bytes that are still to be granted; infinite if the length is unknown. */
  get remainingBytes (): number {
    return this._bodyBytes === 0 ? Infinity : Math.max(0, this._bodyBytes - this._arrivedBytes - this.transitBytes)
  }

  /** @param bytes - that the sender has ready in addition */
  offer (bytes: number): void {
    this.offeredBytes += bytes
    this._allocator.allocate()
  }

  /** @param bytes - that have arrived */
  receive (bytes: number): void {
    this._arrivedBytes += bytes
    this._allocator.recordArrival(this, bytes)
  }

  /** @param bytes - that the target has taken */
  consume (bytes: number): void {
    this._allocator.recordTaken(this, bytes)
  }

  /** Returns the credit and the memory of a call that has ended. */
  close (): void {
    this._allocator.remove(this)
  }
}

/** Grants credit to the bodies of one node: those near completion first, then earlier ones. */
export class BodyCreditAllocator {
  /** In the order of arrival. */
  private readonly _bodies = new Set<BodyCredit>()
  private _transitBytes = 0
  private _waitingBytes = 0
  private _isAllocating = false
  private _isChanged = false
  private _retryTimer: IDisposable | undefined

  /**
   * @param _clock - source of time
   * @param _onLimited - called each time that a limit withholds credit from a body
   */
  constructor (private readonly _clock: IClock, private readonly _onLimited: (limit: CreditLimit) => void = () => undefined) {}

  /** Bytes with credit that have not arrived. */
  get transitBytes (): number { return this._transitBytes }

  /** Bytes that have arrived and that no target has taken. */
  get waitingBytes (): number { return this._waitingBytes }

  /** Bodies of calls that have not ended. */
  get bodyCount (): number { return this._bodies.size }

  /**
   * Adds a body.
   * @param bodyBytes - its length, 0 if unknown
   * @param onGranted - called with the number of bytes that may be sent in addition
   * @returns its credit, to be closed when the call ends
   */
  open (bodyBytes: number, onGranted: (bytes: number) => void): BodyCredit {
    const body = new BodyCredit(this, bodyBytes, onGranted)
    this._bodies.add(body)
    return body
  }

  /**
   * Records the arrival of a part of a body.
   * @param body - that it belongs to
   * @param bytes - of the part
   */
  recordArrival (body: BodyCredit, bytes: number): void {
    if (!this._bodies.has(body)) return
    const grantedBytes = Math.min(bytes, body.transitBytes)
    body.transitBytes -= grantedBytes
    this._transitBytes -= grantedBytes
    body.waitingBytes += bytes
    this._waitingBytes += bytes
    this.allocate()
  }

  /**
   * Records that a target has taken a part of a body.
   * @param body - that it belongs to
   * @param bytes - of the part
   */
  recordTaken (body: BodyCredit, bytes: number): void {
    if (!this._bodies.has(body)) return
    body.waitingBytes -= bytes
    this._waitingBytes -= bytes
    this.allocate()
  }

  /** @param body - of a call that has ended */
  remove (body: BodyCredit): void {
    if (!this._bodies.delete(body)) return
    this._transitBytes -= body.transitBytes
    this._waitingBytes -= body.waitingBytes
    this.allocate()
  }

  /** Grants what the limits allow. A grant on this VM delivers its bytes at once, which calls this method again. */
  allocate (): void {
    this._isChanged = true
    if (this._isAllocating) return
    this._isAllocating = true
    while (this._isChanged) {
      this._isChanged = false
      this._grantNext()
    }
    this._isAllocating = false
  }

  private _grantNext (): void {
    const offers = this._listOffers()
    const callTransitBytes = offers.length > 1 ? SHARED_CALL_TRANSIT_BYTES : CALL_TRANSIT_BYTES
    for (const body of offers) {
      const roomBytes = SLOT_BODY_BYTES - body.transitBytes - body.waitingBytes
      const neededBytes = Math.min(body.remainingBytes, roomBytes)
      const ownBytes = Math.min(body.offeredBytes, callTransitBytes - body.transitBytes, roomBytes)
      // The last part before the slot may be small as well.
      const leastBytes = Math.min(MIN_GRANT_BYTES, body.offeredBytes, Math.max(1, roomBytes))
      // The sender or the target has to go on first, which is no reason to hold up other bodies.
      if (ownBytes < leastBytes) continue
      const transitBytes = this._computeTransitLeft()
      if (transitBytes < leastBytes) {
        // Bodies later in the order do not overtake this one with smaller parts.
        this._reportLimit('transit')
        return
      }
      const memoryBytes = this._computeMemoryLeft(neededBytes)
      if (memoryBytes < leastBytes) this._reportLimit('memory')
      else this._grant(body, Math.min(ownBytes, transitBytes, memoryBytes))
    }
  }

  /** Bytes that a body may add to the memory in use; a body that can't be completed there leaves the last part to others. */
  private _computeMemoryLeft (neededBytes: number): number {
    const leftBytes = MAX_WAITING_BYTES - this._waitingBytes - this._transitBytes
    return neededBytes <= leftBytes ? leftBytes : leftBytes - RESERVED_BYTES
  }

  private _reportLimit (limit: CreditLimit): void {
    this._onLimited(limit)
    this._scheduleRetry()
  }

  /** Bodies with an offer: those of which the rest fits into one grant, shortest rest first, then the others by arrival. */
  private _listOffers (): BodyCredit[] {
    const nearEnd: BodyCredit[] = []
    const others: BodyCredit[] = []
    for (const body of this._bodies) {
      if (body.offeredBytes > 0) (body.remainingBytes <= CALL_TRANSIT_BYTES ? nearEnd : others).push(body)
    }
    return [...nearEnd.sort((a, b) => a.remainingBytes - b.remainingBytes), ...others]
  }

  private _computeTransitLeft (): number {
    const sinceMs = this._clock.readMonotonicMs() - RECENT_MS
    let recentBytes = 0
    for (const body of this._bodies) {
      if (body.lastGrantMs > sinceMs) recentBytes += body.transitBytes
    }
    return Math.min(RECENT_TRANSIT_BYTES - recentBytes, MAX_TRANSIT_BYTES - this._transitBytes)
  }

  private _grant (body: BodyCredit, bytes: number): void {
    body.lastGrantMs = this._clock.readMonotonicMs()
    body.offeredBytes -= bytes
    body.transitBytes += bytes
    this._transitBytes += bytes
    body.onGranted(bytes)
  }

  /** Credit that is no longer recent leaves room for others without any other event. */
  private _scheduleRetry (): void {
    this._retryTimer ??= this._clock.schedule(RECENT_MS, () => {
      this._retryTimer = undefined
      this.allocate()
    })
  }
}
