/**
 * Whether the targets of a service answer at their usual pace, as seen by the calls that this node sends.
 */
import type { IClock } from '@lagoonswitch/common'

/** Multiple of the expected time beyond which a first byte is late; about one in ten of the varying times of calls is. */
const LATE_FACTOR = 2
/** Targets of a service that are remembered. */
const MAX_TARGETS = 1_024

/** One attempt that waits for its first byte. */
export interface IPaceTicket {
  /**
   * Records the first byte of the response.
   * @param serviceMs - time in a slot of the target until then, in milliseconds
   * @param expectedMs - expected time there, 0 if unknown
   */
  recordFirstByte (serviceMs: number, expectedMs: number): void
  /** Records that no first byte will come. */
  end (): void
}

interface ITargetPace {
  /** Times at which the attempts that wait were sent; the first is the oldest. */
  readonly waiting: Set<{ readonly sentMs: number }>
  timelyMs: number
  lateMs: number
}

/** Remembers when the targets of each service last answered at their usual pace, or late. */
export class ServicePace {
  private readonly _services = new Map<string, Map<string, ITargetPace>>()

  /** @param _clock - source of time */
  constructor (private readonly _clock: IClock) {}

  /**
   * Records an attempt.
   * @param service - name of the service
   * @param targetId - of the target
   * @param isWaitCounted - false if the target does not get the call until a large body has arrived, which says nothing about its pace
   * @returns receives the outcome; later ones than the first are ignored
   */
  recordSend (service: string, targetId: string, isWaitCounted = true): IPaceTicket {
    const pace = this._getPace(service, targetId)
    const attempt = { sentMs: this._clock.readMonotonicMs() }
    let hasEnded = false
    const end = (): void => {
      hasEnded = true
      pace.waiting.delete(attempt)
    }
    if (isWaitCounted) pace.waiting.add(attempt)
    return {
      recordFirstByte: (serviceMs, expectedMs) => {
        if (hasEnded) return
        end()
        if (expectedMs <= 0) return
        if (serviceMs > LATE_FACTOR * expectedMs) pace.lateMs = this._clock.readMonotonicMs()
        else pace.timelyMs = this._clock.readMonotonicMs()
      },
      end
    }
  }

  /**
   * Tells whether the other targets of a service have slowed down as well, so that a long wait at one of them is no sign of a hang.
   * @param service - name of the service
   * @param targetId - target at which a call waits
   * @param sinceMs - monotonic time since which it has waited
   * @returns true if more of the other targets were late or silent since then than answered at their usual pace; false if no
   * attempt of this node was at another target
   */
  isSlow (service: string, targetId: string, sinceMs: number): boolean {
    let slow = 0
    let timely = 0
    for (const [id, { waiting, timelyMs, lateMs }] of this._services.get(service) ?? []) {
      if (id === targetId) continue
      const oldest = waiting.values().next().value
      if (timelyMs >= sinceMs) timely++
      else if (lateMs >= sinceMs || (oldest !== undefined && oldest.sentMs <= sinceMs)) slow++
    }
    return slow > timely
  }

  private _getPace (service: string, targetId: string): ITargetPace {
    let targets = this._services.get(service)
    if (targets === undefined) {
      targets = new Map()
      this._services.set(service, targets)
    }
    const known = targets.get(targetId)
    if (known !== undefined) return known
    const pace: ITargetPace = { waiting: new Set(), timelyMs: -Infinity, lateMs: -Infinity }
    targets.set(targetId, pace)
    const oldestId = targets.keys().next().value
    if (targets.size > MAX_TARGETS && oldestId !== undefined) targets.delete(oldestId)
    return pace
  }
}
