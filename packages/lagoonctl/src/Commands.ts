/**
 * The commands of lagoonctl, each returning its exit code.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { stringify } from 'yaml'
import { formatDeclaration, isAccount, type IDeclaration } from '@lagoonswitch/schema'
import { readDeclarations } from './DeclarationFiles.js'
import { findExplanation } from './explain/CallExplanation.js'
import { readLogs } from './explain/LogFiles.js'
import type { ILogLine } from './explain/LogLine.js'
import { OperatorClient, formatProblem, type IControlResponse } from './OperatorClient.js'
import { formatStatus, type IStatus } from './StatusText.js'

/** Exit codes, documented in docs/OPERATIONS.md. */
export const EXIT = { ok: 0, failed: 1, usage: 2, invalid: 3, conflict: 4, unreachable: 5, takenBack: 6, timeout: 7 } as const

const POLL_INTERVAL_MS = 500
const HTTP_CONFLICT = 409
const HTTP_UNPROCESSABLE_CONTENT = 422

interface IRemoteEntry {
  name: string
  version: number
  declaration: IDeclaration
}

interface IRemoteMove {
  service: string
  from: string
  to: string
  by: string
  status: string
  share: number
  reason: string
  late: boolean
  newCalls?: number
  oldCalls?: number
  next?: string
}

interface IEdit {
  readonly name: string
  readonly expectedVersion: number
  readonly declaration: IDeclaration | null
}

interface IDifference {
  readonly edits: IEdit[]
  readonly lines: string[]
}

/** Runs commands against the control VMs. */
export class Commands {
  /**
   * @param _client - client of the control VMs
   * @param _isJson - whether to print JSON instead of text
   */
  constructor (private readonly _client: OperatorClient, private readonly _isJson: boolean) {}

  /** Validates declarations without contacting a control VM. */
  async check (path: string): Promise<number> {
    const entries = await readDeclarations(path)
    if (entries.err) {
      for (const error of entries.val) console.error(error.message)
      return EXIT.invalid
    }
    this._print({ valid: true, entries: entries.val.size }, `${path}: ${entries.val.size} declarations are valid`)
    return EXIT.ok
  }

  /** Explains from logs why a call ended as it did. */
  async explainCall (callId: string, files: readonly string[]): Promise<number> {
    const { lines, bad } = await readLogs(files)
    const explanation = findExplanation(callId, lines)
    if (bad > 0) console.error(`skipped ${bad} lines that are not log events`)
    if (explanation === undefined) {
      return this._fail(`no line names call ${callId}; pass the logs of all processes; successful calls are sampled`, EXIT.failed)
    }
    const text = explanation.lines.map(line => `${new Date(line.timeMs).toISOString()} ${line.process} ${formatFields(line)}`)
    this._print(explanation, [...text, explanation.verdict].join('\n'))
    return EXIT.ok
  }

  /** Applies declarations. */
  async apply (path: string, isPruning: boolean, requestId: string): Promise<number> {
    const difference = await this._computeDifference(path, isPruning)
    if (typeof difference === 'number') return difference
    if (difference.edits.length === 0) {
      this._print({ outcome: 'unchanged' }, 'nothing differs')
      return EXIT.ok
    }
    const response = await this._client.send('POST', '/v1/changes', {
      requestId: requestId === '' ? randomUUID() : requestId, edits: difference.edits
    })
    if (response.err) return this._fail(response.val.message, EXIT.unreachable)
    return this._reportChange(response.val, difference)
  }

  /** Shows what apply would change. */
  async showDifference (path: string, isPruning: boolean): Promise<number> {
    const difference = await this._computeDifference(path, isPruning)
    if (typeof difference === 'number') return difference
    this._print(difference.edits, difference.lines.length === 0 ? 'nothing differs' : difference.lines.join('\n'))
    return EXIT.ok
  }

