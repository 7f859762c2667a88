import { defineConfig } from 'vitest/config'
import { fileURLToPath } from 'node:url'

const packages = ['common', 'schema', 'transport', 'feed', 'control', 'node', 'lagoonswitch', 'lagoonctl']

const resolvePackage = (name: string): string =>
  fileURLToPath(new URL(`./packages/${name}/src/index.ts`, import.meta.url))

export default defineConfig({
  resolve: {
    alias: {
      ...Object.fromEntries(packages.map(name => [`@lagoonswitch/${name}`, resolvePackage(name)])),
      '@lagoonswitch/platform': fileURLToPath(new URL('./platform/src/index.ts', import.meta.url))
    }
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'tests/**/*.test.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000
  }
})
