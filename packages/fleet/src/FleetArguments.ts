/**
 * Arguments of the command line.
 */
import { Err, Ok, SettingsError, type Result } from '@lagoonswitch/common'
import { FAULT_KINDS, type FaultKind } from './FaultKinds.js'
import type { ISiteSettings } from './FleetSite.js'

const SOURCE = 'command line'
const MAX_JOBS = 64
const MAX_NODES = 2_000
const MAX_FAULTS = 20

/** Options as the command line states them. */
export interface IFleetOptions {
  readonly nodes?: string | number
  readonly seeds: string | number
  readonly faults?: string
  readonly count?: string | number
  readonly jobs: string | number
}

/** What to play. */
export interface IFleetArguments {
  /** Numbers of nodes, each played with all seeds; empty for the one of the site. */
  readonly nodes: readonly number[]
  readonly seeds: readonly number[]
  /** Kinds of faults; undefined for those of the site. */
  readonly faults: readonly FaultKind[] | undefined
  /** Number of faults of a run; undefined for the one of the site. */
  readonly count: number | undefined
  readonly jobs: number
}

/**
 * Checks the options of the command line.
 * @param options - as stated
 * @returns what to play, or the first problem
 */
export function parseArguments ({ nodes, seeds, faults, count, jobs }: IFleetOptions): Result<IFleetArguments, SettingsError> {
  const nodeCounts = nodes === undefined ? [] : String(nodes).split(',').map(text => parseWhole(text, 1, MAX_NODES))
  if (nodeCounts.includes(undefined)) return refuse('--nodes', nodes, `use whole numbers from 1 to ${MAX_NODES}, such as 200 or 30,74,200`)
  const range = parseRange(String(seeds))
  if (range === undefined) return refuse('--seeds', seeds, 'use a whole number or a range, such as 7 or 1-20')
  const kinds = faults?.split(',').map(text => FAULT_KINDS.find(kind => kind === text))
  if (kinds?.includes(undefined) === true) return refuse('--faults', faults, `use some of ${FAULT_KINDS.join(',')}`)
  const faultCount = count === undefined ? undefined : parseWhole(String(count), 0, MAX_FAULTS)
  if (count !== undefined && faultCount === undefined) return refuse('--count', count, `use a whole number from 0 to ${MAX_FAULTS}`)
  const jobCount = parseWhole(String(jobs), 1, MAX_JOBS)
  if (jobCount === undefined) return refuse('--jobs', jobs, `use a whole number from 1 to ${MAX_JOBS}`)
  return Ok({ nodes: nodeCounts.filter(isDefined), seeds: range, faults: kinds?.filter(isDefined), count: faultCount, jobs: jobCount })
}

/**
 * Applies the arguments to the settings of a site.
 * @param settings - of the site
 * @param args - of the command line
 * @returns settings for each number of nodes
 */
export function applyArguments (settings: ISiteSettings, { nodes, faults, count }: IFleetArguments): ISiteSettings[] {
  const sizes = nodes.length > 0 ? nodes : [settings.fleet.nodes]
  return sizes.map(size => ({
    ...settings,
    fleet: { ...settings.fleet, nodes: size },
    faults: { ...settings.faults, kinds: [...faults ?? settings.faults.kinds], count: count ?? settings.faults.count }
  }))
}

function parseRange (text: string): number[] | undefined {
  const parts = text.split('-')
  const first = parseWhole(parts[0] ?? '', 1)
  const last = parts.length === 1 ? first : parseWhole(parts[1] ?? '', 1)
  if (parts.length > 2 || first === undefined || last === undefined || last < first) return undefined
  return Array.from({ length: last - first + 1 }, (_, index) => first + index)
}

function parseWhole (text: string, min: number, max = Number.MAX_SAFE_INTEGER): number | undefined {
  const value = Number(text)
  return /^\d+$/.test(text) && value >= min && value <= max ? value : undefined
}

function refuse (option: string, value: unknown, remedy: string): Result<never, SettingsError> {
  return Err(new SettingsError(SOURCE, 0, option, `'${String(value)}' is not valid`, remedy))
}

function isDefined<T> (value: T | undefined): value is T {
  return value !== undefined
}
