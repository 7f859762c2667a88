/**
 * Reads and validates INI text against a schema of sections.
 */
import { parse } from 'ini'
import { Err, Ok, SettingsError, parseDurationMs, type Result } from '@lagoonswitch/common'
import type { IKeySchema, ISectionSchema, SectionValues } from './SettingTypes.js'

type SettingValue =
  string | number | boolean | string[] | { host: string, port: number } | Array<{ host: string, port: number }> |
  Array<{ name: string, address: string }>

const MAX_PORT = 65_535

/** What was read from INI text. */
export interface ISections<Values> {
  /** The values by section and field name; incomplete if there are errors. */
  readonly values: Values
  /** One error for each problem. */
  readonly errors: SettingsError[]
  /** Line of each section and key, such as `[listen]` and `[listen] peers`. */
  readonly lines: ReadonlyMap<string, number>
}

/**
 * Reads all sections of INI text.
 * @param text - the INI text
 * @param file - file name used in error messages
 * @param schema - sections and their keys
 * @returns the values, and one error for each problem
 */
export function readSections<Schema extends Readonly<Record<string, ISectionSchema>>> (
  text: string, file: string, schema: Schema
): ISections<SectionValues<Schema>> {
  const raw: Record<string, unknown> = parse(text)
  const lines = findLines(text)
  const errors: SettingsError[] = []
  const result: Record<string, Record<string, SettingValue>> = {}
  reportUnknownKeys(raw, schema, file, lines, errors)
  for (const [section, { keys }] of Object.entries<ISectionSchema>(schema)) {
    const values: Record<string, SettingValue> = {}
    for (const [key, keySchema] of Object.entries(keys)) {
      const path = `[${section}] ${key}`
      const parsed = parseKey(readRaw(raw, section, key), keySchema)
      if (parsed.ok) {
        values[toFieldName(key, keySchema)] = parsed.val
      } else {
        errors.push(new SettingsError(file, lines.get(path) ?? 0, path, parsed.val.problem, parsed.val.remedy))
      }
    }
    result[section] = values
  }
  return { values: result as SectionValues<Schema>, errors, lines }
}

function readRaw (raw: Record<string, unknown>, section: string, key: string): string | undefined {
  const values = raw[section]
  if (typeof values !== 'object' || values === null) return undefined
  const value = (values as Record<string, unknown>)[key]
  return value === undefined ? undefined : String(value)
}

function reportUnknownKeys (
  raw: Record<string, unknown>, schema: Readonly<Record<string, ISectionSchema | undefined>>, file: string,
  lines: ReadonlyMap<string, number>, errors: SettingsError[]
): void {
  for (const [section, values] of Object.entries(raw)) {
    const known = Object.hasOwn(schema, section) ? schema[section] : undefined
    if (known === undefined || typeof values !== 'object' || values === null) {
      errors.push(new SettingsError(file, lines.get(`[${section}]`) ?? 0, `[${section}]`, 'unknown section',
        `use one of ${Object.keys(schema).join(', ')}`))
      continue
    }
    for (const key of Object.keys(values)) {
      if (Object.hasOwn(known.keys, key)) continue
      const path = `[${section}] ${key}`
      errors.push(new SettingsError(file, lines.get(path) ?? 0, path, 'unknown key',
        `use one of ${Object.keys(known.keys).join(', ')}`))
    }
  }
}

interface IValueProblem {
  problem: string
  remedy: string
}

function parseKey (rawValue: string | undefined, keySchema: IKeySchema): Result<SettingValue, IValueProblem> {
  const text = (keySchema.emptyIsDefault === true && isEmptyValue(rawValue, keySchema) ? undefined : rawValue) ?? keySchema.default
  if (text === undefined || (keySchema.required === true && text === '')) {
    return Err({ problem: 'not set', remedy: `set it: ${keySchema.description}` })
  }
  switch (keySchema.type) {
    case 'string': return Ok(text)
    case 'integer': return parseInteger(text, keySchema)
    case 'duration': return parseDuration(text)
    case 'address': return parseAddress(text)
    case 'members': return parseMembers(text)
    case 'addresses': return parseAddresses(text)
    case 'flag': return parseFlag(text)
    case 'ratio': return parseRatio(text)
    case 'quantity': return parseQuantity(text, keySchema)
    case 'enum': return parseChoice(text, keySchema)
    case 'list': return parseList(text, keySchema)
  }
}

/** The value of a duration whose placeholder is empty is its unit alone. */
function isEmptyValue (rawValue: string | undefined, { type }: IKeySchema): boolean {
  return rawValue === '' || (type === 'duration' && /^(ms|s|m|h|d)$/.test(rawValue ?? ''))
}

