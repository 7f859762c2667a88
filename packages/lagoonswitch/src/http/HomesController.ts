/**
 * The frozen contract of the home proxies: the catalogue by conditional requests, version 1.
 * Devices in homes can't be recalled, so nothing here may change; golden samples pin it.
 */
import { Controller, Get, Headers, Inject, Res } from '@nestjs/common'
import type { FastifyReply } from 'fastify'
import { compareVersions, formatVersion, parseVersion } from '@lagoonswitch/common'
import type { ICatalogueView } from '@lagoonswitch/feed'
import type { NodeRole } from '@lagoonswitch/node'
import { NODE_ROLE } from './InjectionTokens.js'

const RETRY_AFTER_S = '2'

/**
 * Formats the answer of contract version 1.
 * @param view - a whole version
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

/** Serves home proxies. */
@Controller('v1/catalogue')
export class HomesController {
  constructor (@Inject(NODE_ROLE) private readonly _node: NodeRole) {}

  /** Answers with the catalogue, or that nothing is newer, or that this node is behind the caller. */
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
