/**
 * The targets of one call: the part of a split route, the version in a move, and what has been tried.
 */
import type { ICallContext } from './CallContext.js'
import type { FailureReason } from './CallTypes.js'
import type { ICallHead } from './CallHead.js'
import { FULL_SHARE_PPM, type IRoutePart } from '../routing/RouteTable.js'
import type { IPickCriteria, ITargetState, IVersionChoice } from '../routing/TargetPool.js'

/** What the picker needs of all that calls share. */
export type IPickerContext = Pick<ICallContext, 'pool' | 'random' | 'evidence'>

/** Draws once what a call is for, so that repeats move it neither between services nor to another version. */
export class TargetPicker {
  readonly part: IRoutePart
  private readonly _tried = new Set<string>()
  private readonly _versionDraw: number

  /**
   * @param _context - what all calls share
   * @param _head - of the call
   */
  constructor (private readonly _context: IPickerContext, private readonly _head: Pick<ICallHead, 'route' | 'callClass'>) {
    this.part = this._drawPart()
    this._versionDraw = _context.random.draw() * FULL_SHARE_PPM
  }

  /**
   * Picks the target to try next.
   * @param objectiveLeftMs - time until an answer is worth less, 0 for none
   * @param lastReason - why the last attempt failed, if there was one
   * @returns the target, or undefined when none is left
   */
  pickTarget (objectiveLeftMs: number, lastReason: FailureReason | undefined): ITargetState | undefined {
    const { pool } = this._context
    const { service, split } = this.part
    const route = this._head.route.key
    const criteria: IPickCriteria = {
      route,
      objectiveLeftMs,
      isLate: objectiveLeftMs > 0 && pool.isTimeTooShort(route, objectiveLeftMs),
      isSameZone: lastReason === 'no-spare',
      callClass: this._head.callClass
    }
    const pick = (choice: string | IVersionChoice): ITargetState | undefined => pool.pickTarget(service, choice, this._tried, criteria)
    const oldVersion = { version: split.from, excluded: split.excluded }
    if (!this._isNewVersionUsable()) return pick(oldVersion)
    // Targets that are full send no call to the version that is being tried; only a version without any target does.
    if (this._versionDraw >= split.sharePpm && pool.countTargets(service, oldVersion) > 0) return pick(oldVersion)
    return pick(split.to) ?? pick(oldVersion)
  }

  /** Notes a target that the call is sent to. */
  markTried (target: ITargetState): void {
    this._tried.add(target.record.targetId)
  }

  private _drawPart (): IRoutePart {
    const { parts, totalWeight } = this._head.route
    let draw = parts.length === 1 ? 0 : this._context.random.draw() * totalWeight
    const last = parts[parts.length - 1] as IRoutePart
    return parts.find(part => {
      draw -= part.weight
      return draw < 0
    }) ?? last
  }

  /** A version that is cut or taken back gets no call. */
  private _isNewVersionUsable (): boolean {
    const { split, service } = this.part
    return split.to !== '' && split.sharePpm > 0 && !this._context.evidence.isVersionCut(service)
  }
}
