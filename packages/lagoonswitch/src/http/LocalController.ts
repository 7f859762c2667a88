/**
 * HTTP controllers for the targets on this VM, health checks and metrics.
 */
import {
  BadRequestException, Body, Controller, Delete, Get, Header, Inject, NotFoundException, Param, Put, ServiceUnavailableException
} from '@nestjs/common'
import { z } from 'zod'
import type { Metrics } from '@lagoonswitch/common'
import type { NodeRole } from '@lagoonswitch/node'
import { TARGET_ADDRESS, TARGET_NAME, TARGET_SLOTS } from '@lagoonswitch/schema'
import { METRICS, NODE_ROLE } from './InjectionTokens.js'

/** Announcement of a target, which the target repeats as a heartbeat. */
const ANNOUNCEMENT = z.strictObject({
  service: TARGET_NAME,
  version: TARGET_NAME,
  address: TARGET_ADDRESS,
  slots: TARGET_SLOTS,
  connections: TARGET_SLOTS,
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
    if (!TARGET_NAME.safeParse(id).success) throw new BadRequestException('id: use 1 to 128 printable ASCII characters without spaces')
    const parsed = ANNOUNCEMENT.safeParse(body)
    if (!parsed.success) {
      throw new BadRequestException(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '))
    }
    if (!this._node.canAnnounce) {
      this._node.reportEarlyAnnouncement(id)
      throw new ServiceUnavailableException('this node has no confirmed catalogue yet; announce again')
    }
    this._node.targets.announce({ id, ...parsed.data })
    return { accepted: true }
  }

  /** Withdraws a target that is leaving; it gets no new calls. */
  @Delete(':id')
  async withdraw (@Param('id') id: string): Promise<{ draining: true }> {
    if (this._node.targets.getAnnouncement(id) === undefined) throw new NotFoundException(`no target ${id} has announced itself here`)
    const recorded = await this._node.withdrawals.withdraw(id)
    if (recorded.err) throw new ServiceUnavailableException(recorded.val.message)
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
