/**
 * Finds sources to subscribe to, and asks sources for confirmed versions.
 */
import { FeedError, formatError, type IClock, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import { FeedClient as FeedService, type ConfirmReply, type ConfirmRequest } from '@lagoonswitch/schema'
import { isTimeout, sendUnary, type IPeerChannels } from '@lagoonswitch/transport'
import type { ControlDirectory } from './ControlDirectory.js'

const CONFIRM_TIMEOUT_MS = 1_500
/** Head start of control VMs in the own availability zone when all are asked; more than a round trip between zones. */
const OWN_ZONE_HEAD_START_MS = 60
/** Head start of control VMs over the known relays, since a control VM that replies names live relays. */
const CONTROL_HEAD_START_MS = 200
/** Head start of each relay over the next one in the list, which is not nearer. */
const RELAY_HEAD_START_MS = 15

/** Dependencies of a finder. */
export interface ISourceFinderOptions {
  readonly availabilityZone: string
  readonly directory: ControlDirectory
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
}

/** Asks control VMs and relays. Stateless. */
export class SourceFinder {
  constructor (private readonly _options: ISourceFinderOptions) {}

  /**
   * Lists sources to subscribe to, control VMs before relays and those in the own availability zone first. After a failure
   * all are asked in parallel, so that the timeouts of those that are down or cut off do not add up.
   * @param failedAddress - the source that failed last, empty for none; chosen only if there is no other
   * @param relays - known relays, which may be gone
   * @returns one address at first and if there is no choice; after a failure the current sources in the order of their replies,
   *   or one control VM if no source is current
   */
  async * listSources (failedAddress: string, relays: readonly string[]): AsyncGenerator<string> {
    const controlAddresses = this.shuffle(this._options.directory.listAddresses().filter(address => address !== failedAddress))
    const fallback = controlAddresses.find(address => this.isInOwnZone(address)) ?? controlAddresses[0] ?? failedAddress
    const otherRelays = relays.filter(address => address !== failedAddress)
    if (failedAddress === '' || controlAddresses.length + otherRelays.length < 2) {
      yield fallback
      return
    }
    let hasCurrent = false
    const delays = new Map(otherRelays.map((address, index) => [address, CONTROL_HEAD_START_MS + index * RELAY_HEAD_START_MS]))
    for (const address of controlAddresses) delays.set(address, this.isInOwnZone(address) ? 0 : OWN_ZONE_HEAD_START_MS)
    for await (const address of this._confirmStaggered(delays)) {
      hasCurrent = true
      yield address
    }
    if (!hasCurrent) yield fallback
  }

  /**
   * Asks relays in parallel.
   * @param relays - addresses, the nearest first
   * @returns addresses of those that are current, in the order of their replies
   */
  listRelays (relays: readonly string[]): AsyncGenerator<string> {
    return this._confirmStaggered(new Map(relays.map((address, index) => [address, index * RELAY_HEAD_START_MS])))
  }

  /** @returns a random control VM of the own availability zone, if it has any */
  pickInOwnZone (): string | undefined {
    return this.shuffle(this._options.directory.listAddresses().filter(address => this.isInOwnZone(address)))[0]
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

  /**
   * Asks each address after its delay.
   * @param delays - delay of each address in milliseconds
   * @returns addresses of current sources, in the order of their replies
   */
  private async * _confirmStaggered (delays: ReadonlyMap<string, number>): AsyncGenerator<string> {
    const pending = new Map([...delays].map(([address, delayMs]) => [address, this._confirmAfterDelay(address, delayMs)]))
    while (pending.size > 0) {
      const { address, isConfirmed } = await Promise.race(pending.values())
      pending.delete(address)
      if (isConfirmed) yield address
    }
  }

  private async _confirmAfterDelay (address: string, delayMs: number): Promise<{ address: string, isConfirmed: boolean }> {
    if (delayMs > 0) await this._options.clock.sleep(delayMs)
    const reply = await this.confirmAt(address)
    return { address, isConfirmed: reply?.confirmed === true }
  }

  private async _confirmCurrent (address: string, nodes: readonly string[]): Promise<ConfirmReply> {
    const reply = await this.confirmAt(address, nodes)
    if (reply?.confirmed !== true) throw new FeedError(`${address} is not current`, 'ask another source')
    return reply
  }
}
