import { copyFile, mkdtemp, rename, rm, writeFile } from 'node:fs/promises'
import { connect, type TLSSocket } from 'node:tls'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeAll, beforeEach, expect, test, vi } from 'vitest'
import { generate } from 'selfsigned'
import { SystemClock } from '@lagoonswitch/common'
import { MutualTlsCredentials } from './Credentials.js'
import { loadLinkKeys } from './LinkKeys.js'
import { LinkListener } from './LinkSockets.js'

/** Time in which changed keys are in use. */
const APPLY_MS = 3_000
/** Time in which a read of what is half written would have happened. */
const QUIET_MS = 1_100
let pems: Array<{ cert: string, private: string }>
let folder: string
let files: { caFile: string, certFile: string, keyFile: string }
let credentials: MutualTlsCredentials
let listener: LinkListener
let port: number
let changes: number

async function writeKeys (index: number): Promise<void> {
  const { cert, private: key } = pems[index] ?? { cert: '', private: '' }
  await writeFile(files.caFile, pems.map(pem => pem.cert).join(''))
  await writeFile(files.certFile, cert)
  await writeFile(files.keyFile, key)
}

/** Connects with the first keys and returns the name in the certificate of the listener. */
async function readListenerName (): Promise<string> {
  const { cert, private: key } = pems[0] ?? { cert: '', private: '' }
  const socket: TLSSocket = connect({ port, host: '127.0.0.1', cert, key, ca: pems.map(pem => pem.cert), checkServerIdentity: () => undefined })
  await once(socket, 'secureConnect')
  const name = String(socket.getPeerCertificate().subject.CN)
  socket.destroy()
  return name
}

beforeAll(async () => {
  pems = await Promise.all(['first', 'second'].map(async value => await generate([{ name: 'commonName', value }], { keySize: 2048 })))
})

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'keys-'))
  files = { caFile: join(folder, 'ca'), certFile: join(folder, 'cert'), keyFile: join(folder, 'key') }
  await writeKeys(0)
  credentials = new MutualTlsCredentials(files)
  changes = 0
  credentials.onChanged(() => changes++)
  listener = new LinkListener(credentials, () => {})
  port = await listener.listen('127.0.0.1', 0)
})

afterEach(async () => {
  listener.close()
  credentials.dispose()
  await rm(folder, { recursive: true })
})

test.each(['in place', 'by another file', 'by another file, twice'])('keys that are replaced are used for new links: %s', async way => {
  const rounds = way.endsWith('twice') ? [1, 0, 1] : [1]
  for (const index of rounds) {
    if (way === 'in place') {
      await writeKeys(index)
    } else {
      const { caFile, certFile, keyFile } = files
      files = { caFile: `${caFile}.new`, certFile: `${certFile}.new`, keyFile: `${keyFile}.new` }
      await writeKeys(index)
      await Promise.all([rename(files.caFile, caFile), rename(files.certFile, certFile), rename(files.keyFile, keyFile)])
      files = { caFile, certFile, keyFile }
    }
    await vi.waitFor(async () => expect(await readListenerName()).toBe(index === 1 ? 'second' : 'first'), APPLY_MS)
  }
}, 15_000)

// Guards against a process that ends because a key file is empty or cut off while it is being written.
test.each([
  ['empty key', 'keyFile', ''], ['cut off key', 'keyFile', 200], ['key of another certificate', 'keyFile', 'second'],
  ['empty certificate', 'certFile', ''], ['cut off certificate', 'certFile', 200],
  ['empty CA', 'caFile', ''], ['cut off CA', 'caFile', 1_500]
] as const)('links keep the last whole keys while a file is being written: %s', async (_name, file, content) => {
  const path = files[file]
  await copyFile(path, join(folder, 'kept'))
  const whole = file === 'keyFile' ? pems[0]?.private : file === 'certFile' ? pems[0]?.cert : pems.map(pem => pem.cert).join('')
  await writeFile(path, content === 'second' ? pems[1]?.private ?? '' : content === '' ? '' : whole?.slice(0, content) ?? '')
  await sleep(QUIET_MS)
  expect(changes).toBe(0)
  expect(await readListenerName()).toBe('first')
  expect(() => [credentials.createClientCredentials(), credentials.createServerCredentials()]).not.toThrow()
  await copyFile(join(folder, 'kept'), path)
  await sleep(QUIET_MS)
  expect(changes).toBe(0)
})

test('missing file changes nothing, and later keys are used', async () => {
  await rm(files.keyFile)
  expect(() => credentials.createClientCredentials()).not.toThrow()
  await sleep(QUIET_MS)
  await writeKeys(1)
  await vi.waitFor(async () => expect(await readListenerName()).toBe('second'), APPLY_MS)
})

// Guards against a process that ends at its start because its keys are being replaced at that moment.
test('keys that belong together a moment later are loaded, others are refused with their problem', async () => {
  await writeFile(files.certFile, pems[1]?.cert ?? '')
  const loaded = loadLinkKeys(files, new SystemClock())
  await sleep(100)
  await writeKeys(1)
  expect((await loaded).unwrap().key.toString()).toBe(pems[1]?.private)
  await writeFile(files.caFile, '')
  expect((await loadLinkKeys(files, new SystemClock())).err).toBe(true)
})
