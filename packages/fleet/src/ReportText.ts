/**
 * Text of the reports of runs.
 */
import type { IRunReport } from './FleetRun.js'

const SHOWN_VIOLATIONS = 3
const SHOWN_EVENTS = 20

/**
 * @param report - of a run
 * @returns one line with its figures
 */
export function formatReport ({ seed, nodes, faults, violations, propagationMs, ...figures }: IRunReport): string {
  const { publications, maxWithoutSourceMs, maxLinkWaitMs, crossZoneRate, controlProcessorMs } = figures
  const planned = faults.map(({ kind, atMs, durationMs }) => `${kind} at ${formatSeconds(atMs)} for ${formatSeconds(durationMs)}`)
  const { p50, p99, max } = propagationMs
  const times = max === 0 ? 'no node was undisturbed' : `p50 ${p50} ms, p99 ${p99} ms, max ${max} ms`
  return `seed ${seed}, ${nodes} nodes: ${violations.length} violations; ${times}; ` +
    `${publications} publications; ${Math.round(maxWithoutSourceMs)} ms without a source; ${Math.round(maxLinkWaitMs)} ms for the link; ${crossZoneRate.toFixed(1)} kB/s between zones a node; ` +
    `${Math.round(controlProcessorMs)} ms/s of a control VM; ${planned.join(', ') || 'no fault'}`
}

/**
 * @param report - of a run
 * @returns lines with its first violations, and the last events of their nodes
 */
export function formatViolations ({ violations }: IRunReport): string[] {
  return violations.slice(0, SHOWN_VIOLATIONS).flatMap(({ kind, node, atMs, text, events }) => [
    `  ${kind}: ${node} at ${formatSeconds(atMs)}: ${text}`,
    ...events.slice(-SHOWN_EVENTS).map(event => `    ${event}`)
  ])
}

/**
 * @param reports - of all runs
 * @returns lines that sum them up, one for each number of nodes
 */
export function formatSummary (reports: readonly IRunReport[]): string[] {
  const sizes = [...new Set(reports.map(({ nodes }) => nodes))].sort((one, other) => one - other)
  return sizes.map(size => {
    const ofSize = reports.filter(({ nodes }) => nodes === size)
    const broken = ofSize.filter(({ violations }) => violations.length > 0).map(({ seed }) => seed)
    const p99 = Math.max(...ofSize.map(({ propagationMs }) => propagationMs.p99))
    const max = Math.max(...ofSize.map(({ propagationMs }) => propagationMs.max))
    const linkWait = Math.max(...ofSize.map(({ maxLinkWaitMs }) => maxLinkWaitMs))
    return `${size} nodes: ${ofSize.length} seeds, ${broken.length} broken${broken.length > 0 ? ` (${broken.join(', ')})` : ''}; ` +
      `highest p99 ${p99} ms, max ${max} ms; longest wait for a link ${Math.round(linkWait)} ms`
  })
}

function formatSeconds (ms: number): string {
  return `${(ms / 1_000).toFixed(2)} s`
}
