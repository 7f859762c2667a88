/**
 * Parses JSON from outside, which may be nested so deeply that code which walks through it runs out of stack, or hold so many values that
 * the process runs out of memory.
 */
import { formatError } from './Errors.js'
import { Err, Ok, type Result } from './Result.js'

/** Arrays and objects within one another; far more than any message of this system needs. */
export const MAX_JSON_DEPTH = 64
/** Values of all kinds in one text; a configuration of 20,000 routes has some 200,000. */
export const MAX_JSON_VALUES = 500_000

/**
 * Parses JSON of limited nesting and with a limited number of values.
 * @param text - the JSON
 * @returns the value, or a message that says why there is none
 */
export function parseJson (text: string): Result<unknown, string> {
  const { depth, values } = measureJson(text)
  if (depth > MAX_JSON_DEPTH) return Err(`arrays and objects are nested more than ${MAX_JSON_DEPTH} deep`)
  if (values > MAX_JSON_VALUES) return Err(`it has more than ${MAX_JSON_VALUES} values`)
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

/**
 * Counts brackets and commas outside strings until one of the limits is exceeded; in text that is no JSON the counts mean nothing, but
 * the parser refuses it.
 */
function measureJson (text: string): { depth: number, values: number } {
  let depth = 0
  let values = 1
  let isInString = false
  for (let index = 0; index < text.length && depth <= MAX_JSON_DEPTH && values <= MAX_JSON_VALUES; index++) {
    const character = text[index]
    if (isInString) {
      if (character === '\\') index++
      else if (character === '"') isInString = false
    } else if (character === '"') {
      isInString = true
    } else if (character === ',') {
      values++
    } else if (character === '[' || character === '{') {
      depth++
      values++
    } else if (character === ']' || character === '}') {
      depth--
    }
  }
  return { depth, values }
}
