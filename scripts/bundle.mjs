/**
 * Bundles the binaries into target/, one file each, for machines that may open few files. The compiled code of the process is kept
 * beside it, since a start on a slow core spends most of its time on compiling. Usage: node scripts/bundle.mjs [FOLDER]
 */
import { build } from 'esbuild'
import { spawnSync } from 'node:child_process'
import { copyFileSync, readFileSync, readdirSync, rmSync, statSync } from 'node:fs'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const NAMES = readdirSync(join(ROOT, 'packages'))
/** Parts of Nest that are loaded when they are installed; this product needs none of them. */
const OPTIONAL = [
  '@nestjs/microservices', '@nestjs/microservices/*', '@nestjs/websockets', '@nestjs/websockets/*', 'class-transformer',
  'class-transformer/*', 'class-validator', '@fastify/static', '@fastify/view', '@fastify/multipart', '@nestjs/platform-express'
]

/** The package requires its parts at run time; its ES modules can be bundled but lack the default export. */
const RESULTS = {
  name: 'ts-results',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'results' }))
    onLoad({ filter: /.*/, namespace: 'results' }, () => ({
      contents: "import * as all from './node_modules/ts-results/esm/index.js'\nexport default all",
      resolveDir: ROOT
    }))
  }
}

const TARGET = process.argv[2] === undefined ? join(ROOT, 'target') : resolve(process.argv[2])
const LOADER = join(TARGET, 'lagoonswitch.cjs')
const OPTIONS = {
  outdir: TARGET,
  bundle: true,
  platform: 'node',
  target: 'node20',
  legalComments: 'none',
  // Names stay, so that stacks can be read; a smaller text is parsed sooner and takes less memory.
  minifyWhitespace: true,
  minifySyntax: true,
  tsconfig: join(ROOT, 'tsconfig.base.json'),
  external: OPTIONAL,
  alias: Object.fromEntries(NAMES.map(name => [`@lagoonswitch/${name}`, join(ROOT, 'packages', name, 'src/index.ts')])),
  plugins: [RESULTS],
  logLevel: 'warning'
}

/** @returns the flags of Node.js with which the deploy file starts the process; V8 takes kept code only under the same ones */
function readFlags () {
  const run = /^run = "node (.*?) ?target\//m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
  return (run?.[1] ?? '').split(' ').filter(flag => flag !== '')
}

/** Runs the process until it finds no settings, and keeps what was compiled until then. */
function writeCode () {
  const env = { LAGOONSWITCH_KEEP_CODE: '1', LAGOONSWITCH_CONFIG: join(TARGET, 'no-settings.ini') }
  spawnSync(process.execPath, [...readFlags(), LOADER], { env, stdio: 'ignore' })
  if (statSync(join(TARGET, 'lagoonswitch-program.code')).size === 0) throw new Error('no compiled code was kept; run the loader by hand')
}

rmSync(TARGET, { recursive: true, force: true })
await build({
  ...OPTIONS, format: 'cjs', entryPoints: { 'lagoonswitch-program': join(ROOT, 'platform/src/main.ts') }, outExtension: { '.js': '.cjs' }
})
await build({
  ...OPTIONS,
  format: 'esm',
  entryPoints: { lagoonctl: join(ROOT, 'packages/lagoonctl/src/main.ts') },
  outExtension: { '.js': '.mjs' },
  banner: { js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);" }
})
copyFileSync(join(ROOT, 'scripts/load-bundle.cjs'), LOADER)
writeCode()
