/**
 * Loads a bundled program with the compiled code that was kept when it was bundled. V8 refuses code of another version or other
 * flags; the program is compiled as usual then. The bundler puts this file beside both, as target/lagoonswitch.cjs.
 */
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { dirname, join } = require('node:path')
const { Script } = require('node:vm')

const PROGRAM_FILE = join(__dirname, 'lagoonswitch-program.cjs')
const CODE_CACHE_FILE = join(__dirname, 'lagoonswitch-program.code')
/** Set by the bundler: the compiled code is written when the program ends. */
const IS_WRITING_CACHE = process.env.LAGOONSWITCH_KEEP_CODE === '1'

const script = new Script(Module.wrap(readFileSync(PROGRAM_FILE, 'utf8')), {
  filename: PROGRAM_FILE,
  cachedData: existsSync(CODE_CACHE_FILE) && !IS_WRITING_CACHE ? readFileSync(CODE_CACHE_FILE) : undefined
})
if (IS_WRITING_CACHE) process.on('exit', () => writeFileSync(CODE_CACHE_FILE, script.createCachedData()))
const program = { exports: {} }
script.runInThisContext()(program.exports, Module.createRequire(PROGRAM_FILE), program, PROGRAM_FILE, dirname(PROGRAM_FILE))
