/**
 * Which services the runs of a route call, and whether they refuse most calls, so that no run is begun that would be wasted.
 */
import type { IClock, IRandom } from '@lagoonswitch/common'

/** Window over which refused nested calls are counted, and the parts that it consists of. */
const WINDOW_MS = 1_000
const WINDOW_PARTS = 10
const PART_MS = WINDOW_MS / WINDOW_PARTS
/** Nested calls in the window from which their refusals are judged. */
const MIN_CALLS = 10
const MAX_REFUSED_SHARE = 0.5
/** Share of runs that are begun nevertheless, so that it is noticed when the service takes calls again. */
const PROBE_SHARE = 0.1
/** Share of the recent runs of a route that call a service from which the route needs it. */
const MIN_NEED_SHARE = 0.5
/** Weight of the newest run in that share. */
const RUN_WEIGHT = 0.1
/** Shortest and longest time after which a refused caller returns; refusals of the window have mostly passed by then. */
const MIN_RETRY_AFTER_MS = 400
const MAX_RETRY_AFTER_MS = 800
/** Routes that are remembered; beyond that all are learned anew. */
const MAX_ROUTES = 1_024

/** A call that is not begun. */
export interface INeedRefusal {
  /** The service that refuses calls. */
  readonly service: string
  readonly retryAfterMs: number
}

/** A service began or ceased to refuse most nested calls. */
export interface INeedChange {
  readonly service: string
  readonly isRefusing: boolean
  /** Nested calls in the window, and those of them that were refused. */
  readonly calls: number
  readonly refused: number
}

interface IPart {
  number: number
  calls: number
  refused: number
}

interface IServiceWindow {
  readonly parts: IPart[]
  isRefusing: boolean
}

/** Learns from the runs of one process. */
export class NeededServices {
  private readonly _windows = new Map<string, IServiceWindow>()
  /** Share of recent runs that called a service, by route and service. */
  private readonly _needs = new Map<string, Map<string, number>>()

  /**
   * @param _clock - source of time
   * @param _random - draws probes and times to return
   * @param _onChanged - called when a service begins or ceases to refuse most calls
   */
  constructor (
    private readonly _clock: IClock, private readonly _random: IRandom, private readonly _onChanged: (change: INeedChange) => void
  ) {}

  /**
   * Records the end of a nested call.
   * @param service - that was called
   * @param isRefused - true if it was refused and has not run
   */
  recordNestedCall (service: string, isRefused: boolean): void {
    const number = Math.floor(this._clock.readMonotonicMs() / PART_MS)
    const { parts } = this._getWindow(service)
    const index = number % WINDOW_PARTS
    let part = parts[index]
    if (part === undefined || part.number !== number) {
      part = { number, calls: 0, refused: 0 }
      parts[index] = part
    }
    part.calls++
    if (isRefused) part.refused++
  }

  /**
   * Records the end of a run.
   * @param route - key of the route
   * @param services - that the run called
   */
  recordRun (route: string, services: ReadonlySet<string>): void {
    let needs = this._needs.get(route)
    if (needs === undefined) {
      if (this._needs.size >= MAX_ROUTES) this._needs.clear()
      needs = new Map([...services].map(service => [service, 1]))
      this._needs.set(route, needs)
      return
    }
    for (const service of new Set([...needs.keys(), ...services])) {
      const share = needs.get(service) ?? 0
      needs.set(service, share + ((services.has(service) ? 1 : 0) - share) * RUN_WEIGHT)
    }
  }

  /**
   * Decides whether a call may begin.
   * @param route - key of its route
   * @returns why not, or undefined if it may; a share of the calls may begin in any case
   */
  findRefusal (route: string): INeedRefusal | undefined {
    for (const [service, share] of this._needs.get(route) ?? []) {
      if (share < MIN_NEED_SHARE || !this._isRefusing(service)) continue
      if (this._random.draw() < PROBE_SHARE) return undefined
      const retryAfterMs = MIN_RETRY_AFTER_MS + this._random.draw() * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS)
      return { service, retryAfterMs: Math.round(retryAfterMs) }
    }
    return undefined
  }

  /** A service that refuses calls gets only those of probes, so afterwards fewer calls than before suffice to judge it. */
  private _isRefusing (service: string): boolean {
    const window = this._getWindow(service)
    const first = Math.floor(this._clock.readMonotonicMs() / PART_MS) - WINDOW_PARTS + 1
    let calls = 0
    let refused = 0
    for (const part of window.parts) {
      if (part === undefined || part.number < first) continue
      calls += part.calls
      refused += part.refused
    }
    const isRefusing = calls >= (window.isRefusing ? 1 : MIN_CALLS) && refused > MAX_REFUSED_SHARE * calls
    if (isRefusing !== window.isRefusing) {
      window.isRefusing = isRefusing
      this._onChanged({ service, isRefusing, calls, refused })
    }
    return isRefusing
  }

  private _getWindow (service: string): IServiceWindow {
    let window = this._windows.get(service)
    if (window === undefined) {
      window = { parts: [], isRefusing: false }
      this._windows.set(service, window)
    }
    return window
  }
}
