/**
 * Certificates and keys for the links between processes.
 */
import { readFileSync, watch, type FSWatcher } from 'node:fs'
import { ChannelCredentials, ServerCredentials, credentials } from '@grpc/grpc-js'
import { Emitter, type IDisposable } from '@lagoonswitch/common'

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

/** Provides the current keys and reports changes of their files. */
export abstract class LinkCredentials implements IDisposable {
  protected readonly _onChanged = new Emitter<void>()
  /** Fires when the keys have changed; new channels must use the new ones. */
  readonly onChanged = this._onChanged.event

  /** @returns the current keys, or undefined for links without TLS */
  abstract readKeys (): ILinkKeys | undefined
  abstract createClientCredentials (): ChannelCredentials
  abstract createServerCredentials (): ServerCredentials

  dispose (): void {
    this._onChanged.dispose()
  }
}

/** Links without TLS. */
export class PlainCredentials extends LinkCredentials {
  readKeys (): undefined {
    return undefined
  }

  createClientCredentials (): ChannelCredentials {
    return credentials.createInsecure()
  }

  createServerCredentials (): ServerCredentials {
    return ServerCredentials.createInsecure()
  }
}

/** Links with mutual TLS; both sides must present a certificate signed by the CA. */
export class MutualTlsCredentials extends LinkCredentials {
  private readonly _watchers: FSWatcher[]

  /** @param _files - PEM files, read again for each new channel */
  constructor (private readonly _files: ICertificateFiles) {
    super()
    this._watchers = [_files.caFile, _files.certFile, _files.keyFile]
      .map(file => watch(file, { persistent: false }, () => this._onChanged.fire()))
  }

  readKeys (): ILinkKeys {
    return {
      ca: readFileSync(this._files.caFile),
      cert: readFileSync(this._files.certFile),
      key: readFileSync(this._files.keyFile)
    }
  }

  createClientCredentials (): ChannelCredentials {
    const { ca, cert, key } = this.readKeys()
    return credentials.createSsl(ca, key, cert)
  }

  createServerCredentials (): ServerCredentials {
    const { ca, cert, key } = this.readKeys()
    return ServerCredentials.createSsl(ca, [{ cert_chain: cert, private_key: key }], true)
  }

  override dispose (): void {
    for (const watcher of this._watchers) watcher.close()
    super.dispose()
  }
}

/**
 * Creates the credentials that the settings ask for.
 * @param files - paths of the certificate files
 * @returns credentials for mutual TLS when files are given, otherwise for links without TLS
 */
export function createLinkCredentials (files: ICertificateFiles): LinkCredentials {
  return files.caFile === '' ? new PlainCredentials() : new MutualTlsCredentials(files)
}
