/**
 * The bundled process, with and without the V8 code cache that is stored beside it.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, expect, test } from 'vitest'

const EXIT_SETTINGS = 2
/** A code cache without any compiled function would have only some hundred bytes. */
const MIN_CODE_CACHE_BYTES = 100_000
let folder = ''

function runBundled (...flags: string[]): { status: number | null, text: string } {
  const { status, stderr } = spawnSync(process.execPath, [...flags, join(folder, 'lagoonswitch.cjs')], {
    encoding: 'utf8', env: { LAGOONSWITCH_CONFIG: join(folder, 'missing.ini') }
  })
  return { status, text: stderr }
}

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'bundle-'))
  spawnSync(process.execPath, ['scripts/bundle.mjs', folder], { stdio: 'inherit' })
})

afterAll(() => rmSync(folder, { recursive: true, force: true }))

test('bundled process reports missing settings with a valid, a damaged and no code cache', () => {
  const codeCacheFile = join(folder, 'lagoonswitch-program.code')
  const expectRefusal = (): void => {
    const { status, text } = runBundled()
    expect(status).toBe(EXIT_SETTINGS)
    expect(text).toContain('name a readable INI file')
  }
  expect(statSync(codeCacheFile).size).toBeGreaterThan(MIN_CODE_CACHE_BYTES)
  expectRefusal()
  writeFileSync(codeCacheFile, Buffer.alloc(MIN_CODE_CACHE_BYTES, 7))
  expectRefusal()
  rmSync(codeCacheFile)
  expectRefusal()
  expect(existsSync(codeCacheFile)).toBe(false)
})

// The settings may change while a process starts; a SIGHUP without a handler ends it.
test('bundled process that gets a SIGHUP before its program runs goes on', () => {
  const file = join(folder, 'hangup.cjs')
  writeFileSync(file, `const { Script } = require('node:vm')
const { runInThisContext } = Script.prototype
Script.prototype.runInThisContext = function (...args) {
  process.kill(process.pid, 'SIGHUP')
  return runInThisContext.apply(this, args)
}
`)
  expect(runBundled('--require', file).status).toBe(EXIT_SETTINGS)
})

test('bundled program is one ASCII string and holds only what a platform process runs', () => {
  const program = readFileSync(join(folder, 'lagoonswitch-program.cjs'))
  expect(program.toString('latin1')).toMatch(/^\(function \(exports, require, module, __filename, __dirname\)/)
  expect(program.every(byte => byte < 0x80)).toBe(true)
  expect(program.includes('NestFactory')).toBe(false)
})
