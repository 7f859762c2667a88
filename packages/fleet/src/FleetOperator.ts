/**
 * Publishes configurations to the control VMs of the model, one after the other.
 */
import { waitAtMost, type IClock, type IRandom } from '@lagoonswitch/common'
import type { ControlRole, IPublicationDraft } from '@lagoonswitch/control'
import type { FleetControl } from './FleetControl.js'

/** Time after which the operator tries another control VM. */
const REPLY_TIMEOUT_MS = 1_000
const RETRY_DELAY_MS = 100
const OWNER = 'model'

/** Each publication adds routes to those before it. */
export class FleetOperator {
  private _number = 0
  /** Time of the acknowledgement of each publication by its number, in milliseconds from the start. */
  readonly acknowledgedMs = new Map<number, number>()

  /**
   * @param _controls - control VMs
   * @param _routes - routes of the first publication
   * @param _clock - source of time
   * @param _random - chooses the control VM that is asked first
   * @param _lostAcknowledgements - share of the acknowledgements that don't arrive
   */
  constructor (
    private readonly _controls: readonly FleetControl[], private _routes: number,
    private readonly _clock: IClock, private readonly _random: IRandom, private readonly _lostAcknowledgements = 0
  ) {}

  /**
   * Publishes the next configuration; resolves once it has been acknowledged.
   * @param addedRoutes - routes that it adds
   */
  async publish (addedRoutes = 1): Promise<void> {
    this._routes += addedRoutes
    const draft = this._createDraft()
    let control = this._pickControl()
    for (;;) {
      const outcome = await this._send(control, draft)
      if (outcome?.kind === 'accepted') break
      if (outcome !== undefined && outcome.kind !== 'elsewhere') throw new Error(`publication ${draft.number}: ${outcome.message}`)
      const leader = outcome === undefined ? undefined : this._controls.find(({ machine }) => machine.address === outcome.leaderAddress)
      if (leader === undefined || leader === control) await this._clock.sleep(RETRY_DELAY_MS)
      control = leader ?? this._pickControl()
    }
    this._number = draft.number
    this.acknowledgedMs.set(draft.number, this._clock.readMonotonicMs())
  }

  /**
   * Publishes again and again.
   * @param intervalMs - pause after each acknowledgement
   * @param endMs - time of the last publication, in milliseconds from the start
   */
  async publishUntil (intervalMs: number, endMs: number): Promise<void> {
    while (this._clock.readMonotonicMs() < endMs) {
      await this.publish()
      await this._clock.sleep(intervalMs)
    }
  }

  private async _send ({ machine, role }: FleetControl, draft: IPublicationDraft): ReturnType<FleetOperator['_sendNow']> {
    if (machine.state === 'running') return await this._sendNow(role, draft)
    await this._clock.sleep(REPLY_TIMEOUT_MS)
    return undefined
  }

  private async _sendNow (role: ControlRole, draft: IPublicationDraft) {
    const result = await waitAtMost(this._clock, REPLY_TIMEOUT_MS, role.publish(draft)).catch(() => undefined)
    if (result?.ok !== true) return undefined
    if (this._lostAcknowledgements === 0 || this._random.draw() >= this._lostAcknowledgements) return result.val
    await this._clock.sleep(REPLY_TIMEOUT_MS)
    return undefined
  }

  private _pickControl (): FleetControl {
    const control = this._controls[Math.floor(this._random.draw() * this._controls.length)]
    if (control === undefined) throw new Error('the fleet has no control VM; add one to controlZones')
    return control
  }

  private _createDraft (): IPublicationDraft {
    const number = this._number + 1
    const service = {
      name: 'desk',
      declaration: {
        entry: 'desk',
        owner: OWNER,
        class: 'normal',
        limits: { slots: 130, connections: 130, deadline: '10000ms', retry_budget: 0.2 },
        routes: []
      },
      annotation: '{}'
    }
    const entries = Array.from({ length: this._routes }, (_, index) => createRoute(`route-${index}`))
    return {
      number,
      baseNumber: this._number,
      digest: `draft ${number}`,
      callerLimits: { headerBytes: 16_384, bodyBytes: 67_108_864, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      annotation: '{}',
      entries: [service, ...entries]
    }
  }
}

function createRoute (name: string): IPublicationDraft['entries'][number] {
  return {
    name,
    declaration: {
      entry: name,
      owner: OWNER,
      class: 'normal',
      host: 'desk.example',
      limits: { slots: 1, connections: 1, deadline: '4000ms' },
      routes: [{
        name: `r-${name}-0`, path: `/${name}/`, idempotency: 'safe', service: 'desk', deadline: '4000ms', objective: '600ms', attempts: 3
      }]
    },
    annotation: '{}'
  }
}
