/**
 * One subscription to one source, from the request until it ends.
 */
import { Emitter, FeedError, formatError, type IClock, type IDisposable, type ILog, type Metrics } from '@lagoonswitch/common'
import { FeedClient as FeedService, type FeedDown, type Hello } from '@lagoonswitch/schema'
import type { IPeerChannels } from '@lagoonswitch/transport'
import type { FeedStream } from './FeedReporter.js'

/** Maximum wait for the welcome of a source. */
const WELCOME_TIMEOUT_MS = 1_000

/** A frame after the welcome, apart from those that end the subscription. */
export type FeedFrame = NonNullable<FeedDown['frame']>

/** Why a subscription has ended, and which sources to try next. */
export interface ISubscriptionEnd {
  readonly wasWelcomed: boolean
  /** Relays that the source has named. */
  readonly relays: readonly string[]
  readonly retryAfterMs: number
}

/** Dependencies of a {@link FeedSubscription}. */
export interface IFeedSubscriptionOptions {
  /** Peer address of the source. */
  readonly address: string
  /** Level in the distribution tree that this node takes below the source. */
  readonly level: number
  readonly hello: Hello
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
  /** Handles a frame; an exception ends the subscription. */
  readonly onFrame: (subscription: FeedSubscription, frame: FeedFrame) => void
}

/** Opens a stream to a source and passes its frames on. */
export class FeedSubscription implements IDisposable {
  private readonly _onWelcomed = new Emitter<void>()
  private readonly _onEnded = new Emitter<ISubscriptionEnd>()
  private readonly _welcomeTimer: IDisposable
  private _source = ''
  private _relays: readonly string[] = []
  private _isWelcomed = false
  private _isEnded = false
  private _isDisposed = false
  private _redirect: { readonly relays: readonly string[], readonly retryAfterMs: number } = { relays: [], retryAfterMs: 0 }
  private _lastHeardMs: number

  readonly stream: FeedStream
  readonly startedMs: number
  /** Fires when the source has accepted this node. */
  readonly onWelcomed = this._onWelcomed.event
  /** Fires once, when the stream has ended for any reason. */
  readonly onEnded = this._onEnded.event

  constructor (private readonly _options: IFeedSubscriptionOptions) {
    const { clock, channels, address, hello } = _options
    this.startedMs = clock.readMonotonicMs()
    this._lastHeardMs = this.startedMs
    this.stream = channels.getClient(FeedService, address).subscribe()
    this.stream.on('error', () => undefined)
    this.stream.write({ frame: { $case: 'hello', value: hello } })
    this._welcomeTimer = clock.schedule(WELCOME_TIMEOUT_MS, () => this.abandon())
    void this._readFrames()
  }

  get address (): string {
    return this._options.address
  }

  get level (): number {
    return this._options.level
  }

  /** Name of the source, empty until it has accepted this node. */
  get source (): string {
    return this._source
  }

  /** Relays that the source has named in its welcome. */
  get relays (): readonly string[] {
    return this._relays
  }

  /** Monotonic time of the last sign of life of the source, in milliseconds. */
  get lastHeardMs (): number {
    return this._lastHeardMs
  }

  /** Waits until the stream has ended. */
  async waitEnd (): Promise<void> {
    if (this._isEnded) return
    await new Promise<void>(resolve => { this.onEnded(() => resolve()) })
  }

  /** Ends the subscription, and closes the connection, which may be dead. */
  abandon (): void {
    this._options.metrics.count('feed_source_left_total', 'stalled')
    this.stream.cancel()
    this._options.channels.closeClient(FeedService, this.address)
  }

  dispose (): void {
    this._isDisposed = true
    this.stream.cancel()
  }

  private async _readFrames (): Promise<void> {
    const { clock, log, metrics, address } = this._options
    try {
      for await (const { frame } of this.stream as AsyncIterable<FeedDown>) {
        if (frame === undefined) continue
        this._lastHeardMs = clock.readMonotonicMs()
        if (frame.$case === 'redirect') {
          this._redirect = frame.value
          log.info(this._isWelcomed ? 'feed_left' : 'feed_refused', { source: address, reason: frame.value.reason })
          if (this._redirect.relays.length > 0 || this._redirect.retryAfterMs > 0) break
        } else if (frame.$case === 'welcome') {
          this._welcomeTimer.dispose()
          this._isWelcomed = true
          this._source = frame.value.source
          this._relays = frame.value.relays
          this._onWelcomed.fire()
        } else {
          this._options.onFrame(this, frame)
        }
      }
    } catch (error) {
      if (this._isDisposed) {
        this._reportReplaced()
      } else {
        metrics.count('feed_source_left_total', error instanceof FeedError ? 'refused' : 'broken')
        log.warn(this._isWelcomed ? 'feed_lost' : 'feed_not_joined', { source: address, error: formatError(error) })
      }
    }
    this._welcomeTimer.dispose()
    this.dispose()
    this._isEnded = true
    this._onEnded.fire({ ...this._redirect, wasWelcomed: this._isWelcomed })
  }

  /** Reports that this node has left the source for another one; a source that another one preceded in a search is not reported. */
  private _reportReplaced (): void {
    if (!this._isWelcomed) return
    this._options.metrics.count('feed_source_left_total', 'replaced')
    this._options.log.info('feed_left', { source: this.address, reason: 'replaced' })
  }
}
