import { expect, test } from 'vitest'
import { parseDeclarations, parseEntry, parseSettings } from './index.js'

const SETTINGS = `[process]
name = a
region = r
availability_zone = z
[control]
members = a=127.0.0.1:1
`

function listProblems (text: string): string {
  const result = parseSettings(text, 'x.ini')
  return result.ok ? '' : result.val.map(error => error.message).join('\n')
}

test('defaults are filled in', () => {
  const settings = parseSettings(SETTINGS, 'x.ini').unwrap()
  expect(settings.process.roles).toEqual(['node'])
  expect(settings.control.heartbeatMs).toBe(100)
  expect(settings.listen.links).toEqual({ host: '127.0.0.1', port: 7085 })
})

test('errors name file, line, key and remedy', () => {
  const problems = listProblems(`${SETTINGS}heartbeat = soon\nspeed = 3\n[log]\nlevel = loud\n`)
  expect(problems).toMatch(/x\.ini:7: \[control\] heartbeat: 'soon' is not a duration; use a number and a unit/)
  expect(problems).toMatch(/x\.ini:8: \[control\] speed: unknown key; use one of members/)
  expect(problems).toMatch(/x\.ini:10: \[log\] level: 'loud' is unknown; use one of debug/)
})

test('every missing key is reported', () => {
  expect(listProblems('')).toMatch(/name: not set[^]*members: not set/)
})

test('operators listener off loopback requires a token file', () => {
  const text = SETTINGS.replace('region', 'roles = control\ndata_folder = d\nregion')
  expect(listProblems(`${text}[listen]\noperators = 10.0.0.1:80\n`))
    .toMatch(/token_file: operators would be admitted from other machines without a token/)
})

test('incomplete set of certificate files is refused', () => {
  expect(listProblems(`${SETTINGS}[tls]\nca_file = x\n`)).toMatch(/set ca_file, cert_file and key_file, or none/)
})

test('property of Object.prototype is an unknown section', () => {
  expect(listProblems(`${SETTINGS}[constructor]\nname = x\n`)).toMatch(/unknown section/)
})

test('declaration errors name file, line, key and remedy', () => {
  const text = 'entry: desk\nowner: o\nclass: first\nlimits:\n  slots: 0\n  connections: 1\nversion: v1\nroutes:\n  - name: r\n' +
    '    path: /x\n    methods: [GET]\n    idempotency: safe\n    colour: red\n'
  const result = parseDeclarations([{ file: 'desk.yaml', text }])
  const problems = result.ok ? '' : result.val.map(error => error.message).join('\n')
  expect(problems).toMatch(/desk\.yaml:5: desk\.limits\.slots: .*; correct the declaration/)
  expect(problems).toMatch(/desk\.yaml:9: desk\.routes\.0: .*colour/)
})

test.each([[1e9, true], [1e308, false]])('weight of a part is limited: %d', (weight, isValid) => {
  const route = { name: 'r', path: '/', idempotency: 'safe', parts: [{ service: 'a', weight }, { service: 'b', weight }] }
  const entry = { entry: 'a', owner: 'o', class: 'normal', limits: { slots: 1, connections: 1 }, routes: [route] }
  expect(parseEntry(entry).ok).toBe(isValid)
})
