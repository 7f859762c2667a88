/**
 * Resources that must be released explicitly, and groups of them.
 */

/** A resource that is released by {@link dispose}. */
export interface IDisposable {
  /** Releases the resource; further calls have no effect. */
  dispose (): void
}

/** Collects disposables and releases them together, in reverse order of addition. */
export class DisposableStore implements IDisposable {
  private readonly _items: IDisposable[] = []
  private _disposed = false

  /**
   * Adds a resource; it is released at once when the store is already disposed.
   * @param item - the resource
   * @returns the same resource
   */
  add<T extends IDisposable>(item: T): T {
    if (this._disposed) {
      item.dispose()
    } else {
      this._items.push(item)
    }
    return item
  }

  /** Releases all resources. */
  dispose (): void {
    this._disposed = true
    while (this._items.length > 0) {
      this._items.pop()?.dispose()
    }
  }
}

/**
 * Wraps a function as a disposable that calls it at most once.
 * @param release - called on the first dispose
 * @returns the disposable
 */
export function toDisposable (release: () => void): IDisposable {
  let disposed = false
  return {
    dispose () {
      if (disposed) return
      disposed = true
      release()
    }
  }
}
