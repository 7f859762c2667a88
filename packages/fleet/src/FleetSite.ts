/**
 * Settings of a fleet: VMs, zones, links, load and faults, read from an INI file.
 */
import { readFile } from 'node:fs/promises'
import { Err, Ok, SettingsError, formatError, type Result } from '@lagoonswitch/common'
import { readSections, type ISectionSchema, type SectionValues } from '@lagoonswitch/schema'
import { FAULT_KINDS } from './FaultKinds.js'
import type { IMachineSize } from './ModelMachine.js'
import type { INetworkDelays } from './ModelNetwork.js'

const MAX_ZONES = 26
const FIRST_ZONE = 'a'.charCodeAt(0)

/** Sections and keys of a site file. */
export const SITE_SCHEMA = {
  fleet: {
    description: 'Number of VMs and size of the catalogue.',
    keys: {
      nodes: { type: 'integer', min: 1, max: 2_000, default: '195', description: 'Nodes in all zones together.' },
      zones: { type: 'integer', min: 1, max: MAX_ZONES, default: '6', description: 'Availability zones.' },
      control_vms: { type: 'integer', min: 1, max: MAX_ZONES, default: '5', description: 'Control VMs, at most one in each zone.' },
      tolerated_losses: { type: 'integer', min: 0, max: 5, default: '2', description: 'Control VMs that may be lost at once.' },
      routes: { type: 'integer', min: 1, max: 5_000, default: '1200', description: 'Routes of the first publication.' }
    }
  },
  node: {
    description: 'Size of a node.',
    keys: {
      link: { type: 'quantity', min: 1, default: '175', description: 'Rate that is free for control traffic in each direction, in kB/s.' },
      processor: { type: 'quantity', min: 0.01, default: '0.27', description: 'Share of a core.' }
    }
  },
  control: {
    description: 'Size of a control VM.',
    keys: {
      link: { type: 'quantity', min: 1, default: '21250', description: 'Rate that is free for control traffic in each direction, in kB/s.' },
      processor: { type: 'quantity', min: 0.01, default: '0.81', description: 'Share of a core.' },
      sync: { type: 'duration', default: '0.5ms', description: 'Duration of a sync of its disk.' }
    }
  },
  network: {
    description: 'One-way delays.',
    keys: {
      in_zone: { type: 'duration', default: '0.1ms', description: 'Between VMs of one zone.' },
      cross_zone: { type: 'duration', default: '1.4ms', description: 'Between VMs of different zones.' }
    }
  },
  load: {
    description: 'Publications and new nodes.',
    keys: {
      duration: { type: 'duration', default: '8s', description: 'Time with publications after the start of the fleet.' },
      publication_interval: { type: 'duration', default: '100ms', description: 'Pause after each acknowledgement.' },
      lost_acknowledgements: { type: 'ratio', default: '0', description: 'Share of the acknowledgements that don\'t reach the operator.' },
      added_nodes: { type: 'quantity', min: 0, max: 4, default: '0.6', description: 'Nodes that start with the load, as a share of the first ones.' }
    }
  },
  faults: {
    description: 'Faults during the load; the seed chooses them and their times.',
    keys: {
      kinds: { type: 'list', values: FAULT_KINDS, default: FAULT_KINDS.join(', '), description: 'Kinds to choose from.' },
      count: { type: 'integer', min: 0, max: 20, default: '2', description: 'Faults of a run.' },
      min_duration: { type: 'duration', default: '200ms', description: 'Shortest duration of a fault.' },
      max_duration: { type: 'duration', default: '6s', description: 'Longest duration of a fault.' }
    }
  },
  bounds: {
    description: 'What each node must keep.',
    keys: {
      propagation: { type: 'duration', default: '2s', description: 'Time from the acknowledgement of a publication until it is in place.' },
      settle: { type: 'duration', default: '3s', description: 'Time after its own disturbance in which a node need not be in time.' },
      extension: { type: 'duration', default: '5s', description: 'Extension of propagation for the time settle after a disturbance of a control VM began or ended.' },
      ready: { type: 'duration', default: '10s', description: 'Time from the first start until all nodes are ready.' }
    }
  }
} as const satisfies Record<string, ISectionSchema>

/** All settings of a site file. */
export type ISiteSettings = SectionValues<typeof SITE_SCHEMA>

/** A fleet at its first start. */
export interface IFleetSite {
  readonly zones: readonly string[]
  /** Zones that have a control VM. */
  readonly controlZones: readonly string[]
  /** Number of nodes in all zones together. */
  readonly nodes: number
  readonly nodeSize: IMachineSize
  readonly controlSize: IMachineSize
  readonly delays: INetworkDelays
  /** Duration of a sync of a control VM's disk, in milliseconds. */
  readonly syncMs: number
  /** Routes that the first publication declares. */
  readonly routes: number
  readonly toleratedLosses: number
  /** Share of the acknowledgements that don't reach the operator. */
  readonly lostAcknowledgements: number
}

/**
 * Reads a site file.
 * @param file - path of the INI file
 * @returns the settings, or one error for each problem
 */
export async function readSite (file: string): Promise<Result<ISiteSettings, SettingsError[]>> {
  try {
    return parseSite(await readFile(file, 'utf8'), file)
  } catch (error) {
    return Err([new SettingsError(file, 0, 'file', formatError(error), 'name a readable INI file')])
  }
}

/**
 * Parses the text of a site file.
 * @param text - the INI text
 * @param file - file name used in error messages
 * @returns the settings, or one error for each problem
 */
export function parseSite (text: string, file: string): Result<ISiteSettings, SettingsError[]> {
  const { values, errors, lines } = readSections(text, file, SITE_SCHEMA)
  const report = (key: string, problem: string, remedy: string): void => {
    errors.push(new SettingsError(file, lines.get(key) ?? 0, key, problem, remedy))
  }
  if (errors.length > 0) return Err(errors)
  const { fleet, faults } = values
  if (fleet.controlVms > fleet.zones) {
    report('[fleet] control_vms', 'there are more control VMs than zones', 'use at most one for each zone')
  }
  if (faults.minDurationMs > faults.maxDurationMs) {
    report('[faults] min_duration', 'it is longer than max_duration', 'raise max_duration or shorten it')
  }
  if (faults.count > 0 && faults.kinds.length === 0) {
    report('[faults] kinds', 'no kind is left to choose from', `name some of ${FAULT_KINDS.join(', ')}, or set count = 0`)
  }
  return errors.length > 0 ? Err(errors) : Ok(values)
}

/**
 * @param settings - of a site file
 * @returns the fleet that they describe
 */
export function createFleetSite ({ fleet, node, control, network, load }: ISiteSettings): IFleetSite {
  const zones = Array.from({ length: fleet.zones }, (_, index) => String.fromCharCode(FIRST_ZONE + index))
  return {
    zones,
    controlZones: zones.slice(0, fleet.controlVms),
    nodes: fleet.nodes,
    // 1 kB/s is 1 byte per millisecond.
    nodeSize: { bytesPerMs: node.link, cpuShare: node.processor },
    controlSize: { bytesPerMs: control.link, cpuShare: control.processor },
    delays: { inZoneMs: network.inZoneMs, crossZoneMs: network.crossZoneMs },
    syncMs: control.syncMs,
    routes: fleet.routes,
    toleratedLosses: fleet.toleratedLosses,
    lostAcknowledgements: load.lostAcknowledgements
  }
}

/** Five control VMs in six zones, and nodes on 2 Mbit/s of which calls leave 70%. */
export const LARGE_SITE: IFleetSite = createFleetSite(readSections('', 'default site', SITE_SCHEMA).values)
