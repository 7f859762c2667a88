/**
 * When a node changes to a source in its own availability zone.
 */
import { expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import type { FeedSubscription } from './FeedSubscription.js'
import type { SourceFinder } from './SourceFinder.js'
import type { SourceSearch } from './SourceSearch.js'
import { ZoneSwitch } from './ZoneSwitch.js'

/** Longer than several waits between two attempts. */
const OBSERVATION_MS = 10_000

/** A switch whose searches last until they are disposed, and the number of searches begun. */
function createSwitch (clock: ManualClock): { zoneSwitch: ZoneSwitch, subscription: FeedSubscription, countSearches: () => number } {
  const subscription = { address: 'other zone' } as FeedSubscription
  let searches = 0
  const zoneSwitch = new ZoneSwitch({
    clock,
    finder: { isInOwnZone: () => false, hasControlInOwnZone: () => true, pickInOwnZone: () => 'own zone' } as unknown as SourceFinder,
    getSubscription: () => subscription,
    createSearch: () => {
      searches++
      let end = (): void => {}
      const run = async (): Promise<boolean> => await new Promise(resolve => { end = () => resolve(false) })
      return { run, dispose: () => end() } as unknown as SourceSearch
    },
    isControl: () => true,
    isServing: () => false
  })
  return { zoneSwitch, subscription, countSearches: () => searches }
}

test('switch that was disposed during its search is not tried again', async () => {
  const clock = new ManualClock()
  const { zoneSwitch, subscription, countSearches } = createSwitch(clock)
  zoneSwitch.scheduleSwitch(subscription, true, '')
  await clock.advance(OBSERVATION_MS)
  zoneSwitch.dispose()
  await clock.advance(OBSERVATION_MS)
  expect(countSearches()).toBe(1)
})
