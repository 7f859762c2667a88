/**
 * Text of the state of the system, short enough for a screen however many targets there are.
 */

/** State of a replicated group. */
export interface IGroupStatus {
  readonly group: string
  readonly role: string
  readonly term: number
  readonly leaderName: string
  readonly commitIndex: number
  readonly members: ReadonlyArray<{ readonly name: string, readonly voter: boolean }>
}

/** A target as the control VM knows it. */
export interface ITargetStatus {
  readonly targetId: string
  readonly service: string
  readonly version: string
  readonly node: string
  readonly availabilityZone: string
  readonly draining: boolean
}

/** Response of a control VM to a request for its status. */
export interface IStatus {
  readonly version: { readonly epoch: number, readonly version: number }
  readonly streams: number
  readonly fleet: { readonly nodes: number, readonly lowest: { readonly version: number } }
  readonly groups: readonly IGroupStatus[]
  readonly targets: readonly ITargetStatus[]
  /** Targets that ended without a withdrawal; absent in the response of an older control VM. */
  readonly lost?: readonly ITargetStatus[]
}

/** Lost targets that are named. */
const MAX_LOST_LINES = 5

/**
 * Formats the state of the system.
 * @param status - response of a control VM
 * @param areTargetsListed - whether each target gets a line, instead of one line for each version of a service
 * @returns several lines
 */
export function formatStatus (status: IStatus, areTargetsListed: boolean): string {
  const { version, fleet, groups, targets, lost = [] } = status
  const isBehind = fleet.nodes > 0 && fleet.lowest.version < version.version
  return [
    `catalogue version ${version.version}, epoch ${version.epoch}`,
    `nodes below this control VM: ${fleet.nodes}, lowest version ${fleet.lowest.version}${isBehind ? ' (behind)' : ''}`,
    ...groups.map(formatGroup),
    ...(areTargetsListed ? targets.map(formatTarget) : formatTargetCounts(targets)),
    ...lost.slice(0, MAX_LOST_LINES).map(target => `lost ${formatTarget(target)}`),
    ...(lost.length > MAX_LOST_LINES ? [`lost targets in all: ${lost.length}`] : [])
  ].join('\n')
}

function formatGroup ({ group, role, leaderName, term, commitIndex, members }: IGroupStatus): string {
  const names = members.map(member => member.voter ? member.name : `${member.name} (learner)`).join(', ')
  return `group ${group}: ${role} here, leader ${leaderName || 'unknown'}, term ${term}, committed ${commitIndex}, members ${names}`
}

function formatTarget ({ targetId, service, version, node, availabilityZone, draining }: ITargetStatus): string {
  return `target ${targetId}: ${service} ${version} on ${node} in ${availabilityZone}${draining ? ', draining' : ''}`
}

/** One line for each version of a service, with the numbers of its targets by availability zone. */
function formatTargetCounts (targets: readonly ITargetStatus[]): string[] {
  const versions = collectBy(targets, ({ service, version }) => `${service} ${version}`)
  return [...versions].sort(([a], [b]) => a.localeCompare(b)).map(([name, ofVersion]) => {
    const zones = [...collectBy(ofVersion, ({ availabilityZone }) => availabilityZone)].sort(([a], [b]) => a.localeCompare(b))
    return `${name}: ${formatCount(ofVersion)} targets, in ${zones.map(([zone, ofZone]) => `${zone} ${formatCount(ofZone)}`).join(', ')}`
  })
}

function formatCount (targets: readonly ITargetStatus[]): string {
  const drainingCount = targets.filter(({ draining }) => draining).length
  return drainingCount === 0 ? String(targets.length) : `${targets.length} (${drainingCount} draining)`
}

function collectBy<T> (items: readonly T[], getKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = getKey(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
