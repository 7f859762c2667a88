/**
 * Bundles the binaries into target/, for machines that may open few files: what a call needs in one file each, and
 * the product's own HTTP interface in files that are loaded only when it is served.
 */
import { build } from 'esbuild'
import { readdirSync, rmSync } from 'node:fs'
import { dirname, join } from 'node:path'
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

rmSync(join(ROOT, 'target'), { recursive: true, force: true })
await build({
  entryPoints: {
    lagoonswitch: join(ROOT, 'platform/src/main.ts'),
    lagoonctl: join(ROOT, 'packages/lagoonctl/src/main.ts')
  },
  outdir: join(ROOT, 'target'),
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  legalComments: 'none',
  // Names stay, so that stacks can be read; a smaller text is parsed sooner and takes less memory.
  minifyWhitespace: true,
  minifySyntax: true,
  tsconfig: join(ROOT, 'tsconfig.base.json'),
  external: OPTIONAL,
  alias: Object.fromEntries(NAMES.map(name => [`@lagoonswitch/${name}`, join(ROOT, 'packages', name, 'src/index.ts')])),
  plugins: [RESULTS],
  banner: { js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);" },
  logLevel: 'warning'
})
