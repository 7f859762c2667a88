/**
 * Reads declaration files from disk.
 */
import { readFile, readdir, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { isDeepStrictEqual } from 'node:util'
import { DeclarationError, Err, formatError, type Result } from '@lagoonswitch/common'
import { parseDeclarations, type IDeclarationFile, type IDeclaration } from '@lagoonswitch/schema'

/** Time within which files that are being written go on changing, in milliseconds, and the number of reads until they must have settled. */
const SETTLE_MS = 100
const MAX_READS = 20

/**
 * Reads and validates declarations. A part of what is being written may be valid by itself, so the files are read until two reads agree.
 * @param path - a YAML file, or a folder that is searched recursively for YAML files
 * @returns the declarations by the names of their records, or one error per problem
 */
export async function readDeclarations (path: string): Promise<Result<Map<string, IDeclaration>, DeclarationError[]>> {
  try {
    const files = await readSettledFiles(path)
    if (files === undefined) return Err([new DeclarationError(path, 'the files keep changing', 'wait until they are written')])
    const empty = files.filter(({ text }) => text.trim() === '')
    if (empty.length > 0) {
      return Err(empty.map(({ file }) => new DeclarationError(file, 'the file is empty', 'write its declarations, or remove it')))
    }
    if (files.length === 0) {
      return Err([new DeclarationError(path, 'there is no .yaml file', 'name a folder with declarations')])
    }
    return parseDeclarations(files)
  } catch (error) {
    return Err([new DeclarationError(path, formatError(error), 'name a readable file or folder')])
  }
}

/** Returns undefined if the files change at each read. */
async function readSettledFiles (path: string): Promise<IDeclarationFile[] | undefined> {
  let last = await readFiles(path)
  for (let read = 1; read < MAX_READS; read++) {
    await sleep(SETTLE_MS)
    const files = await readFiles(path)
    if (isDeepStrictEqual(files, last)) return files
    last = files
  }
  return undefined
}

async function readFiles (path: string): Promise<IDeclarationFile[]> {
  return await Promise.all((await listFiles(path)).map(async file => ({ file, text: await readFile(file, 'utf8') })))
}

async function listFiles (path: string): Promise<string[]> {
  if (!(await stat(path)).isDirectory()) return [path]
  const names = await readdir(path, { recursive: true })
  return names.filter(name => /\.ya?ml$/.test(name)).sort().map(name => join(path, name))
}
