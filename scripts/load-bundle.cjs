/**
 * Loads a bundled program with the V8 code cache that was written by the bundler. V8 rejects a cache of another version or of other
 * flags, and compiles the program as usual then. The bundler copies this file to target/lagoonswitch.cjs, beside program and cache.
 */
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { dirname, join } = require('node:path')
const { Script } = require('node:vm')

// A SIGHUP ends a process that has no handler; the program installs its own once it has read the settings.
process.on('SIGHUP', () => {})

const PROGRAM_FILE = join(__dirname, 'lagoonswitch-program.cjs')
const CODE_CACHE_FILE = join(__dirname, 'lagoonswitch-program.code')
/** Set by the bundler: the code cache is written when the program exits. */
const IS_WRITING_CACHE = process.env.LAGOONSWITCH_KEEP_CODE === '1'

// The program is ASCII and wrapped in a function by the bundler; as one string it is not copied.
const script = new Script(readFileSync(PROGRAM_FILE, 'latin1'), {
  filename: PROGRAM_FILE,
  cachedData: existsSync(CODE_CACHE_FILE) && !IS_WRITING_CACHE ? readFileSync(CODE_CACHE_FILE) : undefined
})
if (IS_WRITING_CACHE) process.on('exit', () => writeFileSync(CODE_CACHE_FILE, script.createCachedData()))
const program = { exports: {} }
script.runInThisContext()(program.exports, Module.createRequire(PROGRAM_FILE), program, PROGRAM_FILE, dirname(PROGRAM_FILE))
