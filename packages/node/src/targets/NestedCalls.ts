/**
 * The calls that targets of this VM make while they run calls, and calls that are not begun because those would be refused.
 */
import type { IClock, ILog, IRandom, Metrics } from '@lagoonswitch/common'
import { NeededServices, type INeedChange, type INeedRefusal } from '@lagoonswitch/traffic'
import type { ICallRequest } from '../calls/CallTypes.js'
import type { RefusalReason } from '../calls/Refusal.js'

/** Refusals for lack of capacity, which further calls are likely to meet too. */
const CAPACITY_REASONS = new Set<string>([
  'queue-full', 'shed', 'deadline-queue', 'no-spare', 'no-target', 'target-busy', 'no-budget', 'needed-refused', 'owner-limit'
] satisfies RefusalReason[])

/** What the records depend on. */
export interface INestedCallsOptions {
  readonly clock: IClock
  readonly random: IRandom
  readonly log: ILog
  readonly metrics: Metrics
  /** Finds the key of the route of a call to a target of this VM; undefined if it has none in the catalogue in use. */
  readonly findRoute: (host: string, method: string, path: string) => string | undefined
}

/** Connects runs with the calls that they make. */
export class NestedCalls {
  private readonly _needed: NeededServices
  /** Services that the target called during a run. */
  private readonly _calledServices = new WeakMap<ICallRequest, Set<string>>()

  constructor (private readonly _options: INestedCallsOptions) {
    this._needed = new NeededServices(_options.clock, _options.random, change => this._reportChange(change))
  }

  /**
   * Decides whether a call may begin.
   * @param request - to a target of this VM
   * @returns why not, or undefined if it may
   */
  findRefusal (request: ICallRequest): INeedRefusal | undefined {
    const refusal = this._needed.findRefusal(this._findRoute(request))
    if (refusal !== undefined) this._options.metrics.count('calls_not_begun_total', refusal.service)
    return refusal
  }

  /**
   * Records the end of a call that a target made during a run.
   * @param run - that made the call; undefined if no target of this VM runs it
   * @param service - that was called
   * @param reason - why it was refused and has not run; empty otherwise
   */
  recordNestedCall (run: ICallRequest | undefined, service: string, reason: string): void {
    if (run === undefined) return
    const services = this._calledServices.get(run)
    if (services === undefined) this._calledServices.set(run, new Set([service]))
    else services.add(service)
    this._needed.recordNestedCall(service, CAPACITY_REASONS.has(reason))
  }

  /**
   * Records the end of a call to a target.
   * @param run - the call
   * @param isComplete - false if it failed, so that it may not have run to its end
   */
  recordRun (run: ICallRequest, isComplete: boolean): void {
    const services = this._calledServices.get(run)
    if (services !== undefined || isComplete) this._needed.recordRun(this._findRoute(run), services ?? new Set())
  }

  private _findRoute ({ headers, method, path }: ICallRequest): string {
    const index = headers.findIndex((name, position) => position % 2 === 0 && name === 'host')
    return this._options.findRoute(index < 0 ? '' : headers[index + 1] ?? '', method, path) ?? ''
  }

  private _reportChange ({ service, isRefusing, calls, refused }: INeedChange): void {
    this._options.log.info(isRefusing ? 'needed_service_refusing' : 'needed_service_restored', { service, calls, refused })
  }
}
