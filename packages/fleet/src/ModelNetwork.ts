/**
 * The network of the model: gRPC calls between VMs with delays, limited links and cuts.
 */
import { Duplex } from 'node:stream'
import { status, type Client, type ServiceDefinition } from '@grpc/grpc-js'
import { toDisposable, type IDisposable } from '@lagoonswitch/common'
import type { ClientConstructor, IPeerChannels } from '@lagoonswitch/transport'
import type { ModelMachine } from './ModelMachine.js'
import type { VirtualTime } from './VirtualTime.js'

/** Bytes of the headers of one message in HTTP/2, TCP and IP. */
const MESSAGE_OVERHEAD_BYTES = 70
/** Size of a message that opens or closes a connection or stream. */
const CONTROL_BYTES = 80
/** Deadlines are whole multiples of this; their remainder is the time that the sender took, which the model does not count. */
const DEADLINE_STEP_MS = 50

/** One-way delays in milliseconds. */
export interface INetworkDelays {
  readonly inZoneMs: number
  readonly crossZoneMs: number
}

type Callback = (error: Error | null, reply?: unknown) => void
type MethodDefinition = ServiceDefinition[string]

/** An error of a call, as gRPC reports it. */
export class ModelCallError extends Error {
  /**
   * @param code - status of gRPC
   * @param message - what happened
   */
  constructor (readonly code: number, message: string) {
    super(message)
  }
}

/** One end of a stream. */
class StreamEnd extends Duplex {
  private _isClosed = false

  /**
   * @param _sendFrame - sends a message to the other end
   * @param _sendEnd - tells the other end that this one has ended, or was cancelled
   */
  constructor (private readonly _sendFrame: (frame: unknown) => void, private readonly _sendEnd: (isCancelled: boolean) => void) {
    super({ objectMode: true, emitClose: true, allowHalfOpen: true })
  }

  override _read (): void {}

  override _write (frame: unknown, _encoding: string, onWritten: () => void): void {
    this._sendFrame(frame)
    onWritten()
  }

  override _final (onFinished: () => void): void {
    this._sendEnd(false)
    onFinished()
  }

  /** Ends the stream at once, at both ends. */
  cancel (): void {
    if (this._isClosed) return
    this._sendEnd(true)
    this.close('the call was cancelled')
  }

  /**
   * Ends the stream at this end only.
   * @param reason - message of the error that its reader gets
   */
  close (reason: string): void {
    if (this._isClosed) return
    this._isClosed = true
    this.destroy(new ModelCallError(status.CANCELLED, reason))
  }
}

/** Connects VMs. */
export class ModelNetwork {
  private readonly _machines = new Map<string, ModelMachine>()
  private readonly _clients = new Set<ModelClient>()
  private readonly _cuts = new Set<string>()
  private _undelivered: Array<() => void> = []
  /** Bytes sent between zones. */
  crossZoneBytes = 0

  /**
   * @param time - source of time
   * @param _delays - between VMs
   */
  constructor (readonly time: VirtualTime, private readonly _delays: INetworkDelays) {}

  /** @param machine - VM that others may reach */
  addMachine (machine: ModelMachine): void {
    this._machines.set(machine.address, machine)
  }

  /**
   * Cuts a direction; what is sent meanwhile arrives once it is healed.
   * @param from - sender
   * @param to - receiver
   */
  cut (from: ModelMachine, to: ModelMachine): void {
    this._cuts.add(`${from.address}>${to.address}`)
  }

  /**
   * Ends the cut of a direction.
   * @param from - sender
   * @param to - receiver
   */
  join (from: ModelMachine, to: ModelMachine): void {
    this._cuts.delete(`${from.address}>${to.address}`)
    this._sendUndelivered()
  }

  /** Ends all cuts. */
  heal (): void {
    this._cuts.clear()
    this._sendUndelivered()
  }

  private _sendUndelivered (): void {
    const undelivered = this._undelivered
    this._undelivered = []
    for (const deliver of undelivered) deliver()
  }

  /**
   * Resets all connections of a VM; the other ends notice after the delay.
   * @param machine - VM whose process has ended, or whose connections are lost
   */
  reset (machine: ModelMachine): void {
    for (const client of this._clients) client.reset(machine)
  }

