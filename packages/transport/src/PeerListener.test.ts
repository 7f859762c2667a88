import { expect, test, vi } from 'vitest'
import type { ServerCredentials } from '@grpc/grpc-js'
import { PlainCredentials } from './Credentials.js'
import { PeerListener } from './PeerListener.js'

/** Keys that change once, right after they have been read for the first time. */
class ChangingCredentials extends PlainCredentials {
  reads = 0

  override createServerCredentials (): ServerCredentials {
    this.reads++
    const keys = super.createServerCredentials()
    if (this.reads === 1) this._onChanged.fire()
    return keys
  }
}

// Guards against a listener that keeps keys which were replaced while it began to listen.
test('keys that change while the port is bound are read again', async () => {
  const keys = new ChangingCredentials()
  const listener = new PeerListener(keys)
  await listener.listen('127.0.0.1', 0)
  await vi.waitFor(() => expect(keys.reads).toBe(2), 3_000)
  listener.close()
})
