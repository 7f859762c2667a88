/**
 * Parses JSON from outside, which may be nested so deeply that code which walks through it runs out of stack.
 */
import { formatError } from './Errors.js'
import { Err, Ok, type Result } from './Result.js'

/** Arrays and objects within one another; far more than any message of this system needs. */
export const MAX_JSON_DEPTH = 64

/**
 * Parses JSON of limited nesting.
 * @param text - the JSON
 * @returns the value, or a message that says why there is none
 */
export function parseJson (text: string): Result<unknown, string> {
  if (hasDeepNesting(text)) return Err(`arrays and objects are nested more than ${MAX_JSON_DEPTH} deep`)
  try {
    return Ok(JSON.parse(text))
  } catch (error) {
    return Err(describeSyntaxError(formatError(error)))
  }
}

/** Messages of the parser may quote the text, which may hold keys; only the position is kept. */
function describeSyntaxError (message: string): string {
  const position = /\bposition (\d+)/.exec(message)?.[1]
  return position === undefined ? 'it is no complete JSON' : `it is no JSON at position ${position}`
}

/** Counts brackets outside strings; in text that is no JSON the count means nothing, but the parser refuses it. */
function hasDeepNesting (text: string): boolean {
  let depth = 0
  let isInString = false
  for (let index = 0; index < text.length; index++) {
    const character = text[index]
    if (isInString) {
      if (character === '\\') index++
      else if (character === '"') isInString = false
    } else if (character === '"') {
      isInString = true
    } else if (character === '[' || character === '{') {
      if (++depth > MAX_JSON_DEPTH) return true
    } else if (character === ']' || character === '}') {
      depth--
    }
  }
  return false
}