  /**
   * @param client - connection that is subject to resets
   * @returns removes it
   */
  addClient (client: ModelClient): IDisposable {
    this._clients.add(client)
    return toDisposable(() => this._clients.delete(client))
  }

  /**
   * @param from - sender
   * @param to - receiver
   * @returns one-way delay in milliseconds
   */
  getDelayMs (from: ModelMachine, to: ModelMachine): number {
    return from.availabilityZone === to.availabilityZone ? this._delays.inZoneMs : this._delays.crossZoneMs
  }

  /**
   * Creates the channels of a process.
   * @param machine - VM that it runs on
   * @returns clients of other processes
   */
  createChannels (machine: ModelMachine): IPeerChannels {
    return new ModelChannels(this, machine)
  }

  /**
   * @param address - HOST:PORT
   * @returns the VM at the address
   */
  findMachine (address: string): ModelMachine | undefined {
    return this._machines.get(address)
  }

  /**
   * Sends a message; it is lost if a VM is.
   * @param from - sender
   * @param to - receiver
   * @param bytes - size
   * @param handle - called at the receiver
   */
  send (from: ModelMachine, to: ModelMachine, bytes: number, handle: () => void): void {
    if (from.state === 'lost') return
    const size = bytes + MESSAGE_OVERHEAD_BYTES
    if (from.availabilityZone !== to.availabilityZone) this.crossZoneBytes += size
    const deliver = (): void => {
      if (this._cuts.has(`${from.address}>${to.address}`)) this._undelivered.push(deliver)
      else to.receiveBytes(size, handle)
    }
    this.time.schedule(from.sendBytes(size) - this.time.readMonotonicMs() + this.getDelayMs(from, to), deliver)
  }
}

/** Clients of one process. */
class ModelChannels implements IPeerChannels {
  private readonly _clients = new Map<string, ModelClient>()

  constructor (private readonly _network: ModelNetwork, private readonly _machine: ModelMachine) {}

  getClient<C extends Client>(constructor: ClientConstructor<C>, address: string): C {
    const { service, serviceName } = constructor as unknown as { service: ServiceDefinition, serviceName: string }
    const key = `${serviceName}@${address}`
    let client = this._clients.get(key)
    if (client === undefined) {
      client = new ModelClient(this._network, this._machine, address)
      for (const [name, method] of Object.entries(service)) {
        const call = method.responseStream
          ? () => client?.openStream(method)
          : (...args: [unknown, unknown, { deadline: number }, Callback]) => client?.callUnary(method, ...args)
        Object.assign(client, { [name]: call })
      }
      this._clients.set(key, client)
    }
    return client as unknown as C
  }

  closeClient<C extends Client>(constructor: ClientConstructor<C>, address: string): void {
    const { serviceName } = constructor as unknown as { serviceName: string }
    const key = `${serviceName}@${address}`
    this._clients.get(key)?.close()
    this._clients.delete(key)
  }
}

/** A connection to one service of another process. */
class ModelClient {
  private readonly _streams = new Set<StreamEnd>()
  /** The other ends of the streams. */
  private readonly _remoteEnds = new Set<StreamEnd>()
  private readonly _failCalls = new Set<(error: Error) => void>()
  private readonly _registration: IDisposable
  private _isConnected = false
  private _waiting: Array<() => void> | undefined

  constructor (
    private readonly _network: ModelNetwork, private readonly _machine: ModelMachine, private readonly _address: string
  ) {
    this._registration = _network.addClient(this)
  }

  /** Ends everything that is open if one of the two VMs is the given one. */
  reset (machine: ModelMachine): void {
    const target = this._network.findMachine(this._address)
    if (target === undefined || (machine !== this._machine && machine !== target)) return
    this._isConnected = false
    this._waiting = undefined
    const error = new ModelCallError(status.UNAVAILABLE, 'connection reset')
    const [streams, remoteEnds, failCalls] = [[...this._streams], [...this._remoteEnds], [...this._failCalls]]
    this._network.time.schedule(this._network.getDelayMs(this._machine, target), () => {
      this._machine.run(() => {
        for (const stream of streams) stream.close(error.message)
        for (const fail of failCalls) fail(error)
      })
      target.run(() => { for (const end of remoteEnds) end.close(error.message) })
    })
  }

  close (): void {
    this._registration.dispose()
    for (const stream of this._streams) stream.cancel()
    for (const fail of this._failCalls) fail(new ModelCallError(status.CANCELLED, 'the channel was closed'))
  }

