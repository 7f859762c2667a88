/**
 * What all calls of a process share.
 */
import type { IClock, ILog, IRandom, Metrics } from '@lagoonswitch/common'
import type { ISettings } from '@lagoonswitch/schema'
import type { ClaimsClient } from '../claims/ClaimsClient.js'
import type { EvidenceCollector } from '../moves/EvidenceCollector.js'
import type { OwnerLimits } from '../routing/OwnerLimits.js'
import type { RetryBudget } from '../routing/RetryBudget.js'
import type { ICompiledRoute, RouteTable } from '../routing/RouteTable.js'
import type { TargetPool } from '../routing/TargetPool.js'
import type { ICallOpener } from './CallTypes.js'

/** Services that a call uses. */
export interface ICallContext {
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  readonly settings: ISettings
  readonly pool: TargetPool
  readonly claims: ClaimsClient
  readonly evidence: EvidenceCollector
  readonly owners: OwnerLimits
  /** Opens calls on the target of this VM or over a link. */
  readonly findOpener: (linkAddress: string) => ICallOpener
  readonly getBudget: (route: ICompiledRoute) => RetryBudget
  readonly getRoutes: () => RouteTable | undefined
  readonly isDraining: () => boolean
}
