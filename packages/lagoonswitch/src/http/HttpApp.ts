/**
 * HTTP listeners on Nest and Fastify.
 */
import 'reflect-metadata'
import type { Server } from 'node:http'
import { HttpException, Module, type DynamicModule, type INestApplication, type Provider, type Type } from '@nestjs/common'
import { NestFactory } from '@nestjs/core'
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify'
import type { FastifyInstance } from 'fastify'
import { parseJson } from '@lagoonswitch/common'
import { HttpConnections, type IHttpConnectionsContext } from '@lagoonswitch/transport'
import type { BodyIntake, IBodyReader } from '../BodyIntake.js'

const BODY_LIMIT_BYTES = 4 * 1_048_576
const READER: IBodyReader = {
  contentType: 'application/json',
  parse: text => parseJson(text),
  createError: (status, message) => new HttpException(message, status)
}

@Module({})
class HttpModule {}

/**
 * Starts one listener.
 * @param controllers - controllers that handle its requests
 * @param providers - services injected into the controllers
 * @param address - listen address
 * @param context - name of the listener, clock, log and metrics
 * @param intake - limits of bodies
 * @returns the application, which the caller must close, its connections, and its port
 */
export async function startHttpApp (
  controllers: Array<Type<unknown>>, providers: Provider[], address: { host: string, port: number }, context: IHttpConnectionsContext,
  intake: BodyIntake
): Promise<{ app: INestApplication, connections: HttpConnections, port: number }> {
  const module: DynamicModule = { module: HttpModule, controllers, providers }
  const adapter = new FastifyAdapter({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: 'idle' })
  const app = await NestFactory.create<NestFastifyApplication>(module, adapter, { logger: false, bodyParser: false })
  intake.install(adapter.getInstance<FastifyInstance>(), READER)
  const connections = HttpConnections.watch(app.getHttpServer() as Server, context)
  await app.listen(address.port, address.host)
  const bound = app.getHttpServer().address()
  return { app, connections, port: typeof bound === 'object' && bound !== null ? bound.port : address.port }
}
