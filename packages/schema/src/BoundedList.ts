/**
 * Lists from outside, of which only the first problems are reported: a text within its limits may have hundreds of thousands of them, and
 * each takes far more memory than the value that it is about.
 */
import { z } from 'zod'

/** Problems after which no further ones are looked for. */
export const MAX_PROBLEMS = 20

/** Longest message on one problem; it may list what was sent. */
const MAX_MESSAGE_LENGTH = 500

/** One problem and its place in the input. */
export interface IProblem {
  readonly path: string
  readonly message: string
}

/**
 * Lists the first problems of an input that doesn't match its schema.
 * @param error - from the schema
 * @param root - path of the input, empty for none
 * @returns the problems, with paths that begin with the root
 */
export function listProblems (error: z.ZodError, root = ''): IProblem[] {
  return error.issues.slice(0, MAX_PROBLEMS).map(({ path, message }) => ({
    path: [...(root === '' ? [] : [root.slice(0, MAX_MESSAGE_LENGTH)]), ...path.map(String)].join('.'),
    message: message.slice(0, MAX_MESSAGE_LENGTH)
  }))
}

/**
 * Creates the schema of a list that is read up to the problems of its first faulty elements.
 * @param element - schema of one element
 * @param minLength - smallest number of elements
 * @returns the schema
 */
export function createListSchema<Element extends z.ZodType> (
  element: Element, minLength = 0
): z.ZodPipe<z.ZodArray, z.ZodTransform<Array<z.output<Element>>, unknown[]>> {
  return z.array(z.unknown()).min(minLength).transform((items, context) => {
    const values: Array<z.output<Element>> = []
    for (const [index, item] of items.entries()) {
      const parsed = element.safeParse(item)
      if (parsed.success) {
        values.push(parsed.data)
        continue
      }
      for (const issue of parsed.error.issues) {
        context.issues.push({ ...issue, input: undefined, path: [index, ...issue.path] } as z.core.$ZodRawIssue)
      }
      if (context.issues.length >= MAX_PROBLEMS) break
    }
    return values
  })
}
