/**
 * The replicated catalogue: accepts or refuses changes, and records the state of moves.
 */
import { createHash } from 'node:crypto'
import { inflateRawSync } from 'node:zlib'
import { DeclarationError, Err, Ok, type ICatalogueVersion, type Result } from '@lagoonswitch/common'
import { CatalogueStore } from '@lagoonswitch/feed'
import {
  ACCOUNT_RECORD_PREFIX, CatalogueCommand, CatalogueSnapshot, ChangeCommand, ChangeOutcome, ChangeReply, EntryEdits, MoveStatus,
  checkDeclarations, checkMoveTime, formatDeclaration, isAccount, parseRecordDeclaration,
  type EntryEdit, type EntryRecord, type IDeclaration, type IEntry, type MoveCommand, type MoveOrder, type MoveRecord, type RequestRecord,
  type WithdrawalRecord
} from '@lagoonswitch/schema'
import { FULL_SHARE_PPM } from '../moves/MoveSchedule.js'
import { planOrderTimes } from '../moves/OrderedSchedule.js'
import { StateMachine, decodeCommand } from '../raft/StateMachine.js'
import { WithdrawalList } from './WithdrawalList.js'

const MAX_REMEMBERED_REQUESTS = 10_000
/** Maximum size of the inflated edits of one change; bounds what a few packed bytes can expand to. */
const MAX_EDITS_BYTES = 64 * 1_048_576
/** Largest share of an ordered move before all calls go to the new version. */
const ORDERED_FIRST_SHARE = 0.16

interface IPreparedChange {
  readonly records: EntryRecord[]
  readonly moves: MoveRecord[]
}

/**
 * Tells whether a move still needs decisions.
 * @param move - a move
 * @returns true until the move is done or taken back
 */
export function isMoveOpen (move: MoveRecord): boolean {
  return isStatusOpen(move.status)
}

/**
 * Tells whether a move of a status still needs decisions.
 * @param status - of a move
 * @returns true until the move is done or taken back
 */
export function isStatusOpen (status: MoveStatus): boolean {
  return status === MoveStatus.MOVE_STATUS_RUNNING || status === MoveStatus.MOVE_STATUS_WATCHING
}

/** State machine of the group `catalogue`. */
export class CatalogueStateMachine extends StateMachine {
  private readonly _requests = new Map<string, RequestRecord>()
  private readonly _lastOperators = new Map<string, string>()
  private _nowMs = 0
  /** Withdrawals of targets, which are not a part of the catalogue's version. */
  readonly withdrawals = new WithdrawalList()

  /** @param store - holds the accepted state */
  constructor (readonly store: CatalogueStore) {
    super()
  }

  apply (bytes: Uint8Array): Uint8Array {
    const decoded = decodeCommand(data => CatalogueCommand.decode(data), bytes)
    const command = decoded?.command
    this._nowMs = Math.max(this._nowMs, decoded?.nowMs ?? 0)
    switch (command?.$case) {
      case 'change': return ChangeReply.encode(this._applyChange(command.value)).finish()
      case 'move': return ChangeReply.encode(this._applyMove(command.value)).finish()
      case 'order': return ChangeReply.encode(this._applyOrder(command.value)).finish()
      case 'withdrawal': return ChangeReply.encode(this._applyWithdrawal(command.value)).finish()
      case 'bootstrap': return ChangeReply.encode(this._applyBootstrap(command.value.epoch)).finish()
      default: return ChangeReply.encode(createReply(ChangeOutcome.CHANGE_OUTCOME_INVALID, this.store.version,
        'unknown command; update the control VMs')).finish()
    }
  }

  takeSnapshot (): Uint8Array {
    const { version, compactedVersion, records, moves, publication } = this.store.getContent()
    return CatalogueSnapshot.encode({
      version: { ...version },
      nowMs: this._nowMs,
      entries: [...records],
      moves: [...moves],
      requests: [...this._requests.values()],
      compactedVersion,
      lastOperators: Object.fromEntries(this._lastOperators),
      publication,
      withdrawals: this.withdrawals.getRecords()
    }).finish()
  }

