/**
 * The catalogue for home proxies, served by conditional requests: contract version 1.
 * Devices in homes cannot be recalled, so the format of the responses must never change; golden samples in the tests enforce this.
 */
import { Controller, Get, Headers, Inject, Res } from '@nestjs/common'
import type { FastifyReply } from 'fastify'
import { compareVersions, formatVersion, parseVersion } from '@lagoonswitch/common'
import type { ICatalogueView } from '@lagoonswitch/feed'
import type { NodeRole } from '@lagoonswitch/node'
import { NODE_ROLE } from './InjectionTokens.js'

const RETRY_AFTER_S = '2'

/**
 * Formats the catalogue according to contract version 1.
 * @param view - the catalogue at one version
 * @returns the JSON text
 */
export function formatHomeCatalogue (view: ICatalogueView): string {
  const entries = [...view.entries.values()].sort((a, b) => a.entry < b.entry ? -1 : 1)
  return JSON.stringify({
    contract: 1,
    epoch: view.version.epoch,
    version: view.version.version,
    entries: entries.map(entry => ({
      name: entry.entry,
      owner: entry.owner,
      class: entry.class,
      routes: entry.routes.map(({ name, path, methods, idempotency }) => ({ name, path, methods, idempotency }))
    }))
  })
}

/** Serves the catalogue to home proxies. */
@Controller('v1/catalogue')
export class HomesController {
  constructor (@Inject(NODE_ROLE) private readonly _node: NodeRole) {}

  /** Responds with the catalogue, with 304 if the client has this version, or with 503 if this node is not ready or has an older one. */
  @Get()
  readCatalogue (@Headers('if-none-match') ifNoneMatch: string | undefined, @Res() reply: FastifyReply): void {
    const { view } = this._node.store
    const clientVersion = parseVersion((ifNoneMatch ?? '').replaceAll('"', ''))
    const isBehind = clientVersion !== undefined && compareVersions(clientVersion, view.version) > 0
    if (!this._node.feed.isReady || isBehind) {
      void reply.code(503).header('retry-after', RETRY_AFTER_S).send({ reason: isBehind ? 'behind' : 'not-ready' })
      return
    }
    void reply.header('etag', `"${formatVersion(view.version)}"`).header('cache-control', 'no-cache')
    if (clientVersion !== undefined && compareVersions(clientVersion, view.version) === 0) {
      void reply.code(304).send()
      return
    }
    void reply.header('content-type', 'application/json').send(formatHomeCatalogue(view))
  }
}
