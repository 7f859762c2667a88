/**
 * One process of the system: its roles, listeners and graceful shutdown.
 */
import type { INestApplication, Provider, Type } from '@nestjs/common'
import {
  Emitter, Err, Metrics, Ok, SystemClock, SystemRandom, formatError,
  type ILog, type LagoonswitchError, type Result
} from '@lagoonswitch/common'
import { ControlRole } from '@lagoonswitch/control'
import { NodeRole } from '@lagoonswitch/node'
import { isLoopback, type ISettings } from '@lagoonswitch/schema'
import { PeerChannels, PeerListener, createLinkCredentials } from '@lagoonswitch/transport'
import { HomesController } from './http/HomesController.js'
import { startHttpApp } from './http/HttpApp.js'
import { HealthController, MetricsController, TargetsController } from './http/LocalController.js'
import { OperatorController } from './http/OperatorController.js'
import { OperatorKeys } from './http/OperatorKeys.js'
import { CONTROL_ROLE, METRICS, NODE_ROLE, OPERATOR_KEYS } from './http/Tokens.js'

const LISTENER_STOP_MS = 2_000

/** Runs the roles that the settings name. */
export class LagoonProcess {
  private readonly _clock = new SystemClock()
  private readonly _random = new SystemRandom()
  private readonly _metrics = new Metrics()
  private readonly _channels: PeerChannels
  private readonly _peers: PeerListener
  private readonly _apps: INestApplication[] = []
  private readonly _onFailed = new Emitter<string>()
  private _stopped: Promise<void> | undefined
  readonly control: ControlRole | undefined
  readonly node: NodeRole | undefined

  /** Fires when the process can't go on. */
  readonly onFailed = this._onFailed.event

  /**
   * @param _settings - checked settings
   * @param _log - receives events
   */
  constructor (private readonly _settings: ISettings, private readonly _log: ILog) {
    const credentials = createLinkCredentials(_settings.tls)
    this._channels = new PeerChannels(credentials)
    this._peers = new PeerListener(credentials)
    const shared = {
      settings: _settings,
      peerAddress: `${_settings.listen.peers.host}:${_settings.listen.peers.port}`,
      clock: this._clock,
      random: this._random,
      log: _log,
      metrics: this._metrics,
      channels: this._channels,
      credentials
    }
    const { roles } = _settings.process
    this.control = roles.includes('control') ? new ControlRole(shared) : undefined
    this.node = roles.includes('node') ? new NodeRole(shared) : undefined
    this.control?.onFailed(group => this._onFailed.fire(group))
  }

  /**
   * Starts all roles and listeners.
   * @returns nothing, or why the process can't start
   */
  async start (): Promise<Result<void, LagoonswitchError>> {
    const { listen, control, process } = this._settings
    const keys = await OperatorKeys.read(process.roles.includes('control') ? control.tokenFile : '')
    if (keys.err) return keys
    this.control?.addServices(this._peers)
    this.node?.addServices(this._peers, this.control !== undefined)
    await this._peers.listen(listen.peers.host, listen.peers.port)
    await this.control?.start()
    await this.node?.start()
    const providers: Provider[] = [{ provide: METRICS, useValue: this._metrics }]
    if (this.node !== undefined) {
      const nodeProviders = [...providers, { provide: NODE_ROLE, useValue: this.node }]
      await this._startApp([TargetsController, HealthController, MetricsController], nodeProviders, listen.local)
      await this._startApp([HomesController], nodeProviders, listen.homes)
    }
    if (this.control !== undefined) {
      const controlProviders = [
        ...providers,
        { provide: CONTROL_ROLE, useValue: this.control },
        { provide: OPERATOR_KEYS, useValue: keys.val }
      ]
      await this._startApp([OperatorController, MetricsController], controlProviders, listen.operators)
    }
    this._warnOfOpenLinks()
    this._log.info('process_started', { name: process.name, roles: process.roles.join('+') })
    return Ok(undefined)
  }

  /** Stops gracefully; further calls wait for the same end. */
  async stop (): Promise<void> {
    this._stopped ??= this._stop()
    await this._stopped
  }

  private async _stop (): Promise<void> {
    this._log.info('process_stopping', { name: this._settings.process.name })
    await this.node?.stop(this._settings.process.stopTimeoutMs)
    for (const app of this._apps) await app.close()
    this.node?.dispose()
    this.control?.dispose()
    await this._peers.stop(LISTENER_STOP_MS)
    this._channels.dispose()
    this._log.info('process_stopped', { name: this._settings.process.name })
  }

  /** Without certificates, whoever reaches the listeners of other processes can act as one. */
  private _warnOfOpenLinks (): void {
    const { listen, tls } = this._settings
    const isOpen = tls.caFile === '' && !(isLoopback(listen.peers.host) && isLoopback(listen.links.host))
    if (isOpen) this._log.warn('links_without_tls', { remedy: 'set ca_file, cert_file and key_file in [tls]' })
  }

  private async _startApp (
    controllers: Array<Type<unknown>>, providers: Provider[], address: { host: string, port: number }
  ): Promise<void> {
    const { app } = await startHttpApp(controllers, providers, address)
    this._apps.push(app)
  }
}

/**
 * Turns anything thrown at the start into a result.
 * @param process - not yet started
 * @returns nothing, or the message
 */
export async function startSafely (process: LagoonProcess): Promise<Result<void, string>> {
  try {
    const started = await process.start()
    return started.ok ? started : Err(started.val.message)
  } catch (error) {
    return Err(formatError(error))
  }
}
