/**
 * Loads a bundled program with the compiled code that was kept when it was bundled. V8 refuses code of another version or other
 * flags; the program is compiled as usual then. The bundler puts this file beside both, as target/lagoonswitch.cjs.
 */
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { dirname, join } = require('node:path')
const { Script } = require('node:vm')

const PROGRAM = join(__dirname, 'lagoonswitch-program.cjs')
const CODE = join(__dirname, 'lagoonswitch-program.code')
/** Set by the bundler: the compiled code is written when the program ends. */
const IS_KEEPING = process.env.LAGOONSWITCH_KEEP_CODE === '1'

const script = new Script(Module.wrap(readFileSync(PROGRAM, 'utf8')), {
  filename: PROGRAM,
  cachedData: existsSync(CODE) && !IS_KEEPING ? readFileSync(CODE) : undefined
})
if (IS_KEEPING) process.on('exit', () => writeFileSync(CODE, script.createCachedData()))
const program = { exports: {} }
script.runInThisContext()(program.exports, Module.createRequire(PROGRAM), program, PROGRAM, dirname(PROGRAM))
