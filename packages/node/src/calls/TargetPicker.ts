/**
 * Target selection for one call: its service on a weighted route, its version during a move, and the targets already tried.
 */
import type { ICallContext } from './CallContext.js'
import type { FailureReason } from './CallTypes.js'
import type { ICallHead } from './CallHead.js'
import { FULL_SHARE_PPM, type IRoutePart } from '../routing/RouteTable.js'
import type { IPickCriteria, ITargetState, IVersionChoice } from '@lagoonswitch/traffic'

/** The part of the call context that the picker uses. */
export type IPickerContext = Pick<ICallContext, 'pool' | 'draws' | 'evidence'>

/** Picks targets for one call. Service and version are drawn once, so that retries change neither. */
export class TargetPicker {
  readonly part: IRoutePart
  private readonly _tried = new Set<string>()
  private readonly _versionDraw: number

  /**
   * @param _context - shared by all calls
   * @param _head - of the call
   */
  constructor (private readonly _context: IPickerContext, private readonly _head: Pick<ICallHead, 'route' | 'callClass'>) {
    this.part = this._drawPart()
    const { service, split } = this.part
    this._versionDraw = split.to === '' ? 0 : _context.draws.draw(`version:${service}`) * FULL_SHARE_PPM
  }

  /**
   * Picks the target to try next.
   * @param objectiveLeftMs - time left until the latency objective in milliseconds, 0 when there is none
   * @param lastReason - reason of the last failure of the call; undefined when there was none, error responses not counted
   * @returns the target, or undefined when no untried target is left
   */
  pickTarget (objectiveLeftMs: number, lastReason: FailureReason | undefined): ITargetState | undefined {
    const { pool } = this._context
    const { service, split } = this.part
    const route = this._head.route.key
    const criteria: IPickCriteria = {
      route,
      objectiveLeftMs,
      isLate: objectiveLeftMs > 0 && pool.isTimeTooShort(route, objectiveLeftMs),
      isSpareExcluded: lastReason === 'no-spare',
      callClass: this._head.callClass
    }
    const pick = (choice: string | IVersionChoice): ITargetState | undefined => pool.pickTarget(service, choice, this._tried, criteria)
    const oldVersion = { version: split.from, excluded: split.excluded }
    if (!this._isNewVersionUsable()) return pick(oldVersion)
    // Calls fall back to the new version only when the old one has no target at all, not when its targets are full.
    if (this._versionDraw >= split.sharePpm && pool.countTargets(service, oldVersion) > 0) return pick(oldVersion)
    return pick(split.to) ?? pick(oldVersion)
  }

  /** Excludes a target from later picks of this call. */
  markTried (target: ITargetState): void {
    this._tried.add(target.record.targetId)
  }

  private _drawPart (): IRoutePart {
    const { key, parts, totalWeight } = this._head.route
    let draw = parts.length === 1 ? 0 : this._context.draws.draw(`part:${key}`) * totalWeight
    const last = parts[parts.length - 1] as IRoutePart
    return parts.find(part => {
      draw -= part.weight
      return draw < 0
    }) ?? last
  }

  /** The new version gets no calls once it has been cut by this process or its move has been taken back. */
  private _isNewVersionUsable (): boolean {
    const { split, service } = this.part
    return split.to !== '' && split.sharePpm > 0 && !this._context.evidence.isVersionCut(service)
  }
}
