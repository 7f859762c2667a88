/**
 * HTTP listeners on Nest and Fastify.
 */
import 'reflect-metadata'
import { Module, type DynamicModule, type INestApplication, type Provider, type Type } from '@nestjs/common'
import { NestFactory } from '@nestjs/core'
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify'

const BODY_LIMIT_BYTES = 4 * 1_048_576

@Module({})
class HttpModule {}

/**
 * Starts one listener.
 * @param controllers - controllers that handle its requests
 * @param providers - services injected into the controllers
 * @param address - listen address
 * @returns the application, which the caller must close, and its port
 */
export async function startHttpApp (
  controllers: Array<Type<unknown>>, providers: Provider[], address: { host: string, port: number }
): Promise<{ app: INestApplication, port: number }> {
  const module: DynamicModule = { module: HttpModule, controllers, providers }
  const adapter = new FastifyAdapter({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: 'idle' })
  const app = await NestFactory.create<NestFastifyApplication>(module, adapter, { logger: false })
  await app.listen(address.port, address.host)
  const bound = app.getHttpServer().address()
  return { app, port: typeof bound === 'object' && bound !== null ? bound.port : address.port }
}
