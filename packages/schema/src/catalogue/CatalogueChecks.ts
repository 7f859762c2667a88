/**
 * Checks of single entries and of a catalogue as a whole.
 */
import { DeclarationError, Err, Ok, parseDurationMs, type Result } from '@lagoonswitch/common'
import { MAX_PROBLEMS, listProblems } from '../BoundedList.js'
import { ALL_METHODS, ENTRY_SCHEMA, type IEntry, type IRoute } from './EntrySchema.js'
import { parseHost } from './HostName.js'

const MIN_MOVE_MS = 1_000

/**
 * Checks the shape and the limits of one entry.
 * @param value - parsed declaration
 * @returns the entry with its defaults filled in, or one error per problem
 */
export function parseEntry (value: unknown): Result<IEntry, DeclarationError[]> {
  const parsed = ENTRY_SCHEMA.safeParse(value)
  const name = typeof value === 'object' && value !== null && 'entry' in value ? String(value.entry) : '(unnamed)'
  if (!parsed.success) {
    return Err(listProblems(parsed.error, name).map(({ path, message }) => new DeclarationError(path, message, 'correct the declaration')))
  }
  const errors = checkEntry(parsed.data)
  return errors.length > 0 ? Err(errors) : Ok(parsed.data)
}

function checkEntry (entry: IEntry): DeclarationError[] {
  const errors: DeclarationError[] = []
  const { limits, routes, move } = entry
  if (limits.slots > limits.connections) {
    errors.push(new DeclarationError(`${entry.entry}.limits.slots`,
      `${limits.slots} slots can't be used with ${limits.connections} connections`, 'lower slots or raise connections'))
  }
  const names = new Set<string>()
  const patterns = new Set<string>()
  for (const route of routes) {
    if (errors.length >= MAX_PROBLEMS) break
    if (names.has(route.name)) {
      errors.push(new DeclarationError(`${entry.entry}.routes.${route.name}`, 'the name appears twice', 'rename one'))
    }
    names.add(route.name)
    for (const method of route.methods ?? ALL_METHODS) {
      const pattern = `${method} ${route.path}`
      if (patterns.has(pattern)) {
        errors.push(new DeclarationError(`${entry.entry}.routes.${route.name}`,
          `${pattern} appears twice`, 'remove it from one route'))
      }
      patterns.add(pattern)
    }
    if (route.parts !== undefined && !route.parts.some(part => part.weight > 0)) {
      errors.push(new DeclarationError(`${entry.entry}.routes.${route.name}.parts`, 'the weights add up to 0', 'raise one'))
    }
    const deadlineMs = parseDurationMs(route.deadline ?? limits.deadline) ?? 0
    if (deadlineMs > (parseDurationMs(limits.deadline) ?? 0)) {
      errors.push(new DeclarationError(`${entry.entry}.routes.${route.name}.deadline`,
        'it is longer than the deadline of the entry', 'shorten it or raise limits.deadline'))
    }
  }
  if (move !== undefined && move.to === entry.version) {
    errors.push(new DeclarationError(`${entry.entry}.move.to`, 'it equals the version in use', 'name another version'))
  }
  return errors
}

/**
 * Lists the services among which the calls of a route are split.
 * @param entry - entry of the route
 * @param route - the route
 * @returns services with their weights; a single one of weight 1 for a route that is not split
 */
export function listWeightedServices (entry: IEntry, route: IRoute): ReadonlyArray<{ service: string, weight: number }> {
  return route.parts ?? [{ service: route.service ?? entry.entry, weight: 1 }]
}

/**
 * Checks the entries of a catalogue against each other.
 * @param entries - all entries by name
 * @returns an error per reference to a missing entry and per conflict between routes
 */
export function checkCatalogue (entries: ReadonlyMap<string, IEntry>): DeclarationError[] {
  const errors: DeclarationError[] = []
  /** Methods are compared only between routes with the same host and path. */
  const routesByHostAndPath = new Map<string, IEntryRoute[]>()
  for (const entry of entries.values()) {
    for (const route of entry.routes) {
      if (errors.length >= MAX_PROBLEMS) return errors
      for (const { service } of listWeightedServices(entry, route)) {
        if (entries.has(service)) continue
        errors.push(new DeclarationError(`${formatDeclarationPath(entry, route)}.service`, `no entry is named ${service}`,
          `add the entry ${service} or correct the reference`))
      }
      const hostAndPath = `${parseHost(entry.host ?? '*')} ${route.path}`
      const others = routesByHostAndPath.get(hostAndPath)
      if (others === undefined) {
        routesByHostAndPath.set(hostAndPath, [{ entry, route }])
        continue
      }
      errors.push(...checkRouteConflicts(entry, route, others))
      others.push({ entry, route })
    }
  }
  return errors
}

interface IEntryRoute {
  readonly entry: IEntry
  readonly route: IRoute
}

function checkRouteConflicts (entry: IEntry, route: IRoute, others: readonly IEntryRoute[]): DeclarationError[] {
  return (route.methods ?? ALL_METHODS).flatMap(method => {
    const other = others.findLast(candidateRoute => (candidateRoute.route.methods ?? ALL_METHODS).includes(method))
    if (other === undefined || other.entry.entry === entry.entry) return []
    const pattern = `${entry.host ?? '*'} ${method} ${route.path}`
    return [new DeclarationError(formatDeclarationPath(entry, route), `${pattern} belongs to the entry ${other.entry.entry}`,
      'choose another host or path')]
  })
}

function formatDeclarationPath (entry: IEntry, route: IRoute): string {
  return `${entry.entry}.routes.${route.name}`
}

/**
 * Checks that a new or changed move still has time to run.
 * @param entry - the entry
 * @param previous - the entry before the change
 * @param nowMs - wall-clock time in milliseconds
 * @returns the error, or undefined
 */
export function checkMoveTime (entry: IEntry, previous: IEntry | undefined, nowMs: number): DeclarationError | undefined {
  if (entry.move === undefined) return undefined
  const isSame = previous?.move?.by === entry.move.by && previous.move.to === entry.move.to
  if (isSame || Date.parse(entry.move.by) >= nowMs + MIN_MOVE_MS) return undefined
  return new DeclarationError(`${entry.entry}.move.by`, `${entry.move.by} is in the past`, 'set a later time')
}

/**
 * Formats an entry as canonical JSON, so that equal entries yield equal texts.
 * @param entry - the entry
 * @returns JSON with sorted keys
 */
export function formatEntry (entry: IEntry): string {
  return JSON.stringify(sortKeys(entry))
}

/**
 * Sorts the keys of a JSON value recursively, so that equal values yield equal texts.
 * @param value - JSON value
 * @returns a copy without undefined values
 */
export function sortKeys (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys)
  if (typeof value !== 'object' || value === null) return value
  const pairs = Object.entries(value).filter(([, item]) => item !== undefined)
  pairs.sort(([a], [b]) => a < b ? -1 : 1)
  return Object.fromEntries(pairs.map(([key, item]) => [key, sortKeys(item)]))
}
