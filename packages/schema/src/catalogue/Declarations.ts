/**
 * Declarations of the catalogue under the names of their records: entries, and client accounts.
 */
import { DeclarationError, Err, type Result } from '@lagoonswitch/common'
import { ACCOUNT_RECORD_PREFIX, checkAccounts, parseAccount, type IAccount } from './AccountSchema.js'
import { checkCatalogue, formatEntry, parseEntry, sortKeys } from './CatalogueChecks.js'
import type { IEntry } from './EntrySchema.js'

/** An entry or a client account. */
export type IDeclaration = IEntry | IAccount

/** The declarations of one catalogue, by kind and name. */
export interface IDeclarationSet {
  readonly entries: ReadonlyMap<string, IEntry>
  readonly accounts: ReadonlyMap<string, IAccount>
}

/**
 * Tells accounts from entries.
 * @param declaration - parsed declaration
 * @returns true for an account
 */
export function isAccount (declaration: IDeclaration): declaration is IAccount {
  return 'account' in declaration
}

/**
 * Finds the name of the record that holds a declaration.
 * @param declaration - parsed declaration
 * @returns name of the entry, or `account/NAME`
 */
export function getRecordName (declaration: IDeclaration): string {
  return isAccount(declaration) ? `${ACCOUNT_RECORD_PREFIX}${declaration.account}` : declaration.entry
}

/**
 * Checks the shape of one declaration; one with the key `account` is an account.
 * @param value - parsed JSON or YAML
 * @returns the declaration, or one error per problem
 */
export function parseDeclaration (value: unknown): Result<IDeclaration, DeclarationError[]> {
  const isAccountValue = typeof value === 'object' && value !== null && 'account' in value && !('entry' in value)
  return isAccountValue ? parseAccount(value) : parseEntry(value)
}

/**
 * Checks the shape of the declaration of one record.
 * @param name - name of the record
 * @param value - parsed declaration
 * @returns the declaration, or one error per problem
 */
export function parseRecordDeclaration (name: string, value: unknown): Result<IDeclaration, DeclarationError[]> {
  const parsed = name.startsWith(ACCOUNT_RECORD_PREFIX) ? parseAccount(value) : parseEntry(value)
  if (parsed.err) return parsed
  const declaredName = getRecordName(parsed.val)
  if (declaredName === name) return parsed
  return Err([new DeclarationError(name, `the declaration names ${declaredName}`, 'use one name')])
}

/**
 * Sorts declarations by kind.
 * @param declarations - by the names of their records
 * @returns entries and accounts by their own names
 */
export function splitDeclarations (declarations: ReadonlyMap<string, IDeclaration>): IDeclarationSet {
  const entries = new Map<string, IEntry>()
  const accounts = new Map<string, IAccount>()
  for (const declaration of declarations.values()) {
    if (isAccount(declaration)) accounts.set(declaration.account, declaration)
    else entries.set(declaration.entry, declaration)
  }
  return { entries, accounts }
}

/**
 * Checks the declarations of a catalogue against each other.
 * @param declarations - all entries and accounts
 * @returns one error per problem
 */
export function checkDeclarations ({ entries, accounts }: IDeclarationSet): DeclarationError[] {
  return [...checkCatalogue(entries), ...checkAccounts(accounts)]
}

/**
 * Formats a declaration as canonical JSON, so that equal declarations yield equal texts.
 * @param declaration - entry or account
 * @returns JSON with sorted keys
 */
export function formatDeclaration (declaration: IDeclaration): string {
  return isAccount(declaration) ? JSON.stringify(sortKeys(declaration)) : formatEntry(declaration)
}

/**
 * Formats the declaration of a record that an operator sent; an invalid one is passed on as it is, to be refused with its problems.
 * @param name - name of the record
 * @param value - parsed declaration; null to remove the record
 * @returns canonical JSON, empty for a removal
 */
export function formatRecordDeclaration (name: string, value: unknown): string {
  if (value === null) return ''
  const parsed = parseRecordDeclaration(name, value)
  return parsed.ok ? formatDeclaration(parsed.val) : JSON.stringify(value)
}
