/**
 * Connects the usage caps of this node with the leader of the control VMs: sends the messages that are due and counts decisions.
 */
import { formatError, type IClock, type IDisposable, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import type { CatalogueStore } from '@lagoonswitch/feed'
import { UsageCapsClient, type ISettings, type UsageReply, type UsageRequest } from '@lagoonswitch/schema'
import { NodeCaps, findCap, type CapMode, type ICap, type ICapDecision, type ICapPermit, type ICapWaiter } from '@lagoonswitch/traffic'
import { isTimeout, sendUnary, type IPeerChannels } from '@lagoonswitch/transport'

/** Time after which another control VM is asked; several round trips between zones. */
const REQUEST_TIMEOUT_MS = 250
/** Timeouts in a row after which the connection counts as dead. */
const MAX_TIMEOUTS = 4

/** Dependencies of a {@link UsageClient}. */
export interface IUsageClientOptions {
  readonly settings: ISettings
  /** Distinguishes starts of this node. */
  readonly incarnation: number
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
  readonly store: CatalogueStore
  /** Peer addresses of the control VMs. */
  readonly listAddresses: () => readonly string[]
  /** Number of nodes with targets. */
  readonly countNodes: () => number
}

/** Decides on calls of capped accounts; sends nothing while no account in the catalogue has a cap. */
export class UsageClient implements IDisposable {
  private readonly _caps: NodeCaps
  private _timer: IDisposable | undefined
  private _timerMs = Infinity
  private _leaderAddress = ''
  private _nextIndex = 0
  private _timeouts = 0
  private _mode: CapMode = 'contact'
  private _isDisposed = false

  constructor (private readonly _options: IUsageClientOptions) {
    const { settings: { process, accounts }, incarnation, clock, random, metrics, countNodes } = _options
    const tolerance = { windowMs: accounts.capWindowMs, excess: accounts.capExcess, slack: accounts.capSlack }
    this._caps = new NodeCaps({ name: process.name, incarnation, tolerance, random, countNodes }, clock.readMonotonicMs())
    metrics.addGaugeFamily('caps_held_rate', 'account', () => this._listHeldRates())
  }

  /** Applies the accounts of the catalogue in use. */
  applyCatalogue (): void {
    const caps = new Map<string, ICap>()
    for (const [name, account] of this._options.store.view.accounts) {
      const cap = findCap(account)
      if (cap !== undefined) caps.set(name, cap)
    }
    this._caps.setCaps(caps, this._options.clock.readMonotonicMs())
  }

  /**
   * @param account - name of the account; may be empty
   * @returns true if its calls are limited
   */
  isCapped (account: string): boolean {
    return this._caps.isCapped(account)
  }

  /**
   * Decides on a call of a capped account.
   * @param account - name of the account
   * @param onDecided - called later with the decision if the call has to wait
   * @returns the decision, or what waits; set its `isDone` if the call ends before it is decided
   */
  admit (account: string, onDecided: (decision: ICapDecision) => void): ICapDecision | ICapWaiter {
    const result = this._caps.admit(account, this._options.clock.readMonotonicMs(), decision => {
      this._countDecision(decision)
      onDecided(decision)
    })
    if ('kind' in result) {
      this._countDecision(result)
      if (this._timer === undefined) this._schedule()
    } else {
      this._options.metrics.count('caps_calls_total', 'asked')
      this._step()
    }
    return result
  }

  /**
   * Gives back the token of a call that did not run.
   * @param permit - of the call
   */
  returnPermit (permit: ICapPermit): void {
    this._options.metrics.count('caps_calls_total', 'returned')
    this._caps.returnPermit(permit, this._options.clock.readMonotonicMs())
    if (this._timer === undefined) this._schedule()
  }

  dispose (): void {
    this._isDisposed = true
    this._timer?.dispose()
  }

  private _countDecision ({ kind, source }: ICapDecision): void {
    this._options.metrics.count('caps_calls_total', kind === 'admitted' ? source : kind)
  }

  /** Ends waits and sends a message, if due. */
  private _step (): void {
    if (this._isDisposed) return
    const nowMs = this._options.clock.readMonotonicMs()
    this._caps.expireWaiters(nowMs)
    this._logMode(nowMs)
    const request = this._caps.createRequest(nowMs)
    if (request !== undefined) void this._exchange(request, nowMs)
    this._schedule()
  }

  private _schedule (): void {
    const { clock } = this._options
    const nowMs = clock.readMonotonicMs()
    const nextMs = this._caps.computeNextMs(nowMs)
    if (this._timer !== undefined && this._timerMs <= nextMs) return
    this._timer?.dispose()
    this._timer = undefined
    if (nextMs === Infinity || this._isDisposed) return
    this._timerMs = nextMs
    this._timer = clock.schedule(Math.max(0, Math.ceil(nextMs - nowMs)), () => {
      this._timer = undefined
      this._step()
    })
  }

  private async _exchange (request: UsageRequest, createdMs: number): Promise<void> {
    const { clock, metrics } = this._options
    const reply = await this._send(request)
    if (this._isDisposed) return
    if (reply?.leads === true) {
      metrics.count('caps_messages_total', request.intervalMs > 0 ? 'report-answered' : 'ask-answered')
      this._caps.applyReply(request, reply, createdMs, clock.readMonotonicMs())
    } else {
      metrics.count('caps_messages_total', 'not-answered')
      this._caps.failRequest(createdMs, clock.readMonotonicMs())
    }
    this._step()
  }

  private async _send (request: UsageRequest): Promise<UsageReply | undefined> {
    const { channels } = this._options
    const address = this._leaderAddress === '' ? this._pickNext() : this._leaderAddress
    if (address === '') return undefined
    try {
      const client = channels.getClient(UsageCapsClient, address)
      const reply = await sendUnary<UsageRequest, UsageReply>(client.exchange.bind(client), request, REQUEST_TIMEOUT_MS)
      this._timeouts = 0
      this._leaderAddress = reply.leads ? address : reply.leaderAddress
      return reply
    } catch (error) {
      if (this._leaderAddress === address) this._leaderAddress = ''
      this._options.log.debug('caps_message_failed', { address, error: formatError(error) })
      this._timeouts = isTimeout(error) ? this._timeouts + 1 : 0
      if (this._timeouts >= MAX_TIMEOUTS) {
        this._timeouts = 0
        channels.closeClient(UsageCapsClient, address)
      }
      return undefined
    }
  }

  private _pickNext (): string {
    const addresses = this._options.listAddresses()
    this._nextIndex = (this._nextIndex + 1) % Math.max(1, addresses.length)
    return addresses[this._nextIndex] ?? ''
  }

  private _logMode (nowMs: number): void {
    const mode = this._caps.getMode(nowMs)
    if (mode === this._mode) return
    this._options.log.info('caps_mode_changed', { from: this._mode, to: mode, leader: this._leaderAddress })
    this._options.metrics.count('caps_modes_total', mode)
    this._mode = mode
  }

  private * _listHeldRates (): Iterable<readonly [string, number]> {
    for (const [name, lease] of this._caps.leases) {
      if (lease.leasedRate > 0) yield [name, lease.leasedRate]
    }
  }
}
