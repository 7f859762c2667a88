/**
 * Sizes of a fleet: VMs, zones, links and the catalogue.
 */
import type { IMachineSize } from './ModelMachine.js'
import type { INetworkDelays } from './ModelNetwork.js'

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
}

/** Five control VMs in six zones, and nodes on 2 Mbit/s of which calls leave 70%. */
export const LARGE_SITE: IFleetSite = {
  zones: ['a', 'b', 'c', 'd', 'e', 'f'],
  controlZones: ['a', 'b', 'c', 'd', 'e'],
  nodes: 195,
  nodeSize: { bytesPerMs: 175, cpuShare: 0.27 },
  controlSize: { bytesPerMs: 21_250, cpuShare: 0.81 },
  delays: { inZoneMs: 0.1, crossZoneMs: 1.4 },
  syncMs: 0.5,
  routes: 1_200,
  toleratedLosses: 2
}
