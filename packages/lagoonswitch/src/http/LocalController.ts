/**
 * HTTP controllers for the targets on this VM, health checks and metrics.
 */
import { BadRequestException, Body, Controller, Delete, Get, Header, Inject, NotFoundException, Param, Put } from '@nestjs/common'
import { z } from 'zod'
import type { Metrics } from '@lagoonswitch/common'
import type { NodeRole } from '@lagoonswitch/node'
import { METRICS, NODE_ROLE } from './InjectionTokens.js'

/** Highest number of slots, and of connections, that a target may announce. */
const MAX_SLOTS = 10_000

/** Announcement of a target, which the target repeats as a heartbeat. */
const ANNOUNCEMENT = z.strictObject({
  service: z.string().min(1).max(63),
  version: z.string().min(1).max(63),
  address: z.string().regex(/^(127\.\d+\.\d+\.\d+|\[::1\]|localhost|[0-9.]+):\d{1,5}$/, 'use IP:PORT'),
  slots: z.number().int().min(1).max(MAX_SLOTS),
  connections: z.number().int().min(1).max(MAX_SLOTS),
  instance: z.string().max(128).default('')
})

/** Announcements, heartbeats and withdrawals of targets. */
@Controller('v1/targets')
export class TargetsController {
  constructor (@Inject(NODE_ROLE) private readonly _node: NodeRole) {}

  /** Lists the targets of this VM. */
  @Get()
  list (): ReturnType<NodeRole['targets']['listTargets']> {
    return this._node.targets.listTargets()
  }

  /** Accepts an announcement or a heartbeat. */
  @Put(':id')
  announce (@Param('id') id: string, @Body() body: unknown): { accepted: true } {
    const parsed = ANNOUNCEMENT.safeParse(body)
    if (!parsed.success) {
      throw new BadRequestException(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '))
    }
    this._node.targets.announce({ id, ...parsed.data })
    return { accepted: true }
  }

  /** Withdraws a target that is leaving; it gets no new calls. */
  @Delete(':id')
  withdraw (@Param('id') id: string): { draining: true } {
    if (!this._node.targets.withdraw(id)) throw new NotFoundException(`no target ${id} has announced itself here`)
    return { draining: true }
  }
}

/** Readiness of the node. */
@Controller()
export class HealthController {
  constructor (@Inject(NODE_ROLE) private readonly _node: NodeRole) {}

  /** Reads whether calls can be routed, and with which catalogue version. */
  @Get('healthz')
  readHealth (): { ready: boolean, source: string, level: number, epoch: number, version: number } {
    const { epoch, version } = this._node.store.version
    return { ready: this._node.isReady, source: this._node.feed.source, level: this._node.feed.level, epoch, version }
  }
}

/** Metrics in the text format of Prometheus. */
@Controller('metrics')
export class MetricsController {
  constructor (@Inject(METRICS) private readonly _metrics: Metrics) {}

  /** Formats all metrics. */
  @Get()
  @Header('content-type', 'text/plain; version=0.0.4')
  async readMetrics (): Promise<string> {
    return await this._metrics.format()
  }
}
