/**
 * In-memory store of the catalogue: records, moves and digest of the current version, and deltas from older versions to it.
 */
import { createHash } from 'node:crypto'
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import {
  Emitter, Err, FeedError, NO_VERSION, Ok, compareVersions, formatVersion,
  type DeclarationError, type ICatalogueVersion, type Result
} from '@lagoonswitch/common'
import {
  ACCOUNT_RECORD_PREFIX, EntryRecord, EntryRecords, MoveRecord, Publication, checkAccounts, checkCatalogue, parseAccount, parseEntry,
  type CatalogueDelta, type IAccount, type IEntry
} from '@lagoonswitch/schema'

const DIGEST_BYTES = 16
/** Version of a catalogue that has only been bootstrapped. */
const BOOTSTRAP_VERSION = 1
/** Number of records of removed entries that are kept, so that a delta can report the removal. */
const MAX_TOMBSTONES = 1_000
/** Encoded size of the records above which a delta carries them compressed, in bytes. */
const PACK_THRESHOLD_BYTES = 4_096
/** Largest size of the decompressed records of one delta, in bytes; guards against decompression bombs. */
const MAX_UNPACKED_BYTES = 64 * 1_048_576

/** Immutable view of one version of the whole catalogue. */
export interface ICatalogueView {
  readonly version: ICatalogueVersion
  readonly entries: ReadonlyMap<string, IEntry>
  /** Client accounts by name; empty if calls need no key. */
  readonly accounts: ReadonlyMap<string, IAccount>
  readonly moves: ReadonlyMap<string, MoveRecord>
  /** The latest publication; undefined when entries were only edited one by one so far. */
  readonly publication: Publication | undefined
}

/** Complete content of a store, for snapshots. */
export interface ICatalogueContent {
  readonly version: ICatalogueVersion
  /** Version before which removals are no longer known; subscribers that hold an older one get the whole catalogue. */
  readonly compactedVersion: number
  readonly records: readonly EntryRecord[]
  readonly moves: readonly MoveRecord[]
  readonly publication: Publication | undefined
}

interface IState {
  version: ICatalogueVersion
  compactedVersion: number
  records: Map<string, EntryRecord>
  moves: Map<string, MoveRecord>
  entries: Map<string, IEntry>
  accounts: Map<string, IAccount>
  publication: Publication | undefined
  /** The publication in the form that is sent to subscribers; the digest covers this form. */
  sentPublication: Publication | undefined
  digest: Buffer
}

/** Holds one version of the catalogue at a time and replaces it atomically. */
export class CatalogueStore {
  private readonly _onChanged = new Emitter<ICatalogueView>()
  private _state: IState = createEmptyState()
  private _packed: { version: ICatalogueVersion, since: number, bytes: Buffer } | undefined
  private _view: ICatalogueView = {
    version: NO_VERSION, entries: new Map(), accounts: new Map(), moves: new Map(), publication: undefined
  }

  /** Fires after a new version is in place. */
  readonly onChanged = this._onChanged.event

  get version (): ICatalogueVersion {
    return this._state.version
  }

  /** True until the first change: the catalogue has been bootstrapped, but no operator has declared anything. */
  get isInitial (): boolean {
    return this._state.version.version <= BOOTSTRAP_VERSION
  }

  get digest (): Buffer {
    return this._state.digest
  }

  /** The current version as an immutable view. */
  get view (): ICatalogueView {
    return this._view
  }

  /**
   * @param name - name of an entry
   * @returns its record, also when the entry was removed
   */
  getRecord (name: string): EntryRecord | undefined {
    return this._state.records.get(name)
  }

  /**
   * @param service - name of a service
   * @returns its last move
   */
  getMove (service: string): MoveRecord | undefined {
    return this._state.moves.get(service)
  }

  /** @returns the complete content, for a snapshot */
  getContent (): ICatalogueContent {
    const { version, compactedVersion, records, moves, publication } = this._state
    return { version, compactedVersion, records: [...records.values()], moves: [...moves.values()], publication }
  }

  /**
   * Replaces the complete content without checks. Only for snapshots of the group that this process belongs to.
   * @param content - result of {@link getContent}
   */
  restoreContent (content: ICatalogueContent): void {
    const next = createEmptyState()
    putRecords(next, content.records, content.moves)
    putPublication(next, content.publication, createSentPublication(content.publication))
    next.version = content.version
    next.compactedVersion = content.compactedVersion
    this._replaceState(next)
  }

