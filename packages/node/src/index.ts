/**
 * The node: calls between callers and targets.
 */
export * from './NodeRole.js'
export * from './calls/CallDialect.js'
export * from './calls/CallTypes.js'
export * from './targets/LocalTarget.js'
export { SlotGate } from './targets/SlotGate.js'
export * from './links/PeerLink.js'
export * from './links/PeerServer.js'
