/**
 * Moves a node to a source in its own availability zone, which avoids control traffic between zones.
 */
import type { IClock, IDisposable } from '@lagoonswitch/common'
import type { FeedSubscription } from './FeedSubscription.js'
import type { SourceFinder } from './SourceFinder.js'
import type { SourceSearch } from './SourceSearch.js'

/** Wait before a switch; longer once calls depend on the feed. */
const DELAY_AT_START_MS = 100
const DELAY_MS = 2_000

/** Dependencies of a {@link ZoneSwitch}. */
export interface IZoneSwitchOptions {
  readonly clock: IClock
  readonly finder: SourceFinder
  /** Returns the source that is followed now. */
  readonly getSubscription: () => FeedSubscription | undefined
  /** Creates a search that asks each candidate once and joins what it finds. */
  readonly createSearch: (isExcluded: (address: string) => boolean) => SourceSearch
  /** Returns true for the address of a control VM. */
  readonly isControl: (address: string) => boolean
  /** Returns true while this process is the source of others. */
  readonly isServing: () => boolean
}

/** Keeps the current source until a control VM in the own availability zone, or a relay that it names, has accepted this node. */
export class ZoneSwitch implements IDisposable {
  private _search: SourceSearch | undefined
  private _timer: IDisposable | undefined
  private _isDue = false
  private _isSearching = false
  private _isDisposed = false

  constructor (private readonly _options: IZoneSwitchOptions) {}

  /** True until the switch at the start of this node, after which it may be no relay, has been tried. */
  get isPending (): boolean {
    return this._isDue
  }

  /**
   * Schedules a switch if the own availability zone has a control VM. A node below a relay stays there, since the control VMs that named
   * the relay had no free stream.
   * @param subscription - current source
   * @param isAtStart - true while no calls depend on the feed
   * @param failedAddress - control VM that failed last, empty for none
   */
  scheduleSwitch (subscription: FeedSubscription, isAtStart: boolean, failedAddress: string): void {
    const { finder, isControl } = this._options
    if (!isControl(subscription.address) || finder.isInOwnZone(subscription.address)) return
    if (!finder.hasControlInOwnZone(failedAddress)) return
    this._isDue = isAtStart
    this._schedule(isAtStart ? DELAY_AT_START_MS : DELAY_MS, subscription)
  }

  dispose (): void {
    this._isDisposed = true
    this._timer?.dispose()
    this._search?.dispose()
  }

  private _schedule (delayMs: number, subscription: FeedSubscription): void {
    this._timer?.dispose()
    this._timer = this._options.clock.schedule(delayMs, () => { void this._run(subscription) })
  }

  private async _run (subscription: FeedSubscription): Promise<void> {
    const { finder, getSubscription, createSearch, isControl, isServing } = this._options
    const address = finder.pickInOwnZone()
    if (this._isSearching) return
    if (address === undefined || getSubscription() !== subscription) {
      this._isDue = false
      return
    }
    this._isSearching = true
    // A node that serves others stays at its level.
    this._search = createSearch(other => other === subscription.address || (isServing() && !isControl(other)))
    const isFound = await this._search.run([{ address, delayMs: 0 }])
    this._isSearching = false
    this._isDue = false
    if (!isFound && !this._isDisposed && getSubscription() === subscription) this._schedule(DELAY_MS, subscription)
  }
}
