/**
 * Watches the source of a subscriber, and seeks another one when the catalogue becomes old.
 */
import type { IClock, IDisposable, ILog } from '@lagoonswitch/common'
import type { FeedSubscription } from './FeedSubscription.js'
import type { SourceFinder } from './SourceFinder.js'
import type { SourceSearch } from './SourceSearch.js'

/** Age of the catalogue from which on it does not count as current: half of the 2 s in which a change must be in force. */
export const MAX_AGE_MS = 1_000
/** Age from which on another source is sought although the source still sends; more than an election takes, after which all are current. */
const MAX_AGE_OF_SENDING_MS = 1_250
/** Silence after which the connection to a source is closed, while another source is sought, and if there is no other one. */
const SILENCE_TIMEOUT_MS = 2_000
const LONE_SILENCE_TIMEOUT_MS = 1_000
/** Time in which a source that is current again confirms a version; several round trips. */
const RECOVERY_TIMEOUT_MS = 100
/** Interval of the checks for these limits. */
const WATCH_INTERVAL_MS = 100

/** Dependencies of a {@link SourceWatch}. */
export interface ISourceWatchOptions {
  readonly clock: IClock
  readonly log: ILog
  readonly finder: SourceFinder
  /** Returns the source that is followed now. */
  readonly getSubscription: () => FeedSubscription | undefined
  /** Returns the monotonic time at which the catalogue was last known to be the newest, or the source was joined, in milliseconds. */
  readonly getCurrentAtMs: () => number
  /** Returns known relays. */
  readonly getRelays: () => readonly string[]
  /** Creates a search that goes on until it joins a source, or is not needed any more. */
  readonly createSearch: (isExcluded: (address: string) => boolean, isNeeded: () => Promise<boolean>) => SourceSearch
}

/** Keeps the current source until another one has accepted this node, or the current one recovers. */
export class SourceWatch implements IDisposable {
  private readonly _stopping = new AbortController()
  private _replacement: SourceSearch | undefined

  constructor (private readonly _options: ISourceWatchOptions) {}

  /** Starts the checks. */
  start (): void {
    void this._run()
  }

  /** Ends the search for another source. */
  endReplacement (): void {
    this._replacement?.dispose()
    this._replacement = undefined
  }

  dispose (): void {
    this._stopping.abort()
    this.endReplacement()
  }

  private async _run (): Promise<void> {
    while (!this._stopping.signal.aborted) {
      await this._options.clock.waitTick(WATCH_INTERVAL_MS)
      const subscription = this._options.getSubscription()
      if (subscription !== undefined && !this._stopping.signal.aborted) this._check(subscription)
    }
  }

  private _check (subscription: FeedSubscription): void {
    const { clock, finder, getCurrentAtMs, getRelays } = this._options
    const nowMs = clock.readMonotonicMs()
    const silenceMs = nowMs - subscription.lastHeardMs
    const isOld = nowMs - getCurrentAtMs() >= (silenceMs >= MAX_AGE_MS ? MAX_AGE_MS : MAX_AGE_OF_SENDING_MS)
    if (!isOld) this.endReplacement()
    if (!isOld && silenceMs < LONE_SILENCE_TIMEOUT_MS) return
    const hasChoice = finder.listCandidates('', getRelays()).some(({ address }) => address !== subscription.address)
    if (silenceMs >= (hasChoice ? SILENCE_TIMEOUT_MS : LONE_SILENCE_TIMEOUT_MS)) subscription.abandon()
    else if (isOld && hasChoice && this._replacement === undefined) this._seekReplacement(subscription, nowMs)
  }

  private _seekReplacement (subscription: FeedSubscription, nowMs: number): void {
    const { log, finder, getCurrentAtMs, getRelays, createSearch } = this._options
    log.info('feed_outdated', {
      source: subscription.address,
      source_ms: Math.round(nowMs - subscription.startedMs),
      silent_ms: Math.round(nowMs - subscription.lastHeardMs),
      current_ms: Math.round(nowMs - getCurrentAtMs())
    })
    const search = createSearch(address => address === subscription.address, async () => !await this._hasRecovered(subscription))
    this._replacement = search
    void search.run(finder.listCandidates('', getRelays())).then(() => {
      if (this._replacement === search) this._replacement = undefined
    })
  }

  /** Once a leader is elected all sources are current again, so that nodes stay where they are. */
  private async _hasRecovered ({ address }: FeedSubscription): Promise<boolean> {
    const { clock, finder } = this._options
    const reply = await Promise.race([finder.confirmAt(address), clock.sleep(RECOVERY_TIMEOUT_MS)])
    return reply?.confirmed === true
  }
}
