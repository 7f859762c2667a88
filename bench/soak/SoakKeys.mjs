/**
 * The client accounts of a soak: which account each key belonged to, and since when.
 */
import { createHash } from 'node:crypto'

/** All keys begin with this, so that a leaked one is found in any text. */
export const KEY_MARK = 'sk-soak-'
const ACCOUNTS = ['north', 'south', 'big corp']
/** Keys that are withdrawn and moved; each account also keeps a key for the whole soak. */
const CHANGING_KEYS = 4
const WITHDRAWN_SHARE = 0.35
const MOVED_SHARE = 0.35

/** Changes keys with each configuration and remembers the states of each. */
export class SoakKeys {
  /** @param random - source of random numbers */
  constructor (random) {
    this._random = random
    this._count = 0
    /** States of each key in order: account (undefined once withdrawn), sentMs and acknowledgedMs of the configuration. */
    this.states = new Map()
    this.lasting = ACCOUNTS.map(account => this._addKey(account))
    this._changing = Array.from({ length: CHANGING_KEYS }, () => this._addKey(this._pick(ACCOUNTS)))
    this.withdrawn = []
  }

  /** Withdraws or moves a key, or neither. @returns the tenants of the next configuration */
  changeTenants () {
    const draw = this._random.draw()
    const key = this._pick(this._changing)
    if (draw < WITHDRAWN_SHARE) {
      this._addState(key, undefined)
      this._changing = [...this._changing.filter(other => other !== key), this._addKey(this._pick(ACCOUNTS))]
      this.withdrawn.push(key)
    } else if (draw < WITHDRAWN_SHARE + MOVED_SHARE) {
      this._addState(key, this._pick(ACCOUNTS.filter(account => account !== this.states.get(key).at(-1).account)))
    }
    const keys = [...this.lasting, ...this._changing]
    return ACCOUNTS.map((name, index) =>
      ({ name, priority: index + 1, 'api-keys': keys.filter(each => this.states.get(each).at(-1).account === name) }))
  }

  /** Records that the last configuration was acknowledged. */
  acknowledge () {
    for (const states of this.states.values()) states.at(-1).acknowledgedMs ??= performance.now()
  }

  /** @returns a key that callers may try: one in use, or a withdrawn one, mostly a recent one */
  pickKey (isWithdrawn) {
    if (!isWithdrawn) return this._changing[Math.floor(Math.random() * this._changing.length)]
    return this.withdrawn.at(-1 - Math.floor(Math.random() ** 2 * this.withdrawn.length))
  }

  /** @returns whether a text contains a key or its digest */
  isLeaked (text) {
    return text.includes(KEY_MARK) || [...this.states.keys()].some(key => text.includes(createHash('sha256').update(key).digest('hex')))
  }

  _addKey (account) {
    const key = `${KEY_MARK}${++this._count}-${Math.floor(this._random.draw() * 1e9)}`
    this.states.set(key, [])
    this._addState(key, account)
    return key
  }

  _addState (key, account) {
    this.states.get(key).push({ account, sentMs: performance.now(), acknowledgedMs: undefined })
  }

  _pick (items) {
    return items[Math.floor(this._random.draw() * items.length)]
  }
}
