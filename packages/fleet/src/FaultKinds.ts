/**
 * Kinds of faults that strike a fleet.
 */

/** All kinds. Machines that are lost or frozen keep their connections open; a restart resets them. */
export const FAULT_KINDS = [
  'leader-frozen', 'leader-lost', 'leader-restart', 'leader-cut-off', 'leader-deaf', 'control-frozen', 'control-lost', 'control-slow',
  'control-cut-off', 'connections-reset', 'relay-lost', 'relays-frozen', 'nodes-frozen', 'nodes-lost', 'nodes-slow', 'zone-cut-off',
  'rolling-stop', 'all-restart', 'roll-out'
] as const

/** A kind of fault. */
export type FaultKind = typeof FAULT_KINDS[number]
