/**
 * HTTP controller for operators; lagoonctl is its client.
 */
import {
  BadRequestException, Body, Controller, Delete, Get, Headers, HttpCode, HttpException, Inject, Param, Post,
  UnauthorizedException
} from '@nestjs/common'
import { z } from 'zod'
import type { ControlRole, IRaftStatus } from '@lagoonswitch/control'
import {
  ChangeOutcome, EndpointState, MoveStatus, createListSchema, formatRecordDeclaration, listProblems, type ChangeReply, type EndpointRecord,
  type MoveRecord
} from '@lagoonswitch/schema'
import type { OperatorTokens } from './OperatorTokens.js'
import { CONTROL_ROLE, OPERATOR_TOKENS } from './InjectionTokens.js'

const MAX_EDITS = 1_000
/** Longest name of a record, that of an account of 256 characters. */
const MAX_NAME_LENGTH = 264

const CHANGE = z.strictObject({
  requestId: z.string().min(8).max(128),
  edits: z.array(z.unknown()).max(MAX_EDITS).pipe(createListSchema(z.strictObject({
    name: z.string().min(1).max(MAX_NAME_LENGTH),
    expectedVersion: z.number().int().min(0),
    declaration: z.unknown().nullable()
  }), 1))
})

const MEMBER = z.strictObject({ name: z.string().min(1).max(MAX_NAME_LENGTH), address: z.string().max(MAX_NAME_LENGTH).regex(/^\S+:\d+$/, 'use HOST:PORT') })

const STATUS_CODES: Readonly<Partial<Record<ChangeOutcome, number>>> = {
  [ChangeOutcome.CHANGE_OUTCOME_ACCEPTED]: 200,
  [ChangeOutcome.CHANGE_OUTCOME_CONFLICT]: 409,
  [ChangeOutcome.CHANGE_OUTCOME_REQUEST_REUSED]: 409,
  [ChangeOutcome.CHANGE_OUTCOME_INVALID]: 422
}

const OUTCOME_NAMES: Readonly<Partial<Record<ChangeOutcome, string>>> = {
  [ChangeOutcome.CHANGE_OUTCOME_ACCEPTED]: 'accepted',
  [ChangeOutcome.CHANGE_OUTCOME_CONFLICT]: 'conflict',
  [ChangeOutcome.CHANGE_OUTCOME_REQUEST_REUSED]: 'request-reused',
  [ChangeOutcome.CHANGE_OUTCOME_INVALID]: 'invalid'
}

const MOVE_STATUS_NAMES: Readonly<Partial<Record<MoveStatus, string>>> = {
  [MoveStatus.MOVE_STATUS_RUNNING]: 'running',
  [MoveStatus.MOVE_STATUS_WATCHING]: 'done-watching',
  [MoveStatus.MOVE_STATUS_DONE]: 'done',
  [MoveStatus.MOVE_STATUS_TAKEN_BACK]: 'taken-back'
}

/** Reads and changes the catalogue and the members; reads moves and status. */
@Controller('v1')
export class OperatorController {
  constructor (
    @Inject(CONTROL_ROLE) private readonly _control: ControlRole,
    @Inject(OPERATOR_TOKENS) private readonly _tokens: OperatorTokens
  ) {}

  /** Applies a change to the catalogue. */
  @Post('changes')
  @HttpCode(200)
  async applyChange (@Headers('authorization') authorization: string | undefined, @Body() body: unknown): Promise<object> {
    const operator = this._checkOperator(authorization)
    const change = CHANGE.safeParse(body)
    if (!change.success) throw createBadRequest(change.error)
    const edits = change.data.edits.map(edit => ({
      name: edit.name,
      expectedVersion: edit.expectedVersion,
      declaration: formatRecordDeclaration(edit.name, edit.declaration)
    }))
    const result = await this._control.applyChange({ requestId: change.data.requestId, operator, edits })
    if (result.err) throw createUnavailableError(result.val.message)
    const reply = toChangeResponse(result.val)
    const status = STATUS_CODES[result.val.outcome] ?? 500
    if (status !== 200) throw new HttpException(reply, status)
    return reply
  }

