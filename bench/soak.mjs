#!/usr/bin/env node
/**
 * Plays seeded soaks: real processes under random faults that overlap. Exits with 1 if a promise was broken.
 */
import sade from 'sade'
import { SoakRun } from './soak/SoakRun.mjs'

const EXIT_BROKEN = 1

/** Plays seeds one after the other and prints a line for each, and the violations. */
async function playSeeds ({ seed, count, seconds, controls, nodes, program }) {
  let broken = 0
  for (let index = 0; index < count; index++) {
    const run = new SoakRun({ seed: seed + index, controls, nodes, program, lengthMs: seconds * 1_000 })
    const result = await run.play()
    const folder = await run.stop()
    const { served, refused, failed, published, uploads, keys, hangs, violations } = result
    console.log(`seed ${seed + index}: ${run.actions.length} faults, served ${served}, refused ${refused}, failed ${failed}, ` +
      `published ${published}, ` +
      `uploads ${uploads}, keys ${keys}, hangs ${hangs}, violations ${violations.length}`)
    if (violations.length === 0) continue
    broken++
    for (const violation of violations) console.log(`  ${violation}`)
    console.log(`  logs: ${folder}`)
    for (const action of run.actions) console.log(`  ${action}`)
  }
  return broken
}

sade('soak', true)
  .option('--seed', 'first seed', 1)
  .option('--count', 'number of seeds', 1)
  .option('--seconds', 'time with faults for each seed', 15)
  .option('--controls', 'control VMs', 3)
  .option('--nodes', 'nodes, each with a target', 3)
  .option('--program', 'bundled program', 'target/lagoonswitch.cjs')
  .action(async options => { process.exit(await playSeeds(options) > 0 ? EXIT_BROKEN : 0) })
  .parse(process.argv)
