/**
 * Finds sources to subscribe to, and asks sources for confirmed versions.
 */
import { FeedError, formatError, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import { FeedClient as FeedService, type ConfirmReply, type ConfirmRequest } from '@lagoonswitch/schema'
import { isTimeout, sendUnary, type IPeerChannels } from '@lagoonswitch/transport'
import type { ControlDirectory } from './ControlDirectory.js'

const CONFIRM_TIMEOUT_MS = 1_500
/** Head start of control VMs in the own availability zone when all are asked; more than a round trip between zones. */
const OWN_ZONE_HEAD_START_MS = 60
/** Head start of control VMs over the known relays, since a control VM that replies names live relays. */
const CONTROL_HEAD_START_MS = 200
/** Head start of all others over the source that failed last; more than a search usually takes. */
const FAILED_HEAD_START_MS = 500
/** Head start of each relay over the next one in the list, which is not nearer. */
const RELAY_HEAD_START_MS = 15

/** A source that may be asked whether it is current. */
export interface ICandidate {
  readonly address: string
  /** Wait before the question, in milliseconds. */
  readonly delayMs: number
}

/** Dependencies of a finder. */
export interface ISourceFinderOptions {
  readonly availabilityZone: string
  readonly directory: ControlDirectory
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
}

/** Asks control VMs and relays. Stateless. */
export class SourceFinder {
  constructor (private readonly _options: ISourceFinderOptions) {}

  /**
   * Lists sources to ask after a failure, control VMs before relays and those in the own availability zone first.
   * @param failedAddress - the source that failed last, which is asked after the others
   * @param relays - known relays, which may be gone
   * @returns the sources, each with its delay
   */
  listCandidates (failedAddress: string, relays: readonly string[]): ICandidate[] {
    const controls = this.shuffle(this._options.directory.listAddresses())
      .map(address => ({ address, delayMs: this.isInOwnZone(address) ? 0 : OWN_ZONE_HEAD_START_MS }))
    const others = this.listRelays(relays).map(({ address, delayMs }) => ({ address, delayMs: CONTROL_HEAD_START_MS + delayMs }))
    return [...controls, ...others].map(candidate =>
      candidate.address === failedAddress ? { ...candidate, delayMs: FAILED_HEAD_START_MS } : candidate)
  }

  /**
   * Lists relays to ask at once.
   * @param relays - addresses, the nearest first
   * @returns the relays, each with its delay
   */
  listRelays (relays: readonly string[]): ICandidate[] {
    return relays.map((address, index) => ({ address, delayMs: index * RELAY_HEAD_START_MS }))
  }

  /**
   * Picks a control VM to subscribe to without a question.
   * @param failedAddress - the source that failed last, empty for none; picked only if there is no other
   * @returns peer address; one in the own availability zone if there is any
   */
  pickControl (failedAddress: string): string {
    const addresses = this.shuffle(this._options.directory.listAddresses().filter(address => address !== failedAddress))
    return addresses.find(address => this.isInOwnZone(address)) ?? addresses[0] ?? failedAddress
  }

  /** @returns a random control VM of the own availability zone, if it has any */
  pickInOwnZone (): string | undefined {
    return this.shuffle(this._options.directory.listAddresses().filter(address => this.isInOwnZone(address)))[0]
  }

  /**
   * @param failedAddress - control VM that does not count, empty for none
   * @returns true when the own availability zone has a control VM
   */
  hasControlInOwnZone (failedAddress: string): boolean {
    return this._options.directory.listAddresses().some(address => address !== failedAddress && this.isInOwnZone(address))
  }

  /**
   * @param address - peer address of a control VM
   * @returns true when it is known to be in the own availability zone
   */
  isInOwnZone (address: string): boolean {
    return this._options.directory.getZone(address) === this._options.availabilityZone
  }

  /**
   * Asks one source for a version that a quorum has confirmed after this call.
   * @param address - address of the source
   * @param nodes - nodes whose recorded withdrawals are wanted
   * @returns the reply, or undefined when the source did not reply
   */
  async confirmAt (address: string, nodes: readonly string[] = []): Promise<ConfirmReply | undefined> {
    try {
      const client = this._options.channels.getClient(FeedService, address)
      return await sendUnary<ConfirmRequest, ConfirmReply>(client.confirm.bind(client), { nodes: [...nodes] }, CONFIRM_TIMEOUT_MS)
    } catch (error) {
      this._options.metrics.count('feed_confirm_failures_total', isTimeout(error) ? 'timeout' : 'unreachable')
      this._options.log.warn('confirmation_failed', { address, error: formatError(error) })
      return undefined
    }
  }

  /**
   * Asks several sources in parallel.
   * @param addresses - addresses of the sources
   * @param nodes - nodes whose recorded withdrawals are wanted
   * @returns the first confirmed reply; a reply that is not confirmed when there is none
   */
  async confirmAny (addresses: readonly string[], nodes: readonly string[]): Promise<ConfirmReply> {
    return await Promise.any(addresses.map(async address => await this._confirmCurrent(address, nodes)))
      .catch(() => ({ confirmed: false, version: undefined, message: 'no source answered', withdrawals: [] }))
  }

  /**
   * Shuffles an array in place.
   * @param items - the array
   * @returns the same array
   */
  shuffle (items: string[]): string[] {
    for (let index = items.length - 1; index > 0; index--) {
      const other = Math.floor(this._options.random.draw() * (index + 1))
      const item = items[index] ?? ''
      items[index] = items[other] ?? ''
      items[other] = item
    }
    return items
  }

  private async _confirmCurrent (address: string, nodes: readonly string[]): Promise<ConfirmReply> {
    const reply = await this.confirmAt(address, nodes)
    if (reply?.confirmed !== true) throw new FeedError(`${address} is not current`, 'ask another source')
    return reply
  }
}
