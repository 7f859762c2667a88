/**
 * A control VM of the model: the role of the product, and a disk that survives its processes.
 */
import { Metrics, SeededRandom, type IRandom } from '@lagoonswitch/common'
import { ControlRole, MemoryStorage } from '@lagoonswitch/control'
import type { ISettings } from '@lagoonswitch/schema'
import { EventLog } from './EventLog.js'
import type { ModelMachine } from './ModelMachine.js'
import type { ModelNetwork } from './ModelNetwork.js'

const SEED_RANGE = 2 ** 31

/** The process of one control VM. */
export class FleetControl {
  readonly log: EventLog
  private readonly _storages = new Map<string, MemoryStorage>()
  private _role: ControlRole

  /**
   * @param machine - VM that it runs on
   * @param _network - connects the VMs
   * @param _settings - of the process
   * @param _syncMs - duration of a sync of its disk, in milliseconds
   * @param _random - source of its seeds
   */
  constructor (
    readonly machine: ModelMachine, private readonly _network: ModelNetwork, private readonly _settings: ISettings,
    private readonly _syncMs: number, private readonly _random: IRandom
  ) {
    this.log = new EventLog(machine.clock)
    this._role = this._createRole()
  }

  get role (): ControlRole {
    return this._role
  }

  /** Starts to take part in the group. */
  start (): void {
    void this._role.start()
  }

  /** Ends the process; the VM resets its connections. */
  end (): void {
    this.machine.lose()
    this._network.reset(this.machine)
    this._role.dispose()
  }

  /** Starts another process on this VM, with the same disk. */
  restart (): void {
    this.machine.restart()
    this._network.reset(this.machine)
    this._role.dispose()
    this._settings.control.firstStart = false
    this._role = this._createRole()
    this.start()
  }

  dispose (): void {
    this._role.dispose()
  }

  private _createRole (): ControlRole {
    const { machine } = this
    const { control, listen } = this._settings
    const role = new ControlRole({
      settings: this._settings,
      peerAddress: machine.address,
      seedAddresses: control.seeds.map(({ host }) => `${host}:${listen.peers.port}`),
      clock: machine.clock,
      random: new SeededRandom(Math.floor(this._random.draw() * SEED_RANGE)),
      log: this.log,
      metrics: new Metrics(),
      channels: this._network.createChannels(machine),
      createStorage: group => this._openStorage(group)
    })
    role.addServices(machine)
    return role
  }

  private _openStorage (group: string): MemoryStorage {
    const storage = this._storages.get(group) ?? new MemoryStorage(`disk of ${this.machine.name}`)
    const { machine } = this
    storage.onWrite = async () => { await machine.clock.sleep(this._syncMs) }
    this._storages.set(group, storage)
    return storage
  }
}
