/**
 * The links over which control VMs exchange endpoints, so that each source of the feed knows all targets.
 */
import { DisposableStore, type IClock, type IDisposable, type ILog, type IRandom, type Metrics } from '@lagoonswitch/common'
import { CatalogueStore, ControlDirectory, FeedClient, type EndpointView } from '@lagoonswitch/feed'
import type { ISettings } from '@lagoonswitch/schema'
import type { IPeerChannels } from '@lagoonswitch/transport'

/** Configuration and dependencies of an {@link EndpointMesh}. */
export interface IEndpointMeshOptions {
  readonly settings: ISettings
  readonly peerAddress: string
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly channels: IPeerChannels
}

/** Maintains one link to each other control VM. */
export class EndpointMesh implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _links = new Map<string, FeedClient>()

  /**
   * @param _directory - addresses of the control VMs
   * @param _endpoints - view that all links update
   * @param _options - configuration of this control VM
   */
  constructor (
    private readonly _directory: ControlDirectory,
    private readonly _endpoints: EndpointView,
    private readonly _options: IEndpointMeshOptions
  ) {}

  /** Opens the links and updates them when the members change. */
  start (): void {
    this._updateLinks()
    this._disposables.add(this._directory.onChanged(() => this._updateLinks()))
  }

  dispose (): void {
    this._disposables.dispose()
    for (const link of this._links.values()) link.dispose()
  }

  private _updateLinks (): void {
    const wantedAddresses = new Set(this._directory.listAddresses().filter(address => address !== this._options.peerAddress))
    for (const [address, link] of this._links) {
      if (wantedAddresses.has(address)) continue
      link.dispose()
      this._links.delete(address)
    }
    for (const address of wantedAddresses) {
      if (!this._links.has(address)) this._links.set(address, this._createLink(address))
    }
  }

  private _createLink (address: string): FeedClient {
    const { settings, clock, random, log, metrics, channels } = this._options
    const link = new FeedClient({
      node: `control:${settings.process.name}`,
      region: settings.process.region,
      availabilityZone: settings.process.availabilityZone,
      feedAddress: '',
      incarnation: clock.readWallTime().getTime(),
      directory: new ControlDirectory([address]),
      isMesh: true,
      clock,
      random,
      log,
      metrics,
      channels,
      store: new CatalogueStore(),
      endpoints: this._endpoints,
      computeFleetStatus: () => ({ nodes: 0, lowest: { epoch: 0, version: 0 } }),
      takeEvidence: () => [],
      isServing: () => false
    })
    link.start()
    return link
  }
}
