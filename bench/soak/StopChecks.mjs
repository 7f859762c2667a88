/**
 * Checks that each call that a target has run gets its whole response around planned stops of nodes.
 */
import { REFUSALS } from './StopCaller.mjs'

/** Calls sent so late after the signal are only taken if they can end. */
const ADMITTED_MS = 3_000
/** Share of the stop timeout in which a call may still be running that was sent early enough. */
const LAST_SHARE = 1 / 6
/** Time after the last byte of a request within which a connection that crosses it may close, if no target got the call. */
const CROSSING_MS = 200
/** Time within which a response that its target has given arrives at a caller that reads. */
const STUCK_MS = 1_000

/** Finds responses that were lost, replaced or cut short. */
export class StopChecks {
  /**
   * @param calls - as recorded by {@link StopCaller}
   * @param runs - of all targets: id, node, startMs and endMs
   * @param stops - node, termMs, exitMs, timeoutMs and isKilled
   * @param limitMs - deadline of the calls
   */
  constructor (calls, runs, stops, limitMs) {
    this._calls = calls
    this._stops = stops
    this._limitMs = limitMs
    this._runs = new Map()
    for (const run of runs) this._runs.set(run.id, [...this._runs.get(run.id) ?? [], run])
  }

  /**
   * @returns violations (rule, text and call) and allowed, calls without a whole response by the reason why they may have none
   */
  find () {
    const violations = this._stops.filter(({ isKilled }) => isKilled).map(stop => ({ rule: 'KILLED', text: `KILLED: ${this._describeStop(stop)}` }))
    const allowed = {}
    for (const call of this._calls) {
      const runs = this._runs.get(call.id) ?? []
      if (call.method !== 'GET' && runs.length > 1) violations.push(this._report('TWICE', call, runs))
      if (call.status === 200 && call.end === 'answered' && !call.isWhole) violations.push(this._report('MIXED', call, runs))
      if (call.method !== 'GET' && REFUSALS.includes(call.status) && runs.length > 0) violations.push(this._report('REFUSED', call, runs))
      if (call.isWhole || call.end === undefined) continue
      const reason = this._findReason(call, runs)
      if (reason !== undefined) allowed[reason] = (allowed[reason] ?? 0) + 1
      else violations.push(this._report(runs.length === 0 ? 'UNANSWERED' : call.end === 'answered' ? 'REPLACED' : 'LOST', call, runs))
    }
    return { violations, allowed }
  }

  /** @returns why a call may have no whole response; undefined if it must have one */
  _findReason (call, runs) {
    if (call.end === 'given-up' || call.endMs - call.startMs >= this._limitMs) {
      const isStuck = runs.length > 0 && runs.at(-1).endMs + call.readMs + STUCK_MS < call.startMs + this._limitMs
      return isStuck ? 'deadline, though its target had answered' : 'deadline'
    }
    if (call.sentMs === undefined) return 'request not sent whole'
    if (runs.length === 0 && call.end === 'answered') return 'refused'
    const isDuring = ({ termMs, exitMs }) => call.endMs >= termMs && call.startMs <= exitMs
    const isReadLater = ({ node, termMs, timeoutMs }) => node === call.node && call.startMs + call.readMs > termMs + timeoutMs
    if (this._stops.some(stop => isDuring(stop) && isReadLater(stop))) return 'read later than the stop lasts'
    return runs.length === 0 ? this._findCrossing(call) : this._findLastWork(call, runs.at(-1), isDuring)
  }

  /** @returns why a call that reached no target may have no response */
  _findCrossing (call) {
    if (call.isUnreached) return 'no process was there'
    if (call.isBehindClose) return 'behind a response that closes'
    // Callers may notice the close late.
    const exitMs = this._stops.find(stop => stop.node === call.node && stop.exitMs >= call.openedMs)?.exitMs ?? Infinity
    return Math.min(call.endMs, exitMs) - call.sentMs < CROSSING_MS ? 'crossed the close' : undefined
  }

  _findLastWork (call, run, isDuring) {
    const isLast = ({ node, termMs, timeoutMs }) => (node === call.node || node === run.node) &&
      call.sentMs <= termMs + ADMITTED_MS && Math.min(call.endMs, run.endMs ?? Infinity) > termMs + timeoutMs * (1 - LAST_SHARE)
    return this._stops.some(stop => isDuring(stop) && isLast(stop)) ? 'at work in the last sixth' : undefined
  }

  _report (rule, call, runs) {
    const { id, node, kind, isProxied, closesOnEnd, path, startMs, sentMs, endMs, end, status, receivedBytes, bytes, readMs } = call
    const run = runs.at(-1)
    const round = value => value === undefined ? 'none' : Math.round(value)
    const stops = this._stops.filter(stop =>
      (stop.node === node || stop.node === run?.node) && endMs >= stop.termMs && startMs <= stop.exitMs)
    const text = `${rule}: ${id} (${kind}${isProxied ? ', proxied' : ''}${closesOnEnd ? '' : ', keeps its direction open'}) ${path} at ${node}: ` +
      `sent ${round(startMs)} to ${round(sentMs)}, ${runs.length} runs, the last ${round(run?.startMs)} to ${round(run?.endMs)} beside ${run?.node}, ` +
      `read until ${round(startMs + readMs)}, ended ${round(endMs)} ${end} with status ${status}, ${receivedBytes} of ${bytes} bytes; ` +
      (stops.length === 0 ? 'no stop' : stops.map(stop => this._describeStop(stop)).join('; '))
    return { rule, call, text }
  }

  _describeStop ({ node, termMs, exitMs, isKilled }) {
    return `stop of ${node} from ${Math.round(termMs)} to ${Math.round(exitMs)}${isKilled ? ', killed at its timeout' : ''}`
  }
}