  /**
   * Applies records that the control VMs have committed, as a new version.
   * @param version - the new version
   * @param records - changed records, already validated
   * @param moves - changed moves
   * @param publication - the new publication, if the records belong to one
   */
  commitRecords (
    version: ICatalogueVersion, records: readonly EntryRecord[], moves: readonly MoveRecord[], publication?: Publication
  ): void {
    const next = copyState(this._state)
    putRecords(next, records, moves)
    if (publication !== undefined) putPublication(next, publication, createSentPublication(publication))
    next.version = version
    dropTombstones(next)
    this._replaceState(next)
  }

  /**
   * Computes the delta from an older version to the current one.
   * @param held - version that the subscriber holds
   * @returns the delta, or undefined when the held version is not older
   */
  computeDelta (held: ICatalogueVersion): CatalogueDelta | undefined {
    const { version, compactedVersion, records, moves, sentPublication, digest } = this._state
    if (compareVersions(held, version) >= 0) return undefined
    const full = held.epoch !== version.epoch || held.version < compactedVersion
    const since = full ? -1 : held.version
    const entries = [...records.values()].filter(record => record.version > since && !(full && record.removed))
    const packedEntries = this._packEntries(entries, since)
    return {
      base: full ? { ...NO_VERSION } : { ...held },
      version: { ...version },
      full,
      entries: packedEntries.length > 0 ? [] : entries,
      packedEntries,
      moves: [...moves.values()].filter(move => move.version > since).map(createSentMove),
      digest,
      publication: sentPublication
    }
  }

  /**
   * Validates a delta and applies it atomically.
   * @param delta - received from a control VM or a relay
   * @returns nothing, or why the delta was refused; the store is unchanged then
   */
  applyDelta (delta: CatalogueDelta): Result<void, FeedError> {
    const version = delta.version ?? NO_VERSION
    const base = delta.base ?? NO_VERSION
    if (compareVersions(version, this._state.version) <= 0) {
      return Err(new FeedError(`version ${formatVersion(version)} isn't newer than ${formatVersion(this._state.version)}`,
        'leave this source'))
    }
    const isBaseCompatible = delta.full || (base.epoch === this._state.version.epoch && base.version <= this._state.version.version)
    if (!isBaseCompatible) {
      return Err(new FeedError(`the delta starts at ${formatVersion(base)}`, 'subscribe again from the version held'))
    }
    const entries = unpackEntries(delta)
    if (entries.err) return entries
    const next = delta.full ? createEmptyState() : copyState(this._state)
    const putResult = putRecords(next, entries.val, delta.moves)
    if (putResult.err) return putResult
    if (delta.publication !== undefined) putPublication(next, delta.publication, delta.publication)
    next.version = { epoch: version.epoch, version: version.version }
    if (delta.full) next.compactedVersion = version.version
    dropTombstones(next)
    const catalogueError = checkCatalogue(next.entries)[0] ?? checkAccounts(next.accounts)[0]
    if (catalogueError !== undefined) return Err(new FeedError(catalogueError.message, 'correct the catalogue'))
    if (!next.digest.equals(delta.digest)) {
      return Err(new FeedError('the digest differs after the delta', 'fetch the whole catalogue'))
    }
    this._replaceState(next)
    return Ok(undefined)
  }

  /** Encodes records once for all subscribers that hold the same version. */
  private _packEntries (entries: readonly EntryRecord[], since: number): Buffer {
    if (this._packed?.version === this._state.version && this._packed.since === since) return this._packed.bytes
    const encoded = EntryRecords.encode({ records: [...entries] }).finish()
    const bytes = encoded.length > PACK_THRESHOLD_BYTES ? deflateRawSync(encoded) : Buffer.alloc(0)
    this._packed = { version: this._state.version, since, bytes }
    return bytes
  }

  private _replaceState (next: IState): void {
    this._state = next
    this._view = {
      version: next.version, entries: next.entries, accounts: next.accounts, moves: next.moves, publication: next.publication
    }
    this._onChanged.fire(this._view)
  }
}

function unpackEntries (delta: CatalogueDelta): Result<EntryRecord[], FeedError> {
  if (delta.packedEntries.length === 0) return Ok(delta.entries)
  try {
    return Ok(EntryRecords.decode(inflateRawSync(delta.packedEntries, { maxOutputLength: MAX_UNPACKED_BYTES })).records)
  } catch {
    return Err(new FeedError('the packed records can\'t be read', 'leave this source'))
  }
}

