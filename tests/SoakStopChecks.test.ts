/**
 * The checks of the soak of planned stops find lost and replaced responses, so that a soak without violations means something.
 */
import { expect, test } from 'vitest'
// @ts-expect-error the soak is plain JavaScript
import { StopChecks } from '../bench/soak/StopChecks.mjs'

const STOP = { node: 'n1', termMs: 10_000, exitMs: 15_500, timeoutMs: 6_000, isKilled: false }
const RUN = { id: 'x', node: 'n2', startMs: 12_010, endMs: 12_100 }
const CUT = {
  id: 'x',
  node: 'n1',
  kind: 'kept',
  method: 'GET',
  path: '/',
  bytes: 400,
  readMs: 100,
  openedMs: 9_000,
  startMs: 12_000,
  sentMs: 12_000,
  endMs: 15_500,
  end: 'closed',
  status: 0,
  receivedBytes: 0,
  isWhole: false,
  isBehindClose: false
}
const REFUSED = { end: 'answered', status: 503 }
const WHOLE = { end: 'answered', status: 200, isWhole: true }

test.each<[string, object, object[], string[]]>([
  ['whole response', WHOLE, [RUN], []],
  ['run call that is cut at the end of a stop', {}, [RUN], ['LOST']],
  ['run call that is cut outside of a stop', { startMs: 1_000, sentMs: 1_000, endMs: 1_200 }, [RUN], ['LOST']],
  ['response in place of that of a running target', { end: 'answered', status: 502, endMs: 13_000 }, [{ ...RUN, endMs: undefined }], ['REPLACED']],
  ['call sent early that runs in the last sixth', { ...REFUSED, status: 502 }, [{ ...RUN, endMs: 15_100 }], []],
  ['call sent late that runs in the last sixth', { startMs: 13_100, sentMs: 13_100 }, [{ ...RUN, endMs: 15_100 }], ['LOST']],
  ['call at its deadline', { startMs: 6_000, sentMs: 6_000 }, [RUN], []],
  ['caller that reads later than the stop lasts', { readMs: 4_100 }, [RUN], []],
  ['request that is not sent whole', { sentMs: undefined }, [RUN], []],
  ['request that crosses the close', { startMs: 15_400, sentMs: 15_400 }, [], []],
  ['request that crosses the close, noticed late', { startMs: 15_400, sentMs: 15_400, endMs: 17_000 }, [], []],
  ['request that waits and is cut', {}, [], ['UNANSWERED']],
  ['request behind a response that closes', { isBehindClose: true }, [], []],
  ['request to a node without a process', { isUnreached: true }, [], []],
  ['refused request', REFUSED, [], []],
  ['refused request that has run', { ...REFUSED, method: 'POST' }, [RUN], ['REFUSED', 'REPLACED']],
  ['unsafe call that runs twice', { ...WHOLE, method: 'POST' }, [RUN, RUN], ['TWICE']],
  ['response of another call', { ...WHOLE, isWhole: false }, [RUN], ['MIXED', 'REPLACED']]
])('check of the soak of planned stops: %s', (_name, changes, runs, expected) => {
  const { violations } = new StopChecks([{ ...CUT, ...changes }], runs, [STOP], 9_000).find()
  expect(violations.map(({ rule }: { rule: string }) => rule)).toEqual(expected)
})

test('check of the soak of planned stops: stop that is killed at its timeout', () => {
  const { violations } = new StopChecks([], [], [{ ...STOP, isKilled: true }], 9_000).find()
  expect(violations).toMatchObject([{ rule: 'KILLED' }])
})
