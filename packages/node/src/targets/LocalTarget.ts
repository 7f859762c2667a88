/**
 * A target on this VM, as it announced itself, with its slots and its connections.
 */
import { Pool } from 'undici'
import type { IClock, IDisposable } from '@lagoonswitch/common'
import { SlotGate } from './SlotGate.js'

const CONNECT_TIMEOUT_MS = 1_000

/** What a target says of itself. */
export interface ITargetAnnouncement {
  readonly id: string
  readonly service: string
  readonly version: string
  /** HOST:PORT of its HTTP listener. */
  readonly address: string
  readonly slots: number
  readonly connections: number
  /** Differs between two runs of a target under one id. */
  readonly instance: string
}

/** Owns the connections to one target. */
export class LocalTarget implements IDisposable {
  readonly gate: SlotGate
  private _pool: Pool
  private _connections: number
  isDraining = false

  /**
   * @param announcement - from the target
   * @param clock - source of time
   */
  constructor (readonly announcement: ITargetAnnouncement, clock: IClock) {
    this.gate = new SlotGate(clock, announcement.slots)
    this._connections = announcement.connections
    this._pool = this._createPool()
  }

  get pool (): Pool {
    return this._pool
  }

  /**
   * Holds the limits of the entry where they are lower than what the target announced.
   * @param slots - of the entry
   * @param connections - of the entry
   */
  applyLimits (slots: number, connections: number): void {
    this.gate.slots = Math.min(this.announcement.slots, slots)
    const lowest = Math.min(this.announcement.connections, connections)
    if (lowest === this._connections) return
    this._connections = lowest
    const old = this._pool
    this._pool = this._createPool()
    void old.close().catch(() => undefined)
  }

  dispose (): void {
    this.gate.refuseAll('no-target')
    void this._pool.close().catch(() => undefined)
  }

  private _createPool (): Pool {
    return new Pool(`http://${this.announcement.address}`, {
      connections: this._connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }
}
