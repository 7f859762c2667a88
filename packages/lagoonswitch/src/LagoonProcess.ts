/**
 * A lagoonswitch process: its roles, listeners and graceful stop.
 */
import {
  Emitter, Err, Metrics, Ok, SystemClock, SystemRandom, formatError, waitAtMost,
  type ILog, type LagoonswitchError, type Result
} from '@lagoonswitch/common'
import { ControlRole } from '@lagoonswitch/control'
import { NodeRole, listSeedAddresses, type CallDialect } from '@lagoonswitch/node'
import { isLoopback, type ISettings } from '@lagoonswitch/schema'
import { PeerChannels, PeerListener, createLinkCredentials, type ILinkKeys } from '@lagoonswitch/transport'
import type { ProcessSurface } from './ProcessSurface.js'

const PEER_LISTENER_STOP_TIMEOUT_MS = 2_000
/** Part of the stop timeout reserved for the peer listener and the log. */
const STOP_RESERVE_MS = 100
/** Part of the stop timeout after the last time at which clients are waited for. */
const CLIENT_RESERVE_MS = 400

/** Replacements of a platform for the default dialect and surface. */
export interface IPlatformAdapter {
  /** Headers in which callers and targets state the metadata of a call. */
  readonly dialect?: CallDialect
  /** HTTP interfaces for targets, operators and probes. */
  readonly surface?: ProcessSurface
}

/** Runs the roles named in the settings. */
export class LagoonProcess {
  private readonly _clock = new SystemClock()
  private readonly _random = new SystemRandom()
  private readonly _metrics = new Metrics()
  private readonly _channels: PeerChannels
  private readonly _peerListener: PeerListener
  private _surface: ProcessSurface | undefined
  private readonly _onFailed = new Emitter<string>()
  private _stopped: Promise<void> | undefined
  readonly control: ControlRole | undefined
  readonly node: NodeRole | undefined

  /** Fires with the name of a group when the process cannot continue because that group failed. */
  readonly onFailed = this._onFailed.event

  /**
   * @param _settings - validated settings
   * @param _log - receives events
   * @param _adapter - replacements for the default dialect and surface
   * @param keys - of the links; read from the files of the settings by default
   */
  constructor (
    private readonly _settings: ISettings, private readonly _log: ILog, private readonly _adapter: IPlatformAdapter = {}, keys?: ILinkKeys
  ) {
    const credentials = createLinkCredentials(_settings.tls, _log, keys)
    this._channels = new PeerChannels(credentials)
    this._peerListener = new PeerListener(credentials)
    const roleOptions = {
      settings: _settings,
      peerAddress: `${_settings.listen.peers.host}:${_settings.listen.peers.port}`,
      seedAddresses: listSeedAddresses(_settings),
      clock: this._clock,
      random: this._random,
      log: _log,
      metrics: this._metrics,
      channels: this._channels,
      credentials
    }
    const { roles } = _settings.process
    this.control = roles.includes('control') ? new ControlRole(roleOptions) : undefined
    this.node = roles.includes('node') ? new NodeRole({ ...roleOptions, dialect: _adapter.dialect }) : undefined
    this.control?.onFailed(group => this._onFailed.fire(group))
  }

  /**
   * Starts all roles and listeners.
   * @returns nothing, or the error that prevents the start
   */
  async start (): Promise<Result<void, LagoonswitchError>> {
    const { listen, process } = this._settings
    this.control?.addServices(this._peerListener)
    this.node?.addServices(this._peerListener, this.control !== undefined)
    await this._peerListener.listen(listen.peers.host, listen.peers.port)
    await this.control?.start()
    await this.node?.start()
    this._surface = this._adapter.surface ?? await loadProductSurface()
    await this._surface.start({
      settings: this._settings,
      clock: this._clock,
      log: this._log,
      metrics: this._metrics,
      node: this.node,
      control: this.control
    })
    this._warnOfLinksWithoutTls()
    this._log.info('process_started', { name: process.name, roles: process.roles.join('+') })
    return Ok(undefined)
  }

  /**
   * Applies the settings that may change while the process runs: the seeds and the service of this VM.
   * @param next - validated settings
   */
  applySettings (next: ISettings): void {
    this._settings.process.service = next.process.service
    this._settings.control.seeds = next.control.seeds
    const seeds = listSeedAddresses(this._settings)
    this.node?.directory.setSeeds(seeds)
    this.control?.directory.setSeeds(seeds)
  }

  /** Stops gracefully; further calls wait for the same stop. */
  async stop (): Promise<void> {
    this._stopped ??= this._stop()
    await this._stopped
  }

  private async _stop (): Promise<void> {
    const { name, stopTimeoutMs } = this._settings.process
    const endMs = this._clock.readMonotonicMs() + stopTimeoutMs - STOP_RESERVE_MS
    const getRemainingMs = (): number => Math.max(0, endMs - this._clock.readMonotonicMs())
    this._log.info('process_stopping', { name })
    await this.node?.stop(stopTimeoutMs)
    const surface = await this._surface?.stop(Math.max(0, getRemainingMs() - CLIENT_RESERVE_MS + STOP_RESERVE_MS))
    this.node?.dispose()
    this.control?.dispose()
    await this._peerListener.stop(Math.min(PEER_LISTENER_STOP_TIMEOUT_MS, getRemainingMs()))
    this._channels.dispose()
    await surface?.closed
    await this._closeStorage(getRemainingMs())
    this._log.info('process_stopped', { name })
  }

  /** A disk that hangs does not keep the process from stopping. */
  private async _closeStorage (timeoutMs: number): Promise<void> {
    if (this.control === undefined) return
    try {
      await waitAtMost(this._clock, timeoutMs, this.control.close())
    } catch (error) {
      this._log.warn('storage_not_closed', { error: formatError(error), remedy: 'check the disk of the data folder' })
    }
  }

  /** Without TLS, anyone who can reach the peer and link listeners can act as a lagoonswitch process. */
  private _warnOfLinksWithoutTls (): void {
    const { listen, tls } = this._settings
    const isExposed = tls.caFile === '' && !(isLoopback(listen.peers.host) && isLoopback(listen.links.host))
    if (isExposed) this._log.warn('links_without_tls', { remedy: 'set ca_file, cert_file and key_file in [tls]' })
  }
}

/** Loads the default surface on demand, since it is large and no call depends on it. */
async function loadProductSurface (): Promise<ProcessSurface> {
  const { ProductSurface } = await import('./http/ProductSurface.js')
  return new ProductSurface()
}

/**
 * Starts a process and converts any exception into a result.
 * @param process - the process, not yet started
 * @returns nothing, or the error message
 */
export async function tryStart (process: LagoonProcess): Promise<Result<void, string>> {
  try {
    const started = await process.start()
    return started.ok ? started : Err(started.val.message)
  } catch (error) {
    return Err(formatError(error))
  }
}
