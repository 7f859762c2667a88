/**
 * Default HTTP interfaces of a process, with Nest on Fastify.
 */
import type { INestApplication, Provider, Type } from '@nestjs/common'
import type { HttpConnections, IClosingConnections, IHttpConnectionsContext } from '@lagoonswitch/transport'
import { BodyIntake } from '../BodyIntake.js'
import { ProcessSurface, closeAll, type ISurfaceContext } from '../ProcessSurface.js'
import { HomesController } from './HomesController.js'
import { startHttpApp } from './HttpApp.js'
import { HealthController, MetricsController, TargetsController } from './LocalController.js'
import { OperatorController } from './OperatorController.js'
import { OperatorTokens } from './OperatorTokens.js'
import { CONTROL_ROLE, METRICS, NODE_ROLE, OPERATOR_TOKENS } from './InjectionTokens.js'

/** Serves targets, home proxies, operators and metrics. */
export class ProductSurface extends ProcessSurface {
  private readonly _apps: Array<{ app: INestApplication, connections: HttpConnections }> = []

  async start (context: ISurfaceContext): Promise<void> {
    const { settings, metrics, node, control } = context
    const tokens = await OperatorTokens.read(control === undefined ? '' : settings.control.tokenFile)
    if (tokens.err) throw tokens.val
    const { listen } = settings
    const intake = new BodyIntake(metrics)
    const providers: Provider[] = [{ provide: METRICS, useValue: metrics }]
    if (node !== undefined) {
      const nodeProviders = [...providers, { provide: NODE_ROLE, useValue: node }]
      await this._startApp([TargetsController, HealthController, MetricsController], nodeProviders, listen.local, { ...context, listener: 'local' }, intake)
      await this._startApp([HomesController], nodeProviders, listen.homes, { ...context, listener: 'homes' }, intake)
    }
    if (control !== undefined) {
      const controlProviders = [
        ...providers,
        { provide: CONTROL_ROLE, useValue: control },
        { provide: OPERATOR_TOKENS, useValue: tokens.val }
      ]
      await this._startApp([OperatorController, MetricsController], controlProviders, listen.operators, { ...context, listener: 'operators' }, intake)
    }
  }

  async stop (timeoutMs: number): Promise<IClosingConnections> {
    return await closeAll(this._apps.map(async ({ app, connections }) => await connections.close(async () => await app.close(), timeoutMs)))
  }

  private async _startApp (
    controllers: Array<Type<unknown>>, providers: Provider[], address: { host: string, port: number },
    context: IHttpConnectionsContext, intake: BodyIntake
  ): Promise<void> {
    this._apps.push(await startHttpApp(controllers, providers, address, context, intake))
  }
}
