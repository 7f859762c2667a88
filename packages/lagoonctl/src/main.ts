#!/usr/bin/env node
/**
 * Command line interface of lagoonctl.
 */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import sade from 'sade'
import { SettingsError, formatError, parseDurationMs } from '@lagoonswitch/common'
import { Commands, EXIT } from './Commands.js'
import { computeInputDigest } from './KeyDigest.js'
import { OperatorClient } from './OperatorClient.js'

const VERSION = '0.1.0'
const DEFAULT_CONTROL = '127.0.0.1:7083'
const DEFAULT_WAIT = '10m'

interface IOptions {
  control: string
  'token-file'?: string
  json?: boolean
  prune?: boolean
  'request-id'?: string
  timeout?: string
  targets?: boolean
}

async function createCommands (options: IOptions): Promise<Commands> {
  const token = await readToken(options['token-file'])
  return new Commands(new OperatorClient(options.control.split(','), token), options.json === true)
}

async function readToken (file: string | undefined): Promise<string> {
  if (file === undefined) return process.env.LAGOONCTL_TOKEN ?? ''
  try {
    return (await readFile(file, 'utf8')).trim()
  } catch (error) {
    throw new SettingsError(file, 0, '--token-file', formatError(error), 'name a readable file')
  }
}

async function run (options: IOptions, command: (commands: Commands) => Promise<number>): Promise<void> {
  try {
    process.exitCode = await command(await createCommands(options))
  } catch (error) {
    console.error(`lagoonctl: ${formatError(error)}`)
    process.exitCode = error instanceof SettingsError ? EXIT.usage : EXIT.failed
  }
}

function readTimeoutMs (text: string): number {
  const timeoutMs = parseDurationMs(text)
  if (timeoutMs !== undefined) return timeoutMs
  throw new SettingsError('command line', 0, '--timeout', `'${text}' is not a duration`, 'use a number and a unit, such as 30s or 10m')
}

const program = sade('lagoonctl').version(VERSION)
  .option('--control, -c', 'Operators\' listeners of the control VMs, comma-separated', DEFAULT_CONTROL)
  .option('--token-file', 'File with the operator\'s token; or set LAGOONCTL_TOKEN')
  .option('--json', 'Print JSON')
program.command('check <path>', 'Check declarations without a control VM')
  .action(async (path: string, options: IOptions) => await run(options, async commands => await commands.check(path)))
program.command('apply <path>', 'Apply declarations from a file or folder')
  .option('--prune', 'Remove entries that are not declared')
  .option('--request-id', 'Id to send again after a lost answer')
  .action(async (path: string, options: IOptions) => await run(options, async commands =>
    await commands.apply(path, options.prune === true, options['request-id'] ?? '')))
program.command('diff <path>', 'Show what apply would change')
  .option('--prune', 'Show entries that would be removed')
  .action(async (path: string, options: IOptions) => await run(options, async commands =>
    await commands.showDifference(path, options.prune === true)))
program.command('get [name]', 'Print entries')
  .action(async (name: string | undefined, options: IOptions) => await run(options, async commands => await commands.get(name)))
program.command('export', 'Print the whole catalogue as declarations')
  .action(async (options: IOptions) => await run(options, async commands => await commands.exportEntries()))
program.command('status', 'Print the state of control VMs, nodes and targets')
  .option('--targets', 'List each target instead of counting them by service, version and availability zone')
  .action(async (options: IOptions) => await run(options, async commands => await commands.showStatus(options.targets === true)))
program.command('moves', 'Print all moves')
  .action(async (options: IOptions) => await run(options, async commands => await commands.showMoves()))
program.command('move wait <service>', 'Wait until a move is done or taken back')
  .option('--timeout', 'Longest wait', DEFAULT_WAIT)
  .action(async (service: string, options: IOptions) => await run(options, async commands =>
    await commands.waitMove(service, readTimeoutMs(options.timeout ?? DEFAULT_WAIT))))
program.command('members replace <name> <address>', 'Add a control VM, or replace one that lost its disk')
  .action(async (name: string, address: string, options: IOptions) => await run(options, async commands =>
    await commands.replaceMember(name, address)))
program.command('members remove <name>', 'Remove a control VM')
  .action(async (name: string, options: IOptions) => await run(options, async commands => await commands.removeMember(name)))
program.command('key digest', 'Print the digest of a key read from standard input, for key_digests of an account')
  .action(async () => {
    const digest = computeInputDigest(await text(process.stdin))
    if (digest.ok) console.log(digest.val)
    else console.error(`lagoonctl: ${digest.val.message}`)
    process.exitCode = digest.ok ? EXIT.ok : EXIT.usage
  })
program.command('explain <call>', 'Explain a call from logs: files after the id, or standard input')
  .example('explain 9c41d07be2a35f68 node-1.log node-2.log')
  .action(async (call: string, options: IOptions & { _: string[] }) => await run(options, async commands =>
    await commands.explainCall(call, options._)))
program.parse(process.argv)
