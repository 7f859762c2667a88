/**
 * Tokens of operators: read from a file, and compared with those of requests in constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { Err, Ok, SettingsError, formatError, type Result } from '@lagoonswitch/common'

/** Name of the operator if no tokens are configured, which is meant for loopback only. */
const LOCAL_OPERATOR = 'local'

/** Authenticates operators by their tokens. */
export class OperatorTokens {
  private constructor (private readonly _digests: ReadonlyMap<string, Buffer> | undefined) {}

  /**
   * Reads the tokens.
   * @param file - path of a file with one operator per line as NAME:TOKEN, or empty to admit everyone, which is meant for loopback only
   * @returns the tokens, or the error in the file
   */
  static async read (file: string): Promise<Result<OperatorTokens, SettingsError>> {
    if (file === '') return Ok(new OperatorTokens(undefined))
    let text: string
    try {
      text = await readFile(file, 'utf8')
    } catch (error) {
      return Err(new SettingsError(file, 0, '[control] token_file', formatError(error), 'name a readable file'))
    }
    const digests = new Map<string, Buffer>()
    for (const [index, line] of text.split(/\r?\n/).entries()) {
      if (line.trim() === '' || line.startsWith('#')) continue
      const match = /^([A-Za-z0-9._-]+):(\S{16,})$/.exec(line.trim())
      if (match?.[1] === undefined || match[2] === undefined) {
        return Err(new SettingsError(file, index + 1, 'token', "the line doesn't have the form NAME:TOKEN",
          'use a token of at least 16 characters without spaces'))
      }
      digests.set(match[1], hashToken(match[2]))
    }
    return Ok(new OperatorTokens(digests))
  }

  /**
   * Finds the operator of a request.
   * @param authorization - Authorization header of the request
   * @returns name of the operator, or undefined if the token is wrong
   */
  findOperator (authorization: string | undefined): string | undefined {
    if (this._digests === undefined) return LOCAL_OPERATOR
    const givenDigest = hashToken(/^Bearer (\S+)$/.exec(authorization ?? '')?.[1] ?? '')
    let found: string | undefined
    for (const [name, digest] of this._digests) {
      if (timingSafeEqual(digest, givenDigest)) found = name
    }
    return found
  }
}

function hashToken (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}
