/**
 * HTTP client for the operators' listeners of the control VMs.
 */
import { request } from 'undici'
import { Err, Ok, PeerError, formatError, type Result } from '@lagoonswitch/common'

/** HTTP response of a control VM. */
export interface IControlResponse {
  readonly status: number
  readonly body: unknown
}

/** Sends requests to the control VMs in turn until one responds without a server error. */
export class OperatorClient {
  /**
   * @param _addresses - HOST:PORT of the operators' listeners
   * @param _token - token of the operator; empty to send none
   */
  constructor (private readonly _addresses: readonly string[], private readonly _token: string) {}

  /**
   * Sends a request. Changes carry a request id, so that they can safely be sent to several control VMs.
   * @param method - HTTP method
   * @param path - path with a leading slash
   * @param body - request body, sent as JSON
   * @returns the first response without a server error
   */
  async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Result<IControlResponse, PeerError>> {
    let problem = 'no address given'
    for (const address of this._addresses) {
      try {
        const response = await this._sendTo(address, method, path, body)
        if (response.status < 500) return Ok(response)
        problem = `${address} answered ${response.status}: ${formatProblem(response.body)}`
      } catch (error) {
        problem = `${address}: ${formatError(error)}`
      }
    }
    return Err(new PeerError(problem, 'check --control and that a majority of control VMs runs'))
  }

  private async _sendTo (address: string, method: 'GET' | 'POST' | 'DELETE', path: string, body: unknown): Promise<IControlResponse> {
    const headers: Record<string, string> = { 'content-type': 'application/json' }
    if (this._token !== '') headers.authorization = `Bearer ${this._token}`
    if (body === undefined) delete headers['content-type']
    const response = await request(`http://${address}${path}`, {
      method, headers, body: body === undefined ? undefined : JSON.stringify(body)
    })
    return { status: response.statusCode, body: await response.body.json() }
  }
}

/**
 * Formats the body of an error response.
 * @param body - parsed JSON body
 * @returns its message, or the body as JSON if it has none
 */
export function formatProblem (body: unknown): string {
  if (typeof body === 'object' && body !== null && 'message' in body) return String(body.message)
  return JSON.stringify(body)
}
