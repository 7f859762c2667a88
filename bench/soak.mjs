#!/usr/bin/env node
/**
 * Plays seeded soaks: real processes under random faults that overlap, or under planned stops only. Exits with 1 if a promise was broken.
 */
import sade from 'sade'
import { SoakRun } from './soak/SoakRun.mjs'
import { StopRun } from './soak/StopRun.mjs'

const EXIT_BROKEN = 1

/** Plays seeds one after the other and prints a line for each, and the violations. */
async function playSeeds ({ seed, count, seconds, controls, nodes, program, plan, 'kept-open': keptOpen }) {
  let broken = 0
  for (let index = 0; index < count; index++) {
    const options = { seed: seed + index, controls, nodes, program, lengthMs: seconds * 1_000, keptOpen }
    const run = plan === 'stops' ? new StopRun(options) : new SoakRun(options)
    const result = await run.play()
    const stopLines = plan === 'stops' ? run.listStopLines() : []
    const folder = await run.stop()
    console.log(`seed ${seed + index}: ${plan === 'stops' ? formatStops(result) : formatFaults(run, result)}, violations ${result.violations.length}`)
    if (result.violations.length === 0) continue
    broken++
    for (const violation of result.violations) console.log(`  ${violation}`)
    console.log(`  logs: ${folder}`)
    for (const line of [...run.actions, ...stopLines]) console.log(`  ${line}`)
  }
  return broken
}

function formatFaults ({ actions }, { served, refused, failed, published, uploads, keys, hangs }) {
  return `${actions.length} faults, served ${served}, refused ${refused}, failed ${failed}, published ${published}, uploads ${uploads}, keys ${keys}, hangs ${hangs}`
}

function formatStops ({ stopsMs, stallMs, served, allowed, kinds }) {
  return `${stopsMs.length} stops in ${stopsMs.join(' ')} ms, stall ${stallMs} ms, served ${served}, without a whole response ${JSON.stringify(allowed)}, broken ${JSON.stringify(kinds)}`
}

sade('soak', true)
  .option('--seed', 'first seed', 1)
  .option('--count', 'number of seeds', 1)
  .option('--seconds', 'time with faults for each seed', 15)
  .option('--controls', 'control VMs', 3)
  .option('--nodes', 'nodes, each with a target', 3)
  .option('--plan', 'faults, or stops: planned stops of nodes only', 'faults')
  .option('--kept-open', 'share of callers that keep their direction open when the node has closed its own (stops)', 0.5)
  .option('--program', 'bundled program', 'target/lagoonswitch.cjs')
  .action(async options => { process.exit(await playSeeds(options) > 0 ? EXIT_BROKEN : 0) })
  .parse(process.argv)
