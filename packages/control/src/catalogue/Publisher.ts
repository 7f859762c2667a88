/**
 * Publishes all entries at once, under a number that must be higher than that of the current publication.
 */
import { deflateRawSync } from 'node:zlib'
import { Err, NoQuorumError, Ok, type IClock, type ILog, type Result } from '@lagoonswitch/common'
import {
  CatalogueCommand, ChangeOutcome, ChangeReply, EntryEdits, MAX_PROBLEMS, checkDeclarations, formatDeclaration, parseRecordDeclaration,
  splitDeclarations, type CallerLimits, type EntryEdit, type EntryRecord, type IDeclaration, type Publication
} from '@lagoonswitch/schema'
import type { CatalogueStore } from '@lagoonswitch/feed'
import { MAX_MESSAGE_BYTES } from '@lagoonswitch/transport'
import type { RaftGroup } from '../raft/RaftGroup.js'
import type { CatalogueStateMachine } from './CatalogueStateMachine.js'

/** Size above which edits are deflated. */
const MIN_DEFLATE_BYTES = 2_048
/** Largest change; it is sent between control VMs in one message, with the fields of the log around it. */
const MAX_COMMAND_BYTES = MAX_MESSAGE_BYTES - 65_536
/** Attempts to publish when other changes are accepted meanwhile; each one computes the edits again. */
const MAX_ATTEMPTS = 4

/** One entry or account of a publication. */
export interface IPublishedEntry {
  /** Name of the record: that of the entry, or `account/NAME`. */
  readonly name: string
  /** Validated when it is published. */
  readonly declaration: unknown
  readonly annotation: string
}

/** A publication as sent by an operator. */
export interface IPublicationDraft {
  readonly number: number
  /** Number of the publication that it is based on, 0 for the first one. */
  readonly baseNumber: number
  /** Identifies drafts with equal content. */
  readonly digest: string
  readonly callerLimits: CallerLimits
  readonly annotation: string
  readonly entries: readonly IPublishedEntry[]
}

/** Outcome of an order (a publication or a move) that was sent to this control VM. */
export type OrderOutcome =
  { readonly kind: 'accepted', readonly isRepeated: boolean } |
  { readonly kind: 'conflict' | 'invalid', readonly message: string } |
  /** Another control VM leads. */
  { readonly kind: 'elsewhere', readonly leaderAddress: string }

/** Dependencies of a {@link Publisher}. */
export interface IPublisherOptions {
  readonly clock: IClock
  readonly log: ILog
  readonly store: CatalogueStore
  readonly stateMachine: CatalogueStateMachine
  readonly group: RaftGroup
}

/** Converts drafts into changes of the entries that differ. */
export class Publisher {
  constructor (private readonly _options: IPublisherOptions) {}

  /**
   * Publishes a draft; only the leader does so.
   * @param draft - all entries
   * @returns the outcome, or an error if no quorum answered; the draft may have been published then
   */
  async publish (draft: IPublicationDraft): Promise<Result<OrderOutcome, NoQuorumError>> {
    const entries = parseEntries(draft.entries)
    if (entries.err) return Ok({ kind: 'invalid', message: entries.val })
    const startedMs = this._options.clock.readMonotonicMs()
    const result = await this._publishEntries(draft, entries.val)
    this._options.log.info('publication_decided', {
      number: draft.number,
      base: draft.baseNumber,
      digest: draft.digest.slice(0, 12),
      outcome: result.ok ? result.val.kind : 'no-quorum',
      message: result.ok && 'message' in result.val ? result.val.message : undefined,
      took_ms: Math.round(this._options.clock.readMonotonicMs() - startedMs)
    })
    return result
  }

  private async _publishEntries (
    draft: IPublicationDraft, entries: ReadonlyMap<string, string>
  ): Promise<Result<OrderOutcome, NoQuorumError>> {
    const { group, stateMachine, store } = this._options
    const requestId = `publication:${draft.digest}`
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (stateMachine.findAccepted(requestId) !== undefined) return Ok({ kind: 'accepted', isRepeated: true })
      if (group.role !== 'leader') return Ok({ kind: 'elsewhere', leaderAddress: group.getStatus().leaderAddress })
      if (!group.isReadyLeader || store.version.epoch === 0) return Err(new NoQuorumError(false))
      const current = store.view.publication
      const refusal = checkPublicationNumber(draft, current)
      if (refusal !== undefined) {
        const barrier = await group.readBarrier()
        if (barrier.err) return Err(new NoQuorumError(false))
        if (store.view.publication === current) return Ok(refusal)
        continue
      }
      const command = createCommand(draft, requestId, entries, store)
      if (command.length > MAX_COMMAND_BYTES) {
        return Ok({ kind: 'invalid', message: `the change has ${command.length} bytes, at most ${MAX_COMMAND_BYTES} fit into a message; publish less at once` })
      }
      const proposed = await group.propose(command)
      if (proposed.err) return Err(proposed.val instanceof NoQuorumError ? proposed.val : new NoQuorumError(false))
      const reply = ChangeReply.decode(proposed.val)
      if (reply.outcome === ChangeOutcome.CHANGE_OUTCOME_ACCEPTED) return Ok({ kind: 'accepted', isRepeated: reply.repeated })
      if (reply.outcome === ChangeOutcome.CHANGE_OUTCOME_INVALID) return Ok({ kind: 'invalid', message: reply.message })
    }
    return Ok({ kind: 'conflict', message: 'other changes came between each time; read the catalogue and publish again' })
  }
}

