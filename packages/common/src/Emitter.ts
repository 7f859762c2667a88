/**
 * Typed events.
 */
import { toDisposable, type IDisposable } from './Disposable.js'

/** Subscribes a listener; it is unsubscribed when the returned disposable is disposed. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable

/** Publishes an event to its listeners. */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>()

  /** Subscribes listeners to the event. */
  readonly event: IEvent<T> = listener => {
    this._listeners.add(listener)
    return toDisposable(() => this._listeners.delete(listener))
  }

  /**
   * Calls every listener, in order of subscription.
   * @param value - passed to each listener
   */
  fire (value: T): void {
    for (const listener of [...this._listeners]) {
      listener(value)
    }
  }

  /** Removes all listeners. */
  dispose (): void {
    this._listeners.clear()
  }
}
