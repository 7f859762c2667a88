/**
 * One search for a source: candidates are asked at once, and those that are current are tried in the order of their replies.
 */
import { DisposableStore, type IClock, type IDisposable } from '@lagoonswitch/common'
import type { FeedSubscription } from './FeedSubscription.js'
import type { ICandidate, SourceFinder } from './SourceFinder.js'

/** Wait for the welcome of one source before the next one is tried as well; several round trips between regions. */
const JOIN_HEAD_START_MS = 150

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
}

/**
 * Finds one source. Nothing is waited for in turn: a candidate that does not answer delays no other one, whether it was known
 * before or is a relay that a full source has named.
 */
export class SourceSearch implements IDisposable {
  private readonly _timers = new DisposableStore()
  private _isEnded = false
  private readonly _asked = new Set<string>()
  private readonly _current: string[] = []
  private readonly _joining = new Set<FeedSubscription>()
  private _askedCount = 0
  private _joinTimer: IDisposable | undefined
  private _resolve: (isFound: boolean) => void = () => {}
  private _retryAfterMs = 0
  private _hasTried = false

  constructor (private readonly _options: ISourceSearchOptions) {}

  /** Wait that the last source that refused this node has asked for, in milliseconds; 0 for none. */
  get retryAfterMs (): number {
    return this._retryAfterMs
  }

  /** True when at least one source was current. */
  get hasTried (): boolean {
    return this._hasTried
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
    if (delayMs > 0) await new Promise<void>(resolve => this._timers.add(this._options.clock.schedule(delayMs, resolve)))
    const reply = await this._options.finder.confirmAt(address)
    this._askedCount--
    if (reply?.confirmed === true) this._current.push(address)
    this._joinNext()
  }

  private _joinNext (): void {
    if (this._isEnded || this._joinTimer !== undefined) return
    const address = this._current.shift()
    if (address === undefined) {
      if (this._askedCount === 0 && this._joining.size === 0) this._end(undefined)
      return
    }
    this._hasTried = true
    const subscription = this._options.open(address)
    this._joining.add(subscription)
    subscription.onWelcomed(() => this._end(subscription))
    subscription.onEnded(({ relays, retryAfterMs }) => {
      if (!this._joining.delete(subscription) || this._isEnded) return
      this._retryAfterMs = retryAfterMs
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
    this._timers.dispose()
    this._joinTimer?.dispose()
    for (const subscription of this._joining) {
      if (subscription !== found) subscription.dispose()
    }
    if (found !== undefined) this._options.onFound(found)
    this._resolve(found !== undefined)
  }
}