  callUnary (
    method: MethodDefinition, request: unknown, _metadata: unknown, { deadline }: { deadline: number }, callback: Callback
  ): void {
    const timeoutMs = Math.round((deadline - Date.now()) / DEADLINE_STEP_MS) * DEADLINE_STEP_MS
    const settle = (error: Error | null, reply?: unknown): void => {
      if (!this._failCalls.delete(fail)) return
      timer.dispose()
      callback(error, reply)
    }
    const fail = (error: Error): void => settle(error)
    this._failCalls.add(fail)
    const timer = this._machine.clock.schedule(timeoutMs, () => fail(new ModelCallError(status.DEADLINE_EXCEEDED, 'deadline exceeded')))
    const bytes = method.requestSerialize(request)
    this._connect(fail, target => {
      this._send(target, bytes.length, () => {
        const served = target.getMethod(method.path)
        const handle = served?.handle as undefined | ((call: { request: unknown }, onReply: Callback) => void)
        handle?.({ request: method.requestDeserialize(bytes) }, (error, reply) => {
          const replyBytes = error === null ? method.responseSerialize(reply) : Buffer.alloc(CONTROL_BYTES)
          this._network.send(target, this._machine, replyBytes.length, () => {
            if (error === null) settle(null, method.responseDeserialize(replyBytes))
            else settle(new ModelCallError(status.UNAVAILABLE, 'the call failed'))
          })
        })
      })
    })
  }

  openStream (method: MethodDefinition): StreamEnd {
    let remote: StreamEnd | undefined
    let target: ModelMachine | undefined
    const queue: Array<() => void> = []
    const sendUp = (bytes: number, handle: (end: StreamEnd) => void): void => {
      const send = (): void => {
        if (target !== undefined) this._send(target, bytes, () => { if (remote?.destroyed === false) handle(remote) })
      }
      if (target === undefined) queue.push(send)
      else send()
    }
    const local = new StreamEnd(
      frame => {
        const bytes = method.requestSerialize(frame)
        sendUp(bytes.length, end => { end.push(method.requestDeserialize(bytes)) })
      },
      isCancelled => sendUp(CONTROL_BYTES, end => { if (isCancelled) end.close('cancelled'); else end.push(null) }))
    this._streams.add(local)
    local.on('close', () => this._streams.delete(local))
    local.on('error', () => undefined)
    this._connect(error => local.close(error.message), connected => {
      this._send(connected, CONTROL_BYTES, () => {
        const served = connected.getMethod(method.path)
        remote = new StreamEnd(
          frame => {
            const bytes = method.responseSerialize(frame)
            this._network.send(connected, this._machine, bytes.length, () => {
              if (!local.destroyed) local.push(method.responseDeserialize(bytes))
            })
          },
          isCancelled => this._network.send(connected, this._machine, CONTROL_BYTES, () => {
            if (isCancelled) local.close('cancelled by the server')
            else if (!local.destroyed) local.push(null)
          }))
        const end = remote
        this._remoteEnds.add(end)
        end.on('error', () => undefined)
        end.on('close', () => this._remoteEnds.delete(end))
        const handle = served?.handle as undefined | ((stream: StreamEnd) => void)
        handle?.(remote)
      })
      target = connected
      for (const send of queue) send()
    })
    return local
  }

  private _send (target: ModelMachine, bytes: number, handle: () => void): void {
    this._network.send(this._machine, target, bytes, handle)
  }

  /** Opens the connection on first use; calls wait until it is open. */
  private _connect (fail: (error: Error) => void, proceed: (target: ModelMachine) => void): void {
    const target = this._network.findMachine(this._address)
    if (target === undefined) {
      this._machine.clock.schedule(1, () => fail(new ModelCallError(status.UNAVAILABLE, 'connection refused')))
      return
    }
    if (this._isConnected) {
      proceed(target)
      return
    }
    if (this._waiting !== undefined) {
      this._waiting.push(() => proceed(target))
      return
    }
    this._waiting = [() => proceed(target)]
    this._send(target, CONTROL_BYTES, () => {
      this._network.send(target, this._machine, CONTROL_BYTES, () => {
        this._isConnected = true
        for (const work of this._waiting ?? []) work()
        this._waiting = undefined
      })
    })
  }
}
