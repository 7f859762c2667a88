/**
 * Model of client accounts that compete for the slots of some targets, without a network.
 */
import { SeededRandom, type IRandom } from '@lagoonswitch/common'
import { CallClass } from '@lagoonswitch/schema'
import { AccountIndex } from '../admission/AccountIndex.js'
import { SlotLimiter, type ISlotTicket } from '../slots/SlotLimiter.js'
import { EventClock } from './EventClock.js'

const TARGETS = 12
const SLOTS = 4
const QUEUE_LIMIT = 32
const ACCOUNTS = 85
const ZIPF_EXPONENT = 1.2
const RUN_MS = 40_000
const BURST_START_MS = 15_000
const BURST_MS = 6_000
const BURST_FACTOR = 7
/** Declared rate of an account relative to its usual demand. */
const RATE_RATIO = 1.6
/** Rank of the account that sends the burst; 5 has 4% of all calls. */
const BURST_ACCOUNT = 5
/** A caller returns only if asked to within this fraction of its remaining time. */
const MAX_RETURN_RATIO = 0.34
const MAX_QUEUES = 2
const LATE_VALUE = 0.35
/** Fraction of the work of a call that doesn't vary. */
const FIXED_WORK_RATIO = 0.5

interface IKind {
  readonly name: string
  readonly ratePerS: number
  readonly workMs: number
  readonly objectiveMs: number
  readonly deadlineMs: number
}

/** The kinds of the first deployment. */
const KINDS: readonly IKind[] = [
  { name: 'read', ratePerS: 741, workMs: 114, objectiveMs: 533, deadlineMs: 3_197 },
  { name: 'order', ratePerS: 421, workMs: 152, objectiveMs: 633, deadlineMs: 4_221 },
  { name: 'upload', ratePerS: 116, workMs: 143, objectiveMs: 1_585, deadlineMs: 4_226 }
]

/** Demand and classes of a run. */
export interface ICompetitionSettings {
  readonly seed: number
  /** Demand relative to what the targets can serve. */
  readonly load: number
  /** Classes that accounts get in turn. */
  readonly classes: readonly CallClass[]
  /** False to let calls compete without regard to their accounts. */
  readonly hasAccounts: boolean
  /** True if each account declares a rate in proportion to its usual demand. */
  readonly hasRates?: boolean
  /** False to leave out the burst; true if omitted. */
  readonly hasBurst?: boolean
}

/** What the callers of an account, class or kind got. */
export interface IGroupResult {
  calls: number
  served: number
  value: number
  /** Attempts that were refused, and those of them that did not wait. */
  refusals: number
  immediateRefusals: number
}

/** Results of a run. */
export interface ICompetitionResult {
  readonly all: IGroupResult
  /**
   * By account, class and kind, and `others` for calls of all accounts but the one that sends the burst, `others-meanwhile` for those of
   * them that arrive during the burst; the key begins with the kind of group.
   */
  readonly groups: ReadonlyMap<string, IGroupResult>
}

interface ICall {
  readonly account: number
  readonly kind: IKind
  readonly arrivedMs: number
  readonly workMs: number
}

/** Runs calls of accounts by a Zipf law against targets that take calls in the order of {@link SlotLimiter}. */
export class CompetitionModel {
  private readonly _clock = new EventClock()
  /** Draws the usual calls, so that these are the same ones with and without a burst. */
  private readonly _callRandom: IRandom
  private readonly _burstRandom: IRandom
  /** Draws targets. */
  private readonly _random: IRandom
  private readonly _targets: SlotLimiter[]
  private readonly _weights = Array.from({ length: ACCOUNTS }, (_, index) => (index + 1) ** -ZIPF_EXPONENT)
  private readonly _all: IGroupResult = { calls: 0, served: 0, value: 0, refusals: 0, immediateRefusals: 0 }
  private readonly _groups = new Map<string, IGroupResult>()

  /** @param _settings - demand and classes */
  constructor (private readonly _settings: ICompetitionSettings) {
    this._callRandom = new SeededRandom(_settings.seed)
    this._burstRandom = new SeededRandom(_settings.seed + 2_000)
    this._random = new SeededRandom(_settings.seed + 3_000)
    const random = new SeededRandom(_settings.seed + 1_000)
    const usual = this._computeCallsPerMs() * 1_000 / this._weights.reduce((sum, each) => sum + each, 0)
    const accounts = new AccountIndex(new Map(this._weights.map((weight, index) => {
      const name = `account-${index}`
      return [name, { account: name, key_digests: [], rate: _settings.hasRates === true ? RATE_RATIO * usual * weight : 0 }]
    })))
    const findWeight = (account: string): number | undefined => accounts.findWeight(account)
    this._targets = Array.from({ length: TARGETS }, () => new SlotLimiter(this._clock, SLOTS, random, findWeight))
  }

