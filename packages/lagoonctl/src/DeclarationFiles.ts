/**
 * Reads declaration files from disk.
 */
import { readFile, readdir, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { DeclarationError, Err, formatError, type Result } from '@lagoonswitch/common'
import { parseDeclarations, type IDeclarationFile, type IDeclaration } from '@lagoonswitch/schema'

/**
 * Reads and validates declarations.
 * @param path - a YAML file, or a folder that is searched recursively for YAML files
 * @returns the declarations by the names of their records, or one error per problem
 */
export async function readDeclarations (path: string): Promise<Result<Map<string, IDeclaration>, DeclarationError[]>> {
  try {
    const files: IDeclarationFile[] = []
    for (const file of await listFiles(path)) files.push({ file, text: await readFile(file, 'utf8') })
    if (files.length === 0) {
      return Err([new DeclarationError(path, 'there is no .yaml file', 'name a folder with declarations')])
    }
    return parseDeclarations(files)
  } catch (error) {
    return Err([new DeclarationError(path, formatError(error), 'name a readable file or folder')])
  }
}

async function listFiles (path: string): Promise<string[]> {
  if (!(await stat(path)).isDirectory()) return [path]
  const names = await readdir(path, { recursive: true })
  return names.filter(name => /\.ya?ml$/.test(name)).sort().map(name => join(path, name))
}
