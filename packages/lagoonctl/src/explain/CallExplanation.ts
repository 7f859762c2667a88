/**
 * Collects the log lines of all processes that concern one call and derives from them why the call ended as it did.
 */
import type { ILogLine } from './LogLine.js'

/** Time before the end of a call in which state changes of processes and targets may have affected it; the length of a lease. */
const CONTEXT_WINDOW_MS = 10_000
/** Events that change the state of a process or its view of the catalogue. */
const PROCESS_STATE_EVENTS = new Set([
  'process_started', 'stop_requested', 'process_stopping', 'stop_step', 'process_stopped', 'feed_joined', 'feed_lost',
  'catalogue_confirmed', 'settings_reloaded', 'version_cut', 'log_dropped'
])
const MIN_SERVER_ERROR_STATUS = 500
/** Explanations of the refusal reasons, by the names under which refusals are counted. */
const CAUSES_BY_REASON: Readonly<Record<string, string>> = {
  'deadline-queue': 'overload: no slot became free early enough for an answer in time',
  'queue-full': 'overload: the queue of the target was full',
  shed: 'overload: a call of higher priority replaced it in the queue',
  'no-spare': 'overload: no target in the availability zone of the caller accepted it, and a target elsewhere had no spare slot',
  'needed-refused': 'overload: a service that the target calls refused most calls, so the call was not begun',
  'target-busy': 'overload: the target itself refused further calls',
  'owner-limit': 'the owner of the entry had too many calls running',
  'usage-cap': 'the account had used up its rate over all nodes',
  'cap-undecided': 'no leader of the control VMs decided in time on the usage of the account; see the caps_mode_changed of the process',
  'not-ready': 'the process had no confirmed catalogue; see its process_started and catalogue_confirmed',
  'process-draining': 'the process was stopping',
  draining: 'the target got no new calls: it or its node was stopping, or it was lost or now serves another service or version',
  'no-target': 'no target of the version in use was announced',
  'not-current': 'no route matched, but a newer catalogue may be in force: the process had no current source; see its feed_lost and feed_joined',
  'no-route': 'no route matched in the catalogue of that version',
  'credentials-missing': 'the call carried no key, its route is not anonymous, and no target of the VM ran the call that it named',
  'credentials-unknown': 'no account of the catalogue of that version had the key, or the call carried more than one',
  'credentials-withdrawn': 'the key was withdrawn before a target received the call',
  'accounts-not-current': 'the key was not valid in a catalogue that may not have been the newest; see the feed_lost and feed_joined of the process',
  'parent-unknown': 'the process had started too recently to know whether a target ran the call that this one named',
  unreachable: 'the node of the target could not be reached',
  connect: 'the target accepted no connection',
  'link-lost': 'the link to the node of the target was lost; the answer is lost',
  'link-silent': 'the node of the target stopped responding; the answer is lost',
  broken: 'the target sent an incomplete or malformed answer; the answer is lost',
  oversized: 'the target sent a head or framing that exceeds the limit; the answer is lost',
  'bad-status': 'the target sent a status that no response can have; the answer is lost',
  hung: 'the target sent nothing for far longer than such calls take there; see target_hung of its node',
  crossed: 'the target sent an answer that does not belong to this call; the answer is lost',
  'target-replaced': 'another target had taken over the address',
  deadline: 'no complete answer arrived before the deadline',
  closed: 'the caller closed the connection'
}

/** Explanation of how a call ended. */
export interface ICallExplanation {
  /** Log lines of the call and of the state changes around it, in chronological order. */
  readonly lines: readonly ILogLine[]
  /** Outcome and cause in one sentence. */
  readonly verdict: string
}

/**
 * Explains how a call ended.
 * @param callId - id of the call as set by the caller
 * @param allLines - log lines of all processes, in any order
 * @returns the lines and the verdict, or undefined if no line names the call
 */
export function findExplanation (callId: string, allLines: readonly ILogLine[]): ICallExplanation | undefined {
  const callLines = allLines.filter(line => line.fields.call === callId)
  if (callLines.length === 0) return undefined
  const ended = callLines.findLast(line => line.event === 'call_ended')
  const contextLines = listContextLines(callLines, allLines)
  const lines = [...callLines, ...contextLines].sort((a, b) => a.timeMs - b.timeMs)
  return { lines, verdict: formatVerdict(ended, callLines, contextLines) }
}

function listContextLines (callLines: readonly ILogLine[], allLines: readonly ILogLine[]): ILogLine[] {
  const processes = new Set(callLines.map(line => line.process))
  const targets = new Set(callLines.flatMap(line => line.fields.target ?? []))
  const versions = new Set(callLines.flatMap(line => line.fields.catalogue ?? []))
  const endMs = Math.max(...callLines.map(line => line.timeMs))
  return allLines.filter(line => {
    if (line.fields.call !== undefined || line.timeMs > endMs || line.timeMs < endMs - CONTEXT_WINDOW_MS) return false
    if (processes.has(line.process) && PROCESS_STATE_EVENTS.has(line.event)) return true
    if (line.event === 'catalogue_confirmed') return versions.has(line.fields.version ?? '')
    return line.event.startsWith('target_') && targets.has(line.fields.target ?? '')
  })
}

function formatVerdict (ended: ILogLine | undefined, callLines: readonly ILogLine[], contextLines: readonly ILogLine[]): string {
  if (ended === undefined) return 'no process logged its end: it is still running, its process died, or the line was dropped'
  const { outcome = '', reason = '', run = '', status = '0', took_ms: tookMs = '?', catalogue = '?' } = ended.fields
  const where = `at ${ended.process} after ${tookMs} ms, catalogue ${catalogue}`
  if (outcome === 'answered') return `answered by the target with ${status} ${where}${formatStatusCause(Number(status))}`
  const cause = CAUSES_BY_REASON[reason] ?? 'see docs/OPERATIONS.md for the reason'
  const lastChange = contextLines.findLast(line => line.event !== 'log_dropped')
  const contextText = lastChange === undefined ? '' : `; last change before: ${lastChange.event} at ${lastChange.process}`
  const repeats = callLines.filter(line => line.event === 'call_repeated').map(line => line.fields.reason)
  const repeatText = repeats.length === 0 ? '' : `; repeated after ${repeats.join(', ')}`
  return `${outcome} ${where}: ${reason}: ${cause}${run === '' ? '' : ` (${run})`}${repeatText}${contextText}`
}

function formatStatusCause (status: number): string {
  return status >= MIN_SERVER_ERROR_STATUS ? ': the target failed, or a call that it made; look for calls whose id begins alike' : ''
}