  /** Prints one entry or account, or all of them if no name is given. */
  async get (name: string | undefined): Promise<number> {
    const entries = await this._listEntries()
    if (typeof entries === 'number') return entries
    const chosen = entries.filter(entry => name === undefined || entry.name === name)
    if (name !== undefined && chosen.length === 0) return this._fail(`no entry is named ${name}`, EXIT.failed)
    this._print(chosen, chosen.map(formatRemoteEntry).join('\n'))
    return EXIT.ok
  }

  /** Prints the whole catalogue as declarations. */
  async exportEntries (): Promise<number> {
    const entries = await this._listEntries()
    if (typeof entries === 'number') return entries
    process.stdout.write(entries.map(entry => stringify(entry.declaration)).join('---\n'))
    return EXIT.ok
  }

  /** Prints the state of the system; each target on a line of its own if wanted. */
  async showStatus (areTargetsListed: boolean): Promise<number> {
    const response = await this._client.send('GET', '/v1/status')
    if (response.err) return this._fail(response.val.message, EXIT.unreachable)
    if (response.val.status !== 200) return this._fail(formatProblem(response.val.body), EXIT.failed)
    this._print(response.val.body, formatStatus(response.val.body as IStatus, areTargetsListed))
    return EXIT.ok
  }

  /** Prints all moves. */
  async showMoves (): Promise<number> {
    const moves = await this._listMoves()
    if (typeof moves === 'number') return moves
    this._print(moves, moves.length === 0 ? 'no moves' : moves.map(formatMove).join('\n'))
    return EXIT.ok
  }

  /** Waits until a move is done or taken back. */
  async waitMove (service: string, timeoutMs: number): Promise<number> {
    const endMs = Date.now() + timeoutMs
    let lastLine = ''
    while (Date.now() < endMs) {
      const moves = await this._listMoves()
      if (typeof moves === 'number') return moves
      const move = moves.find(candidate => candidate.service === service)
      if (move === undefined) return this._fail(`${service} has no move`, EXIT.failed)
      const line = formatMove(move)
      if (line !== lastLine && process.stderr.isTTY && !this._isJson) console.error(line)
      lastLine = line
      if (move.status === 'done' || move.status === 'done-watching') {
        this._print(move, `${service}: done, ${move.to} takes all calls`)
        return EXIT.ok
      }
      if (move.status === 'taken-back') {
        this._print(move, `${service}: taken back, ${move.from} takes all calls: ${move.reason}`)
        return EXIT.takenBack
      }
      await sleep(POLL_INTERVAL_MS)
    }
    return this._fail(`the move of ${service} isn't decided yet: ${lastLine}`, EXIT.timeout)
  }

  /** Adds or replaces a control VM. */
  async replaceMember (name: string, address: string): Promise<number> {
    return await this._changeMembers('POST', '/v1/members', { name, address })
  }

  /** Removes a control VM. */
  async removeMember (name: string): Promise<number> {
    return await this._changeMembers('DELETE', `/v1/members/${encodeURIComponent(name)}`)
  }

  private async _changeMembers (method: 'POST' | 'DELETE', path: string, body?: unknown): Promise<number> {
    const response = await this._client.send(method, path, body)
    if (response.err) return this._fail(response.val.message, EXIT.unreachable)
    if (response.val.status !== 200) return this._fail(formatProblem(response.val.body), EXIT.failed)
    const { groups } = response.val.body as { groups: string[] }
    this._print(response.val.body, groups.join('\n'))
    return groups.every(line => line.endsWith(': done')) ? EXIT.ok : EXIT.failed
  }

