/**
 * Model of a fleet: the control plane of many VMs in one process and in virtual time.
 */
export * from './Fleet.js'
export * from './FleetSite.js'
export * from './ModelMachine.js'
export * from './ModelNetwork.js'
export * from './VirtualTime.js'
