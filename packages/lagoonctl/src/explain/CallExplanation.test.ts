import { expect, test } from 'vitest'
import { findExplanation } from './CallExplanation.js'
import { parseLogLine, type ILogLine } from './LogLine.js'

const LINE_PREFIX = 'level=info time=2026-06-25T13:32:01.'

function parseLines (...texts: string[]): ILogLine[] {
  return texts.map(text => {
    const [process = '', ...rest] = text.split(' ')
    const line = parseLogLine(rest.join(' '), process)
    if (line === undefined) throw new Error(`no event: ${text}`)
    return line
  })
}

test('line from a log collector keeps the process name that precedes its fields', () => {
  expect(parseLogLine('  41.58 node-3 level=warn time=2026-06-25T13:32:01.584Z error="a b" event=feed_lost', 'all.log'))
    .toMatchObject({ process: 'node-3', event: 'feed_lost', fields: { error: 'a b' } })
})

test('text that is not a log event is rejected', () => {
  expect(parseLogLine('a stack trace', 'all.log')).toBeUndefined()
  expect(parseLogLine('level=info event=call_ended', 'all.log')).toBeUndefined()
})

test('call without log lines has no explanation', () => {
  expect(findExplanation('c1', parseLines(`n1 ${LINE_PREFIX}100Z call=c2 outcome=refused event=call_ended`))).toBeUndefined()
})

test('refused call is explained with its retries and the events of its target, in chronological order', () => {
  const explanation = findExplanation('c1', parseLines(
    `n1 ${LINE_PREFIX}900Z call=c1 outcome=refused reason=deadline-queue run=not-run target=t2 sends=2 took_ms=80 catalogue=7 event=call_ended`,
    `n1 ${LINE_PREFIX}860Z call=c1 reason=queue-full target=t1 sends=1 event=call_repeated`,
    `n2 ${LINE_PREFIX}100Z target=t1 service=desk event=target_draining`,
    `n2 ${LINE_PREFIX}950Z target=t1 event=target_lease_over`,
    `n2 ${LINE_PREFIX}200Z target=t9 event=target_draining`
  ))
  expect(explanation?.lines.map(line => line.event)).toEqual(['target_draining', 'call_repeated', 'call_ended'])
  expect(explanation?.verdict).toMatch(
    /^refused at n1 after 80 ms, catalogue 7: deadline-queue: overload: .*not-run.*queue-full.*target_draining at n2$/)
})

test('error status of a response is attributed to the target', () => {
  const explanation = findExplanation('c1', parseLines(
    `n1 ${LINE_PREFIX}900Z call=c1 outcome=answered status=500 took_ms=9 catalogue=7 event=call_ended`))
  expect(explanation?.verdict).toMatch(/answered by the target with 500 .*the target failed, or a call that it made/)
})

test('verdict on a call without a logged end lists the possible causes', () => {
  const explanation = findExplanation('c1', parseLines(`n1 ${LINE_PREFIX}900Z call=c1 target=t1 send=1 event=call_sent`))
  expect(explanation?.verdict).toMatch(/no process logged its end/)
})
