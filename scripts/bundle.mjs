/**
 * Bundles each binary into one file in target/, for machines with a low limit of open files. Also writes a V8 code cache for the
 * process, since compilation takes most of its start time on a slow core. Usage: node scripts/bundle.mjs [FOLDER]
 */
import { build } from 'esbuild'
import { spawnSync } from 'node:child_process'
import { copyFileSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs'
import Module from 'node:module'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const PACKAGE_NAMES = readdirSync(join(ROOT, 'packages'))
/** Optional peer dependencies of Nest, which it loads only if they are installed; lagoonswitch uses none of them. */
const OPTIONAL_MODULES = [
  '@nestjs/microservices', '@nestjs/microservices/*', '@nestjs/websockets', '@nestjs/websockets/*', 'class-transformer',
  'class-transformer/*', 'class-validator', '@fastify/static', '@fastify/view', '@fastify/multipart', '@nestjs/platform-express'
]

/** The CommonJS build of ts-results can't be bundled, since it loads its modules at run time. Its ES modules lack the default export. */
const TS_RESULTS_PLUGIN = {
  name: 'ts-results',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'results' }))
    onLoad({ filter: /.*/, namespace: 'results' }, () => ({
      contents: "import * as all from './node_modules/ts-results/esm/index.js'\nexport default all",
      resolveDir: ROOT
    }))
  }
}

/** Messages of zod are shown in English only. */
const ZOD_LOCALES_PLUGIN = {
  name: 'zod-locales',
  setup ({ onLoad }) {
    onLoad({ filter: /zod\/v4\/locales\/index\.c?js$/ }, () => ({ contents: "export { default as en } from './en.js'" }))
  }
}

/** The platform's program has a surface of its own, so Nest and the product's HTTP interfaces are left out of it. */
const NO_PRODUCT_SURFACE_PLUGIN = {
  name: 'no-product-surface',
  setup ({ onResolve }) {
    onResolve({ filter: /\/ProductSurface\.js$/ }, ({ path }) => ({ path, external: true }))
  }
}

const OUT_FOLDER = process.argv[2] === undefined ? join(ROOT, 'target') : resolve(process.argv[2])
const LOADER_FILE = join(OUT_FOLDER, 'lagoonswitch.cjs')
const PROGRAM_FILE = join(OUT_FOLDER, 'lagoonswitch-program.cjs')
const BUILD_OPTIONS = {
  outdir: OUT_FOLDER,
  bundle: true,
  platform: 'node',
  target: 'node20',
  legalComments: 'none',
  // Identifiers stay readable in stack traces; the smaller source is parsed faster and takes less memory.
  minifyWhitespace: true,
  minifySyntax: true,
  tsconfig: join(ROOT, 'tsconfig.base.json'),
  external: OPTIONAL_MODULES,
  alias: Object.fromEntries(PACKAGE_NAMES.map(name => [`@lagoonswitch/${name}`, join(ROOT, 'packages', name, 'src/index.ts')])),
  plugins: [TS_RESULTS_PLUGIN, ZOD_LOCALES_PLUGIN],
  logLevel: 'warning'
}

/** @returns the Node.js flags in deploy/system.toml; V8 accepts a code cache only if it was written under the same flags */
function readNodeFlags () {
  const runLine = /^run = "node (.*?) ?target\//m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
  return (runLine?.[1] ?? '').split(' ').filter(flag => flag !== '')
}

/** Wraps the program in the function that the loader calls, so that the loader needs no second copy of the source in memory. */
function wrapProgram () {
  const text = readFileSync(PROGRAM_FILE, 'utf8')
  if (/[^\0-\x7f]/.test(text)) throw new Error(`${PROGRAM_FILE} is not ASCII, which the loader expects; keep the default charset of esbuild`)
  writeFileSync(PROGRAM_FILE, Module.wrap(text))
}

/** Writes the code cache: runs the process, which exits as its settings file doesn't exist, and stores what was compiled until then. */
function writeCodeCache () {
  const env = { LAGOONSWITCH_KEEP_CODE: '1', LAGOONSWITCH_CONFIG: join(OUT_FOLDER, 'no-settings.ini') }
  spawnSync(process.execPath, [...readNodeFlags(), LOADER_FILE], { env, stdio: 'ignore' })
  if (statSync(join(OUT_FOLDER, 'lagoonswitch-program.code')).size === 0) throw new Error('the code cache is empty; run the loader by hand to see its error')
}

rmSync(OUT_FOLDER, { recursive: true, force: true })
await build({
  ...BUILD_OPTIONS,
  format: 'cjs',
  plugins: [...BUILD_OPTIONS.plugins, NO_PRODUCT_SURFACE_PLUGIN],
  entryPoints: { 'lagoonswitch-program': join(ROOT, 'platform/src/main.ts') },
  outExtension: { '.js': '.cjs' }
})
await build({
  ...BUILD_OPTIONS,
  format: 'esm',
  entryPoints: { lagoonctl: join(ROOT, 'packages/lagoonctl/src/main.ts') },
  outExtension: { '.js': '.mjs' },
  banner: { js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);" }
})
wrapProgram()
copyFileSync(join(ROOT, 'scripts/load-bundle.cjs'), LOADER_FILE)
writeCodeCache()
