#!/usr/bin/env node
/**
 * Command line interface of lagoonswitch.
 */
import sade from 'sade'
import { readSettings } from '@lagoonswitch/schema'
import { EXIT_SETTINGS, runProcess } from './Runner.js'

const VERSION = '0.1.0'
async function checkSettings (file: string): Promise<void> {
  const settings = await readSettings(file)
  if (settings.ok) {
    console.log(`${file}: the settings are valid`)
    return
  }
  for (const error of settings.val) console.error(error.message)
  process.exit(EXIT_SETTINGS)
}

const program = sade('lagoonswitch').version(VERSION)
program.command('run', 'Run one process', { default: true })
  .option('--settings, -s', 'INI file of this process')
  .example('run --settings node.ini')
  .action(async (options: { settings?: string }) => {
    if (options.settings === undefined) {
      console.error('lagoonswitch: no settings; name an INI file with --settings FILE')
      process.exit(EXIT_SETTINGS)
    }
    await runProcess(options.settings)
  })
program.command('check <file>', 'Check a settings file without running')
  .action(checkSettings)
program.parse(process.argv)
