/**
 * Responses of targets that violate the protocol, and refusals of targets that have not run the request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { PlatformDialect } from '@lagoonswitch/platform'
import { DESK, World, type IResponse } from './support/World.js'

let world: World
let calls = 0

beforeEach(async () => {
  world = await World.start(['n1', 'n2'], '', new PlatformDialect())
  await world.putEntry(DESK)
})

afterEach(async () => { await world.stop() })

async function call (path: string, method = 'GET'): Promise<IResponse | 'cut'> {
  try {
    return await world.call('n1', method, path, { 'x-attempt-id': `a${calls++}`, 'x-request-deadline': '2000' })
  } catch {
    return 'cut'
  }
}

function respondWith (text: string) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    response.writeHead(200, { 'x-attempt-id': String(request.headers['x-attempt-id']) }).end(text)
  }
}

function formatResponse (id: unknown, headers: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${String(id)}\r\n${headers}\r\n\r\n${body}`
}

/** Sends a raw response and then ends or resets the connection. */
function sendRaw (headers: string, body: string, isReset: boolean) {
  return (request: IncomingMessage): void => {
    request.socket.write(formatResponse(request.headers['x-attempt-id'], headers, body))
    setTimeout(() => isReset ? request.socket.resetAndDestroy() : request.socket.end(), 30)
  }
}

function isIncomplete (reply: IResponse | 'cut'): boolean {
  return reply === 'cut' || reply.status >= 500
}

test('response without a length is complete at the end of its connection', async () => {
  await world.addTarget('n2', 't1', 'v1', sendRaw('Connection: close', 'all of it', false))
  expect(await call('/once', 'POST')).toMatchObject({ status: 200, body: 'all of it' })
})

test('response without a length is incomplete when its connection is reset', async () => {
  await world.addTarget('n2', 't1', 'v1', sendRaw('Connection: close', 'a part', true))
  expect(isIncomplete(await call('/once', 'POST'))).toBe(true)
})

test('chunked response that ends before its last chunk is incomplete', async () => {
  await world.addTarget('n2', 't1', 'v1', sendRaw('Connection: close\r\nTransfer-Encoding: chunked', '6\r\na part\r\n', false))
  expect(isIncomplete(await call('/once', 'POST'))).toBe(true)
})

test('response shorter than its content length is incomplete', async () => {
  await world.addTarget('n2', 't1', 'v1', sendRaw('Content-Length: 50', 'a part', false))
  expect(isIncomplete(await call('/once', 'POST'))).toBe(true)
})

test('bytes that are not HTTP give a 502', async () => {
  await world.addTarget('n2', 't1', 'v1', request => { request.socket.write('nothing of HTTP\r\n\r\n') })
  expect(await call('/once', 'POST')).toMatchObject({ status: 502 })
})

test('late duplicate response is not given to the next call', async () => {
  let last = ''
  const target = await world.addTarget('n2', 't1', 'v1', (request, response) => {
    const id = String(request.headers['x-attempt-id'])
    if (last !== '') request.socket.write(formatResponse(last, 'Content-Length: 3', 'old'))
    else response.writeHead(200, { 'x-attempt-id': id }).end('first')
    last = id
  })
  expect(await call('/once', 'POST')).toMatchObject({ body: 'first' })
  expect(await call('/once', 'POST')).toMatchObject({ status: 502 })
  expect(target.requests.length).toBe(2)
})

test('duplicate response right after the first is dropped', async () => {
  await world.addTarget('n2', 't1', 'v1', request => {
    const whole = formatResponse(request.headers['x-attempt-id'], 'Content-Length: 2', 'ok')
    request.socket.write(whole + whole)
  })
  for (let index = 0; index < 5; index++) expect(await call('/once', 'POST')).toMatchObject({ status: 200, body: 'ok' })
})

test('request that a target refused as not run is sent to another target', async () => {
  await world.addTarget('n2', 't1', 'v1', (_request, response) => { response.writeHead(503, { 'x-not-executed': '1' }).end() })
  await world.addTarget('n2', 't2', 'v1', respondWith('ok'))
  for (let index = 0; index < 5; index++) expect(await call('/once', 'POST')).toMatchObject({ status: 200, body: 'ok' })
})