function createEmptyState (): IState {
  return {
    version: NO_VERSION,
    compactedVersion: 0,
    records: new Map(),
    moves: new Map(),
    entries: new Map(),
    accounts: new Map(),
    publication: undefined,
    sentPublication: undefined,
    digest: Buffer.alloc(DIGEST_BYTES)
  }
}

function copyState (state: IState): IState {
  return {
    ...state,
    records: new Map(state.records),
    moves: new Map(state.moves),
    entries: new Map(state.entries),
    accounts: new Map(state.accounts),
    digest: Buffer.from(state.digest)
  }
}

function putRecords (
  state: IState, records: readonly EntryRecord[], moves: readonly MoveRecord[]
): Result<void, FeedError> {
  for (const record of records) {
    const previous = state.records.get(record.name)
    if (previous !== undefined && !previous.removed) updateDigest(state.digest, 'entry', EntryRecord.encode(previous).finish())
    state.records.set(record.name, record)
    if (record.removed) {
      if (record.name.startsWith(ACCOUNT_RECORD_PREFIX)) state.accounts.delete(record.name.slice(ACCOUNT_RECORD_PREFIX.length))
      else state.entries.delete(record.name)
      continue
    }
    const put = putDeclaration(state, record)
    if (put.err) return put
    updateDigest(state.digest, 'entry', EntryRecord.encode(record).finish())
  }
  for (const move of moves) {
    const previous = state.moves.get(move.service)
    if (previous !== undefined) updateDigest(state.digest, 'move', MoveRecord.encode(createSentMove(previous)).finish())
    state.moves.set(move.service, move)
    updateDigest(state.digest, 'move', MoveRecord.encode(createSentMove(move)).finish())
  }
  return Ok(undefined)
}

function putPublication (state: IState, publication: Publication | undefined, sent: Publication | undefined): void {
  if (state.sentPublication !== undefined) updateDigest(state.digest, 'publication', Publication.encode(state.sentPublication).finish())
  state.publication = publication
  state.sentPublication = sent
  if (sent !== undefined) updateDigest(state.digest, 'publication', Publication.encode(sent).finish())
}

/**
 * Omits the parts of a publication that subscribers do not need: only control VMs return the original, and the
 * publication's own digest covers these parts.
 */
function createSentPublication (publication: Publication | undefined): Publication | undefined {
  return publication === undefined ? undefined : { ...publication, annotation: '', order: [] }
}

/** Omits the baseline, which only control VMs need. */
function createSentMove (move: MoveRecord): MoveRecord {
  return { ...move, baseline: [] }
}

function putDeclaration (state: IState, { name, declaration }: EntryRecord): Result<void, FeedError> {
  if (name.startsWith(ACCOUNT_RECORD_PREFIX)) {
    const account = parseDeclaration(declaration, parseAccount)
    if (account.err) return account
    state.accounts.set(name.slice(ACCOUNT_RECORD_PREFIX.length), account.val)
    return Ok(undefined)
  }
  const entry = parseDeclaration(declaration, parseEntry)
  if (entry.err) return entry
  state.entries.set(name, entry.val)
  return Ok(undefined)
}

function parseDeclaration<T> (declaration: string, parse: (value: unknown) => Result<T, DeclarationError[]>): Result<T, FeedError> {
  try {
    const parsed = parse(JSON.parse(declaration))
    if (parsed.ok) return parsed
    return Err(new FeedError(parsed.val[0]?.message ?? 'invalid declaration', 'correct the declaration'))
  } catch {
    return Err(new FeedError('a declaration is no JSON', 'leave this source'))
  }
}

/** The digest is the XOR of the hashes of all live records, so that adding or removing a record costs one hash. */
function updateDigest (digest: Buffer, kind: string, bytes: Uint8Array): void {
  const hash = createHash('sha256').update(kind).update(bytes).digest()
  for (let index = 0; index < DIGEST_BYTES; index++) {
    digest[index] = (digest[index] ?? 0) ^ (hash[index] ?? 0)
  }
}

function dropTombstones (state: IState): void {
  const tombstones = [...state.records.values()].filter(record => record.removed)
  if (tombstones.length <= MAX_TOMBSTONES) return
  tombstones.sort((a, b) => a.version - b.version)
  for (const tombstone of tombstones.slice(0, tombstones.length - MAX_TOMBSTONES)) {
    state.records.delete(tombstone.name)
    state.compactedVersion = Math.max(state.compactedVersion, tombstone.version)
  }
}
