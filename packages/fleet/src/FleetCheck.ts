/**
 * Checks of the promises of the feed while a fleet runs.
 */
import type { Fleet } from './Fleet.js'
import type { FleetNode } from './FleetNode.js'

/** Limits in milliseconds. */
export interface IFleetBounds {
  /** Time from the acknowledgement of a publication until it is in place. */
  readonly propagationMs: number
  /** Time after its own disturbance in which a node need not be in time. */
  readonly settleMs: number
  /** Extension of the propagation time for the settling time after a disturbance of a control VM has begun or ended. */
  readonly extensionMs: number
  /** Time from the first start until all nodes are ready. */
  readonly readyMs: number
}

/** A broken promise. */
export interface IViolation {
  readonly kind: 'late' | 'older' | 'not-ready'
  readonly node: string
  /** Time of the first sample that showed it, in milliseconds from the start. */
  readonly atMs: number
  readonly text: string
  /** Last events of the node, oldest first. */
  readonly events: readonly string[]
}

/** State of a node at the last sample. */
interface INodeState {
  process: number
  number: number
  withoutSourceSinceMs: number | undefined
}

/** Samples all nodes. A node that is disturbed itself, or was shortly before, is not checked. */
export class FleetCheck {
  private readonly _states = new Map<FleetNode, INodeState>()
  private readonly _reported = new Set<string>()
  readonly violations: IViolation[] = []
  /** Longest time that an undisturbed node was without a source, in milliseconds. */
  maxWithoutSourceMs = 0

  /**
   * @param _fleet - that is checked
   * @param _bounds - limits
   */
  constructor (private readonly _fleet: Fleet, private readonly _bounds: IFleetBounds) {}

  /** Checks that the first start was in time. */
  checkReady (): void {
    for (const node of this._fleet.nodes) {
      if (node.readyMs <= this._bounds.readyMs) continue
      this._report('not-ready', node, `not ready ${this._bounds.readyMs} ms after the first start`)
    }
  }

  /** Checks all nodes at this moment. */
  sample (): void {
    const nowMs = this._fleet.time.readMonotonicMs()
    const extensionMs = this._isControlSettled(nowMs) ? 0 : this._bounds.extensionMs
    const requiredNumber = this._findRequiredNumber(nowMs - this._bounds.propagationMs - extensionMs)
    for (const node of this._fleet.nodes) {
      const state = this._getState(node)
      const isInTouch = nowMs >= node.machine.undisturbedSinceMs + this._bounds.settleMs && nowMs >= node.readyMs
      if (node.number < state.number) this._report('older', node, `publication ${node.number} in place of ${state.number}`)
      state.number = node.number
      if (isInTouch && node.number < requiredNumber) {
        const acknowledgedMs = this._fleet.operator.acknowledgedMs.get(requiredNumber) ?? nowMs
        this._report('late', node, `publication ${node.number}; ${requiredNumber} was acknowledged ${(nowMs - acknowledgedMs).toFixed(0)} ms ago`)
      }
      this._sampleSource(node, state, isInTouch, nowMs)
    }
  }

  private _sampleSource (node: FleetNode, state: INodeState, isInTouch: boolean, nowMs: number): void {
    if (!isInTouch || node.feed.client.source !== '') {
      state.withoutSourceSinceMs = undefined
      return
    }
    state.withoutSourceSinceMs ??= nowMs
    this.maxWithoutSourceMs = Math.max(this.maxWithoutSourceMs, nowMs - state.withoutSourceSinceMs)
  }

  private _isControlSettled (nowMs: number): boolean {
    return this._fleet.controls.every(({ machine }) => nowMs >= machine.changedMs + this._bounds.settleMs)
  }

  private _findRequiredNumber (acknowledgedBeforeMs: number): number {
    let required = 0
    for (const [number, acknowledgedMs] of this._fleet.operator.acknowledgedMs) {
      if (acknowledgedMs <= acknowledgedBeforeMs) required = Math.max(required, number)
    }
    return required
  }

  private _getState (node: FleetNode): INodeState {
    let state = this._states.get(node)
    if (state === undefined || state.process !== node.machine.processNumber) {
      state = { process: node.machine.processNumber, number: 0, withoutSourceSinceMs: undefined }
      this._states.set(node, state)
    }
    return state
  }

  /** Reports each kind once for each node. */
  private _report (kind: IViolation['kind'], node: FleetNode, text: string): void {
    const { name } = node.machine
    const key = `${kind} ${name}`
    if (this._reported.has(key)) return
    this._reported.add(key)
    this.violations.push({ kind, node: name, atMs: this._fleet.time.readMonotonicMs(), text, events: [...node.log.listLines()] })
  }
}
