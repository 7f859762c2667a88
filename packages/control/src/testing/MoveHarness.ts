/**
 * One service with a move that a controller decides, and calls whose outcomes are reported to it window by window.
 */
import { ManualClock, Metrics, NullLog } from '@lagoonswitch/common'
import { CatalogueStore, EndpointView } from '@lagoonswitch/feed'
import {
  CatalogueCommand, ChangeCommand, EndpointRecord, EndpointState, formatEntry, parseEntry, type EvidenceRecord, type MoveRecord
} from '@lagoonswitch/schema'
import { CatalogueStateMachine } from '../catalogue/CatalogueStateMachine.js'
import { MoveController } from '../moves/MoveController.js'
import { FULL_SHARE_PPM } from '../moves/MoveSchedule.js'

export const ORDERED_MOVE_DURATION_S = 16
export const EXPOSURE_LIMIT = { share: 0.1, slack: 50 }
const WINDOW_MS = 250
const WINDOWS_PER_S = 4

/** Fractions of the calls of each version that fail. */
export interface IFailureRates {
  readonly new: number
  readonly old: number
}

/** Service `desk`, moved from v1 to v2. */
export class MoveHarness {
  readonly clock = new ManualClock()
  readonly store = new CatalogueStore()
  readonly machine = new CatalogueStateMachine(this.store)
  readonly endpoints = new EndpointView()
  hasQuorum = true
  isLeader = true
  readonly log = new NullLog()
  /** Latest command that was not committed. */
  rejectedCommand: Uint8Array = new Uint8Array()
  controller = this._createController()

  /** Another control VM leads, which has the committed state only. */
  replaceLeader (): void {
    this.controller = this._createController()
  }

  getMove (): MoveRecord {
    const move = this.store.getMove('desk')
    if (move === undefined) throw new Error('no move')
    return move
  }

  apply (command: CatalogueCommand['command']): void {
    this.machine.apply(CatalogueCommand.encode({ nowMs: this.clock.readWallTime().getTime(), command }).finish())
  }

  putEntry (move: object): void {
    const entry = parseEntry({
      entry: 'desk',
      owner: 'o',
      class: 'first',
      limits: { slots: 4, connections: 9 },
      routes: [{ name: 'r', path: '/r', methods: ['GET'], idempotency: 'safe' }],
      ...move
    }).unwrap()
    this.apply({ $case: 'bootstrap', value: { epoch: 1 } })
    this.apply({
      $case: 'change',
      value: ChangeCommand.fromPartial({
        requestId: 'r', operator: 'o', edits: [{ name: 'desk', expectedVersion: 0, declaration: formatEntry(entry) }]
      })
    })
  }

  putTarget (): void {
    this.endpoints.merge([EndpointRecord.fromPartial({
      targetId: 't',
      incarnation: 1,
      sequence: 1,
      state: EndpointState.ENDPOINT_STATE_READY,
      service: 'desk',
      version: 'v2',
      linkAddress: '',
      region: '',
      availabilityZone: '',
      slots: 4,
      node: 'n'
    })])
  }

  /** Orders a move from v1 to v2. */
  startOrder (seconds: number, hasTarget = true): void {
    this.putEntry({})
    if (hasTarget) this.putTarget()
    this.apply({ $case: 'order', value: { service: 'desk', from: 'v1', to: 'v2', withinMs: seconds * 1_000 } })
  }

  /**
   * Runs windows of 250 ms. Outcomes are reported one window after their calls, and a share takes effect one window after its
   * decision.
   * @returns calls to the service, and those to the new version
   */
  async runOrdered (
    seconds: number, getFailureRates = (_share: number): IFailureRates => ({ new: 0, old: 0 }), callsPerS = 100
  ): Promise<{ all: number, exposed: number }> {
    const counts = { all: 0, exposed: 0 }
    let activeSharePpm = this.getMove().sharePpm
    let pendingEvidence: EvidenceRecord[] = []
    for (let window = 1; window <= Math.round(seconds * WINDOWS_PER_S); window++) {
      const calls = Math.floor(callsPerS * window / WINDOWS_PER_S) - Math.floor(callsPerS * (window - 1) / WINDOWS_PER_S)
      const share = activeSharePpm / FULL_SHARE_PPM
      activeSharePpm = this.getMove().sharePpm
      const newCalls = Math.round(calls * share)
      counts.all += calls
      counts.exposed += newCalls
      const failures = getFailureRates(share)
      this.controller.addEvidence(pendingEvidence)
      pendingEvidence = [
        createRecord('v2', newCalls, Math.round(newCalls * failures.new)),
        createRecord('v1', calls - newCalls, Math.round((calls - newCalls) * failures.old))
      ].filter(record => record.calls > 0)
      await this.clock.advance(WINDOW_MS)
      await this.controller.decide()
    }
    this.controller.addEvidence(pendingEvidence)
    return counts
  }

  private _createController (): MoveController {
    return new MoveController({
      clock: this.clock,
      log: this.log,
      metrics: new Metrics(),
      store: this.store,
      endpoints: this.endpoints,
      exposure: EXPOSURE_LIMIT,
      isLeader: () => this.isLeader,
      propose: async command => {
        if (this.hasQuorum) this.machine.apply(command)
        else this.rejectedCommand = command
        return this.hasQuorum
      }
    })
  }
}

/** Creates the outcomes of calls to one version. */
export function createRecord (version: string, calls: number, failures: number): EvidenceRecord {
  return { service: 'desk', version, route: 'r', targetId: version, calls, failures, latency: { buckets: [20], counts: [calls] } }
}
