/**
 * Reads and validates the INI settings file of a process.
 */
import { readFile } from 'node:fs/promises'
import { Err, Ok, SettingsError, formatError, type Result } from '@lagoonswitch/common'
import { SETTINGS_SCHEMA, type ISettings } from '../generated/SettingsSchema.js'
import { readSections } from './SectionReader.js'

const LOOPBACK_HOSTS = new Set(['localhost', '::1'])

/**
 * Reads a settings file.
 * @param file - path of the INI file
 * @returns the settings, or one error per problem
 */
export async function readSettings (file: string): Promise<Result<ISettings, SettingsError[]>> {
  const text = await readSettingsText(file)
  return text.err ? text : parseSettings(text.val, file)
}

/**
 * Reads the text of a settings file.
 * @param file - path of the INI file
 * @returns the text, or an error if the file cannot be read
 */
export async function readSettingsText (file: string): Promise<Result<string, SettingsError[]>> {
  try {
    return Ok(await readFile(file, 'utf8'))
  } catch (error) {
    return Err([new SettingsError(file, 0, 'file', formatError(error), 'name a readable INI file')])
  }
}

/**
 * Parses settings from text.
 * @param text - the INI text
 * @param file - file name used in error messages
 * @returns the settings, or one error per problem
 */
export function parseSettings (text: string, file: string): Result<ISettings, SettingsError[]> {
  const { values, errors, lines } = readSections(text, file, SETTINGS_SCHEMA)
  const settings = values as unknown as ISettings
  // A key with an invalid value has no field.
  if (settings.control.members?.length === 0 && settings.control.seeds?.length === 0) {
    errors.push(new SettingsError(file, 0, '[control] members', 'not set', 'set members, or seeds'))
  }
  if (errors.length > 0) return Err(errors)
  const conflicts = checkSettings(settings, file, lines)
  return conflicts.length > 0 ? Err(conflicts) : Ok(settings)
}

/**
 * Tells whether a host is a loopback address.
 * @param host - host name or IP address
 * @returns true for loopback
 */
export function isLoopback (host: string): boolean {
  return LOOPBACK_HOSTS.has(host) || host.startsWith('127.')
}

function checkSettings (settings: ISettings, file: string, lines: ReadonlyMap<string, number>): SettingsError[] {
  const errors: SettingsError[] = []
  const report = (key: string, problem: string, remedy: string): void => {
    errors.push(new SettingsError(file, lines.get(key) ?? 0, key, problem, remedy))
  }
  const isControl = settings.process.roles.includes('control')
  if (isControl && settings.process.dataFolder === '') {
    report('[process] data_folder', 'the control role requires a data folder', 'set data_folder to a folder on a disk')
  }
  const { members, seeds, tokenFile, openOperators } = settings.control
  if (isControl && tokenFile === '' && !openOperators && !isLoopback(settings.listen.operators.host)) {
    report('[control] token_file', 'operators would be admitted from other machines without a token',
      'set token_file, listen on 127.0.0.1, or set open_operators in a closed network')
  }
  if (members.length > 0 && seeds.length > 0) {
    report('[control] members', 'the control VMs are configured twice', 'set either members or seeds')
  }
  const { caFile, certFile, keyFile } = settings.tls
  const setFileCount = [caFile, certFile, keyFile].filter(value => value !== '').length
  if (setFileCount !== 0 && setFileCount !== 3) {
    report('[tls] ca_file', 'only some of the certificate files are set', 'set ca_file, cert_file and key_file, or none')
  }
  if (settings.control.electionTimeoutMs < settings.control.heartbeatMs * 3) {
    report('[control] election_timeout', 'it is shorter than three heartbeats', 'raise it or shorten heartbeat')
  }
  return errors
}
