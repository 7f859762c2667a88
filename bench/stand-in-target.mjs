/**
 * Runs a target for benchmarks and process tests. Counts the runs of each idempotency key, which /stats returns.
 * Arguments: ID SERVICE VERSION PORT LOCAL_PORT [SLOTS] [DELAY_MS] [FAIL_SHARE]
 */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const [id, service, version, port, localPort, slots = '14', delayMs = '0', failShare = '0'] = process.argv.slice(2)
const RESPONSE_BODY = Buffer.alloc(1024, 'x')
let running = 0
let highest = 0
const runs = new Map()

const server = createServer(async (request, response) => {
  running++
  highest = Math.max(highest, running)
  request.resume()
  if (request.url === '/stats') {
    running--
    response.end(JSON.stringify({ highest, runs: [...runs] }))
    return
  }
  const key = request.headers['idempotency-key']
  if (key !== undefined) runs.set(key, (runs.get(key) ?? 0) + 1)
  // A cancelled call stops running, as the platform requires of its targets.
  const abortController = new AbortController()
  response.on('close', () => abortController.abort())
  if (Number(delayMs) > 0) await sleep(Number(delayMs), undefined, { signal: abortController.signal }).catch(() => undefined)
  running--
  response.writeHead(Math.random() < Number(failShare) ? 500 : 200, { 'content-length': RESPONSE_BODY.length })
  response.end(RESPONSE_BODY)
})
server.keepAliveTimeout = 60_000

async function announce () {
  await fetch(`http://127.0.0.1:${localPort}/v1/targets/${id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ service, version, address: `127.0.0.1:${port}`, slots: Number(slots), connections: 130 })
  }).catch(() => undefined)
}

server.listen(Number(port), '127.0.0.1', () => {
  void announce()
  setInterval(announce, 1_000)
})
process.on('SIGTERM', () => process.exit(0))
