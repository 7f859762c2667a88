#!/usr/bin/env node
/**
 * Command line of the fleet model.
 */
import { writeFile } from 'node:fs/promises'
import sade from 'sade'
import type { SettingsError } from '@lagoonswitch/common'
import { applyArguments, parseArguments, type IFleetArguments, type IFleetOptions } from './FleetArguments.js'
import { playAll } from './FleetPool.js'
import { parseSite, readSite } from './FleetSite.js'
import type { IRunResult } from './FleetWorker.js'
import { plotPropagation, type IPlotLine } from './PropagationPlot.js'
import { formatReport, formatSummary, formatViolations } from './ReportText.js'

const EXIT_BROKEN = 1
const EXIT_USAGE = 2

interface IOptions extends IFleetOptions {
  readonly site?: string
  readonly plot?: string
}

/** Plays all runs and prints them; returns the exit code. */
async function run (options: IOptions): Promise<number> {
  const site = options.site === undefined ? parseSite('', 'default site') : await readSite(options.site)
  if (site.err) return refuse(site.val)
  const parsed = parseArguments(options)
  if (parsed.err) return refuse([parsed.val])
  const args = parsed.val
  const kinds = args.faults ?? site.val.faults.kinds
  const mixes = options.plot === undefined ? [args] : kinds.map(kind => ({ ...args, faults: [kind], count: 1 }))
  const lines: IPlotLine[] = []
  for (const mix of mixes) {
    const tasks = applyArguments(site.val, mix).flatMap(settings => mix.seeds.map(seed => ({ settings, seed })))
    const results = await playAll(tasks, mix.jobs, result => printResult(result, mix, options.site))
    lines.push({ name: mix.faults?.join(', ') ?? 'faults of the site', reports: results.map(({ report }) => report) })
  }
  const reports = lines.flatMap(line => line.reports)
  for (const line of formatSummary(reports)) console.log(line)
  if (options.plot !== undefined) await writeFile(options.plot, plotPropagation(lines, site.val.bounds.propagationMs))
  return reports.some(({ violations }) => violations.length > 0) ? EXIT_BROKEN : 0
}

function printResult ({ task, report }: IRunResult, { faults, count }: IFleetArguments, site: string | undefined): void {
  console.log(formatReport(report))
  if (report.violations.length === 0) return
  for (const line of formatViolations(report)) console.log(line)
  const options = [`--nodes ${report.nodes}`, `--seeds ${task.seed}`]
  if (site !== undefined) options.unshift(`--site ${site}`)
  if (faults !== undefined) options.push(`--faults ${faults.join(',')}`)
  if (count !== undefined) options.push(`--count ${count}`)
  console.log(`  repeat with: npm run fleet -- ${options.join(' ')}`)
}

function refuse (errors: readonly SettingsError[]): number {
  for (const { message } of errors) console.error(`fleet: ${message}`)
  return EXIT_USAGE
}

sade('fleet', true)
  .describe('Plays the feed of a whole fleet in virtual time.')
  .option('--site', 'INI file with the fleet, its load and its faults')
  .option('--nodes', 'Numbers of nodes, comma-separated; by default the one of the site')
  .option('--seeds', 'A seed or a range of seeds', '1')
  .option('--faults', 'Kinds of faults, comma-separated; by default those of the site')
  .option('--count', 'Faults of a run; by default the number of the site')
  .option('--jobs', 'Runs at a time', '1')
  .option('--plot', 'File for a plot (SVG) in which each kind of fault is played alone')
  .example('--nodes 30,200 --seeds 1-20 --jobs 4')
  .action(async (options: IOptions) => { process.exitCode = await run(options) })
  .parse(process.argv, {
    unknown: option => {
      console.error(`fleet: unknown option ${option}; use --help`)
      process.exit(EXIT_USAGE)
    }
  })
