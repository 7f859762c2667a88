/**
 * Parses catalogue declarations from YAML text and reports the line of each problem.
 */
import { LineCounter, isMap, isNode, parseAllDocuments, type Document } from 'yaml'
import { DeclarationError, Err, Ok, type Result } from '@lagoonswitch/common'
import { checkDeclarations, getRecordName, parseDeclaration, splitDeclarations, type IDeclaration } from './Declarations.js'

/** Text of one declaration file. */
export interface IDeclarationFile {
  readonly file: string
  readonly text: string
}

/**
 * Parses declaration files; each YAML document in a file is one entry or one account.
 * @param files - texts with their file names
 * @returns the declarations by the names of their records, or one error per problem with file, line and key
 */
export function parseDeclarations (files: readonly IDeclarationFile[]): Result<Map<string, IDeclaration>, DeclarationError[]> {
  const declarations = new Map<string, IDeclaration>()
  const errors: DeclarationError[] = []
  for (const { file, text } of files) {
    const counter = new LineCounter()
    for (const document of parseAllDocuments(text, { lineCounter: counter })) {
      if (!('contents' in document) || document.contents === null) continue
      readDocument(document, file, counter, declarations, errors)
    }
  }
  if (errors.length === 0) errors.push(...checkDeclarations(splitDeclarations(declarations)))
  return errors.length > 0 ? Err(errors) : Ok(declarations)
}

function readDocument (
  document: Document, file: string, counter: LineCounter, declarations: Map<string, IDeclaration>, errors: DeclarationError[]
): void {
  for (const error of document.errors) {
    errors.push(new DeclarationError('yaml', error.message.split('\n')[0] ?? '', 'correct the YAML', file,
      counter.linePos(error.pos[0]).line))
  }
  if (document.errors.length > 0) return
  const parsed = parseDeclaration(document.toJS())
  if (parsed.err) {
    for (const error of parsed.val) {
      const line = findLine(document, error.path.split('.').slice(1), counter)
      errors.push(new DeclarationError(error.path, error.problem.replace(`${error.path}: `, ''), error.remedy, file, line))
    }
    return
  }
  const name = getRecordName(parsed.val)
  if (declarations.has(name)) {
    errors.push(new DeclarationError(name, 'it is declared twice', 'remove one', file, findLine(document, [], counter)))
  }
  declarations.set(name, parsed.val)
}

function findLine (document: Document, path: readonly string[], counter: LineCounter): number {
  for (let depth = path.length; depth >= 0; depth--) {
    const keys = path.slice(0, depth).map(key => /^\d+$/.test(key) ? Number(key) : key)
    const node = depth === 0 ? document.contents : document.getIn(keys, true)
    if (isNode(node) && node.range != null) return counter.linePos(node.range[0]).line
    if (isMap(node)) return 1
  }
  return 0
}