test('refusal of the only target is passed on as not run', async () => {
  await world.addTarget('n2', 't1', 'v1', (_request, response) => { response.writeHead(503, { 'x-not-executed': '1' }).end() })
  const reply = await call('/once', 'POST')
  expect(reply).toMatchObject({ status: 503 })
  expect(reply !== 'cut' && JSON.parse(reply.body).run).toBe('not-run')
})

test('late duplicate refusal does not mark the next call as not run', async () => {
  let last = ''
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    const id = String(request.headers['x-attempt-id'])
    const refusal = `HTTP/1.1 503 No\r\nX-Attempt-Id: ${last}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`
    if (last !== '') request.socket.write(refusal)
    else response.writeHead(503, { 'x-attempt-id': id, 'x-not-executed': '1' }).end()
    last = id
  })
  expect(await call('/once', 'POST')).toMatchObject({ status: 503 })
  const reply = await call('/once', 'POST')
  expect(reply).toMatchObject({ status: 502 })
  expect(reply !== 'cut' && JSON.parse(reply.body).run).toBe('unknown')
})

test.each([['with the id', true], ['without an id', false]])('refusal that is repeated on a kept connection does not refuse the next call: %s', async (_name, hasId) => {
  const runs: string[] = []
  const refusals = new Map<Socket, string>()
  const refuseOnceAndRun = (request: IncomingMessage, response: ServerResponse): void => {
    const id = String(request.headers['x-attempt-id'])
    const earlier = refusals.get(request.socket)
    if (refusals.size === 0) {
      const idLine = hasId ? `X-Attempt-Id: ${id}\r\n` : ''
      const refusal = `HTTP/1.1 503 No\r\n${idLine}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`
      refusals.set(request.socket, refusal)
      request.socket.write(refusal)
      return
    }
    runs.push(id)
    if (earlier !== undefined) request.socket.write(earlier)
    else setTimeout(() => response.writeHead(200, { 'x-attempt-id': id }).end('ran'), 50)
  }
  await world.addTarget('n2', 't1', 'v1', refuseOnceAndRun)
  expect(await call('/once', 'POST')).toMatchObject({ status: 503 })
  const reply = await call('/once', 'POST')
  expect(runs.length).toBe(1)
  expect(reply).toMatchObject(hasId ? { status: 502 } : { status: 200, body: 'ran' })
})

test('target at a reused address gets no calls until it announces itself', async () => {
  await world.addTarget('n2', 't1', 'v1', (_request, response) => { response.writeHead(421).end() })
  await world.addTarget('n2', 't2', 'v1', respondWith('ok'))
  for (let index = 0; index < 5; index++) expect(await call('/once', 'POST')).toMatchObject({ status: 200, body: 'ok' })
})

test('call that may have run is reported as unknown', async () => {
  await world.addTarget('n2', 't1', 'v1', request => { request.socket.resetAndDestroy() })
  const reply = await call('/once', 'POST')
  expect(reply).toMatchObject({ status: 502 })
  expect(reply !== 'cut' && JSON.parse(reply.body).run).toBe('unknown')
})

test('target receives the remaining time, its own ID and the caller service', async () => {
  const target = await world.addTarget('n2', 't1', 'v1', respondWith('ok'))
  await call('/read')
  const { headers } = target.requests[0] as IncomingMessage
  expect(headers).toMatchObject({ 'x-target-instance': 't1', 'x-caller-service': '' })
  expect(Number(headers['x-request-deadline'])).toBeGreaterThan(1_000)
  expect(Number(headers['x-request-deadline'])).toBeLessThanOrEqual(2_000)
})

test('burst of calls is refused call by call, with integers on the link', async () => {
  await world.addTarget('n2', 't1', 'v1', (request, response) => {
    setTimeout(() => respondWith('ok')(request, response), 170.7)
  }, 1)
  const replies = await Promise.all(Array.from({ length: 60 }, async () => await call('/read')))
  expect(replies.every(reply => reply !== 'cut' && [200, 503, 504].includes(reply.status))).toBe(true)
  expect(await call('/read')).toMatchObject({ status: 200 })
})

const BODY = 'whole body'
const HEAD_PARTS = ['HTTP/1.1 2', '00', ' OK', '\r\n', 'X-Attempt-Id: ID', '\r\nConte', `nt-Length: ${BODY.length}`, '\r\n', 'Connection: close', '\r\n', '\r']
const CUT_HEADS = HEAD_PARTS.map((_part, index) => HEAD_PARTS.slice(0, index + 1).join(''))
const INFORMATION = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'

