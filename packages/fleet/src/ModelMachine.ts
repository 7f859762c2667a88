/**
 * A VM of the model: its link, its share of a processor, and the process that runs on it.
 */
import type { ServiceDefinition, UntypedServiceImplementation } from '@grpc/grpc-js'
import { Clock, toDisposable, type IDisposable } from '@lagoonswitch/common'
import type { IServiceRegistry } from '@lagoonswitch/transport'
import type { VirtualTime } from './VirtualTime.js'

/** Processor time for one message on a whole core, in milliseconds. */
const HANDLING_MS = 0.15
/** Processor time for each byte of a message on a whole core, in milliseconds. */
const HANDLING_MS_PER_BYTE = 0.00002

/** Size of a VM. */
export interface IMachineSize {
  /** Rate of the link in each direction that is free for control traffic, in bytes per millisecond. */
  readonly bytesPerMs: number
  /** Share of a core, greater than 0. */
  readonly cpuShare: number
}

/** Whether the process on a VM runs, stands still with its connections open, or the VM is gone without notice. */
export type MachineState = 'running' | 'frozen' | 'lost'

/** The handlers of one service by the path of each method. */
export interface IModelMethod {
  readonly definition: ServiceDefinition[string]
  readonly handle: (...args: never[]) => unknown
}

/** Clock of a process: its callbacks wait while the process stands still. */
class MachineClock extends Clock {
  constructor (private readonly _time: VirtualTime, private readonly _machine: ModelMachine) {
    super()
  }

  readMonotonicMs (): number {
    return this._time.readMonotonicMs()
  }

  readWallTime (): Date {
    return this._time.readWallTime()
  }

  schedule (delayMs: number, callback: () => void): IDisposable {
    let isCancelled = false
    const { processNumber } = this._machine
    const timer = this._time.schedule(delayMs, () => {
      if (this._machine.processNumber === processNumber) this._machine.run(() => { if (!isCancelled) callback() })
    })
    return toDisposable(() => {
      isCancelled = true
      timer.dispose()
    })
  }
}

/** One VM. */
export class ModelMachine implements IServiceRegistry {
  private readonly _methods = new Map<string, IModelMethod>()
  private _state: MachineState = 'running'
  private _heldBack: Array<() => void> = []
  private _sendFreeMs = 0
  private _receiveFreeMs = 0
  private _processorFreeMs = 0
  private _speed = 1
  private _processNumber = 1
  private _disturbances = 0
  private _undisturbedSinceMs = 0
  private _changedMs = -Infinity
  readonly clock: Clock
  sentBytes = 0
  receivedBytes = 0
  /** Processor time used for messages, in milliseconds of a whole core. */
  processorMs = 0
  /** Longest time that a message waited for the link, in milliseconds. */
  maxLinkWaitMs = 0

  /**
   * @param name - name of the VM
   * @param address - peer address, HOST:PORT
   * @param availabilityZone - where it is
   * @param _size - link and processor
   * @param _time - source of time
   */
  constructor (
    readonly name: string, readonly address: string, readonly availabilityZone: string,
    private readonly _size: IMachineSize, private readonly _time: VirtualTime
  ) {
    this.clock = new MachineClock(_time, this)
  }

  get state (): MachineState {
    return this._state
  }

  /** Number of the process that runs here, from 1. */
  get processNumber (): number {
    return this._processNumber
  }

  /** Time of the end of the last disturbance, in milliseconds from the start; infinite during one. */
  get undisturbedSinceMs (): number {
    return this._disturbances > 0 ? Infinity : this._undisturbedSinceMs
  }

  /** Time at which a disturbance last began or ended, in milliseconds from the start. */
  get changedMs (): number {
    return this._changedMs
  }

  addService (definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
    for (const [name, method] of Object.entries(definition)) {
      this._methods.set(method.path, { definition: method, handle: implementation[name] as never })
    }
  }

  /**
   * @param path - path of a gRPC method
   * @returns the method, or undefined if no process serves it here
   */
  getMethod (path: string): IModelMethod | undefined {
    return this._methods.get(path)
  }

  /**
   * Runs work of the process now, or once it is thawed; never if the VM is gone.
   * @param work - a timer or the receipt of a message
   */
  run (work: () => void): void {
    if (this._state === 'running') work()
    else if (this._state === 'frozen') this._heldBack.push(work)
  }

  /**
   * Marks this VM as disturbed.
   * @returns ends the mark
   */
  disturb (): IDisposable {
    this._disturbances++
    this._changedMs = this._time.readMonotonicMs()
    return toDisposable(() => {
      this._disturbances--
      this._changedMs = this._time.readMonotonicMs()
      this._undisturbedSinceMs = this._changedMs
    })
  }

  /** Stops the process without closing its connections. */
  freeze (): void {
    this._state = 'frozen'
  }

  /** Continues a frozen process; all that was held back runs in order. */
  thaw (): void {
    this._state = 'running'
    const works = this._heldBack
    this._heldBack = []
    for (const work of works) this._time.schedule(0, () => this.run(work))
  }

  /** Takes the VM away without notice to others. */
  lose (): void {
    this._state = 'lost'
    this._heldBack = []
  }

  /** Starts another process, which serves nothing yet. */
  restart (): void {
    this._state = 'running'
    this._heldBack = []
    this._methods.clear()
    this._processNumber++
    this._processorFreeMs = this._time.readMonotonicMs()
  }

  /**
   * Changes the speed of the processor.
   * @param speed - as a share of the usual one, greater than 0
   */
  setSpeed (speed: number): void {
    this._speed = speed
  }

  /**
   * Sends bytes over the link, behind those that wait.
   * @param bytes - size of the message
   * @returns time at which the last byte has left, in milliseconds from the start
   */
  sendBytes (bytes: number): number {
    const nowMs = this._time.readMonotonicMs()
    const startMs = Math.max(nowMs, this._sendFreeMs)
    this.maxLinkWaitMs = Math.max(this.maxLinkWaitMs, startMs - nowMs)
    this._sendFreeMs = startMs + bytes / this._size.bytesPerMs
    this.sentBytes += bytes
    return this._sendFreeMs
  }

  /**
   * Receives bytes over the link and handles the message.
   * @param bytes - size of the message
   * @param handle - called when the message has been received and the processor is free
   */
  receiveBytes (bytes: number, handle: () => void): void {
    const nowMs = this._time.readMonotonicMs()
    this._receiveFreeMs = Math.max(nowMs, this._receiveFreeMs) + bytes / this._size.bytesPerMs
    this.receivedBytes += bytes
    const workMs = HANDLING_MS + bytes * HANDLING_MS_PER_BYTE
    this.processorMs += workMs
    this._processorFreeMs = Math.max(this._receiveFreeMs, this._processorFreeMs) + workMs / (this._size.cpuShare * this._speed)
    this._time.schedule(this._processorFreeMs - nowMs, () => this.run(handle))
  }
}
