/**
 * Runs a small target, which announces itself to the process on its VM and serves calls. With `failing`, half of the calls fail.
 * Arguments: ID VERSION PORT [failing]
 */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_000
const LOCAL_ADDRESS = process.env.LAGOONSWITCH_LOCAL ?? '127.0.0.1:7081'
const [id, version, portText, behaviour] = process.argv.slice(2)
const port = Number(portText)
let reservations = 0

const server = createServer((request, response) => {
  request.resume()
  request.on('end', () => {
    if (request.method === 'POST') reservations++
    const isFailing = behaviour === 'failing' && Math.random() < 0.5
    response.writeHead(isFailing ? 500 : 200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ target: id, version, path: request.url, reservations }))
  })
})

async function announce () {
  try {
    await fetch(`http://${LOCAL_ADDRESS}/v1/targets/${id}`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        service: 'booking-desk', version, address: `127.0.0.1:${port}`, slots: 9, connections: 130
      })
    })
  } catch {
    // The process may be restarting; the next heartbeat announces the target again.
  }
}

server.listen(port, '127.0.0.1', () => {
  void announce()
  setInterval(announce, HEARTBEAT_MS)
})
process.on('SIGTERM', () => {
  fetch(`http://${LOCAL_ADDRESS}/v1/targets/${id}`, { method: 'DELETE' }).finally(() => server.close(() => process.exit(0)))
})
