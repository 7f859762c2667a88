/**
 * Reads the certificates and the private key of a process, and tells whole files from those that are being written.
 */
import { X509Certificate } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import { Err, Ok, SettingsError, formatError, type IClock, type Result } from '@lagoonswitch/common'

const READ_INTERVAL_MS = 50
/** Reads at a start, within half a second; counted, since a machine that stands still says nothing about the files. */
const MAX_READS = 11
const BEGIN = '-----BEGIN CERTIFICATE-----'
const END = '-----END CERTIFICATE-----'

/** Paths of the certificate files from the settings; all empty for links without TLS. */
export interface ICertificateFiles {
  readonly caFile: string
  readonly certFile: string
  readonly keyFile: string
}

/** Certificates and private key in PEM format. */
export interface ILinkKeys {
  readonly ca: Buffer
  readonly cert: Buffer
  readonly key: Buffer
}

/**
 * Reads the files and checks that each is whole and that the key belongs to the certificate.
 * @param files - paths of the PEM files
 * @returns the keys, or the first problem
 */
export function readLinkKeys (files: ICertificateFiles): Result<ILinkKeys, string> {
  try {
    const keys = { ca: readFileSync(files.caFile), cert: readFileSync(files.certFile), key: readFileSync(files.keyFile) }
    // The library reads certificates up to the first that it can't, so a file that is cut off would pass for a shorter one.
    if (!areWholeCertificates(keys.ca)) return Err(`${files.caFile} is empty or cut off`)
    if (!areWholeCertificates(keys.cert)) return Err(`${files.certFile} is empty or cut off`)
    createSecureContext(keys)
    return Ok(keys)
  } catch (error) {
    return Err(formatError(error))
  }
}

/**
 * Reads the keys that a process starts with. Files that are missing or not whole may be in the middle of a change, so they are read again
 * for a moment.
 * @param files - paths of the PEM files
 * @param clock - source of time
 * @returns the keys, or the problem of the last read
 */
export async function loadLinkKeys (files: ICertificateFiles, clock: IClock): Promise<Result<ILinkKeys, SettingsError>> {
  for (let read = 1; ; read++) {
    const keys = readLinkKeys(files)
    if (keys.ok) return keys
    if (read >= MAX_READS) {
      return Err(new SettingsError(files.keyFile, 0, '[tls] ca_file, cert_file, key_file', keys.val, 'name whole PEM files that belong together'))
    }
    await clock.sleep(READ_INTERVAL_MS)
  }
}

/**
 * Tells whether two sets of keys are equal.
 * @param a - keys
 * @param b - other keys
 * @returns true if all files have the same content
 */
export function areSameKeys (a: ILinkKeys, b: ILinkKeys): boolean {
  return a.ca.equals(b.ca) && a.cert.equals(b.cert) && a.key.equals(b.key)
}

function areWholeCertificates (pem: Buffer): boolean {
  const parts = pem.toString('latin1').split(BEGIN).slice(1)
  for (const part of parts) {
    if (!part.includes(END)) return false
    void new X509Certificate(`${BEGIN}${part}`)
  }
  return parts.length > 0
}
