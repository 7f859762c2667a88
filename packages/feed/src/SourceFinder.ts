/**
 * Finds control VMs that can be followed, and asks sources for confirmed versions.
 */
import { FeedError, formatError, type IClock, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import { FeedClient as FeedService, type ConfirmReply, type ConfirmRequest } from '@lagoonswitch/schema'
import { isTimeout, sendUnary, type PeerChannels } from '@lagoonswitch/transport'
import type { ControlDirectory } from './ControlDirectory.js'

const CONFIRM_TIMEOUT_MS = 1_500
/** Head start of near control VMs when several are asked at once; more than a round trip between zones. */
const OWN_ZONE_HEAD_START_MS = 60
/** Head start of control VMs over relays that were learnt earlier, since a control VM names relays that live. */
const CONTROL_HEAD_START_MS = 200
/** Head start of each relay over the next one, which is not nearer. */
const RELAY_HEAD_START_MS = 15

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
   * Lists sources to follow, control VMs before relays and near ones before others. After a failure all are asked at once,
   * so that those that are down or cut off cost no time one after the other.
   * @param failedAddress - the one that failed last, empty for none; the last choice
   * @param relays - known from earlier, which may be gone
   * @returns addresses; after a failure those that are current, as they answer, and one control VM if none is
   */
  async * listSources (failedAddress: string, relays: readonly string[]): AsyncGenerator<string> {
    const controls = this.shuffle(this._options.directory.listAddresses().filter(address => address !== failedAddress))
    const fallback = controls.find(address => this.isInOwnZone(address)) ?? controls[0] ?? failedAddress
    const otherRelays = relays.filter(address => address !== failedAddress)
    if (failedAddress === '' || controls.length + otherRelays.length < 2) {
      yield fallback
      return
    }
    let hasCurrent = false
    const delays = new Map(otherRelays.map((address, index) => [address, CONTROL_HEAD_START_MS + index * RELAY_HEAD_START_MS]))
    for (const address of controls) delays.set(address, this.isInOwnZone(address) ? 0 : OWN_ZONE_HEAD_START_MS)
    for await (const address of this._confirmStaggered(delays)) {
      hasCurrent = true
      yield address
    }
    if (!hasCurrent) yield fallback
  }

  /**
   * Asks relays at once.
   * @param relays - the nearest first
   * @returns addresses of those that are current, as they answer
   */
  listRelays (relays: readonly string[]): AsyncGenerator<string> {
    return this._confirmStaggered(new Map(relays.map((address, index) => [address, index * RELAY_HEAD_START_MS])))
  }

  /** @returns one of the control VMs in this availability zone, if it has any */
  pickInOwnZone (): string | undefined {
    return this.shuffle(this._options.directory.listAddresses().filter(address => this.isInOwnZone(address)))[0]
  }

  /**
   * @param address - peer address of a control VM
   * @returns true when it is known to be in this availability zone
   */
  isInOwnZone (address: string): boolean {
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

  /** @param delays - time after which each address is asked, in milliseconds */
  private async * _confirmStaggered (delays: ReadonlyMap<string, number>): AsyncGenerator<string> {
    const open = new Map([...delays].map(([address, delayMs]) => [address, this._confirmAfterDelay(address, delayMs)]))
    while (open.size > 0) {
      const { address, isConfirmed } = await Promise.race(open.values())
      open.delete(address)
      if (isConfirmed) yield address
    }
  }

  private async _confirmAfterDelay (address: string, delayMs: number): Promise<{ address: string, isConfirmed: boolean }> {
    if (delayMs > 0) await this._options.clock.sleep(delayMs)
    const reply = await this.confirmAt(address)
    return { address, isConfirmed: reply?.confirmed === true }
  }

  private async _confirmCurrent (address: string): Promise<ConfirmReply> {
    const reply = await this.confirmAt(address)
    if (reply?.confirmed !== true) throw new FeedError(`${address} is not current`, 'ask another source')
    return reply
  }
}
