/**
 * One search for a source: candidates are asked at once, and those that are current are tried in the order of their replies.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import type { FeedSubscription } from './FeedSubscription.js'
import type { ICandidate, SourceFinder } from './SourceFinder.js'

/** Wait for the welcome of one source before the next one is tried as well; each that accepts this node sends all endpoints. */
const JOIN_HEAD_START_MS = 400

/** Wait before a source that was not current, did not respond or refused this node is asked again; a fraction of an election. */
const REPEAT_DELAY_MS = 150
/** The same while the current source still sends, since all nodes may seek another one at the same time, and it tells them its recovery. */
const REPLACEMENT_REPEAT_DELAY_MS = 400
/** Time without a current source after which a control VM is tried without a question, as confirmations may be slow. */
const UNTESTED_DELAY_MS = 1_500

/** Dependencies of a {@link SourceSearch}. */
export interface ISourceSearchOptions {
  readonly clock: IClock
  readonly finder: SourceFinder
  /** Opens a subscription; it is disposed when another one is welcomed first. */
  readonly open: (address: string) => FeedSubscription
  /** Receives the first subscription that is welcomed, at once. */
  readonly onFound: (subscription: FeedSubscription) => void
  /** Returns true for an address that must not be tried. */
  readonly isExcluded: (address: string) => boolean
  /** True to ask again until a source is found; false to ask each candidate once. */
  readonly isPersistent: boolean
  /** Called when a source is current, before it is joined; false ends the search. */
  readonly isNeeded?: () => Promise<boolean>
}

/**
 * Finds one source. Nothing is waited for in turn: a candidate that does not answer delays no other one, whether it was known
 * before or is a relay that a full source has named.
 */
export class SourceSearch implements IDisposable {
  private readonly _timers = new Set<IDisposable>()
  /** Candidates that have been asked, or wait to be. */
  private readonly _asked = new Set<string>()
  /** Number of those whose reply is awaited. */
  private _askedCount = 0
  /** Candidates that are current, in the order of their replies. */
  private readonly _current: string[] = []
  private readonly _joining = new Set<FeedSubscription>()
  private _isEnded = false
  private _joinTimer: IDisposable | undefined
  private _resolve: (isFound: boolean) => void = () => {}
  private _retryAfterMs = 0

  constructor (private readonly _options: ISourceSearchOptions) {}

  private get _repeatDelayMs (): number {
    return this._options.isNeeded === undefined ? REPEAT_DELAY_MS : REPLACEMENT_REPEAT_DELAY_MS
  }

  /** Wait that the last source that refused this node has asked for, in milliseconds; 0 for none. */
  get retryAfterMs (): number {
    return this._retryAfterMs
  }

  /**
   * Runs the search.
   * @param candidates - sources to ask, each after its delay
   * @param untested - source that is tried without a question, empty for none
   * @returns false when no candidate accepted this node
   */
  async run (candidates: readonly ICandidate[], untested = ''): Promise<boolean> {
    return await new Promise<boolean>(resolve => {
      this._resolve = resolve
      if (untested !== '') this._current.push(untested)
      for (const candidate of candidates) void this._ask(candidate)
      if (this._options.isPersistent) this._scheduleUntested()
      this._joinNext()
    })
  }

  dispose (): void {
    this._end(undefined)
  }

  private async _ask ({ address, delayMs }: ICandidate): Promise<void> {
    if (this._asked.has(address) || this._options.isExcluded(address)) return
    this._asked.add(address)
    this._askedCount++
    let isConfirmed = false
    let waitMs = delayMs
    do {
      if (waitMs > 0) await new Promise<void>(resolve => this._schedule(waitMs, resolve))
      const reply = await this._options.finder.confirmAt(address)
      isConfirmed = reply?.confirmed === true
      waitMs = this._repeatDelayMs
    } while (!isConfirmed && this._options.isPersistent && !this._isEnded)
    const isNeeded = !isConfirmed || await this._options.isNeeded?.() !== false
    this._askedCount--
    if (!isNeeded) this.dispose()
    if (isConfirmed) this._current.push(address)
    this._joinNext()
  }

  private _scheduleUntested (): void {
    this._schedule(UNTESTED_DELAY_MS, () => {
      const address = this._options.finder.pickControl('')
      if (!this._options.isExcluded(address)) this._current.push(address)
      this._joinNext()
      this._scheduleUntested()
    })
  }

  private _schedule (delayMs: number, callback: () => void): void {
    const timer = this._options.clock.schedule(delayMs, () => {
      this._timers.delete(timer)
      callback()
    })
    this._timers.add(timer)
  }

  private _joinNext (): void {
    if (this._isEnded || this._joinTimer !== undefined) return
    const address = this._current.shift()
    if (address === undefined) {
      if (this._askedCount === 0 && this._joining.size === 0) this._end(undefined)
      return
    }
    const subscription = this._options.open(address)
    this._joining.add(subscription)
    subscription.onWelcomed(() => this._end(subscription))
    subscription.onEnded(({ relays, retryAfterMs }) => {
      if (!this._joining.delete(subscription) || this._isEnded) return
      this._retryAfterMs = retryAfterMs
      const isAskedAgain = this._options.isPersistent && this._asked.delete(address)
      if (isAskedAgain) void this._ask({ address, delayMs: retryAfterMs + this._repeatDelayMs })
      for (const candidate of this._options.finder.listRelays(relays)) void this._ask(candidate)
      this._joinTimer?.dispose()
      this._joinTimer = undefined
      this._joinNext()
    })
    this._joinTimer = this._options.clock.schedule(JOIN_HEAD_START_MS, () => {
      this._joinTimer = undefined
      this._joinNext()
    })
  }

  private _end (found: FeedSubscription | undefined): void {
    if (this._isEnded) return
    this._isEnded = true
    for (const timer of this._timers) timer.dispose()
    this._joinTimer?.dispose()
    for (const subscription of this._joining) {
      if (subscription !== found) subscription.dispose()
    }
    if (found !== undefined) this._options.onFound(found)
    this._resolve(found !== undefined)
  }
}