  /** @returns what the callers got */
  run (): ICompetitionResult {
    const callsPerMs = this._computeCallsPerMs()
    const weight = this._weights.reduce((sum, each) => sum + each, 0)
    this._scheduleArrivals(this._callRandom, () => true, callsPerMs, () => this._pick(this._weights))
    const burstPerMs = callsPerMs * (this._weights[BURST_ACCOUNT - 1] ?? 0) / weight * (BURST_FACTOR - 1)
    if (this._settings.hasBurst !== false) {
      this._clock.schedule(BURST_START_MS, () => {
        this._scheduleArrivals(this._burstRandom, isDuringBurst, burstPerMs, () => BURST_ACCOUNT - 1)
      })
    }
    this._clock.runUntil(RUN_MS + Math.max(...KINDS.map(kind => kind.deadlineMs)))
    return { all: this._all, groups: this._groups }
  }

  private _computeCallsPerMs (): number {
    const totalRate = KINDS.reduce((sum, kind) => sum + kind.ratePerS, 0)
    const meanWorkMs = KINDS.reduce((sum, kind) => sum + kind.ratePerS * kind.workMs, 0) / totalRate
    return this._settings.load * TARGETS * SLOTS / meanWorkMs
  }

  private _scheduleArrivals (random: IRandom, isOpen: (nowMs: number) => boolean, callsPerMs: number, pickAccount: () => number): void {
    this._clock.schedule(-Math.log(1 - random.draw()) / callsPerMs, () => {
      const nowMs = this._clock.readMonotonicMs()
      if (nowMs > RUN_MS || !isOpen(nowMs)) return
      const kind = KINDS[this._pick(KINDS.map(({ ratePerS }) => ratePerS), random)] as IKind
      const variation = FIXED_WORK_RATIO - (1 - FIXED_WORK_RATIO) * Math.log(1 - random.draw())
      const call = { account: pickAccount(), kind, arrivedMs: nowMs, workMs: kind.workMs * variation }
      for (const group of this._listGroups(call)) group.calls++
      this._tryTarget(call, 1, undefined)
      this._scheduleArrivals(random, isOpen, callsPerMs, pickAccount)
    })
  }

  private _tryTarget (call: ICall, queues: number, tried: SlotLimiter | undefined): void {
    const target = this._pickTarget(tried)
    const passedMs = this._clock.readMonotonicMs() - call.arrivedMs
    const remainingMs = call.kind.deadlineMs - passedMs
    const ticket: ISlotTicket = target.acquire({
      callClass: this._getClass(call.account),
      account: this._settings.hasAccounts ? `account-${call.account}` : '',
      remainingMs,
      objectiveMs: Math.max(1, call.kind.objectiveMs - passedMs),
      expectedMs: call.kind.workMs,
      queueLimit: QUEUE_LIMIT,
      onGranted: () => {
        this._clock.schedule(call.workMs, () => {
          ticket.release()
          this._recordAnswer(call)
        })
      },
      onRefused: (_reason, retryAfterMs) => {
        const isImmediate = this._clock.readMonotonicMs() - call.arrivedMs <= passedMs
        for (const group of this._listGroups(call)) {
          group.refusals++
          if (isImmediate) group.immediateRefusals++
        }
        if (queues < MAX_QUEUES) this._clock.schedule(1, () => this._tryTarget(call, queues + 1, target))
        else if (retryAfterMs <= MAX_RETURN_RATIO * remainingMs) {
          this._clock.schedule(retryAfterMs, () => this._tryTarget(call, 1, undefined))
        }
      }
    })
  }

  private _recordAnswer (call: ICall): void {
    const passedMs = this._clock.readMonotonicMs() - call.arrivedMs
    if (passedMs > call.kind.deadlineMs) return
    for (const group of this._listGroups(call)) {
      group.served++
      group.value += passedMs <= call.kind.objectiveMs ? 1 : LATE_VALUE
    }
  }

  /** Picks the less loaded of two targets. */
  private _pickTarget (tried: SlotLimiter | undefined): SlotLimiter {
    const others = this._targets.filter(target => target !== tried)
    const [a, b] = [0, 0].map(() => others[Math.floor(this._random.draw() * others.length)]) as [SlotLimiter, SlotLimiter]
    return a.load.inFlight + a.load.queued <= b.load.inFlight + b.load.queued ? a : b
  }

  private _listGroups ({ account, kind, arrivedMs }: ICall): IGroupResult[] {
    const names = [`account ${account + 1}`, `class ${CallClass[this._getClass(account)]}`, `kind ${kind.name}`]
    if (account !== BURST_ACCOUNT - 1) names.push('others', ...isDuringBurst(arrivedMs) ? ['others-meanwhile'] : [])
    return [this._all, ...names.map(name => {
      const group = this._groups.get(name) ?? { calls: 0, served: 0, value: 0, refusals: 0, immediateRefusals: 0 }
      this._groups.set(name, group)
      return group
    })]
  }

  private _getClass (account: number): CallClass {
    const { classes } = this._settings
    return classes[account % classes.length] as CallClass
  }

  private _pick (weights: readonly number[], random = this._callRandom): number {
    let draw = random.draw() * weights.reduce((sum, weight) => sum + weight, 0)
    return Math.max(0, weights.findIndex(weight => (draw -= weight) < 0))
  }
}

function isDuringBurst (timeMs: number): boolean {
  return timeMs >= BURST_START_MS && timeMs < BURST_START_MS + BURST_MS
}
