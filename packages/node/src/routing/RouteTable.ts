/**
 * Finds the route of a call in one version of the catalogue.
 */
import { MAX_TIMER_MS, parseDurationMs } from '@lagoonswitch/common'
import type { ICatalogueView } from '@lagoonswitch/feed'
import {
  CALL_CLASSES, CallClass, MoveStatus, listWeightedServices, parseHost, type IEntry, type IRoute, type MoveRecord
} from '@lagoonswitch/schema'

/** Share of a version that takes all calls, in parts per million. */
export const FULL_SHARE_PPM = 1_000_000
const DEFAULT_DEADLINE_MS = 10_000
const ANY_HOST = '*'
const ROOT_SEGMENT = '/'
/** Number of targets that one call may be sent to unless its route states another. */
const DEFAULT_MAX_ATTEMPTS = 3
const CLASS_NUMBERS: Readonly<Record<typeof CALL_CLASSES[number], CallClass>> = {
  first: CallClass.CALL_CLASS_FIRST,
  high: CallClass.CALL_CLASS_HIGH,
  normal: CallClass.CALL_CLASS_NORMAL,
  low: CallClass.CALL_CLASS_LOW
}

/** Versions of a service that take calls, and the share of the newer one. */
export interface IVersionSplit {
  /** Version in use; empty for all versions except the excluded one. */
  readonly from: string
  /** Version that a move leads to; empty unless a move is in progress. */
  readonly to: string
  readonly sharePpm: number
  /** Version that takes no calls even where all others may. */
  readonly excluded: string
}

/** A service that takes a part of the calls of a route. */
export interface IRoutePart {
  readonly service: string
  readonly weight: number
  readonly serviceEntry: IEntry
  /** Last move of the service; it determines the split. */
  readonly move: MoveRecord | undefined
  readonly split: IVersionSplit
}

/** A route with everything that a call needs of it. */
export interface ICompiledRoute {
  readonly entry: IEntry
  readonly route: IRoute
  readonly key: string
  /** Lower case, without a port. */
  readonly host: string
  readonly parts: readonly IRoutePart[]
  readonly totalWeight: number
  readonly deadlineMs: number
  /** Time after which a response loses value; 0 if none is stated. */
  readonly objectiveMs: number
  /** Maximum number of targets that may run one call. */
  readonly maxAttempts: number
  readonly callClass: CallClass
  readonly isKeyed: boolean
  /** True if a call may be sent again although it may have run. */
  readonly isRetryable: boolean
  /** True if responses are declared as large. */
  readonly isBulk: boolean
  /** True if request bodies are declared as large. */
  readonly isBulkBody: boolean
  /** True if calls need no key although the catalogue has client accounts. */
  readonly isAnonymous: boolean
}

/** Compiled routes by their declarations; most stay valid from one version to the next. */
const COMPILED_ROUTES = new WeakMap<IRoute, ICompiledRoute>()

/** Routes of one host by the first segment of their path. */
type HostRoutes = Map<string, ICompiledRoute[]>

/**
 * Computes which versions of a service take calls.
 * @param entry - entry of the service
 * @param move - its last move
 * @returns the versions, and the share of the newer one
 */
export function computeSplit (entry: IEntry, move: MoveRecord | undefined): IVersionSplit {
  const isMoveOfEntry = move !== undefined &&
    (move.ordered || (entry.move?.to === move.to && Date.parse(entry.move.by) === move.byMs))
  if (!isMoveOfEntry) return { from: entry.version ?? '', to: '', sharePpm: 0, excluded: '' }
  switch (move.status) {
    case MoveStatus.MOVE_STATUS_RUNNING:
    case MoveStatus.MOVE_STATUS_WATCHING:
      return { from: move.from, to: move.to, sharePpm: move.sharePpm, excluded: move.to }
    case MoveStatus.MOVE_STATUS_DONE:
      return { from: move.to, to: '', sharePpm: FULL_SHARE_PPM, excluded: move.from }
    default:
      return { from: move.from, to: '', sharePpm: 0, excluded: move.to }
  }
}

/**
 * Finds the number of a class by its name.
 * @param name - as written in the catalogue or a header
 * @returns the class, or undefined for an unknown name
 */
export function findClass (name: string): CallClass | undefined {
  return Object.hasOwn(CLASS_NUMBERS, name) ? CLASS_NUMBERS[name as typeof CALL_CLASSES[number]] : undefined
}

/** The routes of one version; built once per version, and read by every call. */
export class RouteTable {
  /** Routes by host and first segment of the path, longest path first. */
  private readonly _hosts = new Map<string, HostRoutes>()

