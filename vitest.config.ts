import { existsSync, readFileSync } from 'node:fs'
import { defineConfig } from 'vitest/config'
import { fileURLToPath } from 'node:url'

const packages = ['common', 'schema', 'transport', 'feed', 'control', 'traffic', 'node', 'lagoonswitch', 'lagoonctl', 'fleet']

const resolvePackage = (name: string): string =>
  fileURLToPath(new URL(`./packages/${name}/src/index.ts`, import.meta.url))

/** Lists the names of the tests that KNOWN-RED.txt records as failing (lines `test | FILE > NAME | ...`). */
const listKnownRed = (): string[] => {
  const file = fileURLToPath(new URL('./KNOWN-RED.txt', import.meta.url))
  const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n') : []
  return lines.flatMap(line => /^test \| [^>|]+ > (.+?) \| /.exec(line)?.[1] ?? [])
}

const knownRed = listKnownRed().map(name => name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))

export default defineConfig({
  resolve: {
    alias: {
      ...Object.fromEntries(packages.map(name => [`@lagoonswitch/${name}`, resolvePackage(name)])),
      '@lagoonswitch/platform': fileURLToPath(new URL('./platform/src/index.ts', import.meta.url))
    }
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'tests/**/*.test.ts'],
    testNamePattern: knownRed.length === 0 ? undefined : new RegExp(`^(?!(${knownRed.join('|')})$)`),
    testTimeout: 30_000,
    hookTimeout: 30_000
  }
})