  private async _computeDifference (path: string, isPruning: boolean): Promise<IDifference | number> {
    const declared = await readDeclarations(path)
    if (declared.err) {
      for (const error of declared.val) console.error(error.message)
      return EXIT.invalid
    }
    const remote = await this._listEntries()
    if (typeof remote === 'number') return remote
    const remoteByName = new Map(remote.map(entry => [entry.name, entry]))
    const edits: IEdit[] = []
    const lines: string[] = []
    for (const [name, entry] of declared.val) {
      const remoteEntry = remoteByName.get(name)
      if (remoteEntry !== undefined && formatDeclaration(remoteEntry.declaration) === formatDeclaration(entry)) continue
      edits.push({ name, expectedVersion: remoteEntry?.version ?? 0, declaration: entry })
      lines.push(`${remoteEntry === undefined ? '+' : '~'} ${name}`)
    }
    for (const { name, version } of remote) {
      if (!isPruning || declared.val.has(name)) continue
      edits.push({ name, expectedVersion: version, declaration: null })
      lines.push(`- ${name}`)
    }
    return { edits, lines }
  }

  private _reportChange (response: IControlResponse, difference: IDifference): number {
    if (response.status === 200) {
      const { version } = response.body as { version: { epoch: number, version: number } }
      this._print(response.body, [...difference.lines, `accepted as version ${version.version}`].join('\n'))
      return EXIT.ok
    }
    const code = response.status === HTTP_CONFLICT
      ? EXIT.conflict
      : response.status === HTTP_UNPROCESSABLE_CONTENT ? EXIT.invalid : EXIT.failed
    const { winner } = response.body as { winner?: { name: string, version: number, operator: string } }
    const winnerText = winner === undefined ? '' : `\n${winner.name} was last changed by ${winner.operator} (version ${winner.version})`
    return this._fail(formatProblem(response.body) + winnerText, code, response.body)
  }

  private async _listEntries (): Promise<IRemoteEntry[] | number> {
    const response = await this._client.send('GET', '/v1/entries')
    if (response.err) return this._fail(response.val.message, EXIT.unreachable)
    if (response.val.status !== 200) return this._fail(formatProblem(response.val.body), EXIT.failed)
    return (response.val.body as { entries: IRemoteEntry[] }).entries
  }

  private async _listMoves (): Promise<IRemoteMove[] | number> {
    const response = await this._client.send('GET', '/v1/moves')
    if (response.err) return this._fail(response.val.message, EXIT.unreachable)
    if (response.val.status !== 200) return this._fail(formatProblem(response.val.body), EXIT.failed)
    return (response.val.body as { moves: IRemoteMove[] }).moves
  }

  private _print (value: unknown, text: string): void {
    console.log(this._isJson ? JSON.stringify(value) : text)
  }

  private _fail (message: string, code: number, body?: unknown): number {
    if (this._isJson) console.log(JSON.stringify(body ?? { error: message }))
    else console.error(`lagoonctl: ${message}`)
    return code
  }
}

function formatRemoteEntry ({ name, declaration, version }: IRemoteEntry): string {
  if (!isAccount(declaration)) return `${name}  owner ${declaration.owner}  class ${declaration.class}  version ${version}`
  const { key_digests: digests, rate, burst, class: callClass } = declaration
  return `${name}  keys ${digests.length}  class ${callClass ?? 'of the route'}  rate ${rate ?? 0}  burst ${burst ?? 0}  version ${version}`
}

function formatMove (move: IRemoteMove): string {
  const share = `${(move.share * 100).toFixed(1)}%`
  const evidence = move.newCalls === undefined ? '' : `, ${move.newCalls} new and ${move.oldCalls} old calls`
  const next = move.next === undefined ? '' : `, next ${move.next}`
  return `${move.service}: ${move.from} to ${move.to} by ${move.by}, ${move.status}${move.late ? ' (late)' : ''}, ` +
    `share ${share}: ${move.reason}${evidence}${next}`
}

function formatFields ({ event, fields }: ILogLine): string {
  const others = Object.entries(fields).filter(([key]) => key !== 'event' && key !== 'time' && key !== 'level')
  return [event, ...others.map(([key, value]) => `${key}=${value}`)].join(' ')
}