  /** Reads all entries and accounts, including the last accepted change. */
  @Get('entries')
  async listEntries (@Headers('authorization') authorization: string | undefined): Promise<object> {
    this._checkOperator(authorization)
    await this._refreshCatalogue()
    const { version, records } = this._control.store.getContent()
    const entries = records.filter(record => !record.removed)
      .map(record => ({ name: record.name, version: record.version, declaration: JSON.parse(record.declaration) as unknown }))
    return { version, entries }
  }

  /** Reads all moves with their evidence. */
  @Get('moves')
  async listMoves (@Headers('authorization') authorization: string | undefined): Promise<object> {
    this._checkOperator(authorization)
    await this._refreshCatalogue()
    const moves = this._control.store.getContent().moves.map(move => this._formatMove(move))
    return { moves }
  }

  /** Reads the state of the control VMs, the nodes and the targets; works without a quorum. */
  @Get('status')
  readStatus (@Headers('authorization') authorization: string | undefined): object {
    this._checkOperator(authorization)
    const { version } = this._control.store
    const fleet = this._control.hub.computeFleetStatus()
    const records = this._control.endpoints.getRecords()
    const targets = records.filter(({ state }) => state !== EndpointState.ENDPOINT_STATE_GONE).map(toTargetStatus)
    const lost = records.filter(({ state, withdrawn }) => state === EndpointState.ENDPOINT_STATE_GONE && !withdrawn).map(toTargetStatus)
    const groups: IRaftStatus[] = this._control.listStatus()
    return { version, streams: this._control.hub.getStreamCount(), fleet, groups, targets, lost }
  }

  /** Adds or replaces a control VM in the groups that this process leads. */
  @Post('members')
  @HttpCode(200)
  async replaceMember (@Headers('authorization') authorization: string | undefined, @Body() body: unknown): Promise<object> {
    this._checkOperator(authorization)
    const member = MEMBER.safeParse(body)
    if (!member.success) throw createBadRequest(member.error)
    return { groups: await this._control.replaceMember(member.data.name, member.data.address) }
  }

  /** Removes a control VM from the groups that this process leads. */
  @Delete('members/:name')
  async removeMember (@Headers('authorization') authorization: string | undefined, @Param('name') name: string): Promise<object> {
    this._checkOperator(authorization)
    return { groups: await this._control.removeMember(name) }
  }

  private _checkOperator (authorization: string | undefined): string {
    const operator = this._tokens.findOperator(authorization)
    if (operator === undefined) throw new UnauthorizedException('the token is missing or wrong; set it with --token-file')
    return operator
  }

  private async _refreshCatalogue (): Promise<void> {
    const result = await this._control.refresh()
    if (result.err) throw createUnavailableError(result.val.message)
  }

  private _formatMove (move: MoveRecord): object {
    const progress = this._control.moves.getProgress(move.service)
    return {
      service: move.service,
      from: move.from,
      to: move.to,
      by: new Date(move.byMs).toISOString(),
      started: new Date(move.startedMs).toISOString(),
      status: MOVE_STATUS_NAMES[move.status] ?? 'unknown',
      share: move.sharePpm / 1_000_000,
      reason: move.reason,
      late: move.late,
      newCalls: progress?.newCalls,
      oldCalls: progress?.oldCalls,
      next: progress?.next
    }
  }
}

function toChangeResponse (reply: ChangeReply): object {
  return {
    outcome: OUTCOME_NAMES[reply.outcome] ?? 'unknown',
    version: reply.version,
    message: reply.message,
    repeated: reply.repeated,
    winner: reply.winner === undefined
      ? undefined
      : { name: reply.winner.name, version: reply.winner.version, operator: reply.winnerOperator }
  }
}

function createUnavailableError (message: string): HttpException {
  return new HttpException({ outcome: 'no-quorum', message }, 503)
}

function toTargetStatus ({ targetId, service, version, node, availabilityZone, state }: EndpointRecord): object {
  return { targetId, service, version, node, availabilityZone, draining: state === EndpointState.ENDPOINT_STATE_DRAINING }
}

function createBadRequest (error: z.ZodError): BadRequestException {
  return new BadRequestException(listProblems(error).map(({ path, message }) => path === '' ? message : `${path}: ${message}`).join('\n'))
}
