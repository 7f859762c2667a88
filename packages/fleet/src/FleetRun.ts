/**
 * One run of a fleet: a start, publications, and faults that a seed chooses.
 */
import hdr from 'hdr-histogram-js'
import { SeededRandom, type IRandom } from '@lagoonswitch/common'
import type { FaultKind } from './FaultKinds.js'
import { startFault } from './Faults.js'
import { Fleet } from './Fleet.js'
import { FleetCheck, type IViolation } from './FleetCheck.js'
import { createFleetSite, type ISiteSettings } from './FleetSite.js'

const SAMPLE_INTERVAL_MS = 50
/** Highest propagation time that is recorded, in milliseconds. */
const MAX_RECORDED_MS = 60_000
/** Multiplicative hash; the first numbers of adjacent seeds are alike. */
const SEED_MULTIPLIER = 0x9E3779B1

/** A fault of a run. */
export interface IPlannedFault {
  readonly kind: FaultKind
  /** Time after the start of the load, in milliseconds. */
  readonly atMs: number
  readonly durationMs: number
}

/** Figures of a run. */
export interface IRunReport {
  readonly seed: number
  readonly nodes: number
  readonly faults: readonly IPlannedFault[]
  readonly violations: readonly IViolation[]
  readonly publications: number
  /** Time from acknowledgement to in place at nodes that were not disturbed, in milliseconds. */
  readonly propagationMs: { readonly p50: number, readonly p99: number, readonly max: number }
  /** Longest time that an undisturbed node was without a source, in milliseconds. */
  readonly maxWithoutSourceMs: number
  /** Longest time that a message waited for the link of a node, in milliseconds. */
  readonly maxLinkWaitMs: number
  /** Rate between zones during the load, in kB/s for each node. */
  readonly crossZoneRate: number
  /** Processor time of the busiest control VM during the load, in milliseconds of a whole core for each second. */
  readonly controlProcessorMs: number
}

/**
 * Chooses the faults of a run.
 * @param settings - of the site
 * @param random - source of the choices
 * @returns the faults by time
 */
export function planFaults ({ faults, load }: ISiteSettings, random: IRandom): IPlannedFault[] {
  const planned = Array.from({ length: faults.count }, () => ({
    kind: faults.kinds[Math.floor(random.draw() * faults.kinds.length)] ?? 'roll-out',
    atMs: Math.round(random.draw() * load.durationMs / 2),
    durationMs: Math.round(faults.minDurationMs + random.draw() * (faults.maxDurationMs - faults.minDurationMs))
  }))
  return planned.sort((one, other) => one.atMs - other.atMs)
}

/** Plays one seed. */
export class FleetRun {
  private readonly _fleet: Fleet
  private readonly _check: FleetCheck
  private readonly _faults: readonly IPlannedFault[]
  private readonly _random: IRandom

  /**
   * @param _settings - of the site
   * @param _seed - of all random choices
   */
  constructor (private readonly _settings: ISiteSettings, private readonly _seed: number) {
    this._fleet = new Fleet(createFleetSite(_settings), _seed)
    this._check = new FleetCheck(this._fleet, _settings.bounds)
    this._random = new SeededRandom(Math.imul(_seed, SEED_MULTIPLIER))
    this._faults = planFaults(_settings, this._random)
  }

  /** @returns the figures, once the load and the time for its last publication have passed */
  async play (): Promise<IRunReport> {
    const { load, bounds, fleet: { nodes } } = this._settings
    const { time, operator, network } = this._fleet
    await this._fleet.start()
    this._check.checkReady()
    const startMs = time.readMonotonicMs()
    const startBytes = network.crossZoneBytes
    const startProcessorMs = this._fleet.controls.map(({ machine }) => machine.processorMs)
    this._fleet.addNodes(Math.round(nodes * load.addedNodes))
    for (const fault of this._faults) this._scheduleFault(fault)
    void operator.publishUntil(load.publicationIntervalMs, startMs + load.durationMs)
    const endMs = startMs + load.durationMs + bounds.propagationMs
    while (time.readMonotonicMs() < endMs) {
      await time.runUntil(time.readMonotonicMs() + SAMPLE_INTERVAL_MS)
      this._check.sample()
    }
    const seconds = (endMs - startMs) / 1_000
    const processorMs = this._fleet.controls.map(({ machine }, index) => machine.processorMs - (startProcessorMs[index] ?? 0))
    const report: IRunReport = {
      seed: this._seed,
      nodes,
      faults: this._faults,
      violations: this._check.violations,
      publications: operator.acknowledgedMs.size,
      propagationMs: this._measurePropagation(startMs),
      maxWithoutSourceMs: this._check.maxWithoutSourceMs,
      maxLinkWaitMs: Math.max(...this._fleet.nodes.map(({ machine }) => machine.maxLinkWaitMs)),
      crossZoneRate: (network.crossZoneBytes - startBytes) / 1_000 / seconds / this._fleet.nodes.length,
      controlProcessorMs: Math.max(...processorMs) / seconds
    }
    this._fleet.dispose()
    return report
  }

  private _scheduleFault ({ kind, atMs, durationMs }: IPlannedFault): void {
    const { time } = this._fleet
    time.schedule(atMs, () => {
      const fault = startFault(kind, this._fleet, this._random)
      time.schedule(durationMs, () => fault.dispose())
    })
  }

  /** A newer publication covers all older ones. */
  private _measurePropagation (startMs: number): IRunReport['propagationMs'] {
    const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_RECORDED_MS, numberOfSignificantValueDigits: 3 })
    const acknowledged = [...this._fleet.operator.acknowledgedMs].filter(([, ms]) => ms >= startMs).reverse()
    for (const { machine, readyMs, appliedMs } of this._fleet.nodes) {
      if (machine.undisturbedSinceMs > startMs) continue
      let inPlaceMs = Infinity
      for (const [number, acknowledgedMs] of acknowledged) {
        inPlaceMs = Math.min(inPlaceMs, appliedMs.get(number) ?? Infinity)
        if (readyMs > acknowledgedMs || !Number.isFinite(inPlaceMs)) continue
        histogram.recordValue(Math.min(MAX_RECORDED_MS, Math.max(1, Math.round(inPlaceMs - acknowledgedMs))))
      }
    }
    return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue }
  }
}