function checkPublicationNumber (draft: IPublicationDraft, current: Publication | undefined): OrderOutcome | undefined {
  const number = current?.number ?? 0
  if (draft.baseNumber !== number) {
    return { kind: 'conflict', message: `publication ${number} is in place, not ${draft.baseNumber}; read it, merge and publish again` }
  }
  if (draft.number > number) return undefined
  return { kind: 'invalid', message: `number ${draft.number} does not follow on ${number}; choose a higher one` }
}

/** @returns canonical declarations by name, or all problems */
function parseEntries (entries: readonly IPublishedEntry[]): Result<Map<string, string>, string> {
  const parsed = new Map<string, IDeclaration>()
  const problems: string[] = []
  for (const { name, declaration } of entries) {
    if (problems.length >= MAX_PROBLEMS) break
    const result = parseRecordDeclaration(name, declaration)
    if (result.err) problems.push(...result.val.map(error => error.message))
    else if (parsed.has(name)) problems.push(`${name}: it is declared twice; remove one`)
    else parsed.set(name, result.val)
  }
  if (problems.length === 0) problems.push(...checkDeclarations(splitDeclarations(parsed)).map(error => error.message))
  if (problems.length > 0) return Err(problems.join('\n'))
  return Ok(new Map([...parsed].map(([name, declaration]) => [name, formatDeclaration(declaration)])))
}

function createCommand (
  draft: IPublicationDraft, requestId: string, entries: ReadonlyMap<string, string>, store: CatalogueStore
): Uint8Array {
  const { records } = store.getContent()
  const edits = computeEdits(draft, entries, records)
  const encoded = EntryEdits.encode({ edits }).finish()
  const isPacked = encoded.length > MIN_DEFLATE_BYTES
  const names = draft.entries.map(({ name }) => name)
  const isStoreOrder = computeStoreOrder(names, records).every((name, index) => name === names[index])
  return CatalogueCommand.encode({
    nowMs: 0,
    command: {
      $case: 'change',
      value: {
        requestId,
        operator: 'publisher',
        edits: isPacked ? [] : edits,
        packedEdits: isPacked ? deflateRawSync(encoded) : Buffer.alloc(0),
        baseDigest: store.view.publication?.digest ?? '',
        publication: {
          number: draft.number,
          baseNumber: draft.baseNumber,
          digest: draft.digest,
          callerLimits: draft.callerLimits,
          annotation: draft.annotation,
          order: isStoreOrder ? [] : names
        }
      }
    }
  }).finish()
}

function computeEdits (
  draft: IPublicationDraft, entries: ReadonlyMap<string, string>, records: readonly EntryRecord[]
): EntryEdit[] {
  const remainingRecords = new Map(records.filter(record => !record.removed).map(record => [record.name, record]))
  const edits: EntryEdit[] = []
  for (const { name, annotation } of draft.entries) {
    const known = remainingRecords.get(name)
    remainingRecords.delete(name)
    const declaration = entries.get(name) ?? ''
    if (known?.declaration === declaration && known.annotation === annotation) continue
    edits.push({ name, expectedVersion: known?.version ?? 0, declaration, annotation })
  }
  for (const { name, version } of remainingRecords.values()) {
    edits.push({ name, expectedVersion: version, declaration: '', annotation: '' })
  }
  return edits
}

/** Computes the order in which the store will hold the entries; only a different one is stored with the publication. */
function computeStoreOrder (names: readonly string[], records: readonly EntryRecord[]): string[] {
  const published = new Set(names)
  const known = records.map(record => record.name).filter(name => published.has(name))
  const knownNames = new Set(known)
  return [...known, ...names.filter(name => !knownNames.has(name))]
}

/**
 * Lists the records of the current publication in the order in which they were published.
 * @param store - store of the catalogue
 * @returns records that are not removed
 */
export function listPublished (store: CatalogueStore): EntryRecord[] {
  const live = store.getContent().records.filter(record => !record.removed)
  const order = store.view.publication?.order ?? []
  if (order.length === 0) return live
  const positions = new Map(order.map((name, index) => [name, index]))
  return live.sort((a, b) => (positions.get(a.name) ?? order.length) - (positions.get(b.name) ?? order.length))
}
