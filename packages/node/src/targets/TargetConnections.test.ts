import { Socket, createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import { TargetConnection, type IResponseHandler } from './TargetConnections.js'

/** Names and values in a head or trailer that are accepted. */
const MAX_HEAD_BYTES = 16_384
/** What may be parsed after the limit was reached. */
const MAX_SURPLUS_BYTES = 4_096
const FLOOD_BYTES = 1_048_576
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n'

let server: Server | undefined
let connection: TargetConnection | undefined

async function startServer (text: string): Promise<string> {
  const listening = createServer(socket => {
    socket.on('error', () => undefined)
    socket.once('data', () => socket.write(text))
  })
  server = listening
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve))
  return `http://127.0.0.1:${(listening.address() as AddressInfo).port}`
}

async function receive (text: string): Promise<Error | undefined> {
  const opened = new TargetConnection(await startServer(text), () => undefined)
  connection = opened
  return await new Promise(resolve => {
    const handler: IResponseHandler = {
      hasEnded: false,
      onRequestStart: () => {},
      onResponseStart: () => {},
      onResponseData: (_controller, chunk) => opened.countBodyBytes(chunk.length),
      onResponseEnd: () => resolve(undefined),
      onResponseError: (_controller, error) => resolve(error)
    }
    opened.dispatch({ method: 'GET', path: '/' }, handler)
  })
}

/** Counts the bytes that the parser takes from sockets, which calls read without a size. */
function countParsedBytes (): () => number {
  const read = Socket.prototype.read
  let bytes = 0
  vi.spyOn(Socket.prototype, 'read').mockImplementation(function (this: Socket, size?: number) {
    const chunk = Reflect.apply(read, this, [size]) as Buffer | null
    // The socket of the server reads the request.
    if (this.remotePort === (server?.address() as AddressInfo).port) bytes += chunk?.length ?? 0
    return chunk
  })
  return () => bytes
}

afterEach(() => {
  vi.restoreAllMocks()
  connection?.close()
  server?.close()
})

// Each line beyond the limit of a head costs an error with a stack trace, which blocked the process for 0.1 to 0.3 s a read of 64 kB.
test.each([
  ['head', 'HTTP/1.1 200 OK\r\n', 'X-T: 1\r\n', 2],
  ['head of the shortest lines', 'HTTP/1.1 200 OK\r\n', 'a:\r\n', 4],
  ['trailer', CHUNKED, 'X-T: 1\r\n', 2]
])('little is parsed beyond the limit of an endless %s', async (_name, start, line, bytesPerCountedByte) => {
  const getParsedBytes = countParsedBytes()
  const error = await receive(start + line.repeat(FLOOD_BYTES / line.length))
  expect(error?.message).toMatch(/Overflow|outside the body/)
  expect(getParsedBytes()).toBeLessThanOrEqual(MAX_HEAD_BYTES * bytesPerCountedByte + start.length + MAX_SURPLUS_BYTES)
})

test('response that fills many reads arrives whole', async () => {
  const chunk = `ffff\r\n${'f'.repeat(0xffff)}\r\n`
  expect(await receive(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(20)}0\r\nX-T: 1\r\n\r\n`)).toBeUndefined()
})
