/**
 * Schema of the declaration of a client account. Only digests of its keys are declared, so that declarations can be versioned.
 */
import { z } from 'zod'
import { DeclarationError, Err, Ok, type Result } from '@lagoonswitch/common'
import { MAX_PROBLEMS, createListSchema, listProblems } from '../BoundedList.js'
import { CALL_CLASSES } from './EntrySchema.js'

/** Names of the records of accounts begin with this; names of entries contain no slash. */
export const ACCOUNT_RECORD_PREFIX = 'account/'
const MAX_NAME_LENGTH = 256

/** Name of an account; it is sent to targets in a header. */
export const ACCOUNT_NAME = z.string().max(MAX_NAME_LENGTH).regex(/^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/,
  'use printable ASCII characters, at most 256, without blanks at the ends')
const KEY_DIGEST = z.string().regex(/^[0-9a-f]{64}$/, 'use the SHA-256 digest of the key in lower-case hexadecimal digits')

/** Schema of one account. */
export const ACCOUNT_SCHEMA = z.strictObject({
  account: ACCOUNT_NAME,
  /** SHA-256 digests of the keys; an account without keys can't be used. */
  key_digests: createListSchema(KEY_DIGEST),
  /** Takes precedence over the class of the route. */
  class: z.enum(CALL_CLASSES).optional(),
  /** Usage cap over all nodes, in calls per second; 0 or omitted for no cap. */
  rate: z.number().min(0).optional(),
  /** Calls that may exceed the rate at once. */
  burst: z.number().min(0).optional()
})

/** One account, inferred from the schema. */
export type IAccount = z.infer<typeof ACCOUNT_SCHEMA>

/**
 * Checks the shape of one account.
 * @param value - parsed declaration
 * @returns the account, or one error per problem
 */
export function parseAccount (value: unknown): Result<IAccount, DeclarationError[]> {
  const parsed = ACCOUNT_SCHEMA.safeParse(value)
  if (!parsed.success) {
    const name = typeof value === 'object' && value !== null && 'account' in value ? String(value.account) : '(unnamed)'
    return Err(listProblems(parsed.error, `${ACCOUNT_RECORD_PREFIX}${name}`)
      .map(({ path, message }) => new DeclarationError(path, message, 'correct the declaration')))
  }
  return Ok(parsed.data)
}

/**
 * Checks the accounts of a catalogue against each other.
 * @param accounts - all accounts by name
 * @returns an error per key that two accounts share or that one account names twice; the key itself is not part of it
 */
export function checkAccounts (accounts: ReadonlyMap<string, IAccount>): DeclarationError[] {
  const owners = new Map<string, string>()
  const errors: DeclarationError[] = []
  for (const { account, key_digests: digests } of accounts.values()) {
    if (errors.length >= MAX_PROBLEMS) break
    digests.forEach((digest, index) => {
      const other = owners.get(digest)
      if (other === undefined) owners.set(digest, account)
      else if (errors.length < MAX_PROBLEMS) {
        errors.push(new DeclarationError(`${ACCOUNT_RECORD_PREFIX}${account}.key_digests.${index}`,
          other === account ? 'the key appears twice' : `the account ${other} has the same key`, 'remove the key from one'))
      }
    })
  }
  return errors
}
