/**
 * Finds control VMs that can be followed, and asks sources for confirmed versions.
 */
import { FeedError, formatError, type IClock, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import { FeedClient as FeedService, type ConfirmReply, type ConfirmRequest } from '@lagoonswitch/schema'
import { isTimeout, sendUnary, type PeerChannels } from '@lagoonswitch/transport'
import type { ControlDirectory } from './ControlDirectory.js'

const CONFIRM_TIMEOUT_MS = 1_500
/** Head start of near control VMs when several are asked at once; more than a round trip between zones. */
const NEAR_HEAD_START_MS = 60

/** What the finder needs of its process. */
export interface ISourceFinderOptions {
  readonly availabilityZone: string
  readonly directory: ControlDirectory
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: PeerChannels
}

/** Asks control VMs and relays; keeps no state. */
export class SourceFinder {
  constructor (private readonly _options: ISourceFinderOptions) {}

  /**
   * Finds a control VM to follow. After a failure all are asked at once, so that those that are down or cut off cost no
   * time one after the other; near ones get a head start.
   * @param failedAddress - the one that failed last, empty for none; chosen only when there is no other
   * @returns its peer address
   */
  async findControl (failedAddress: string): Promise<string> {
    const addresses = this.shuffle(this._options.directory.listAddresses().filter(address => address !== failedAddress))
    const drawn = addresses.find(address => this.isNear(address)) ?? addresses[0] ?? failedAddress
    if (failedAddress === '' || addresses.length < 2) return drawn
    return await Promise.any(addresses.map(async address => await this._confirmControl(address))).catch(() => drawn)
  }

  /** @returns one of the control VMs in this availability zone, if it has any */
  pickNear (): string | undefined {
    return this.shuffle(this._options.directory.listAddresses().filter(address => this.isNear(address)))[0]
  }

  /**
   * @param address - peer address of a control VM
   * @returns true when it is known to be in this availability zone
   */
  isNear (address: string): boolean {
    return this._options.directory.getZone(address) === this._options.availabilityZone
  }

  /**
   * Asks one source for a version that a quorum has confirmed after this call.
   * @param address - of the source
   * @returns the reply; undefined when none came
   */
  async confirmAt (address: string): Promise<ConfirmReply | undefined> {
    try {
      const client = this._options.channels.getClient(FeedService, address)
      return await sendUnary<ConfirmRequest, ConfirmReply>(client.confirm.bind(client), {}, CONFIRM_TIMEOUT_MS)
    } catch (error) {
      this._options.metrics.count('feed_confirm_failures_total', isTimeout(error) ? 'timeout' : 'unreachable')
      this._options.log.warn('confirmation_failed', { address, error: formatError(error) })
      return undefined
    }
  }

  /**
   * Asks several sources at once.
   * @param addresses - of the sources
   * @returns the first confirmed reply; not confirmed when no source answers
   */
  async confirmAny (addresses: readonly string[]): Promise<ConfirmReply> {
    return await Promise.any(addresses.map(async address => await this._confirmCurrent(address)))
      .catch(() => ({ confirmed: false, version: undefined, message: 'no source answered' }))
  }

  /** Puts items in a random order, in place. */
  shuffle (items: string[]): string[] {
    for (let index = items.length - 1; index > 0; index--) {
      const other = Math.floor(this._options.random.draw() * (index + 1))
      const item = items[index] ?? ''
      items[index] = items[other] ?? ''
      items[other] = item
    }
    return items
  }

  private async _confirmControl (address: string): Promise<string> {
    if (!this.isNear(address)) await this._options.clock.sleep(NEAR_HEAD_START_MS)
    await this._confirmCurrent(address)
    return address
  }

  private async _confirmCurrent (address: string): Promise<ConfirmReply> {
    const reply = await this.confirmAt(address)
    if (reply?.confirmed !== true) throw new FeedError(`${address} is not current`, 'ask another source')
    return reply
  }
}
