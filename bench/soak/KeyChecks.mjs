/**
 * Checks of what callers with and without keys got, and what targets were told of their accounts.
 */
/** Time within which a change of keys is in force at nodes that are in touch. */
const APPLY_MS = 2_000
/** Time after a disturbance within which a node is in touch again. */
const CONTACT_MS = 3_000
const UNAUTHORIZED = 401

/** Finds violations of the promises on accounts. */
export class KeyChecks {
  /**
   * @param keys - keys and their states
   * @param calls - of all clients, with node, key, isAnonymous, startMs, endMs, status
   * @param disturbances - of the contact of nodes: name of the VM, isControl, fromMs and toMs
   * @param starts - name of the VM and time of each start of a process
   */
  constructor (keys, calls, disturbances, starts) {
    this._keys = keys
    this._calls = new Map(calls.map(call => [call.id, call]))
    this._disturbances = [...disturbances].sort((a, b) => a.fromMs - b.fromMs)
    this._starts = starts
    this._refusals = calls.filter(({ key, status }) => key !== undefined && status === UNAUTHORIZED)
  }

  /** @param runs - of all targets: id, account (undefined without one) and atMs @returns the violations */
  findViolations (runs) {
    const violations = runs.flatMap(run => this._checkRun(run, this._calls.get(run.id)))
    const ranIds = new Set(runs.map(({ id }) => id))
    for (const call of this._calls.values()) {
      if (call.status !== UNAUTHORIZED) continue
      if (ranIds.has(call.id)) violations.push(`REFUSED: ${call.id} was refused with 401 and ran`)
      if (this._isSurelyValid(call)) violations.push(`VALID: ${call.id} has a valid key and was refused with 401 at ${Math.round(call.startMs)}`)
    }
    return violations
  }

  _checkRun ({ id, account, atMs }, call) {
    if (call === undefined) return []
    if (call.key === undefined) {
      return call.isAnonymous && account === undefined ? [] : [`ACCOUNT: ${id} without a key ran for ${account}`]
    }
    const states = this._keys.states.get(call.key)
    const index = states.findLastIndex(state => state.account === account && state.sentMs <= atMs)
    if (account === undefined || index < 0) return [`ACCOUNT: ${id} ran for ${account}, never the account of its key`]
    const next = states[index + 1]
    if (next?.acknowledgedMs === undefined) return []
    const limitMs = this._computeLimitMs(call, next)
    if (call.startMs <= limitMs) return []
    return [`KEY: ${id} ran for ${account} at ${Math.round(atMs)}, called at ${Math.round(call.startMs)} through ${call.node}; its key was ` +
      `${next.account === undefined ? 'withdrawn' : `moved to ${next.account}`} at ${Math.round(next.acknowledgedMs)}, limit ${Math.round(limitMs)}`]
  }

  /** @returns time from which the node must not accept a key in its former state: in touch for long enough, restarted, or once refused */
  _computeLimitMs ({ node, key }, { account, sentMs, acknowledgedMs }) {
    const start = this._starts.find(({ name, atMs }) => name === node && atMs > acknowledgedMs)?.atMs ?? Infinity
    const isRefusal = call => account === undefined && call.node === node && call.key === key && call.startMs > sentMs
    const refusals = this._refusals.filter(isRefusal)
    let calmMs = acknowledgedMs
    for (const { name, isControl, fromMs, toMs } of this._disturbances) {
      if (!isControl && name !== node) continue
      if (fromMs < calmMs + APPLY_MS && toMs + CONTACT_MS > calmMs) calmMs = toMs + CONTACT_MS
    }
    return Math.min(calmMs + APPLY_MS, start, ...refusals.map(({ endMs }) => endMs))
  }

  /** @returns true if the key was in force long enough before the call, and no withdrawal was sent before its end */
  _isSurelyValid ({ key, startMs, endMs }) {
    const [first, ...others] = this._keys.states.get(key) ?? []
    return first?.acknowledgedMs !== undefined && startMs > first.acknowledgedMs + APPLY_MS &&
      !others.some(({ account, sentMs }) => account === undefined && sentMs <= endMs)
  }
}
