import { beforeEach, expect, test } from 'vitest'
import { ManualClock } from '@lagoonswitch/common'
import { LogSink } from './LogSink.js'

let clock: ManualClock
let lines: string[]
let finishWrite: (() => void) | undefined
let isOutputRead: boolean
let sink: LogSink

function write (event: string, fields: object = {}): void {
  sink.write(JSON.stringify({ level: 'info', ...fields, event }))
}

beforeEach(() => {
  clock = new ManualClock()
  lines = []
  isOutputRead = true
  sink = new LogSink((text, onWritten) => {
    lines.push(...text.split('\n').filter(line => line !== ''))
    if (isOutputRead) onWritten(null)
    else finishWrite = () => onWritten(null)
  }, clock)
})

test('event is written as one line of key=value pairs, quoted if necessary', () => {
  write('call_ended', { call: 'a1', reason: '', detail: 'two words\nand a line', took_ms: 1.23456 })
  expect(lines).toEqual(['level=info call=a1 detail="two words\\nand a line" took_ms=1.235 event=call_ended'])
})

test('rate of one event is limited, other events are written, and dropped lines are reported', async () => {
  for (let index = 0; index < 1_000; index++) write('call_ended', { index })
  expect(lines.length).toBeLessThanOrEqual(100)
  write('leader_elected')
  expect(lines.at(-1)).toContain('leader_elected')
  await clock.advance(1_000)
  write('call_ended')
  expect(lines.filter(line => line.includes('log_dropped')).join()).toMatch(/lines=9\d\d/)
})

test('line over the rate limit is not accepted and counts as dropped', async () => {
  for (let index = 0; index < 200; index++) if (sink.canAccept('call_ended')) write('call_ended', { index })
  expect(lines).toHaveLength(100)
  expect(sink.canAccept('leader_elected')).toBe(true)
  await clock.advance(1_000)
  write('call_ended')
  expect(lines.filter(line => line.includes('log_dropped')).join()).toContain('lines=100')
})

test('unread output neither blocks writers nor grows the buffer without limit', async () => {
  isOutputRead = false
  for (let second = 0; second < 200; second++) {
    for (let index = 0; index < 100; index++) write(`event_${index}`, { text: 'x'.repeat(100) })
    await clock.advance(1_000)
  }
  expect(lines.length).toBe(1)
  isOutputRead = true
  finishWrite?.()
  expect(lines.join('\n').length).toBeLessThan(400_000)
})

test('flush waits for all accepted lines', async () => {
  isOutputRead = false
  write('one')
  write('two')
  let isFlushed = false
  const flushed = sink.flush().then(() => { isFlushed = true })
  await clock.advance(1)
  expect(isFlushed).toBe(false)
  isOutputRead = true
  finishWrite?.()
  await flushed
  expect(lines.map(line => line.split('event=')[1])).toEqual(['one', 'two'])
})
