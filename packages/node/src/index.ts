/**
 * Public interface of the node package, which routes calls between callers and targets.
 */
export * from './NodeFeed.js'
export * from './NodeRole.js'
export * from './calls/CallDialect.js'
export * from './calls/CallTypes.js'
export * from './targets/LocalTarget.js'
export { SlotLimiter } from '@lagoonswitch/traffic'
export * from './links/PeerLink.js'
export * from './links/PeerServer.js'
