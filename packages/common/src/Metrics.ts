/**
 * Counters by reason and latency percentiles, in Prometheus text format.
 */
import hdr from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

const HIGHEST_LATENCY_US = 600_000_000
const SIGNIFICANT_DIGITS = 2
const PERCENTILES = [50, 90, 99, 99.9]
const US_PER_MS = 1_000
const MS_PER_SECOND = 1_000
/** Number of series of one family, 12 kB each; further label values are recorded under {@link OVERFLOW_LABEL_VALUE}. */
const MAX_SERIES_PER_FAMILY = 256
const OVERFLOW_LABEL_VALUE = 'other'

/** Histogram of the latencies of one series. */
export class LatencyRecorder {
  private readonly _histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })

  /** @param durationMs - latency in milliseconds */
  record (durationMs: number): void {
    const us = Math.round(durationMs * US_PER_MS)
    this._histogram.recordValue(Math.min(Math.max(us, 1), HIGHEST_LATENCY_US))
  }

  /**
   * @param percentile - from 0 to 100
   * @returns the latency in milliseconds
   */
  getPercentileMs (percentile: number): number {
    return this._histogram.getValueAtPercentile(percentile) / US_PER_MS
  }

  /** @returns number of recorded events */
  getCount (): number {
    return this._histogram.totalCount
  }
}

/** Latencies of one kind of event by the value of a label, published as percentiles and counts. */
export class LatencyFamily {
  private readonly _recorders = new Map<string, LatencyRecorder>()

  /**
   * @param name - full metric name without unit
   * @param label - name of the label
   * @param registry - registry that publishes the family
   */
  constructor (name: string, label: string, registry: Registry) {
    const percentiles: Gauge<string> = new Gauge({
      name: `${name}_seconds`,
      help: `${name} by ${label} and percentile`,
      labelNames: [label, 'percentile'],
      registers: [registry],
      collect: () => {
        for (const [value, recorder] of this._recorders) {
          for (const percentile of PERCENTILES) {
            const labels = { [label]: value, percentile: String(percentile) }
            percentiles.set(labels, recorder.getPercentileMs(percentile) / MS_PER_SECOND)
          }
        }
      }
    })
    const counts: Gauge<string> = new Gauge({
      name: `${name}_count`,
      help: `events of ${name} by ${label}`,
      labelNames: [label],
      registers: [registry],
      collect: () => {
        for (const [value, recorder] of this._recorders) counts.set({ [label]: value }, recorder.getCount())
      }
    })
  }

  /**
   * @param value - value of the label
   * @param durationMs - latency in milliseconds
   */
  record (value: string, durationMs: number): void {
    this._getRecorder(value).record(durationMs)
  }

  private _getRecorder (value: string): LatencyRecorder {
    const known = this._recorders.get(value)
    if (known !== undefined) return known
    if (this._recorders.size >= MAX_SERIES_PER_FAMILY && value !== OVERFLOW_LABEL_VALUE) return this._getRecorder(OVERFLOW_LABEL_VALUE)
    const recorder = new LatencyRecorder()
    this._recorders.set(value, recorder)
    return recorder
  }
}

/** Registry of all metrics of one process. */
export class Metrics {
  private readonly _registry = new Registry()
  /** A separate registry, so that the counters come first for readers that take only the first part of the page. */
  private readonly _latencies = new Registry()
  /** Counts by metric and reason, copied to the registry at each scrape: its own counters are too slow to be updated for each call. */
  private readonly _counts = new Map<string, Map<string, number>>()
  private readonly _families = new Map<string, LatencyFamily>()

  /**
   * Counts one event.
   * @param name - metric name without prefix, ending in `_total`
   * @param reason - value of the label `reason`
   * @param amount - number of events
   */
  count (name: string, reason: string, amount = 1): void {
    const counts = this._counts.get(name) ?? this._addCounts(name)
    counts.set(reason, (counts.get(reason) ?? 0) + amount)
  }

  /**
   * Adds a gauge whose value is read at each scrape.
   * @param name - metric name without prefix
   * @param readValue - returns the current value
   */
  addGauge (name: string, readValue: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `lagoonswitch_${name}`,
      help: name,
      registers: [this._registry],
      collect: () => gauge.set(readValue())
    })
  }

  /**
   * Adds a gauge with one series for each value of a label, which are read at each scrape; a bounded number of them is published.
   * @param name - metric name without prefix
   * @param label - name of the label
   * @param listValues - returns label values and their current values
   */
  addGaugeFamily (name: string, label: string, listValues: () => Iterable<readonly [string, number]>): void {
    const gauge: Gauge<string> = new Gauge({
      name: `lagoonswitch_${name}`,
      help: `${name} by ${label}`,
      labelNames: [label],
      registers: [this._registry],
      collect: () => {
        gauge.reset()
        let count = 0
        for (const [value, current] of listValues()) {
          if (++count > MAX_SERIES_PER_FAMILY) break
          gauge.set({ [label]: value }, current)
        }
      }
    })
  }

  /**
   * Returns the latencies of one kind of event, creating the family on first use.
   * @param name - metric name without prefix and unit
   * @param label - name of the label that distinguishes its series
   * @returns the family
   */
  getLatencyFamily (name: string, label: string): LatencyFamily {
    const known = this._families.get(name)
    if (known !== undefined) return known
    const family = new LatencyFamily(`lagoonswitch_${name}`, label, this._latencies)
    this._families.set(name, family)
    return family
  }

  /**
   * Reads a counter, for tests.
   * @param name - metric name without prefix
   * @param reason - value of the label `reason`
   * @returns the count, 0 when there were no events
   */
  readCount (name: string, reason: string): number {
    return this._counts.get(name)?.get(reason) ?? 0
  }

  /** @returns all metrics in Prometheus text format, counters first */
  async format (): Promise<string> {
    return await this._registry.metrics() + await this._latencies.metrics()
  }

  private _addCounts (name: string): Map<string, number> {
    const counts = new Map<string, number>()
    this._counts.set(name, counts)
    const counter: Counter<string> = new Counter({
      name: `lagoonswitch_${name}`,
      help: `${name} by reason`,
      labelNames: ['reason'],
      registers: [this._registry],
      collect: () => {
        counter.reset()
        for (const [reason, count] of counts) counter.inc({ reason }, count)
      }
    })
    return counts
  }
}
