/**
 * Order in which a search asks and joins sources.
 */
import { expect, test } from 'vitest'
import { Emitter, ManualClock } from '@lagoonswitch/common'
import type { ConfirmReply } from '@lagoonswitch/schema'
import type { FeedSubscription, ISubscriptionEnd } from './FeedSubscription.js'
import type { SourceFinder } from './SourceFinder.js'
import { SourceSearch, type ISourceSearchOptions } from './SourceSearch.js'

type Behaviour = 'silent' | 'not-current' | 'full' | 'accepting'

/** A search among fake sources; a full source names relays. */
class FakeSources {
  readonly clock = new ManualClock()
  readonly found: string[] = []
  readonly search: SourceSearch

  constructor (
    readonly behaviours: Record<string, Behaviour>, options: Partial<ISourceSearchOptions> = {}, relays: readonly string[] = []
  ) {
    const finder = {
      confirmAt: async (address: string) => await this._confirm(address),
      listRelays: (addresses: readonly string[]) => addresses.map(address => ({ address, delayMs: 0 })),
      pickControl: () => 'none'
    }
    this.search = new SourceSearch({
      clock: this.clock,
      finder: finder as unknown as SourceFinder,
      open: address => this._open(address, relays),
      onFound: ({ address }) => { this.found.push(address) },
      isExcluded: address => address === 'none',
      isPersistent: true,
      ...options
    })
  }

  /** Runs the search for a time, in milliseconds. */
  async run (durationMs: number): Promise<string[]> {
    const candidates = Object.keys(this.behaviours).filter(name => !name.startsWith('relay')).map(address => ({ address, delayMs: 0 }))
    void this.search.run(candidates)
    await this.clock.advance(durationMs)
    this.search.dispose()
    return this.found
  }

  private async _confirm (address: string): Promise<ConfirmReply | undefined> {
    if (this.behaviours[address] === 'silent') return await new Promise(() => {})
    return { confirmed: this.behaviours[address] !== 'not-current', version: undefined, message: '', withdrawals: [] }
  }

  private _open (address: string, relays: readonly string[]): FeedSubscription {
    const onWelcomed = new Emitter<void>()
    const onEnded = new Emitter<ISubscriptionEnd>()
    this.clock.schedule(1, () => {
      if (this.behaviours[address] === 'accepting') onWelcomed.fire()
      if (this.behaviours[address] === 'full') onEnded.fire({ wasWelcomed: false, relays, retryAfterMs: 500 })
    })
    return { address, onWelcomed: onWelcomed.event, onEnded: onEnded.event, dispose: () => {} } as unknown as FeedSubscription
  }
}

test('source that does not answer delays no other one', async () => {
  expect(await new FakeSources({ one: 'silent', two: 'accepting' }).run(50)).toEqual(['two'])
})

test('relays of a full source that do not answer delay no other source', async () => {
  const sources = new FakeSources({ one: 'full', two: 'accepting', relay: 'silent' }, {}, ['relay'])
  expect(await sources.run(50)).toEqual(['two'])
})

test('relay that a full source names is joined', async () => {
  expect(await new FakeSources({ one: 'full', relay: 'accepting' }, {}, ['relay']).run(50)).toEqual(['relay'])
})

test('source that is not current is asked again until it is', async () => {
  const sources = new FakeSources({ one: 'not-current', two: 'silent' })
  sources.clock.schedule(400, () => { sources.behaviours.one = 'accepting' })
  expect(await sources.run(700)).toEqual(['one'])
})

test('each source is asked once in a search that is not persistent', async () => {
  const sources = new FakeSources({ one: 'not-current' }, { isPersistent: false })
  sources.clock.schedule(100, () => { sources.behaviours.one = 'accepting' })
  expect(await sources.run(1_000)).toEqual([])
})

test('source is not joined when it is not needed any more', async () => {
  expect(await new FakeSources({ one: 'accepting' }, { isNeeded: async () => false }).run(1_000)).toEqual([])
})
