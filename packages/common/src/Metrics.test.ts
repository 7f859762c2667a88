import { expect, test } from 'vitest'
import { Metrics } from './Metrics.js'

test('publishes latencies by label, in seconds', async () => {
  const metrics = new Metrics()
  for (let index = 0; index < 10; index++) metrics.getLatencyFamily('call_duration', 'route').record('a', 250)
  metrics.getLatencyFamily('call_duration', 'route').record('b', 1_000)
  const text = await metrics.format()
  expect(text).toMatch(/lagoonswitch_call_duration_seconds\{route="a",percentile="50"\} 0\.25/)
  expect(text).toContain('lagoonswitch_call_duration_count{route="a"} 10')
  expect(text).toContain('lagoonswitch_call_duration_count{route="b"} 1')
})

test('series beyond the limit share one series', async () => {
  const metrics = new Metrics()
  for (let index = 0; index < 300; index++) metrics.getLatencyFamily('call_duration', 'route').record(`r${index}`, 1)
  const lines = (await metrics.format()).split('\n').filter(line => line.startsWith('lagoonswitch_call_duration_count'))
  expect(lines.length).toBe(257)
  expect(lines).toContain('lagoonswitch_call_duration_count{route="other"} 44')
})

test('publishes counters before latencies, whichever was used first', async () => {
  const metrics = new Metrics()
  metrics.getLatencyFamily('attempt_duration', 'target').record('t1', 1)
  metrics.count('retries_total', 'answer')
  const text = await metrics.format()
  expect(text.indexOf('lagoonswitch_retries_total')).toBeLessThan(text.indexOf('lagoonswitch_attempt_duration'))
})
