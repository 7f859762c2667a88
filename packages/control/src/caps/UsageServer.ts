/**
 * Serves usage caps: answers nodes while this process surely leads the group of the catalogue.
 */
import type { IClock, IDisposable, ILog, Metrics } from '@lagoonswitch/common'
import type { CatalogueStore } from '@lagoonswitch/feed'
import type { ISettings, UsageReply, UsageRequest } from '@lagoonswitch/schema'
import { UsageLedger, findCap, type AccountLedger } from '@lagoonswitch/traffic'
import { createUnaryHandler } from '@lagoonswitch/transport'
import type { UntypedServiceImplementation } from '@grpc/grpc-js'
import type { RaftGroup } from '../raft/RaftGroup.js'

/**
 * Share of the election timeout since the last contact with a quorum beyond which this process no longer grants. No other leader can be
 * elected before the whole timeout has passed, as the replicas of the quorum refuse to vote until then.
 */
const SURE_SHARE = 0.8

/** Group of the catalogue, as far as it matters here. */
export type LeadingGroup = Pick<RaftGroup, 'isReadyLeader' | 'contactAgeMs' | 'getStatus' | 'onRoleChanged'>

/** Dependencies of a {@link UsageServer}. */
export interface IUsageServerOptions {
  readonly settings: ISettings
  readonly clock: IClock
  readonly log: ILog
  readonly metrics: Metrics
  readonly store: CatalogueStore
  readonly group: LeadingGroup
}

/** Holds the ledger of one leadership in memory; a new leadership begins without memory. */
export class UsageServer implements IDisposable {
  private _ledger: UsageLedger | undefined
  private _recoveryTimer: IDisposable | undefined
  private readonly _subscription: IDisposable

  constructor (private readonly _options: IUsageServerOptions) {
    const { metrics, clock, group } = _options
    this._subscription = group.onRoleChanged(role => {
      if (role === 'leader') this._startLeadership()
      else this._endLeadership()
    })
    metrics.addGaugeFamily('caps_leased_rate', 'account', () => this._listGauges(ledger => ledger.leasedRate))
    metrics.addGaugeFamily('caps_spare_tokens', 'account', () => this._listGauges(ledger => ledger.readSpareTokens(clock.readMonotonicMs())))
  }

  /** @returns the gRPC handlers of the service */
  createHandlers (): UntypedServiceImplementation {
    return { exchange: createUnaryHandler<UsageRequest, UsageReply>(async request => this.handleRequest(request)) }
  }

  /**
   * Answers a message of a node.
   * @param request - the message
   * @returns the answer; without grants unless this process surely leads
   */
  handleRequest (request: UsageRequest): UsageReply {
    const { group, clock, metrics, settings, store } = this._options
    const isSure = group.isReadyLeader && group.contactAgeMs < SURE_SHARE * settings.control.electionTimeoutMs
    if (!isSure || this._ledger === undefined) {
      metrics.count('caps_messages_total', 'not-leading')
      return { leads: false, leaderAddress: group.isReadyLeader ? '' : group.getStatus().leaderAddress, epoch: 0, accounts: [], nodes: 0, demandKnown: false, busyAccounts: [] }
    }
    metrics.count('caps_messages_total', request.intervalMs > 0 ? 'report' : 'ask')
    const { accounts } = store.view
    const reply = this._ledger.handleRequest(request, name => findCap(accounts.get(name)), clock.readMonotonicMs())
    this._countTokens(request, reply)
    return reply
  }

  dispose (): void {
    this._subscription.dispose()
    this._endLeadership()
  }

  /** Begins a leadership, so that its recovery period doesn't start with the first message only. */
  private _startLeadership (): void {
    const { clock, log, settings: { accounts } } = this._options
    const { term } = this._options.group.getStatus()
    const tolerance = { windowMs: accounts.capWindowMs, excess: accounts.capExcess, slack: accounts.capSlack }
    this._ledger = new UsageLedger(term, tolerance, clock.readMonotonicMs())
    if (!this._hasCaps()) return
    log.info('caps_recovery_started', { epoch: term })
    this._recoveryTimer?.dispose()
    this._recoveryTimer = clock.schedule(this._ledger.recoveredMs - clock.readMonotonicMs(), () => {
      log.info('caps_recovery_ended', { epoch: term, accounts: this._ledger?.ledgers.size ?? 0 })
    })
  }

  /** Ends a leadership. */
  private _endLeadership (): void {
    this._ledger = undefined
    this._recoveryTimer?.dispose()
  }

  private _countTokens (request: UsageRequest, reply: UsageReply): void {
    let asked = 0
    let granted = 0
    let returned = 0
    request.accounts.forEach((use, index) => {
      asked += use.asked
      returned += use.returned
      granted += reply.accounts[index]?.tokens ?? 0
    })
    const { metrics } = this._options
    if (granted > 0) metrics.count('caps_tokens_total', 'granted', granted)
    if (asked > granted) metrics.count('caps_tokens_total', 'denied', asked - granted)
    if (returned > 0) metrics.count('caps_tokens_total', 'returned', returned)
  }

  private _hasCaps (): boolean {
    for (const account of this._options.store.view.accounts.values()) {
      if (findCap(account) !== undefined) return true
    }
    return false
  }

  private * _listGauges (read: (ledger: AccountLedger) => number): Iterable<readonly [string, number]> {
    for (const [name, ledger] of this._ledger?.ledgers ?? []) yield [name, read(ledger)]
  }
}