  restoreSnapshot (state: Uint8Array): void {
    const snapshot = CatalogueSnapshot.decode(state)
    this._nowMs = snapshot.nowMs
    this._requests.clear()
    for (const request of snapshot.requests) this._requests.set(request.requestId, request)
    this.withdrawals.restore(snapshot.withdrawals)
    this._lastOperators.clear()
    for (const [name, operator] of Object.entries(snapshot.lastOperators)) this._lastOperators.set(name, operator)
    this.store.restoreContent({
      version: { epoch: snapshot.version?.epoch ?? 0, version: snapshot.version?.version ?? 0 },
      compactedVersion: snapshot.compactedVersion,
      records: snapshot.entries,
      moves: snapshot.moves,
      publication: snapshot.publication
    })
  }

  /**
   * Finds the reply to a change that was accepted before.
   * @param requestId - id of the change
   * @returns the reply, or undefined if no such change was accepted
   */
  findAccepted (requestId: string): ChangeReply | undefined {
    const reply = this._requests.get(requestId)?.reply
    return reply?.outcome === ChangeOutcome.CHANGE_OUTCOME_ACCEPTED ? reply : undefined
  }

  private _applyWithdrawal (record: WithdrawalRecord): ChangeReply {
    this.withdrawals.add(record, this._nowMs)
    return createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, this.store.version, '')
  }

  private _applyBootstrap (epoch: number): ChangeReply {
    if (this.store.version.epoch !== 0 || epoch === 0) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_CONFLICT, this.store.version, 'the epoch of a catalogue never changes')
    }
    this.store.commitRecords({ epoch, version: 1 }, [], [])
    return createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, this.store.version, '')
  }

  private _applyChange (change: ChangeCommand): ChangeReply {
    const isEmpty = change.edits.length === 0 && change.packedEdits.length === 0 && change.publication === undefined
    if (change.requestId === '' || isEmpty) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_INVALID, this.store.version,
        'a change needs a request id and an edit; send it with lagoonctl apply')
    }
    const fingerprint = change.publication?.digest ??
      createHash('sha256').update(ChangeCommand.encode(change).finish()).digest('hex')
    const earlier = this._requests.get(change.requestId)
    if (earlier?.reply !== undefined) {
      if (earlier.fingerprint === fingerprint) return { ...earlier.reply, repeated: true }
      return createReply(ChangeOutcome.CHANGE_OUTCOME_REQUEST_REUSED, this.store.version,
        `request id ${change.requestId} belongs to another change; use a new request id`)
    }
    const reply = this._decideChange(change)
    // The request id of a publication depends only on its content, so a refused one is not remembered: it may be accepted later.
    const isRefused = reply.outcome !== ChangeOutcome.CHANGE_OUTCOME_ACCEPTED
    if (isRefused && change.publication !== undefined) return reply
    this._requests.set(change.requestId, { requestId: change.requestId, fingerprint, atMs: this._nowMs, reply })
    if (this._requests.size > MAX_REMEMBERED_REQUESTS) {
      const oldest = this._requests.keys().next().value
      if (oldest !== undefined) this._requests.delete(oldest)
    }
    return reply
  }

  private _decideChange (change: ChangeCommand): ChangeReply {
    if (this.store.version.epoch === 0) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_INVALID, this.store.version, 'the catalogue has no epoch yet; retry')
    }
    const { publication } = change
    const current = this.store.view.publication
    if (publication !== undefined && change.baseDigest !== (current?.digest ?? '')) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_CONFLICT, this.store.version,
        `publication ${current?.number ?? 0} is in place; read it, merge and publish again`)
    }
    const edits = readEdits(change)
    if (edits === undefined) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_INVALID, this.store.version, 'the edits can\'t be read; send them again')
    }
    const conflict = edits.find(edit => edit.expectedVersion !== this._getEntryVersion(edit.name))
    if (conflict !== undefined) {
      return {
        ...createReply(ChangeOutcome.CHANGE_OUTCOME_CONFLICT, this.store.version,
          `${conflict.name} is at version ${this._getEntryVersion(conflict.name)}, not ${conflict.expectedVersion}; ` +
          'read the entry, merge and send again with a new request id'),
        winner: this.store.getRecord(conflict.name),
        winnerOperator: this._lastOperators.get(conflict.name) ?? ''
      }
    }
    const version = { epoch: this.store.version.epoch, version: this.store.version.version + 1 }
    const prepared = this._prepareEdits(edits, version.version)
    if (prepared.err) {
      const message = prepared.val.map(error => error.message).join('\n')
      return createReply(ChangeOutcome.CHANGE_OUTCOME_INVALID, this.store.version, message)
    }
    if (prepared.val.records.length === 0 && publication === undefined) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, this.store.version, 'nothing differs')
    }
    for (const record of prepared.val.records) this._lastOperators.set(record.name, change.operator)
    this.store.commitRecords(version, prepared.val.records, prepared.val.moves, publication)
    return createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, version, '')
  }

  private _prepareEdits (edits: readonly EntryEdit[], version: number): Result<IPreparedChange, DeclarationError[]> {
    const errors: DeclarationError[] = []
    const entries = new Map(this.store.view.entries)
    const accounts = new Map(this.store.view.accounts)
    const prepared: IPreparedChange = { records: [], moves: [] }
    for (const edit of edits) {
      const previous = this.store.view.entries.get(edit.name)
      if (edit.declaration === '') {
        if (edit.name.startsWith(ACCOUNT_RECORD_PREFIX)) accounts.delete(edit.name.slice(ACCOUNT_RECORD_PREFIX.length))
        else entries.delete(edit.name)
        prepared.records.push({ name: edit.name, version, declaration: '', removed: true, annotation: '' })
        this._closeMove(edit.name, undefined, version, prepared.moves)
        continue
      }
      const parsed = parseDeclaration(edit)
      if (parsed.err) {
        errors.push(...parsed.val)
        continue
      }
      if (isAccount(parsed.val)) {
        accounts.set(parsed.val.account, parsed.val)
      } else {
        const problem = checkMoveTime(parsed.val, previous, this._nowMs) ?? this._checkVersionChange(parsed.val, previous)
        if (problem !== undefined) errors.push(problem)
        entries.set(edit.name, parsed.val)
      }
      const declaration = formatDeclaration(parsed.val)
      const known = this.store.getRecord(edit.name)
      if (declaration === known?.declaration && edit.annotation === known.annotation) continue
      prepared.records.push({ name: edit.name, version, declaration, removed: false, annotation: edit.annotation })
      if (!isAccount(parsed.val)) this._prepareMove(parsed.val, previous, version, prepared.moves)
    }
    errors.push(...checkDeclarations({ entries, accounts }))
    return errors.length > 0 ? Err(errors) : Ok(prepared)
  }

  /** The version in use changes only through a move with the full share, so that no version gets all traffic unchecked. */
  private _checkVersionChange (entry: IEntry, previous: IEntry | undefined): DeclarationError | undefined {
    if (previous === undefined || previous.version === entry.version) return undefined
    const move = this.store.getMove(entry.entry)
    const isMoveComplete = move?.status === MoveStatus.MOVE_STATUS_DONE || move?.status === MoveStatus.MOVE_STATUS_WATCHING
    if (isMoveComplete && move.to === entry.version) return undefined
    return new DeclarationError(`${entry.entry}.version`,
      `changing ${previous.version} to ${entry.version} at once would skip the checks`,
      `keep ${previous.version} and declare a move to ${entry.version}`)
  }

  private _prepareMove (entry: IEntry, previous: IEntry | undefined, version: number, moves: MoveRecord[]): void {
    const { move } = entry
    const isSame = previous?.move !== undefined && move !== undefined &&
      previous.move.to === move.to && previous.move.by === move.by
    if (isSame) return
    if (move === undefined) {
      // A change that concerns neither move nor version leaves an ordered move open.
      const isConcerned = previous?.move !== undefined || previous?.version !== entry.version
      if (isConcerned) this._closeMove(entry.entry, entry.version, version, moves)
      return
    }
    moves.push({
      service: entry.entry,
      from: entry.version ?? '',
      to: move.to,
      byMs: Date.parse(move.by),
      startedMs: this._nowMs,
      status: MoveStatus.MOVE_STATUS_RUNNING,
      sharePpm: 0,
      stepStartedMs: this._nowMs,
      reason: 'accepted',
      version,
      late: false,
      ordered: false,
      watchMs: 0,
      firstSharePpm: 0,
      baseline: []
    })
  }

  /** Ends a move that an operator withdraws: it is taken back, unless its version has become the version in use. */
  private _closeMove (service: string, versionInUse: string | undefined, version: number, moves: MoveRecord[]): void {
    const open = this.store.getMove(service)
    if (open === undefined || !isMoveOpen(open)) return
    if (open.to === versionInUse) {
      moves.push({ ...open, status: MoveStatus.MOVE_STATUS_DONE, reason: 'ended by an operator', version, baseline: [] })
      return
    }
    moves.push({
      ...open, status: MoveStatus.MOVE_STATUS_TAKEN_BACK, sharePpm: 0, reason: 'withdrawn by an operator', version, baseline: []
    })
  }

  private _applyMove (command: MoveCommand): ChangeReply {
    const move = this.store.getMove(command.service)
    if (move === undefined || move.version !== command.expectedVersion || !isMoveOpen(move)) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_CONFLICT, this.store.version, 'the move has changed; decide again')
    }
    const version = { epoch: this.store.version.epoch, version: this.store.version.version + 1 }
    const next: MoveRecord = {
      ...move,
      status: command.status,
      sharePpm: command.sharePpm,
      reason: command.reason,
      late: command.late,
      stepStartedMs: this._nowMs,
      version: version.version,
      baseline: command.baseline
    }
    this.store.commitRecords(version, [], [next])
    return createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, version, '')
  }

  /** A repeated order is accepted with the move that it started; another order is refused while a move is open. */
  private _applyOrder (order: MoveOrder): ChangeReply {
    const known = this.store.getMove(order.service)
    const isKnown = known?.ordered === true && known.to === order.to
    if (isKnown && (isMoveOpen(known) || this._nowMs < known.startedMs + order.withinMs)) {
      return { ...createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, this.store.version, ''), repeated: true }
    }
    if (known !== undefined && isMoveOpen(known)) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_CONFLICT, this.store.version,
        `the move to ${known.to} is open; wait until it has ended`)
    }
    const isUsable = order.service !== '' && order.to !== '' && order.to !== order.from && order.withinMs > 0
    if (!isUsable || !this.store.view.entries.has(order.service)) {
      return createReply(ChangeOutcome.CHANGE_OUTCOME_INVALID, this.store.version,
        `no move of ${order.service} to ${order.to} can be made; name an entry, another version and a time`)
    }
    const version = { epoch: this.store.version.epoch, version: this.store.version.version + 1 }
    const times = planOrderTimes(this._nowMs, order.withinMs)
    this.store.commitRecords(version, [], [{
      service: order.service,
      from: order.from,
      to: order.to,
      byMs: times.fullShareMs,
      startedMs: this._nowMs,
      status: MoveStatus.MOVE_STATUS_RUNNING,
      sharePpm: 0,
      stepStartedMs: this._nowMs,
      reason: 'accepted',
      version: version.version,
      late: false,
      ordered: true,
      watchMs: times.watchMs,
      firstSharePpm: ORDERED_FIRST_SHARE * FULL_SHARE_PPM,
      baseline: []
    }])
    return createReply(ChangeOutcome.CHANGE_OUTCOME_ACCEPTED, version, '')
  }

  private _getEntryVersion (name: string): number {
    const record = this.store.getRecord(name)
    return record === undefined || record.removed ? 0 : record.version
  }
}

function readEdits (change: ChangeCommand): EntryEdit[] | undefined {
  if (change.packedEdits.length === 0) return change.edits
  try {
    return EntryEdits.decode(inflateRawSync(change.packedEdits, { maxOutputLength: MAX_EDITS_BYTES })).edits
  } catch {
    return undefined
  }
}

function parseDeclaration (edit: EntryEdit): Result<IDeclaration, DeclarationError[]> {
  let value: unknown
  try {
    value = JSON.parse(edit.declaration)
  } catch {
    return Err([new DeclarationError(edit.name, 'the declaration is no JSON', 'send it with lagoonctl apply')])
  }
  return parseRecordDeclaration(edit.name, value)
}

function createReply (outcome: ChangeOutcome, version: ICatalogueVersion, message: string): ChangeReply {
  return { outcome, version: { ...version }, message, winner: undefined, winnerOperator: '', repeated: false }
}
