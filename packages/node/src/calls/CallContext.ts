/**
 * State and services shared by all calls of a process.
 */
import type { IClock, ILog, IRandom, Metrics } from '@lagoonswitch/common'
import type { IFeedStatus } from '@lagoonswitch/feed'
import type { CallerLimits, ISettings } from '@lagoonswitch/schema'
import type { UsageClient } from '../caps/UsageClient.js'
import type { ClaimsClient } from '../claims/ClaimsClient.js'
import type { EvidenceCollector } from '../moves/EvidenceCollector.js'
import type {
  AccountIndex, BalancedDraws, CallerWaitEstimator, OwnerCallLimiter, RetryBudget, ServicePace, TargetPool
} from '@lagoonswitch/traffic'
import type { IRoutePart, RouteTable } from '../routing/RouteTable.js'
import type { CallDialect } from './CallDialect.js'
import type { ICallOpener } from './CallTypes.js'
import type { GracefulStop } from './GracefulStop.js'

/** Dependencies of a call. */
export interface ICallContext {
  readonly clock: IClock
  readonly random: IRandom
  /** Split calls by weight. */
  readonly draws: BalancedDraws
  readonly log: ILog
  readonly metrics: Metrics
  readonly settings: ISettings
  readonly pool: TargetPool
  readonly claims: ClaimsClient
  /** Usage caps of client accounts. */
  readonly caps: UsageClient
  readonly evidence: EvidenceCollector
  readonly ownerCallLimiter: OwnerCallLimiter
  readonly callerWaitEstimator: CallerWaitEstimator
  /** Finds what opens calls on the targets behind a link address: the targets of this VM, or a link to another node. */
  readonly findOpener: (linkAddress: string) => ICallOpener
  /** Tells whether a target of this VM is running the call with this ID as a repeat. */
  readonly isRepeatRun: (callId: string) => boolean
  /** Tells whether a target of this VM runs the call with this ID, or ran it within the last seconds. */
  readonly isLocalRun: (callId: string) => boolean
  /** Monotonic time of the start of this process, in milliseconds. */
  readonly startedMs: number
  /** Client accounts of the catalogue in use. */
  readonly getAccounts: () => AccountIndex
  /** Names of the headers in lower case that are not forwarded from callers. */
  readonly getReservedHeaders: () => ReadonlySet<string>
  /** Records on the parent call that the retry budget denied a retry of one of its nested calls. */
  readonly reportRepeatDenied: (parentId: string) => void
  /** Records a nested call on its parent call, if a target of this VM runs that; returns what ends it. */
  readonly startNestedCall: (parentId: string) => (() => void) | undefined
  /** Knows whether the targets of a service answer at their usual pace. */
  readonly pace: ServicePace
  /** Records a service that targets of this VM call while they are running calls. */
  readonly recordCalledService: (part: IRoutePart) => void
  /** Records the end of a call that a target of this VM made during a run, with the reason if it was refused and has not run. */
  readonly recordNestedCall: (parentId: string, part: IRoutePart, reason: string) => void
  readonly getRetryBudget: (part: IRoutePart) => RetryBudget
  readonly getRoutes: () => RouteTable | undefined
  /** The graceful stop in progress; undefined while there is none. */
  readonly getStop: () => GracefulStop | undefined
  /** Version of the catalogue in use, for logs. */
  readonly getCatalogueVersion: () => number
  /** Time since this version was put in place, in milliseconds, for logs. */
  readonly getCatalogueAgeMs: () => number
  readonly getFeedStatus: () => IFeedStatus
  /** False while a newer catalogue than the one in use may be in force elsewhere. */
  readonly isCatalogueCurrent: () => boolean
  readonly dialect: CallDialect
  /** Limits on requests of callers in the catalogue in use. */
  readonly getCallerLimits: () => CallerLimits | undefined
}
