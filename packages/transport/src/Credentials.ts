/**
 * Certificates and keys for the links between processes.
 */
import { ChannelCredentials, ServerCredentials, credentials } from '@grpc/grpc-js'
import { Emitter, NullLog, type IDisposable, type ILog } from '@lagoonswitch/common'
import { areSameKeys, readLinkKeys, type ICertificateFiles, type ILinkKeys } from './LinkKeys.js'

/** Time between two reads of the files. */
const POLL_INTERVAL_MS = 500

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
  private readonly _timer: NodeJS.Timeout
  private _keys: ILinkKeys
  /** Changed keys of the last read; they are used once a second read finds the same. */
  private _nextKeys: ILinkKeys | undefined
  private _problem = ''

  /**
   * @param _files - PEM files; polled, since a watch ends when a file is replaced by another one
   * @param _log - receives events
   * @param keys - that were read from the files; read now by default
   */
  constructor (private readonly _files: ICertificateFiles, private readonly _log: ILog = new NullLog(), keys?: ILinkKeys) {
    super()
    this._keys = keys ?? readLinkKeys(_files).unwrap()
    this._timer = setInterval(() => this._refresh(), POLL_INTERVAL_MS).unref()
  }

  readKeys (): ILinkKeys {
    return this._keys
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
    clearInterval(this._timer)
    super.dispose()
  }

  /** Keys that are not whole, or not yet the same twice, may be in the middle of a change; the ones in use stay. */
  private _refresh (): void {
    const read = readLinkKeys(this._files)
    if (read.err) {
      this._nextKeys = undefined
      if (read.val !== this._problem) this._log.warn('keys_refused', { problem: read.val, remedy: 'write whole PEM files that belong together' })
      this._problem = read.val
      return
    }
    this._problem = ''
    if (areSameKeys(read.val, this._keys)) {
      this._nextKeys = undefined
    } else if (this._nextKeys !== undefined && areSameKeys(read.val, this._nextKeys)) {
      this._keys = read.val
      this._nextKeys = undefined
      this._log.info('keys_reloaded', { file: this._files.certFile })
      this._onChanged.fire()
    } else {
      this._nextKeys = read.val
    }
  }
}

/**
 * Creates the credentials that the settings ask for.
 * @param files - paths of the certificate files
 * @param log - receives events
 * @param keys - that were read from the files; read now by default
 * @returns credentials for mutual TLS when files are given, otherwise for links without TLS
 */
export function createLinkCredentials (files: ICertificateFiles, log?: ILog, keys?: ILinkKeys): LinkCredentials {
  return files.caFile === '' ? new PlainCredentials() : new MutualTlsCredentials(files, log, keys)
}
