/**
 * What all calls of a process share.
 */
import type { IClock, ILog, IRandom, Metrics } from '@lagoonswitch/common'
import type { CallerLimits, ISettings } from '@lagoonswitch/schema'
import type { ClaimsClient } from '../claims/ClaimsClient.js'
import type { EvidenceCollector } from '../moves/EvidenceCollector.js'
import type { CallerWaitEstimator } from '../routing/CallerWaitEstimator.js'
import type { OwnerCallLimiter } from '../routing/OwnerCallLimiter.js'
import type { RetryBudget } from '../routing/RetryBudget.js'
import type { IRoutePart, RouteTable } from '../routing/RouteTable.js'
import type { TargetPool } from '../routing/TargetPool.js'
import type { CallDialect } from './CallDialect.js'
import type { ICallOpener } from './CallTypes.js'
import type { GracefulStop } from './GracefulStop.js'

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
  readonly ownerCallLimiter: OwnerCallLimiter
  readonly callerWaitEstimator: CallerWaitEstimator
  /** Opens calls on the target of this VM or over a link. */
  readonly findOpener: (linkAddress: string) => ICallOpener
  /** Tells whether a target of this VM runs a repeat of the call with this identity. */
  readonly isRepeatRun: (callId: string) => boolean
  /** Notes beside the target that a call which it makes found no budget for its repeat. */
  readonly reportRepeatDenied: (parentId: string) => void
  /** Notes a service that targets of this VM call while they run others. */
  readonly recordCalledService: (part: IRoutePart) => void
  readonly getRetryBudget: (part: IRoutePart) => RetryBudget
  readonly getRoutes: () => RouteTable | undefined
  /** Times of the planned stop that is under way; undefined while there is none. */
  readonly getStop: () => GracefulStop | undefined
  /** Version of the catalogue in force, for logs. */
  readonly getCatalogueVersion: () => number
  readonly dialect: CallDialect
  /** Limits on what callers may send, as the catalogue states them now. */
  readonly getCallerLimits: () => CallerLimits | undefined
}