function parseInteger (text: string, keySchema: IKeySchema): Result<number, IValueProblem> {
  const value = Number(text)
  const min = keySchema.min ?? 0
  const max = keySchema.max ?? Number.MAX_SAFE_INTEGER
  if (/^\d+$/.test(text) && value >= min && value <= max) return Ok(value)
  return Err({ problem: `'${text}' is out of range`, remedy: `use a whole number from ${min} to ${max}` })
}

function parseDuration (text: string): Result<number, IValueProblem> {
  const value = parseDurationMs(text)
  if (value !== undefined && value > 0) return Ok(value)
  return Err({ problem: `'${text}' is not a duration`, remedy: 'use a number and a unit, such as 250ms, 2s or 24h' })
}

function parseAddress (text: string): Result<{ host: string, port: number }, IValueProblem> {
  const match = /^\[?([^\]]+?)\]?:(\d+)$/.exec(text)
  const port = Number(match?.[2])
  if (match?.[1] !== undefined && port <= MAX_PORT) return Ok({ host: match[1], port })
  return Err({ problem: `'${text}' is not an address`, remedy: 'use HOST:PORT, such as 127.0.0.1:7082' })
}

function parseAddresses (text: string): Result<Array<{ host: string, port: number }>, IValueProblem> {
  const addresses: Array<{ host: string, port: number }> = []
  for (const part of text.split(',').map(item => item.trim()).filter(item => item !== '')) {
    const address = parseAddress(part)
    if (address.err) return address
    addresses.push(address.val)
  }
  return Ok(addresses)
}

function parseRatio (text: string): Result<number, IValueProblem> {
  const value = Number(text)
  if (text !== '' && value >= 0 && value <= 1) return Ok(value)
  return Err({ problem: `'${text}' is not a ratio`, remedy: 'use a number from 0 to 1' })
}

/** Parses a number that limits something and may be a fraction. A higher one than the maximum limits no more than the maximum does. */
function parseQuantity (text: string, keySchema: IKeySchema): Result<number, IValueProblem> {
  const value = Number(text)
  const min = keySchema.min ?? 0
  const max = keySchema.max ?? Number.MAX_SAFE_INTEGER
  if (text !== '' && value >= min) return Ok(Math.min(value, max))
  return Err({ problem: `'${text}' is not a number from ${min} on`, remedy: `use a number from ${min} to ${max}, such as 2.5` })
}

function parseFlag (text: string): Result<boolean, IValueProblem> {
  if (text === 'true' || text === 'false') return Ok(text === 'true')
  return Err({ problem: `'${text}' is not a flag`, remedy: 'use true or false' })
}

function parseMembers (text: string): Result<Array<{ name: string, address: string }>, IValueProblem> {
  if (text === '') return Ok([])
  const members: Array<{ name: string, address: string }> = []
  for (const part of text.split(',')) {
    const match = /^\s*([^=\s]+)=(\S+:\d+)\s*$/.exec(part)
    if (match?.[1] === undefined || match[2] === undefined) {
      return Err({ problem: `'${part.trim()}' is not a member`, remedy: 'use NAME=HOST:PORT, comma-separated' })
    }
    members.push({ name: match[1], address: match[2] })
  }
  if (new Set(members.map(member => member.name)).size !== members.length) {
    return Err({ problem: 'a name appears twice', remedy: 'list each control VM once' })
  }
  return Ok(members)
}

function parseChoice (text: string, keySchema: IKeySchema): Result<string, IValueProblem> {
  const values = keySchema.values ?? []
  if (values.includes(text)) return Ok(text)
  return Err({ problem: `'${text}' is unknown`, remedy: `use one of ${values.join(', ')}` })
}

function parseList (text: string, keySchema: IKeySchema): Result<string[], IValueProblem> {
  const items = text.split(',').map(item => item.trim()).filter(item => item !== '')
  for (const item of items) {
    const choice = parseChoice(item, keySchema)
    if (choice.err) return choice
  }
  return Ok(items)
}

function toFieldName (key: string, keySchema: IKeySchema): string {
  const name = key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase())
  return keySchema.type === 'duration' ? `${name}Ms` : name
}

function findLines (text: string): Map<string, number> {
  const lines = new Map<string, number>()
  let section = ''
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const header = /^\s*\[([^\]]+)\]/.exec(line)
    const key = /^\s*([^=;#\s]+)\s*=/.exec(line)
    if (header?.[1] !== undefined) {
      section = header[1]
      lines.set(`[${section}]`, index + 1)
    } else if (key?.[1] !== undefined) {
      lines.set(`[${section}] ${key[1]}`, index + 1)
    }
  }
  return lines
}