  /** @param view - a complete version of the catalogue */
  constructor (readonly view: ICatalogueView) {
    for (const entry of view.entries.values()) {
      for (const route of entry.routes) this._addRoute(entry, route)
    }
    for (const segments of this._hosts.values()) {
      for (const routes of segments.values()) {
        if (routes.length > 1) routes.sort((a, b) => b.route.path.length - a.route.path.length)
      }
    }
  }

  /**
   * Finds the route of a call.
   * @param host - Host header
   * @param method - HTTP method
   * @param path - path with or without a query
   * @returns the route with the longest matching path
   */
  findRoute (host: string, method: string, path: string): ICompiledRoute | undefined {
    const end = path.indexOf('?')
    const pathname = end < 0 ? path : path.slice(0, end)
    const segment = getFirstSegment(pathname)
    // Most callers send the host exactly as declared, so that it does not need to be normalized.
    const hostRoutes = this._hosts.get(host) ?? this._hosts.get(parseHost(host))
    const anyHostRoutes = this._hosts.get(ANY_HOST)
    return findMatch(hostRoutes?.get(segment), method, pathname) ?? findMatch(hostRoutes?.get(ROOT_SEGMENT), method, pathname) ??
      findMatch(anyHostRoutes?.get(segment), method, pathname) ?? findMatch(anyHostRoutes?.get(ROOT_SEGMENT), method, pathname)
  }

  private _addRoute (entry: IEntry, route: IRoute): void {
    const known = COMPILED_ROUTES.get(route)
    const compiled = known !== undefined && this._isCurrent(known) ? known : this._compileRoute(entry, route)
    if (compiled.parts.length === 0) return
    let segments = this._hosts.get(compiled.host)
    if (segments === undefined) {
      segments = new Map()
      this._hosts.set(compiled.host, segments)
    }
    const segment = getFirstSegment(route.path)
    const routes = segments.get(segment)
    if (routes === undefined) segments.set(segment, [compiled])
    else routes.push(compiled)
  }

  /** Entries and moves are replaced by new objects when they change, so identity is sufficient. */
  private _isCurrent ({ parts }: ICompiledRoute): boolean {
    const { entries, moves } = this.view
    return parts.length > 0 && parts.every(({ service, serviceEntry, move }) =>
      entries.get(service) === serviceEntry && moves.get(service) === move)
  }

  private _compileRoute (entry: IEntry, route: IRoute): ICompiledRoute {
    const parts = this._compileParts(entry, route)
    const compiled = {
      entry,
      route,
      key: `${entry.entry}/${route.name}`,
      host: parseHost(entry.host ?? ANY_HOST),
      parts,
      totalWeight: parts.reduce((sum, part) => sum + part.weight, 0),
      objectiveMs: Math.min(MAX_TIMER_MS, parseDurationMs(route.objective ?? '') ?? 0),
      maxAttempts: route.attempts ?? DEFAULT_MAX_ATTEMPTS,
      deadlineMs: Math.min(MAX_TIMER_MS, parseDurationMs(route.deadline ?? entry.limits.deadline) ?? DEFAULT_DEADLINE_MS),
      callClass: CLASS_NUMBERS[route.class ?? entry.class],
      isKeyed: route.idempotency === 'keyed',
      isRetryable: route.idempotency === 'safe' || route.idempotency === 'idempotent',
      isBulk: route.bulk === true,
      isBulkBody: route.bulk_body === true,
      isAnonymous: route.anonymous === true
    }
    // Not cached if a part is missing because its service is not in the catalogue yet.
    if (parts.length === listWeightedServices(entry, route).filter(({ weight }) => weight > 0).length) COMPILED_ROUTES.set(route, compiled)
    return compiled
  }

  private _compileParts (entry: IEntry, route: IRoute): IRoutePart[] {
    const parts: IRoutePart[] = []
    for (const { service, weight } of listWeightedServices(entry, route)) {
      const serviceEntry = this.view.entries.get(service)
      if (serviceEntry === undefined || weight <= 0) continue
      const move = this.view.moves.get(service)
      parts.push({ service, weight, serviceEntry, move, split: computeSplit(serviceEntry, move) })
    }
    return parts
  }
}

function findMatch (routes: readonly ICompiledRoute[] | undefined, method: string, path: string): ICompiledRoute | undefined {
  if (routes === undefined) return undefined
  for (const compiled of routes) {
    if (matchesPath(compiled.route.path, path) && matchesMethod(compiled.route, method)) return compiled
  }
  return undefined
}

function matchesMethod (route: IRoute, method: string): boolean {
  return route.methods === undefined || route.methods.includes(method as 'GET')
}

function getFirstSegment (path: string): string {
  const end = path.indexOf('/', 1)
  return end < 0 ? path : path.slice(0, end)
}

function matchesPath (prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false
  return path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/'
}