test.each([
  ['GET', 'end', 'new'], ['GET', 'end', 'kept'], ['GET', 'reset', 'new'], ['GET', 'reset', 'kept'],
  ['POST', 'end', 'new'], ['POST', 'end', 'kept'], ['POST', 'reset', 'new'], ['POST', 'reset', 'kept']
])('response that ends within its head is not passed on as whole: %s, %s of a %s connection', async (method, ending, age) => {
  let head = ''
  let cuts = 0
  await world.addRawTarget('n2', 't1', 'v1', socket => {
    let isFirst = age === 'kept'
    socket.on('data', data => {
      const id = /x-attempt-id: (\S+)/i.exec(data.toString())?.[1] ?? ''
      if (isFirst) {
        isFirst = false
        socket.write(formatResponse(id, `Content-Length: ${BODY.length}`, BODY))
        return
      }
      cuts++
      socket.write(head.replace('ID', id))
      setTimeout(() => ending === 'end' ? socket.end() : socket.resetAndDestroy(), 5)
    })
  })
  const heads = [...CUT_HEADS, ...CUT_HEADS.map(cutHead => INFORMATION + cutHead), INFORMATION]
  for (head of heads) {
    if (age === 'kept') expect(await call('/once', 'POST')).toMatchObject({ status: 200, body: BODY })
    expect(isIncomplete(await call(method === 'GET' ? '/read' : '/once', method))).toBe(true)
  }
  expect(cuts).toBe(heads.length)
})

/** Statuses that no final response can have. */
const BAD_STATUSES = ['000', '001', '099', '20', '2000', '-01', '600', '999', '100', '101']

// 600 and 999 reached the caller as the status of an answer; another service was seen to pass on 000.
test.each(BAD_STATUSES.flatMap(status => [['GET', status], ['POST', status]]))('response with a status that is none is not passed on: %s %s', async (method, status) => {
  const sockets: Socket[] = []
  await world.addRawTarget('n2', 't1', 'v1', socket => {
    sockets.push(socket)
    socket.on('data', data => {
      const id = /x-attempt-id: (\S+)/i.exec(data.toString())?.[1] ?? ''
      socket.write(formatResponse(id, 'Content-Length: 2', 'ok').replace('200', status))
    })
  })
  for (let count = 1; count <= 2; count++) {
    const reply = await call(method === 'GET' ? '/read' : '/once', method)
    expect(reply).toMatchObject({ status: 502 })
    expect(reply !== 'cut' && JSON.parse(reply.body).run).toBe('unknown')
    // The connection is not used again.
    expect(sockets.length).toBe(count)
  }
})

test.each(['600', '999', '001'])('safe call is retried elsewhere after a response with a status that is none: %s', async status => {
  let bad = 0
  await world.addRawTarget('n2', 't1', 'v1', socket => {
    socket.on('data', data => {
      const id = /x-attempt-id: (\S+)/i.exec(data.toString())?.[1] ?? ''
      bad++
      socket.write(formatResponse(id, 'Content-Length: 2', 'ok').replace('200', status))
    })
  })
  await world.addTarget('n2', 't2', 'v1', respondWith('good'))
  for (let count = 0; count < 50; count++) {
    expect(await call('/read')).toMatchObject({ status: 200, body: 'good' })
    if (bad > 0) break
  }
  expect(bad).toBe(1)
  expect(world.getNode('n1').metrics.readCount('retries_total', 'bad-status')).toBe(1)
  expect(world.getNode('n2').metrics.readCount('bad_statuses_total', 'target')).toBe(1)
})

test.each([['199', 200], ['103', 200], ['099', 502], ['001', 502], ['000', 502]])('interim response before the final one: %s', async (status, expected) => {
  await world.addRawTarget('n2', 't1', 'v1', socket => {
    socket.on('data', data => {
      const id = /x-attempt-id: (\S+)/i.exec(data.toString())?.[1] ?? ''
      socket.write(`HTTP/1.1 ${status} Odd\r\n\r\n${formatResponse(id, 'Content-Length: 2', 'ok')}`)
    })
  })
  expect(await call('/once', 'POST')).toMatchObject({ status: expected })
})
