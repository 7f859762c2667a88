/**
 * Typed events.
 */
import { toDisposable, type IDisposable } from './Disposable.js'

/** Subscribes a listener; it is unsubscribed when the returned disposable is disposed. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable

interface IDelivery<T> {
  readonly value: T
  readonly listeners: ReadonlyArray<(value: T) => void>
}

/**
 * Publishes an event to its listeners.
 *
 * Invariant: all listeners receive the values in the order in which they were fired. A value that a listener fires is delivered after the
 * current one has reached the listeners that follow; otherwise these would get the newer state first and keep the older one.
 */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>()
  private readonly _deliveries: Array<IDelivery<T>> = []
  private _isDelivering = false

  /** Subscribes listeners to the event. */
  readonly event: IEvent<T> = listener => {
    this._listeners.add(listener)
    return toDisposable(() => this._listeners.delete(listener))
  }

  /**
   * Calls every listener, in order of subscription; if a listener calls this, only once the current value has been delivered. A listener
   * that throws does not keep others from the value; what it threw is thrown at the end.
   * @param value - passed to each listener
   */
  fire (value: T): void {
    this._deliveries.push({ value, listeners: [...this._listeners] })
    if (this._isDelivering) return
    this._isDelivering = true
    const errors: unknown[] = []
    for (let delivery = this._deliveries.shift(); delivery !== undefined; delivery = this._deliveries.shift()) {
      this._deliver(delivery, errors)
    }
    this._isDelivering = false
    if (errors.length > 1) throw new AggregateError(errors, `${errors.length} listeners failed`)
    if (errors.length === 1) throw errors[0]
  }

  /** Removes all listeners. */
  dispose (): void {
    this._listeners.clear()
  }

  private _deliver ({ value, listeners }: IDelivery<T>, errors: unknown[]): void {
    for (const listener of listeners) {
      if (!this._listeners.has(listener)) continue
      try {
        listener(value)
      } catch (error) {
        errors.push(error)
      }
    }
  }
}
